//! The clock for leases and deadlines: it never goes back, and it advances while the box is suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A monotonic time source: the time that has passed since a fixed moment.
pub type TimeSource = fn() -> Duration;

/// A clock in milliseconds since the Unix epoch. It reads the wall clock once and then advances with the system's time
/// since boot, so that a correction of the wall clock does not make it jump.
///
/// [`std::time::Instant`] stops while a box is suspended. Measured with it, leases, deadlines and reports of other
/// boxes would not age during a suspension.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base_us: u64,
    started: Duration,
    source: TimeSource,
}

impl Clock {
    /// Creates a clock that starts at the present wall-clock time.
    #[must_use]
    pub fn start() -> Self {
        Self::with_source(time_since_boot)
    }

    /// Creates a clock that starts at the present wall-clock time and advances with `source`.
    #[must_use]
    pub fn with_source(source: TimeSource) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base_us: u64::try_from(since_epoch.as_micros()).unwrap_or(0), started: source(), source }
    }

    /// Returns the present time, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// Returns the present time, in microseconds since the Unix epoch: also usable as an incarnation.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        let elapsed = (self.source)().saturating_sub(self.started);
        self.base_us + u64::try_from(elapsed.as_micros()).unwrap_or(0)
    }
}

/// Returns the first full millisecond at which `duration_ms` have passed since `start_us`, in milliseconds since the same
/// moment as `start_us`. Counted from a start in full milliseconds, a deadline would pass up to one of them early.
#[must_use]
pub const fn deadline_ms(start_us: u64, duration_ms: u64) -> u64 {
    start_us.div_ceil(1_000).saturating_add(duration_ms)
}

/// Returns the time since the box booted, including the time for which it was suspended.
#[must_use]
pub fn time_since_boot() -> Duration {
    read_clock(ClockId::Boottime)
}

/// Returns the time for which the box has run since boot, without the time for which it was suspended.
#[must_use]
pub fn monotonic_time() -> Duration {
    read_clock(ClockId::Monotonic)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}
