//! How late the runtime of this process was a short time ago.

use std::cell::Cell;

/// How long a delay counts as recent, in milliseconds: what it held up is noticed within a few turns of the runtime, and
/// requests that waited meanwhile may end a second later.
const RECENT_MS: u64 = 1_000;

/// The latest delay of the runtime: what is noticed now may have happened that much earlier.
#[derive(Debug, Default)]
pub struct RecentLag {
    /// When the task that measures delays asked to be woken.
    wake_up_ms: Cell<Option<u64>>,
    late_ms: Cell<u64>,
    noticed_ms: Cell<u64>,
}

impl RecentLag {
    /// Records when the task that measures delays is to be woken next.
    pub fn expect_wake_up(&self, wake_up_ms: u64) {
        self.wake_up_ms.set(Some(wake_up_ms));
    }

    /// Records a delay.
    pub fn record(&self, late_ms: u64, now_ms: u64) {
        self.late_ms.set(late_ms);
        self.noticed_ms.set(now_ms);
    }

    /// Returns how late the runtime is, or was within the last second, in milliseconds. Includes a delay that the
    /// measuring task has not noticed yet, since other tasks may run before it.
    pub fn late_ms(&self, now_ms: u64) -> u64 {
        let current_ms = self.wake_up_ms.get().map_or(0, |wake_up_ms| now_ms.saturating_sub(wake_up_ms));
        let is_recent = now_ms < self.noticed_ms.get() + RECENT_MS;
        current_ms.max(if is_recent { self.late_ms.get() } else { 0 })
    }
}
