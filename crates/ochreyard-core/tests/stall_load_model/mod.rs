//! Callers, entries and one group on virtual time, with the real decisions of entries.

mod entry_model;
mod results;

use std::ops::Range;

use entry_model::{Attempt, EntryModel, endpoint_id};
use ochreyard_core::direct::{DispatchDecision, GroupUpdate, RankUpdate, ReporterRole};
use ochreyard_core::hash;
use results::Results;

const SERVICE: &str = "brief";
const ENTRIES: usize = 6;
const ENDPOINTS: usize = 12;
const SLOTS: u64 = 10;
/// Time between two steps of the simulation.
const TICK_MS: u64 = 10;
/// Time between two updates of the group by its leader.
const UPDATE_INTERVAL_MS: u64 = 300;
/// Delay after which a refused caller retries once, as a share of its remaining time.
const RETRY_DELAY_SHARE: f64 = 0.31;

#[derive(Debug, Clone)]
pub struct Callers {
    pub per_s: u64,
    /// Timeout of a request.
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    /// How long callers wait for the start of an answer; then they disconnect, and retry if they have not yet.
    pub patience_ms: u64,
    /// How long callers send new requests.
    pub sends_for_ms: u64,
    /// When callers send more requests than usual.
    pub burst_ms: Range<u64>,
    /// Factor on the usual requests during the burst.
    pub burst_factor: u64,
}

#[derive(Debug, Clone)]
pub struct Group {
    pub stall_ms: Range<u64>,
    /// Time that the group takes to serve one request.
    pub service_ms: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self { stall_ms: 0..0, service_ms: 1_700 }
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
    let entries = (0..ENTRIES).map(|_| EntryModel::new(group.service_ms)).collect();
    let ends_ms = callers.sends_for_ms + callers.timeout_ms;
    let mut simulation = Simulation { callers, group, entries, retries: Vec::new(), results: Results::default() };
    for now_ms in (0..ends_ms).step_by(TICK_MS as usize) {
        simulation.send_group_update(now_ms);
        simulation.send_first_attempts(now_ms);
        simulation.send_retries(now_ms);
        (0..ENTRIES).for_each(|entry| simulation.dispatch(entry, now_ms));
    }
    simulation.results
}

impl Simulation {
    /// The leader sends an update to all entries at intervals, and at once when the group resumes.
    fn send_group_update(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(UPDATE_INTERVAL_MS) && now_ms != self.group.stall_ms.end {
            return;
        }
        let group_update = self.group_update(!self.group.stall_ms.contains(&now_ms));
        self.entries.iter_mut().for_each(|entry| entry.pool.apply_group_update(&group_update, now_ms));
    }

    fn group_update(&self, is_serving: bool) -> GroupUpdate {
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
            stream_limit: None,
            loads: None,
        }
    }

    fn send_first_attempts(&mut self, now_ms: u64) {
        if now_ms >= self.callers.sends_for_ms {
            return;
        }
        let is_burst = self.callers.burst_ms.contains(&now_ms);
        let per_s = self.callers.per_s * if is_burst { self.callers.burst_factor } else { 1 };
        for _ in now_ms * per_s / 1_000..(now_ms + TICK_MS) * per_s / 1_000 {
            let caller = self.results.first_attempts.len();
            self.results.arrivals += 1;
            self.results.first_attempts.push((now_ms, false));
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
        let entry = &mut self.entries[(draw % ENTRIES as u64) as usize];
        let arrival = entry.queue.on_arrival("route", self.callers.target_latency_ms, timeout_ms, now_ms);
        let deadline_ms = now_ms + timeout_ms;
        entry.waiting.push(Attempt { caller, arrived_ms: now_ms, deadline_ms, arrival, ticket: None, is_first });
    }

    /// An entry decides on all attempts that have no endpoint yet.
    fn dispatch(&mut self, entry: usize, now_ms: u64) {
        self.entries[entry].end_runs(now_ms);
        for mut attempt in std::mem::take(&mut self.entries[entry].waiting) {
            match self.entries[entry].decide(&attempt, hash::mix(attempt.caller as u64 ^ now_ms), now_ms) {
                DispatchDecision::Wait(_) if now_ms >= attempt.arrived_ms + self.callers.patience_ms => {
                    self.disconnect(entry, &attempt, now_ms);
                }
                DispatchDecision::Wait(_) => {
                    let wait_queue = &mut self.entries[entry].queue.wait_queue;
                    attempt
                        .ticket
                        .get_or_insert_with(|| wait_queue.join(attempt.arrival.on_time_until_ms, attempt.deadline_ms));
                    self.entries[entry].waiting.push(attempt);
                    continue;
                }
                DispatchDecision::Send(pick) => {
                    let service_ms = self.service_ms(&pick.id);
                    self.entries[entry].run(pick, now_ms + service_ms);
                    self.record_sent(&attempt, now_ms);
                }
                DispatchDecision::GiveUp(facts) => self.refuse(&attempt, facts.left_ms, now_ms),
            }
            if let Some(ticket) = attempt.ticket {
                self.entries[entry].queue.wait_queue.leave(ticket);
                self.results.held.push(attempt.arrived_ms);
            }
        }
    }

    /// How long an endpoint takes for one more request. Entries know each other's requests only from the last update;
    /// if they send more than the endpoint has slots for, all requests take longer.
    fn service_ms(&self, endpoint: &str) -> u64 {
        let running: u64 = self.entries.iter().map(|entry| entry.running_at(endpoint)).sum();
        self.group.service_ms * (running + 1).max(SLOTS) / SLOTS
    }

    fn record_sent(&mut self, attempt: &Attempt, now_ms: u64) {
        let is_on_time = attempt.is_first && now_ms < attempt.arrival.on_time_until_ms;
        self.results.sent_on_time += u64::from(is_on_time);
        self.results.sent_late += u64::from(!is_on_time);
        self.results.first_attempts[attempt.caller].1 |= is_on_time;
    }

    /// A caller disconnects. It retries at once if this was its first attempt.
    fn disconnect(&mut self, entry: usize, attempt: &Attempt, now_ms: u64) {
        self.entries[entry].queue.patience.record_abandonment(now_ms - attempt.arrived_ms);
        self.results.disconnected += 1;
        if attempt.is_first {
            self.retries.push(Retry {
                at_ms: now_ms,
                caller: attempt.caller,
                timeout_ms: attempt.deadline_ms - now_ms,
            });
        }
    }

    /// A caller is refused. It retries after a delay if this was its first attempt.
    fn refuse(&mut self, attempt: &Attempt, left_ms: u64, now_ms: u64) {
        if !attempt.is_first {
            self.results.refused += 1;
            return;
        }
        let delay_ms = (left_ms as f64 * RETRY_DELAY_SHARE) as u64;
        self.retries.push(Retry { at_ms: now_ms + delay_ms, caller: attempt.caller, timeout_ms: left_ms - delay_ms });
    }
}
