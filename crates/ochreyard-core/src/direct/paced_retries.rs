//! Retries that become available at a steady rate, with the requests and with time.

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

    /// Returns how many retries are available at `now_ms`, if `per_ms` became available since the last change.
    pub const fn available(&self, per_ms: f64, now_ms: u64) -> f64 {
        self.available + per_ms * now_ms.saturating_sub(self.updated_ms) as f64
    }

    /// Adds what became available with time since the last change.
    pub const fn advance(&mut self, per_ms: f64, now_ms: u64) {
        self.available = self.available(per_ms, now_ms);
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
