//! Load and faults of one run of the model.

use ochreyard_core::direct::RetryBudgetLimits;

/// Processes that end at once and start again later.
#[derive(Debug, Clone, Copy)]
pub struct Kill {
    /// Time of the kill.
    pub at_ms: u64,
    /// Share of the boxes whose processes are killed.
    pub share: f64,
    /// Time until the next processes start.
    pub down_ms: u64,
}

/// A time in which endpoints read nothing. What was sent to them then arrives at its end.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    pub from_ms: u64,
    pub for_ms: u64,
}

/// Load and faults of one run of the model.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub limits: RetryBudgetLimits,
    pub boxes: usize,
    /// Requests per second that callers send to one box.
    pub requests_per_s: f64,
    /// Time from which requests fail.
    pub failing_from_ms: u64,
    /// Share of the requests that fail from then on, each of which is retried if the budget allows. Above 1, requests
    /// that were in flight fail as well.
    pub failing_share: f64,
    pub kills: Vec<Kill>,
    pub stalls: Vec<Stall>,
    /// Time after its start at which a process knows all boxes.
    pub boxes_known_after_ms: u64,
    pub seed: u64,
}
