//! Time for the decisions: never jumps back, and goes on while the machine is suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time that runs evenly from some moment on.
pub type TimeSource = fn() -> Duration;

/// A clock in milliseconds since 1970. It runs with the system's time since boot, so a correction of the
/// wall clock does not make it jump.
///
/// The steady clock of the standard library stands still while a machine is suspended. By it, leases, deadlines
/// and what others told would be as young after seconds of that as before.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base_us: u64,
    started: Duration,
    source: TimeSource,
}

impl Clock {
    /// Starts from the present wall clock.
    #[must_use]
    pub fn start() -> Self {
        Self::with_source(time_since_boot)
    }

    /// Starts from the present wall clock, and runs with another source.
    #[must_use]
    pub fn with_source(source: TimeSource) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base_us: u64::try_from(since_epoch.as_micros()).unwrap_or(0), started: source(), source }
    }

    /// The present time, in milliseconds since 1970.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// The present time, in microseconds since 1970: a number for a new life.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        let elapsed = (self.source)().saturating_sub(self.started);
        self.base_us + u64::try_from(elapsed.as_micros()).unwrap_or(0)
    }
}

/// Time since the machine was started, with the time for which it was suspended.
#[must_use]
pub fn time_since_boot() -> Duration {
    of(ClockId::Boottime)
}

/// Time for which the machine has run.
#[must_use]
pub fn monotonic_time() -> Duration {
    of(ClockId::Monotonic)
}

fn of(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}
