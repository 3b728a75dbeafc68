//! Model of one entry: its view of the endpoints, and its waiting and running requests.

use std::net::SocketAddr;

use ochreyard_core::direct::{
    AllowedRegions, Arrival, AttemptOutcome, DispatchDecision, EndpointChange, EndpointPool, EndpointRecord,
    PendingRequest, Pick, Priority, PriorityLevel, ServiceQueue, Ticket,
};

use super::{ENDPOINTS, ENTRIES, SERVICE, SLOTS};

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub caller: usize,
    pub arrived_ms: u64,
    pub deadline_ms: u64,
    pub arrival: Arrival,
    pub ticket: Option<Ticket>,
    pub is_first: bool,
}

pub struct EntryModel {
    pub pool: EndpointPool,
    pub queue: ServiceQueue,
    pub waiting: Vec<Attempt>,
    /// End and endpoint of each running request.
    running: Vec<(u64, Pick)>,
}

impl EntryModel {
    /// Creates an entry that has served requests before, each in `service_ms`.
    pub fn new(service_ms: u64) -> Self {
        let mut pool = EndpointPool::new();
        (0..ENDPOINTS).for_each(|at| pool.apply(EndpointChange::Updated(endpoint_id(at), record(at))));
        let mut queue = ServiceQueue::default();
        queue.service_time.record(service_ms);
        Self { pool, queue, waiting: Vec::new(), running: Vec::new() }
    }

    pub fn running_at(&self, endpoint: &str) -> u64 {
        self.running.iter().filter(|(_, pick)| pick.id == endpoint).count() as u64
    }

    pub fn run(&mut self, pick: Pick, until_ms: u64) {
        self.pool.on_attempt_start(&pick);
        self.running.push((until_ms, pick));
    }

    pub fn end_runs(&mut self, now_ms: u64) {
        for (_, pick) in self.running.extract_if(.., |(until_ms, _)| *until_ms <= now_ms) {
            self.pool.on_attempt_end(&pick, AttemptOutcome::Success, now_ms);
        }
    }

    pub fn decide(&mut self, attempt: &Attempt, draw: u64, now_ms: u64) -> DispatchDecision {
        self.queue.decide(&self.pool, ENTRIES as u64, &Self::pending_request(attempt), draw, now_ms)
    }

    /// Adds an attempt to the wait queue.
    pub fn join(&mut self, attempt: &Attempt) -> Ticket {
        self.queue.wait_queue.join(&Self::pending_request(attempt))
    }

    fn pending_request(attempt: &Attempt) -> PendingRequest<'static> {
        PendingRequest {
            service: SERVICE,
            allowed_regions: &AllowedRegions::ANY,
            tried: &[],
            workspace: None,
            work_tokens: 1,
            may_have_run: false,
            priority: Priority::LOWEST,
            level: PriorityLevel::SINGLE,
            arrival: attempt.arrival,
            deadline_ms: attempt.deadline_ms,
            silent_since_ms: attempt.arrived_ms,
            target_latency_ms: 0,
            patience_ms: None,
            ticket: attempt.ticket,
        }
    }
}

pub fn endpoint_id(at: usize) -> String {
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
        started_ms: 0,
    }
}
