//! Callers, entries and one group on virtual time.

use std::net::SocketAddr;
use std::ops::Range;

use ochreyard_core::direct::{
    Choice, EndpointChange, EndpointPool, EndpointRecord, GroupNews, Outcome, Pick, RankNews, Seeker, ServiceQueue,
    TellerRole, Ticket,
};
use ochreyard_core::hash;

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

#[derive(Debug, Clone, Copy)]
pub struct Callers {
    pub per_s: u64,
    pub given_ms: u64,
    pub aim_ms: u64,
    pub asks_for_ms: u64,
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

#[derive(Debug, Clone, Default)]
pub struct Played {
    pub asked: u64,
    pub sent_in_aim: u64,
    pub sent_late: u64,
    pub refused: u64,
    /// When each caller first asked, and whether it was sent in its aim.
    firsts: Vec<(u64, bool)>,
    /// When each that waited for more than a look came.
    held: Vec<u64>,
}

impl Played {
    pub fn fresh_in_aim_share(&self, came_ms: Range<u64>) -> f64 {
        let came: Vec<bool> =
            self.firsts.iter().filter(|(at, _)| came_ms.contains(at)).map(|(_, sent)| *sent).collect();
        came.iter().filter(|sent| **sent).count() as f64 / came.len() as f64
    }

    pub fn held_after(&self, from_ms: u64) -> usize {
        self.held.iter().filter(|at| **at >= from_ms).count()
    }
}

/// One try of a caller at an entry.
#[derive(Debug, Clone)]
struct Try {
    caller: usize,
    came_ms: u64,
    deadline_ms: u64,
    in_aim_until_ms: u64,
    ticket: Option<Ticket>,
    is_first: bool,
}

struct EntryModel {
    pool: EndpointPool,
    queue: ServiceQueue,
    waiting: Vec<Try>,
    running: Vec<(u64, Pick)>,
}

impl EntryModel {
    fn new() -> Self {
        let mut pool = EndpointPool::new();
        (0..ENDPOINTS).for_each(|at| pool.apply(EndpointChange::Known(endpoint_id(at), record(at))));
        Self { pool, queue: ServiceQueue::default(), waiting: Vec::new(), running: Vec::new() }
    }

    fn end_runs(&mut self, now_ms: u64) {
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(|(end, _)| *end <= now_ms);
        self.running = running;
        let ended: Vec<(u64, Pick)> = ended;
        for (_, pick) in ended {
            self.pool.on_end(&pick.id, pick.urgency, Outcome::Good, now_ms);
        }
    }

    fn look(&mut self, of: &Try, draw: u64, now_ms: u64) -> Choice {
        let seeker = Seeker {
            service: SERVICE,
            tried: &[],
            in_aim_until_ms: of.in_aim_until_ms,
            deadline_ms: of.deadline_ms,
            aim_ms: 0,
            ticket: of.ticket,
        };
        self.queue.choose(&self.pool, ENTRIES as u64, &seeker, draw, now_ms)
    }
}

pub fn play(callers: Callers, group: Group) -> Played {
    let mut entries: Vec<EntryModel> = (0..ENTRIES).map(|_| EntryModel::new()).collect();
    entries.iter_mut().for_each(|entry| entry.queue.time.note(group.serves_ms));
    let mut played = Played::default();
    let mut returns: Vec<(u64, usize, u64)> = Vec::new();
    for now_ms in (0..callers.asks_for_ms + callers.given_ms).step_by(TICK_MS as usize) {
        let stands = group.stands_ms.contains(&now_ms);
        if now_ms % NEWS_MS == 0 || now_ms == group.stands_ms.end {
            let news = news(&entries, !stands);
            entries.iter_mut().for_each(|entry| entry.pool.on_news(&news, now_ms));
        }
        let mut tries = Vec::new();
        let due = now_ms * callers.per_s / 1_000..(now_ms + TICK_MS) * callers.per_s / 1_000;
        for caller in due.filter(|_| now_ms < callers.asks_for_ms) {
            played.asked += 1;
            played.firsts.push((now_ms, false));
            tries.push((caller as usize, callers.given_ms, true));
        }
        returns.retain(|(at, caller, left_ms)| {
            if *at <= now_ms {
                tries.push((*caller, *left_ms, false));
            }
            *at > now_ms
        });
        for (caller, given_ms, is_first) in tries {
            let entry =
                &mut entries[(hash::mix((caller * 2 + usize::from(is_first)) as u64) % ENTRIES as u64) as usize];
            let in_aim_until_ms = entry.queue.in_aim_until_ms("route", callers.aim_ms, given_ms, now_ms);
            let deadline_ms = now_ms + given_ms;
            entry.waiting.push(Try { caller, came_ms: now_ms, deadline_ms, in_aim_until_ms, ticket: None, is_first });
        }
        for entry in &mut entries {
            entry.end_runs(now_ms);
            for mut one in std::mem::take(&mut entry.waiting) {
                match entry.look(&one, hash::mix(one.caller as u64 ^ now_ms), now_ms) {
                    Choice::Go(pick) => {
                        entry.pool.on_start(&pick.id, pick.urgency);
                        let is_in_aim = one.is_first && now_ms < one.in_aim_until_ms;
                        played.sent_in_aim += u64::from(is_in_aim);
                        played.sent_late += u64::from(!is_in_aim);
                        played.firsts[one.caller].1 |= is_in_aim;
                        entry.running.push((now_ms + group.serves_ms, pick));
                    }
                    Choice::Wait(_) => {
                        let (until_ms, deadline_ms) = (one.in_aim_until_ms, one.deadline_ms);
                        one.ticket.get_or_insert_with(|| entry.queue.line.join(until_ms, deadline_ms));
                        entry.waiting.push(one);
                        continue;
                    }
                    Choice::GiveUp(facts) if one.is_first => {
                        let away_ms = (facts.left_ms as f64 * COME_BACK_SHARE) as u64;
                        returns.push((now_ms + away_ms, one.caller, facts.left_ms - away_ms));
                    }
                    Choice::GiveUp(_) => played.refused += 1,
                }
                if let Some(ticket) = one.ticket {
                    entry.queue.line.leave(ticket);
                    played.held.push(one.came_ms);
                }
            }
        }
    }
    played
}

fn endpoint_id(at: usize) -> String {
    format!("e{at}")
}

fn record(at: usize) -> EndpointRecord {
    EndpointRecord {
        service: SERVICE.to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + at as u16)),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        is_leaving: false,
        cold_ms: 0,
    }
}

/// What the leader tells: each rank with all that runs there.
fn news(entries: &[EntryModel], is_serving: bool) -> GroupNews {
    let running_at = |id: &str| -> u64 {
        let of_entry = |entry: &EntryModel| entry.running.iter().filter(|(_, pick)| pick.id == id).count() as u64;
        entries.iter().map(of_entry).sum()
    };
    let rank = |at: usize| {
        let endpoint = endpoint_id(at);
        RankNews { running: running_at(&endpoint), endpoint, waiting: 0, pace_permille: 1_000 }
    };
    GroupNews {
        service: SERVICE.to_owned(),
        group: "g".to_owned(),
        teller: TellerRole::Leads,
        is_serving,
        step_ms: 60,
        ranks: (0..ENDPOINTS).map(rank).collect(),
    }
}
