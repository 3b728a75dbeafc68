//! Measures how late the runtime of a process runs its tasks, and why.

use std::fs::File;
use std::os::unix::fs::FileExt;

use crate::clock::time_since_boot;

/// Per-thread times of the scheduler: nanoseconds on a processor, nanoseconds runnable without one, and time slices.
const SCHEDULER_TIMES_PATH: &str = "/proc/thread-self/schedstat";
/// Room for the three numbers of [`SCHEDULER_TIMES_PATH`].
const MAX_SCHEDULER_TIMES_BYTES: usize = 96;
/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// Times of one thread, each since a fixed moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ThreadTimes {
    /// The time since boot, in milliseconds.
    pub now_ms: u64,
    /// The time for which the thread ran on a processor, in milliseconds.
    pub on_processor_ms: u64,
    /// The time for which it could have run, but had no processor, in milliseconds.
    pub runnable_ms: u64,
}

/// A wake-up that came late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuntimeLag {
    /// How late the wake-up came, in milliseconds.
    pub late_ms: u64,
    /// For how long the thread ran meanwhile, in milliseconds: most of `late_ms` if one of its own tasks kept it busy.
    pub on_processor_ms: u64,
    /// For how long it waited for a processor, in milliseconds: most of `late_ms` if the machine is overloaded. If both
    /// are short, the process was stopped, the machine was suspended, or the thread was blocked.
    pub runnable_ms: u64,
}

/// Compares the time between wake-ups of one task with the interval that it asked for.
#[derive(Debug)]
pub struct RuntimeLagDetector {
    interval_ms: u64,
    min_lag_ms: u64,
    last: ThreadTimes,
    scheduler_times: Option<File>,
}

impl RuntimeLagDetector {
    /// Creates a detector for the current thread, whose task asks to be woken `interval_ms` after each poll. Delays
    /// below `min_lag_ms` are ignored.
    #[must_use]
    pub fn start(interval_ms: u64, min_lag_ms: u64) -> Self {
        let scheduler_times = File::open(SCHEDULER_TIMES_PATH).ok();
        let last = read_thread_times(scheduler_times.as_ref());
        Self { interval_ms, min_lag_ms, last, scheduler_times }
    }

    /// Creates a detector that starts at the given times.
    #[must_use]
    pub const fn starting_at(interval_ms: u64, min_lag_ms: u64, last: ThreadTimes) -> Self {
        Self { interval_ms, min_lag_ms, last, scheduler_times: None }
    }

    /// Returns how late this wake-up is, if it is late.
    pub fn poll(&mut self) -> Option<RuntimeLag> {
        self.observe(read_thread_times(self.scheduler_times.as_ref()))
    }

    /// Does what [`poll`](Self::poll) does, with the given times.
    pub fn observe(&mut self, times: ThreadTimes) -> Option<RuntimeLag> {
        let before = std::mem::replace(&mut self.last, times);
        let late_ms = times.now_ms.saturating_sub(before.now_ms).saturating_sub(self.interval_ms);
        (late_ms >= self.min_lag_ms).then(|| RuntimeLag {
            late_ms,
            on_processor_ms: times.on_processor_ms.saturating_sub(before.on_processor_ms),
            runnable_ms: times.runnable_ms.saturating_sub(before.runnable_ms),
        })
    }
}

/// Reads the times of the current thread. Without the file of the scheduler, only `now_ms` is known.
fn read_thread_times(scheduler_times: Option<&File>) -> ThreadTimes {
    let mut buffer = [0; MAX_SCHEDULER_TIMES_BYTES];
    let length = scheduler_times.and_then(|file| file.read_at(&mut buffer, 0).ok()).unwrap_or(0);
    let text = std::str::from_utf8(&buffer[..length]).unwrap_or_default();
    let mut times_ms = text.split_whitespace().map(|time_ns| time_ns.parse().unwrap_or(0) / NS_PER_MS);
    ThreadTimes {
        now_ms: u64::try_from(time_since_boot().as_millis()).unwrap_or(u64::MAX),
        on_processor_ms: times_ms.next().unwrap_or(0),
        runnable_ms: times_ms.next().unwrap_or(0),
    }
}
