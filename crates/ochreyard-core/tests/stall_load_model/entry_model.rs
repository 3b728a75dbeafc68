//! Model of one entry: its view of the endpoints, and its waiting and running requests.

use std::net::SocketAddr;

use ochreyard_core::direct::{
    Arrival, AttemptOutcome, DispatchDecision, EndpointChange, EndpointPool, EndpointRecord, GroupUpdate,
    PendingRequest, PermittedRegions, Pick, Priority, PriorityLevel, ServiceQueue, StallHandling, Ticket, WaitFacts,
};

use super::{Callers, Group, SERVICE};

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub caller: usize,
    pub arrived_ms: u64,
    pub deadline_ms: u64,
    pub arrival: Arrival,
    pub ticket: Option<Ticket>,
    pub is_first: bool,
    /// How the attempt was handled, if it met a stall.
    pub handling: Option<StallHandling>,
}

/// One request that runs or is queued at an endpoint.
pub struct Run {
    pub starts_ms: u64,
    pub ends_ms: u64,
    pub pick: Pick,
    /// Whether the whole answer comes in time.
    pub is_served: bool,
    pub handling: Option<StallHandling>,
}

pub struct EntryModel {
    pub pool: EndpointPool,
    pub queue: ServiceQueue,
    pub waiting: Vec<Attempt>,
    pub runs: Vec<Run>,
}

impl EntryModel {
    /// Creates an entry that has served requests before.
    pub fn new(group: &Group) -> Self {
        let mut entry = Self::restarted(group);
        entry.queue.service_time.record(group.service_ms + group.per_running_ms * group.slots / 2);
        entry
    }

    /// Creates an entry that has served no request.
    pub fn restarted(group: &Group) -> Self {
        let mut pool = EndpointPool::new();
        let update = |at| EndpointChange::Updated(endpoint_id(at), record(at, group.slots));
        (0..group.endpoints).for_each(|at| pool.apply(update(at)));
        Self { pool, queue: ServiceQueue::default(), waiting: Vec::new(), runs: Vec::new() }
    }

    pub fn running_at(&self, endpoint: &str, now_ms: u64) -> u64 {
        let runs = self.runs.iter().filter(|run| run.ends_ms > now_ms);
        runs.filter(|run| run.pick.id == endpoint).count() as u64
    }

    pub fn run(&mut self, run: Run) {
        self.pool.on_attempt_start(&run.pick);
        self.runs.push(run);
    }

    pub fn end_runs(&mut self, now_ms: u64) {
        let ended: Vec<Run> = self.runs.extract_if(.., |run| run.ends_ms <= now_ms).collect();
        for run in ended {
            let outcome = if run.is_served { AttemptOutcome::Success } else { AttemptOutcome::Unknown };
            self.pool.on_attempt_end(&run.pick, outcome, now_ms);
            self.record_outcome(run.handling, run.is_served, now_ms);
            if run.is_served {
                self.queue.service_time.record(run.ends_ms - run.starts_ms);
            }
        }
    }

    /// Records how an attempt ended that met a stall.
    pub fn record_outcome(&mut self, handling: Option<StallHandling>, is_served: bool, now_ms: u64) {
        if let Some(handling) = handling {
            self.queue.stall_outcomes.record(handling, is_served, now_ms);
        }
    }

    /// Loses all running requests, as when a data centre is cut off.
    pub fn lose_runs(&mut self, now_ms: u64) {
        for run in std::mem::take(&mut self.runs) {
            self.pool.on_attempt_end(&run.pick, AttemptOutcome::Unknown, now_ms);
            self.record_outcome(run.handling, false, now_ms);
        }
    }

    pub fn apply(&mut self, update: &GroupUpdate, now_ms: u64) {
        self.pool.apply_group_update(update, now_ms);
    }

    fn request(callers: &Callers, attempt: &Attempt) -> PendingRequest<'static> {
        PendingRequest {
            service: SERVICE,
            permitted_regions: &PermittedRegions::ANY,
            tried: &[],
            workspace: None,
            work_tokens: 1,
            may_have_run: false,
            priority: Priority::LOWEST,
            level: PriorityLevel::SINGLE,
            arrival: attempt.arrival,
            deadline_ms: attempt.deadline_ms,
            silent_since_ms: attempt.arrived_ms,
            target_latency_ms: callers.target_latency_ms,
            patience_ms: callers.configured_patience_ms,
            ticket: attempt.ticket,
        }
    }

    pub fn decide(
        &mut self,
        callers: &Callers,
        boxes: u64,
        attempt: &Attempt,
        draw: u64,
        now_ms: u64,
    ) -> DispatchDecision {
        self.queue.decide(&self.pool, boxes, &Self::request(callers, attempt), draw, now_ms)
    }

    /// Lets an attempt wait.
    pub fn hold(&mut self, callers: &Callers, attempt: &mut Attempt, now_ms: u64) {
        if attempt.ticket.is_none() {
            attempt.ticket = Some(self.queue.wait_queue.join(&Self::request(callers, attempt)));
            if self.pool.is_down(SERVICE, now_ms) {
                attempt.handling = Some(StallHandling::Held);
            }
        }
    }

    /// Returns when the caller is told to retry, in milliseconds from now, as `ochreyard-direct` does it.
    pub fn retry_after_ms(&self, facts: &WaitFacts, draw: u64, now_ms: u64) -> u64 {
        let least = if self.pool.is_down(SERVICE, now_ms) { 3.4 } else { 5.0 };
        let (least_ms, most_ms) = ((facts.left_ms as f64 / least) as u64, facts.left_ms / 3);
        least_ms + draw % (most_ms - least_ms).max(1)
    }
}

pub fn endpoint_id(at: usize) -> String {
    format!("e{at}")
}

fn record(at: usize, slots: u64) -> EndpointRecord {
    EndpointRecord {
        service: SERVICE.to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + at as u16)),
        data_centre: "a".to_owned(),
        slots,
        is_leaving: false,
        cold_ms: 0,
        started_ms: 0,
    }
}
