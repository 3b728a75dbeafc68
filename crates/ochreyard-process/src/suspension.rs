//! Notices that the machine was suspended.

use std::time::Duration;

use crate::clock::{monotonic_time, time_since_boot};

/// Suspensions shorter than this are no news: nothing that is believed here is that short-lived.
const LEAST: Duration = Duration::from_millis(300);

/// Compares the time for which the machine has run with the time that has passed.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionDetector {
    /// For how long it had been suspended at the last look.
    suspended: Duration,
}

impl SuspensionDetector {
    /// A watch that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self::starting_at(monotonic_time(), time_since_boot())
    }

    /// A watch that starts at the given times.
    #[must_use]
    pub const fn starting_at(monotonic_time: Duration, time_since_boot: Duration) -> Self {
        Self { suspended: time_since_boot.saturating_sub(monotonic_time) }
    }

    /// For how long the machine was suspended since the last look, if it was.
    pub fn poll(&mut self) -> Option<Duration> {
        self.observe(monotonic_time(), time_since_boot())
    }

    /// The same, with the given times.
    pub fn observe(&mut self, monotonic_time: Duration, time_since_boot: Duration) -> Option<Duration> {
        let suspended = time_since_boot.saturating_sub(monotonic_time);
        let more = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        (more >= LEAST).then_some(more)
    }
}
