//! Callers, entries and one group on virtual time, with the real decisions of entries.

mod entry_model;
mod results;

use std::ops::Range;

use entry_model::{Attempt, EntryModel, Run, endpoint_id};
use ochreyard_core::direct::{DispatchDecision, GroupUpdate, Pick, RankUpdate, ReporterRole, StallHandling, Urgency};
use ochreyard_core::hash;
use results::Caller;
pub use results::{Outcome, Results};

const SERVICE: &str = "brief";
/// Time between two steps of the simulation.
const TICK_MS: u64 = 10;
/// Time between two updates of the group by its leader.
const UPDATE_INTERVAL_MS: u64 = 300;
/// Time from the start of a run to its first event.
const FIRST_EVENT_MS: u64 = 100;

#[derive(Debug, Clone)]
pub struct Callers {
    pub per_s: u64,
    /// Timeout of a request.
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    /// How long callers wait for the start of an answer; then they disconnect, and retry if they have not yet.
    pub patience_ms: u64,
    /// What the configuration states about that.
    pub configured_patience_ms: Option<u64>,
    /// How long callers send new requests.
    pub sends_for_ms: u64,
    /// When callers send more requests than usual.
    pub burst_ms: Range<u64>,
    /// Factor on the usual requests during the burst.
    pub burst_factor: u64,
}

#[derive(Debug, Clone)]
pub struct Group {
    pub entries: usize,
    pub endpoints: usize,
    pub slots: u64,
    pub stall_ms: Range<u64>,
    /// Stalls after the first one.
    pub further_stalls_ms: Vec<Range<u64>>,
    /// Time that the group takes to serve one request.
    pub service_ms: u64,
    /// Further time for each request that an endpoint runs on average.
    pub per_running_ms: u64,
    /// Entry that starts again without any knowledge, and when.
    pub restart: Option<(usize, u64)>,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            entries: 6,
            endpoints: 12,
            slots: 10,
            stall_ms: 0..0,
            further_stalls_ms: Vec::new(),
            service_ms: 1_700,
            per_running_ms: 0,
            restart: None,
        }
    }
}

impl Group {
    fn is_stalled(&self, now_ms: u64) -> bool {
        self.stalls().any(|stall_ms| stall_ms.contains(&now_ms))
    }

    fn stalls(&self) -> impl Iterator<Item = &Range<u64>> {
        std::iter::once(&self.stall_ms).chain(&self.further_stalls_ms)
    }
}

/// The retry of a caller that was refused once or has disconnected.
struct Retry {
    at_ms: u64,
    caller: usize,
    timeout_ms: u64,
}

struct Simulation {
    callers: Callers,
    group: Group,
    entries: Vec<EntryModel>,
    retries: Vec<Retry>,
    results: Results,
}

pub fn simulate(callers: Callers, group: Group) -> Results {
    let entries = (0..group.entries).map(|_| EntryModel::new(&group)).collect();
    let ends_ms = callers.sends_for_ms + callers.timeout_ms;
    let mut simulation = Simulation { callers, group, entries, retries: Vec::new(), results: Results::default() };
    for now_ms in (0..ends_ms).step_by(TICK_MS as usize) {
        simulation.restart_entry(now_ms);
        simulation.send_group_update(now_ms);
        simulation.send_first_attempts(now_ms);
        simulation.send_retries(now_ms);
        (0..simulation.entries.len()).for_each(|entry| simulation.dispatch(entry, now_ms));
    }
    simulation.results
}

impl Simulation {
    fn restart_entry(&mut self, now_ms: u64) {
        if let Some((entry, at_ms)) = self.group.restart
            && now_ms == at_ms
        {
            self.entries[entry] = EntryModel::restarted(&self.group);
        }
    }

    /// The leader sends an update to all entries at intervals, and at once when the group resumes. A stall loses the
    /// requests that run.
    fn send_group_update(&mut self, now_ms: u64) {
        if self.group.stalls().any(|stall_ms| stall_ms.start == now_ms && stall_ms.end > now_ms) {
            self.entries.iter_mut().for_each(|entry| entry.lose_runs(now_ms));
        }
        let has_resumed = self.group.stalls().any(|stall_ms| stall_ms.end == now_ms);
        if !now_ms.is_multiple_of(UPDATE_INTERVAL_MS) && !has_resumed {
            return;
        }
        let group_update = self.group_update(!self.group.is_stalled(now_ms), now_ms);
        self.entries.iter_mut().for_each(|entry| entry.apply(&group_update, now_ms));
    }

