//! Callers, entries and one group on virtual time. The decisions are the real ones.

mod entry_model;
mod played;

use std::ops::Range;

use entry_model::{EntryModel, Try, endpoint_id};
use ochreyard_core::direct::{DispatchDecision, GroupUpdate, RankUpdate, ReporterRole};
use ochreyard_core::hash;
use played::Played;

const SERVICE: &str = "brief";
const ENTRIES: usize = 6;
const ENDPOINTS: usize = 12;
const SLOTS: u64 = 10;
/// How often entries look.
const TICK_MS: u64 = 10;
/// How often the leader tells.
const NEWS_MS: u64 = 300;
/// Share of what a caller has left after which it comes back, once.
const COME_BACK_SHARE: f64 = 0.31;

#[derive(Debug, Clone)]
pub struct Callers {
    pub per_s: u64,
    /// Time that they give a request.
    pub given_ms: u64,
    pub aim_ms: u64,
    /// How long they wait for the start of an answer; then they go away, and ask again if they may.
    pub patience_ms: u64,
    /// How long they go on asking.
    pub asks_for_ms: u64,
    /// When more of them ask than usual.
    pub burst_ms: Range<u64>,
    /// How many times as many ask then.
    pub burst_times: u64,
}

#[derive(Debug, Clone)]
pub struct Group {
    pub stands_ms: Range<u64>,
    /// How long it serves one request.
    pub serves_ms: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self { stands_ms: 0..0, serves_ms: 1_700 }
    }
}

/// A caller that was refused once and asks again.
struct Return {
    at_ms: u64,
    caller: usize,
    given_ms: u64,
}

struct World {
    callers: Callers,
    group: Group,
    entries: Vec<EntryModel>,
    returns: Vec<Return>,
    played: Played,
}

pub fn play(callers: Callers, group: Group) -> Played {
    let entries = (0..ENTRIES).map(|_| EntryModel::new(group.serves_ms)).collect();
    let ends_ms = callers.asks_for_ms + callers.given_ms;
    let mut world = World { callers, group, entries, returns: Vec::new(), played: Played::default() };
    for now_ms in (0..ends_ms).step_by(TICK_MS as usize) {
        world.tell(now_ms);
        world.first_tries(now_ms);
        world.second_tries(now_ms);
        (0..ENTRIES).for_each(|entry| world.look(entry, now_ms));
    }
    world.played
}

impl World {
    /// The leader tells all entries now and then, and at once when the group goes on.
    fn tell(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(NEWS_MS) && now_ms != self.group.stands_ms.end {
            return;
        }
        let news = self.news(!self.group.stands_ms.contains(&now_ms));
        self.entries.iter_mut().for_each(|entry| entry.pool.apply_group_update(&news, now_ms));
    }

    fn news(&self, is_serving: bool) -> GroupUpdate {
        let rank = |at: usize| {
            let endpoint = endpoint_id(at);
            let running = self.entries.iter().map(|entry| entry.running_at(&endpoint)).sum();
            RankUpdate { endpoint, running, waiting: 0, pace_permille: 1_000 }
        };
        GroupUpdate {
            service: SERVICE.to_owned(),
            group: "g".to_owned(),
            reporter_role: ReporterRole::Leads,
            is_serving,
            step_ms: 60,
            ranks: (0..ENDPOINTS).map(rank).collect(),
            loads: None,
        }
    }

    fn first_tries(&mut self, now_ms: u64) {
        if now_ms >= self.callers.asks_for_ms {
            return;
        }
        let is_burst = self.callers.burst_ms.contains(&now_ms);
        let per_s = self.callers.per_s * if is_burst { self.callers.burst_times } else { 1 };
        for _ in now_ms * per_s / 1_000..(now_ms + TICK_MS) * per_s / 1_000 {
            let caller = self.played.firsts.len();
            self.played.asked += 1;
            self.played.firsts.push((now_ms, false));
            self.ask(caller, self.callers.given_ms, true, now_ms);
        }
    }

