//! A count of events in which older ones weigh less.

/// A count of events that loses most of its weight in a given time.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    fade_ms: f64,
    count: f64,
    noted_ms: u64,
}

impl DecayingCount {
    /// No events. After `fade_ms`, one weighs a third of what it did.
    #[must_use]
    pub const fn new(fade_ms: f64) -> Self {
        Self { fade_ms, count: 0.0, noted_ms: 0 }
    }

    /// Counts an event.
    pub fn record(&mut self, now_ms: u64) {
        self.count = self.at(now_ms) + 1.0;
        self.noted_ms = now_ms;
    }

    /// The count now.
    #[must_use]
    pub fn at(&self, now_ms: u64) -> f64 {
        self.count * (-(now_ms.saturating_sub(self.noted_ms) as f64) / self.fade_ms).exp()
    }

    /// The time whose events it holds, as if none of them had faded, where counting began `age_ms` ago.
    #[must_use]
    pub fn counted_ms(&self, age_ms: u64) -> f64 {
        self.fade_ms * (1.0 - (-(age_ms as f64) / self.fade_ms).exp())
    }
}
