//! Time for the decisions: never jumps, starts from the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock in milliseconds since 1970 that runs with the monotonic clock, so
/// that a correction of the wall clock does not make it jump.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base_ms: u64,
    started: Instant,
}

impl Clock {
    /// Starts from the present wall clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(0), started: Instant::now() }
    }

    /// The present time, in milliseconds since 1970.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.base_ms + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    /// The present time, in microseconds since 1970: a number for a new life.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.base_ms * 1000 + u64::try_from(self.started.elapsed().as_micros()).unwrap_or(0)
    }
}
