//! Outcomes of the callers of a simulation.

use std::ops::Range;

/// What became of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing is known yet.
    Open,
    /// Served within the latency target.
    OnTime,
    /// Served after the latency target.
    Late,
    /// Refused at both attempts.
    Refused,
    /// Disconnected, or its time ended, at the last attempt.
    Unanswered,
}

/// One caller.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// Arrival of the first attempt.
    pub arrived_ms: u64,
    pub outcome: Outcome,
    /// Whether the last attempt was held and then not served.
    pub is_held_in_vain: bool,
}

#[derive(Debug, Clone, Default)]
pub struct Results {
    pub arrivals: u64,
    pub sent_on_time: u64,
    pub sent_late: u64,
    /// Callers that were refused for good.
    pub refused: u64,
    /// Attempts whose callers disconnected without an answer.
    pub disconnected: u64,
    pub callers: Vec<Caller>,
    /// Arrival of each attempt that waited.
    pub held: Vec<u64>,
}

impl Results {
    fn arrived(&self, arrived_ms: Range<u64>) -> impl Iterator<Item = &Caller> {
        self.callers.iter().filter(move |caller| arrived_ms.contains(&caller.arrived_ms))
    }

    /// Number of callers that arrived in the interval and had this outcome.
    pub fn count(&self, outcome: Outcome, arrived_ms: Range<u64>) -> usize {
        self.arrived(arrived_ms).filter(|caller| caller.outcome == outcome).count()
    }

    pub fn on_time_share(&self, arrived_ms: Range<u64>) -> f64 {
        let arrivals = self.arrived(arrived_ms.clone()).count();
        self.count(Outcome::OnTime, arrived_ms) as f64 / arrivals as f64
    }

    /// Number of callers that arrived in the interval and whose last attempt was held and then not served.
    pub fn held_in_vain(&self, arrived_ms: Range<u64>) -> usize {
        self.arrived(arrived_ms).filter(|caller| caller.is_held_in_vain).count()
    }

    pub fn held_after(&self, from_ms: u64) -> usize {
        self.held.iter().filter(|at| **at >= from_ms).count()
    }
}

impl std::fmt::Display for Results {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { arrivals, sent_on_time, sent_late, refused, disconnected, .. } = self;
        write!(
            f,
            "arrivals {arrivals}, on time {sent_on_time}, late {sent_late}, refused twice {refused}, disconnected {disconnected}"
        )
    }
}
