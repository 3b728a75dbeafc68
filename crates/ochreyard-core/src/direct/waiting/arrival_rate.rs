//! The rate at which first attempts of callers arrive at this box for one service.

use super::decaying_count::DecayingCount;

/// Decay time of an arrival in the rate, in milliseconds: about the time that serving a request takes, over which the
/// rate is used. Arrivals may triple within 6 s.
const DECAY_MS: f64 = 2_000.0;
/// How long arrivals must have been counted before their rate is used, in milliseconds.
const MIN_AGE_MS: u64 = 1_000;

/// The rate at which first attempts of callers arrive, weighted towards recent ones.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalRate {
    arrivals: DecayingCount,
    since_ms: Option<u64>,
}

impl Default for ArrivalRate {
    fn default() -> Self {
        Self { arrivals: DecayingCount::new(DECAY_MS), since_ms: None }
    }
}

impl ArrivalRate {
    /// Counts an arrival.
    pub fn record(&mut self, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.arrivals.record(now_ms);
    }

    /// Returns the arrivals per millisecond; `None` until they have been counted for long enough.
    #[must_use]
    pub fn per_ms(&self, now_ms: u64) -> Option<f64> {
        let age_ms = now_ms.saturating_sub(self.since_ms?);
        (age_ms >= MIN_AGE_MS).then(|| self.arrivals.at(now_ms) / self.arrivals.effective_window_ms(age_ms))
    }
}
