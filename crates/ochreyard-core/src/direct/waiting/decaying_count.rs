//! An exponentially decaying count of events.

/// A count of events with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    decay_ms: f64,
    count: f64,
    updated_ms: u64,
}

impl DecayingCount {
    /// Creates a count of no events. An event weighs about a third (1/e) of its initial weight after `decay_ms`.
    #[must_use]
    pub const fn new(decay_ms: f64) -> Self {
        Self { decay_ms, count: 0.0, updated_ms: 0 }
    }

    /// Counts an event.
    pub fn record(&mut self, now_ms: u64) {
        self.count = self.at(now_ms) + 1.0;
        self.updated_ms = now_ms;
    }

    /// Returns the decayed count at `now_ms`.
    #[must_use]
    pub fn at(&self, now_ms: u64) -> f64 {
        self.count * (-(now_ms.saturating_sub(self.updated_ms) as f64) / self.decay_ms).exp()
    }

    /// Returns the length of the window that would hold as many events without decay, in milliseconds, where counting
    /// began `age_ms` ago.
    #[must_use]
    pub fn effective_window_ms(&self, age_ms: u64) -> f64 {
        self.decay_ms * (1.0 - (-(age_ms as f64) / self.decay_ms).exp())
    }
}
