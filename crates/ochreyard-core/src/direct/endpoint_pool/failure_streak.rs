//! Failures of an endpoint without a success in between.

/// Failures in a row after which an endpoint gets no requests for a while.
const MAX_FAILURES: u32 = 5;

/// Counts the failures of an endpoint since its last success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FailureStreak {
    failures: u32,
    last_failure_ms: u64,
}

impl FailureStreak {
    /// Counts an attempt that the endpoint answered with a failure.
    pub const fn on_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        self.last_failure_ms = now_ms;
    }

    /// Counts an attempt that was sent at `sent_ms` and broke off. Attempts that were in flight together may break off
    /// for one cause that is over, such as a reset of all connections, and count as one.
    pub const fn on_broken_off(&mut self, sent_ms: u64, now_ms: u64) {
        if self.failures == 0 || sent_ms >= self.last_failure_ms {
            self.on_failure(now_ms);
        }
    }

    /// Returns whether the endpoint has failed too often in a row.
    pub const fn is_too_long(&self) -> bool {
        self.failures >= MAX_FAILURES
    }
}
