//! Outcomes of the callers of a simulation.

use std::ops::Range;

#[derive(Debug, Clone, Default)]
pub struct Results {
    pub arrivals: u64,
    pub sent_on_time: u64,
    pub sent_late: u64,
    /// Callers that were refused for good.
    pub refused: u64,
    /// Attempts whose callers disconnected without an answer.
    pub disconnected: u64,
    /// Arrival of the first attempt of each caller, and whether it was sent on time.
    pub first_attempts: Vec<(u64, bool)>,
    /// Arrival of each attempt that waited.
    pub held: Vec<u64>,
}

impl Results {
    pub fn on_time_share(&self, arrived_ms: Range<u64>) -> f64 {
        let arrived: Vec<bool> =
            self.first_attempts.iter().filter(|(at, _)| arrived_ms.contains(at)).map(|(_, sent)| *sent).collect();
        arrived.iter().filter(|sent| **sent).count() as f64 / arrived.len() as f64
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