    fn group_update(&self, is_serving: bool, now_ms: u64) -> GroupUpdate {
        let rank = |at: usize| {
            let endpoint = endpoint_id(at);
            let running = self.running_at(&endpoint, now_ms);
            RankUpdate { endpoint, running, waiting: 0, pace_permille: 1_000 }
        };
        GroupUpdate {
            service: SERVICE.to_owned(),
            group: "g".to_owned(),
            reporter_role: ReporterRole::Leads,
            is_serving,
            step_ms: 60,
            ranks: (0..self.group.endpoints).map(rank).collect(),
            ..GroupUpdate::default()
        }
    }

    fn running_at(&self, endpoint: &str, now_ms: u64) -> u64 {
        self.entries.iter().map(|entry| entry.running_at(endpoint, now_ms)).sum()
    }

    fn send_first_attempts(&mut self, now_ms: u64) {
        if now_ms >= self.callers.sends_for_ms {
            return;
        }
        let is_burst = self.callers.burst_ms.contains(&now_ms);
        let per_s = self.callers.per_s * if is_burst { self.callers.burst_factor } else { 1 };
        for _ in now_ms * per_s / 1_000..(now_ms + TICK_MS) * per_s / 1_000 {
            let caller = self.results.callers.len();
            self.results.arrivals += 1;
            self.results.callers.push(Caller { arrived_ms: now_ms, outcome: Outcome::Open, is_held_in_vain: false });
            self.arrive(caller, self.callers.timeout_ms, true, now_ms);
        }
    }

    fn send_retries(&mut self, now_ms: u64) {
        let due: Vec<Retry> = self.retries.extract_if(.., |retry| retry.at_ms <= now_ms).collect();
        due.iter().for_each(|retry| self.arrive(retry.caller, retry.timeout_ms, false, now_ms));
    }

    /// A request arrives at an entry chosen at random.
    fn arrive(&mut self, caller: usize, timeout_ms: u64, is_first: bool, now_ms: u64) {
        let draw = hash::mix((caller * 2 + usize::from(is_first)) as u64);
        let at = (draw % self.entries.len() as u64) as usize;
        let entry = &mut self.entries[at];
        let arrival = entry.queue.on_arrival("route", self.callers.target_latency_ms, timeout_ms, now_ms);
        let deadline_ms = now_ms + timeout_ms;
        let handling = arrival.is_caller_retry.then_some(StallHandling::CallerRetried);
        entry.waiting.push(Attempt {
            caller,
            arrived_ms: now_ms,
            deadline_ms,
            arrival,
            ticket: None,
            is_first,
            handling,
        });
    }

    /// An entry decides on all attempts that have no endpoint yet.
    fn dispatch(&mut self, entry: usize, now_ms: u64) {
        self.entries[entry].end_runs(now_ms);
        let boxes = self.entries.len() as u64;
        for mut attempt in std::mem::take(&mut self.entries[entry].waiting) {
            let draw = hash::mix(((attempt.caller as u64) << 32) ^ now_ms);
            match self.entries[entry].decide(&self.callers, boxes, &attempt, draw, now_ms) {
                DispatchDecision::Wait(_) if now_ms >= attempt.arrived_ms + self.callers.patience_ms => {
                    self.disconnect(entry, &attempt, now_ms);
                }
                DispatchDecision::Wait(_) => {
                    self.entries[entry].hold(&self.callers, &mut attempt, now_ms);
                    self.entries[entry].waiting.push(attempt);
                    continue;
                }
                DispatchDecision::Send(pick) => self.send(entry, &attempt, pick, now_ms),
                DispatchDecision::GiveUp(facts) => {
                    let retry_after_ms = self.entries[entry].retry_after_ms(&facts, hash::mix(draw), now_ms);
                    self.entries[entry].record_outcome(attempt.handling, false, now_ms);
                    self.refuse(&attempt, facts.left_ms, retry_after_ms, now_ms);
                }
            }
            if let Some(ticket) = attempt.ticket {
                self.entries[entry].queue.wait_queue.leave(ticket);
                self.results.held.push(attempt.arrived_ms);
            }
        }
    }

