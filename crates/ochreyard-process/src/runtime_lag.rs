//! Measures how late the runtime of a process runs its tasks, and why.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::Duration;

use crate::clock::time_since_boot;

/// Per-thread times of the scheduler: nanoseconds on a processor, nanoseconds runnable without one, and time slices.
const SCHEDULER_TIMES_PATH: &str = "/proc/thread-self/schedstat";
/// Room for the three numbers of [`SCHEDULER_TIMES_PATH`].
const MAX_SCHEDULER_TIMES_BYTES: usize = 96;

/// Times of one thread, each since a fixed moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ThreadTimes {
    /// The time since boot.
    pub now: Duration,
    /// The time for which the thread ran on a processor.
    pub on_processor: Duration,
    /// The time for which it could have run, but had no processor.
    pub runnable: Duration,
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
    interval: Duration,
    min_lag: Duration,
    last: ThreadTimes,
    scheduler_times: Option<File>,
}

impl RuntimeLagDetector {
    /// Creates a detector for the current thread, whose task asks to be woken `interval` after each poll. Delays below
    /// `min_lag` are ignored.
    #[must_use]
    pub fn start(interval: Duration, min_lag: Duration) -> Self {
        let scheduler_times = File::open(SCHEDULER_TIMES_PATH).ok();
        let last = read_thread_times(scheduler_times.as_ref());
        Self { interval, min_lag, last, scheduler_times }
    }

    /// Creates a detector that starts at the given times.
    #[must_use]
    pub const fn starting_at(interval: Duration, min_lag: Duration, last: ThreadTimes) -> Self {
        Self { interval, min_lag, last, scheduler_times: None }
    }

    /// Returns how late this wake-up is, if it is late.
    pub fn poll(&mut self) -> Option<RuntimeLag> {
        self.observe(read_thread_times(self.scheduler_times.as_ref()))
    }

    /// Does what [`poll`](Self::poll) does, with the given times.
    pub fn observe(&mut self, times: ThreadTimes) -> Option<RuntimeLag> {
        let before = std::mem::replace(&mut self.last, times);
        let late = times.now.saturating_sub(before.now).saturating_sub(self.interval);
        (late >= self.min_lag).then(|| RuntimeLag {
            late_ms: whole_ms(late),
            on_processor_ms: whole_ms(times.on_processor.saturating_sub(before.on_processor)),
            runnable_ms: whole_ms(times.runnable.saturating_sub(before.runnable)),
        })
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the times of the current thread. Without the file of the scheduler, only `now` is known.
fn read_thread_times(scheduler_times: Option<&File>) -> ThreadTimes {
    let mut buffer = [0; MAX_SCHEDULER_TIMES_BYTES];
    let length = scheduler_times.and_then(|file| file.read_at(&mut buffer, 0).ok()).unwrap_or(0);
    let text = std::str::from_utf8(&buffer[..length]).unwrap_or_default();
    let mut times = text.split_whitespace().map(|ns| Duration::from_nanos(ns.parse().unwrap_or(0)));
    ThreadTimes {
        now: time_since_boot(),
        on_processor: times.next().unwrap_or_default(),
        runnable: times.next().unwrap_or_default(),
    }
}
