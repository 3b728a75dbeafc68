//! Detects that the box was suspended.

use std::time::Duration;

use crate::clock::{monotonic_time, time_since_boot};

/// Shorter suspensions are ignored: no state that a box holds about others expires that soon.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Detects suspensions of the box by comparing the time for which it has run with the time since boot.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionDetector {
    /// Total suspended time since boot, at the last poll.
    total_suspended: Duration,
}

impl SuspensionDetector {
    /// Creates a detector that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self::starting_at(monotonic_time(), time_since_boot())
    }

    /// Creates a detector that starts at the given times.
    #[must_use]
    pub const fn starting_at(monotonic_time: Duration, time_since_boot: Duration) -> Self {
        Self { total_suspended: time_since_boot.saturating_sub(monotonic_time) }
    }

    /// Returns for how long the box was suspended since the last poll, if it was.
    pub fn poll(&mut self) -> Option<Duration> {
        self.observe(monotonic_time(), time_since_boot())
    }

    /// Does what [`poll`](Self::poll) does, with the given times.
    pub fn observe(&mut self, monotonic_time: Duration, time_since_boot: Duration) -> Option<Duration> {
        let total_suspended = time_since_boot.saturating_sub(monotonic_time);
        let newly_suspended = total_suspended.saturating_sub(self.total_suspended);
        self.total_suspended = total_suspended;
        (newly_suspended >= MIN_SUSPENSION).then_some(newly_suspended)
    }
}