    /// Sends an attempt to an endpoint. Entries know each other's requests only from the last update; if they send more
    /// than the endpoint has slots for, the run starts once a slot is free.
    fn send(&mut self, entry: usize, attempt: &Attempt, pick: Pick, now_ms: u64) {
        let starts_ms = self.start_ms(&pick.id, now_ms);
        let running: usize = self.entries.iter().map(|entry| entry.runs.len()).sum();
        let mean_running = (running / self.group.endpoints) as u64;
        let whole_ms = starts_ms + self.group.service_ms + self.group.per_running_ms * mean_running;
        let leaves_ms = attempt.arrived_ms + self.callers.patience_ms;
        let is_on_time = attempt.is_first && pick.urgency == Urgency::OnTime;
        self.results.sent_on_time += u64::from(is_on_time);
        self.results.sent_late += u64::from(!is_on_time);
        let starts_on_time = is_on_time && starts_ms < attempt.arrival.on_time_until_ms;
        let has_left = starts_ms + FIRST_EVENT_MS > leaves_ms;
        let is_served = !has_left && whole_ms <= attempt.deadline_ms;
        let ends_ms = if has_left { leaves_ms } else { whole_ms.min(attempt.deadline_ms) };
        self.entries[entry].run(Run { starts_ms, ends_ms, pick, is_served, handling: attempt.handling });
        let caller = &mut self.results.callers[attempt.caller];
        caller.outcome = match (is_served, starts_on_time) {
            (true, true) => Outcome::OnTime,
            (true, false) => Outcome::Late,
            (false, _) => Outcome::Unanswered,
        };
        caller.is_held_in_vain = !is_served && attempt.ticket.is_some();
        if has_left && attempt.is_first {
            let timeout_ms = attempt.deadline_ms - leaves_ms;
            self.retries.push(Retry { at_ms: leaves_ms, caller: attempt.caller, timeout_ms });
        }
    }

    fn start_ms(&self, endpoint: &str, now_ms: u64) -> u64 {
        let runs = self.entries.iter().flat_map(|entry| &entry.runs).filter(|run| run.ends_ms > now_ms);
        let mut ends_ms: Vec<u64> = runs.filter(|run| run.pick.id == endpoint).map(|run| run.ends_ms).collect();
        ends_ms.sort_unstable();
        let before = (ends_ms.len() + 1).saturating_sub(self.group.slots as usize);
        if before == 0 { now_ms } else { ends_ms[before - 1] }
    }

    /// A caller disconnects. It retries at once if this was its first attempt.
    fn disconnect(&mut self, entry: usize, attempt: &Attempt, now_ms: u64) {
        self.entries[entry].queue.patience.record_abandonment(now_ms - attempt.arrived_ms);
        self.entries[entry].record_outcome(attempt.handling, false, now_ms);
        self.results.disconnected += 1;
        if attempt.is_first {
            self.retries.push(Retry {
                at_ms: now_ms,
                caller: attempt.caller,
                timeout_ms: attempt.deadline_ms - now_ms,
            });
        } else {
            self.end_unserved(attempt, Outcome::Unanswered);
        }
    }

    /// A caller is refused. It retries after a delay, of which it respects a third of its remaining time at most, if
    /// this was its first attempt.
    fn refuse(&mut self, attempt: &Attempt, left_ms: u64, retry_after_ms: u64, now_ms: u64) {
        if !attempt.is_first {
            self.results.refused += 1;
            self.end_unserved(attempt, Outcome::Refused);
            return;
        }
        let delay_ms = retry_after_ms.min(left_ms / 3);
        self.retries.push(Retry { at_ms: now_ms + delay_ms, caller: attempt.caller, timeout_ms: left_ms - delay_ms });
    }

    fn end_unserved(&mut self, attempt: &Attempt, outcome: Outcome) {
        let caller = &mut self.results.callers[attempt.caller];
        caller.outcome = outcome;
        caller.is_held_in_vain = attempt.ticket.is_some();
    }
}
