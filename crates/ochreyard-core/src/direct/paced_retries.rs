//! Retries that become available at a steady rate, with the requests and with time.

/// The rate at which retries become available with time.
#[derive(Debug, Clone, Copy)]
pub struct PaceRate {
    /// Retries per millisecond, until the process has settled.
    pub unsettled_per_ms: f64,
    /// Retries per millisecond from then on.
    pub settled_per_ms: f64,
    /// When the process has settled: retries of the process before it no longer arrive.
    pub settled_from_ms: u64,
}

impl PaceRate {
    /// Returns what becomes available between two times.
    const fn between(&self, from_ms: u64, until_ms: u64) -> f64 {
        let in_all_ms = until_ms.saturating_sub(from_ms);
        let settled_from_ms = if self.settled_from_ms > from_ms { self.settled_from_ms } else { from_ms };
        let settled_ms = until_ms.saturating_sub(settled_from_ms);
        self.unsettled_per_ms * (in_all_ms - settled_ms) as f64 + self.settled_per_ms * settled_ms as f64
    }
}

/// Retries that become available with each request and with time, and are saved up to a maximum.
///
/// A process starts with none. Processes of one box that follow each other therefore get no more than a single one would,
/// beside what the first of them has saved.
#[derive(Debug, Clone, Copy)]
pub struct PacedRetries {
    available: f64,
    updated_ms: u64,
}

impl PacedRetries {
    /// Creates the retries of a process that started at `started_ms`.
    pub const fn new(started_ms: u64) -> Self {
        Self { available: 0.0, updated_ms: started_ms }
    }

    /// Returns how many retries are available at `now_ms`, if they became available at `rate` since the last change.
    pub const fn available(&self, rate: &PaceRate, now_ms: u64) -> f64 {
        self.available + rate.between(self.updated_ms, now_ms)
    }

    /// Adds what became available with time since the last change.
    pub const fn advance(&mut self, rate: &PaceRate, now_ms: u64) {
        self.available = self.available(rate, now_ms);
        self.updated_ms = now_ms;
    }

    /// Adds what a request makes available.
    pub const fn add(&mut self, retries: f64) {
        self.available += retries;
    }

    /// Takes one of at most `max_saved` retries.
    pub const fn take(&mut self, max_saved: f64) {
        self.available = self.available.min(max_saved) - 1.0;
    }
}