    fn second_tries(&mut self, now_ms: u64) {
        let due: Vec<Return> = self.returns.extract_if(.., |back| back.at_ms <= now_ms).collect();
        due.iter().for_each(|back| self.ask(back.caller, back.given_ms, false, now_ms));
    }

    /// A caller asks at any entry.
    fn ask(&mut self, caller: usize, given_ms: u64, is_first: bool, now_ms: u64) {
        let draw = hash::mix((caller * 2 + usize::from(is_first)) as u64);
        let entry = &mut self.entries[(draw % ENTRIES as u64) as usize];
        let arrival = entry.queue.on_arrival("route", self.callers.aim_ms, given_ms, now_ms);
        let deadline_ms = now_ms + given_ms;
        entry.waiting.push(Try { caller, came_ms: now_ms, deadline_ms, arrival, ticket: None, is_first });
    }

    /// An entry looks at all tries that have no endpoint yet.
    fn look(&mut self, entry: usize, now_ms: u64) {
        self.entries[entry].end_runs(now_ms);
        for mut of in std::mem::take(&mut self.entries[entry].waiting) {
            match self.entries[entry].choose(&of, hash::mix(of.caller as u64 ^ now_ms), now_ms) {
                DispatchDecision::Wait(_) if now_ms >= of.came_ms + self.callers.patience_ms => {
                    self.leave(entry, &of, now_ms);
                }
                DispatchDecision::Wait(_) => {
                    let line = &mut self.entries[entry].queue.wait_queue;
                    of.ticket.get_or_insert_with(|| line.join(of.arrival.on_time_until_ms, of.deadline_ms));
                    self.entries[entry].waiting.push(of);
                    continue;
                }
                DispatchDecision::Send(pick) => {
                    let serves_ms = self.serves_ms(&pick.id);
                    self.entries[entry].run(pick, now_ms + serves_ms);
                    self.note_sent(&of, now_ms);
                }
                DispatchDecision::GiveUp(facts) => self.refuse(&of, facts.left_ms, now_ms),
            }
            if let Some(ticket) = of.ticket {
                self.entries[entry].queue.wait_queue.leave(ticket);
                self.played.held.push(of.came_ms);
            }
        }
    }

    /// How long an endpoint takes for one more: what entries, which know of each other's requests only what was told of
    /// late, send beyond its slots makes all take longer.
    fn serves_ms(&self, endpoint: &str) -> u64 {
        let running: u64 = self.entries.iter().map(|entry| entry.running_at(endpoint)).sum();
        self.group.serves_ms * (running + 1).max(SLOTS) / SLOTS
    }

    fn note_sent(&mut self, of: &Try, now_ms: u64) {
        let is_in_aim = of.is_first && now_ms < of.arrival.on_time_until_ms;
        self.played.sent_in_aim += u64::from(is_in_aim);
        self.played.sent_late += u64::from(!is_in_aim);
        self.played.firsts[of.caller].1 |= is_in_aim;
    }

    /// A caller has lost patience. It asks again at once, if that was its first try.
    fn leave(&mut self, entry: usize, of: &Try, now_ms: u64) {
        self.entries[entry].queue.patience.record_abandonment(now_ms - of.came_ms);
        self.played.left += 1;
        if of.is_first {
            self.returns.push(Return { at_ms: now_ms, caller: of.caller, given_ms: of.deadline_ms - now_ms });
        }
    }

    /// A caller comes back once.
    fn refuse(&mut self, of: &Try, left_ms: u64, now_ms: u64) {
        if !of.is_first {
            self.played.refused += 1;
            return;
        }
        let away_ms = (left_ms as f64 * COME_BACK_SHARE) as u64;
        self.returns.push(Return { at_ms: now_ms + away_ms, caller: of.caller, given_ms: left_ms - away_ms });
    }
}
