//! How long a process goes on reading after a deadline that it may have noticed late.

/// Time after a deadline in which a process still reads, in milliseconds. Below the shortest gap between events, so that
/// no later event is awaited.
const READ_TIME_MS: u64 = 50;
/// Longest time between two reads that counts, in milliseconds. A longer one passed while the process did not run, or its
/// reader took nothing.
const MAX_COUNTED_GAP_MS: u64 = 10;

/// The reads after a deadline, from the moment at which it was noticed. Time in which the process does not run is not
/// counted: what has arrived before is still unread after it.
#[derive(Debug, Clone, Copy)]
pub struct LateReads {
    last_read_ms: u64,
    counted_ms: u64,
}

impl LateReads {
    /// Creates the state when the deadline is noticed.
    #[must_use]
    pub const fn start(now_ms: u64) -> Self {
        Self { last_read_ms: now_ms, counted_ms: 0 }
    }

    /// Returns whether another read may begin now, and counts the time since the last one.
    pub fn may_read(&mut self, now_ms: u64) -> bool {
        self.counted_ms += now_ms.saturating_sub(self.last_read_ms).min(MAX_COUNTED_GAP_MS);
        self.last_read_ms = now_ms;
        self.counted_ms < READ_TIME_MS
    }
}
