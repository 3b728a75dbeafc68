//! Notices that the machine was suspended.

use std::time::Duration;

use crate::clock::{running, since_boot};

/// Suspensions shorter than this are no news: nothing that is believed here is that short-lived.
const LEAST: Duration = Duration::from_millis(300);

/// Compares the time for which the machine has run with the time that has passed.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionWatch {
    /// For how long it had been suspended at the last look.
    suspended: Duration,
}

impl SuspensionWatch {
    /// A watch that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self::at(running(), since_boot())
    }

    /// A watch that starts at the given times.
    #[must_use]
    pub const fn at(running: Duration, since_boot: Duration) -> Self {
        Self { suspended: since_boot.saturating_sub(running) }
    }

    /// For how long the machine was suspended since the last look, if it was.
    pub fn look(&mut self) -> Option<Duration> {
        self.note(running(), since_boot())
    }

    /// The same, with the given times.
    pub fn note(&mut self, running: Duration, since_boot: Duration) -> Option<Duration> {
        let suspended = since_boot.saturating_sub(running);
        let more = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        (more >= LEAST).then_some(more)
    }
}
