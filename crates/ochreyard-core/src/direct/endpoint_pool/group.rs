//! What this box knows of a group of endpoints whose ranks run every step together.

use super::NEWS_LIFE_MS;

/// How long a group is passed over after one of its ranks told that another one
/// is at fault, in milliseconds; its leader knows more by then.
const FAULT_PAUSE_MS: u64 = 600;

/// One group, as its leader and its ranks told of it.
#[derive(Debug, Clone)]
pub struct Group {
    is_serving: bool,
    step_ms: u64,
    told_ms: u64,
    fault_until_ms: u64,
}

impl Group {
    /// A group of which a leader told just now.
    pub const fn new(is_serving: bool, now_ms: u64) -> Self {
        Self { is_serving, step_ms: 0, told_ms: now_ms, fault_until_ms: 0 }
    }

    /// Takes what its leader told.
    pub const fn on_news(&mut self, is_serving: bool, step_ms: u64, now_ms: u64) {
        self.is_serving = is_serving;
        self.step_ms = step_ms;
        self.told_ms = now_ms;
    }

    /// One of its ranks told that another one is at fault.
    pub const fn on_fault(&mut self, now_ms: u64) {
        self.fault_until_ms = now_ms + FAULT_PAUSE_MS;
    }

    /// How long its steps take of late, in milliseconds, as far as known.
    pub fn step_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.step_ms).filter(|step_ms| *step_ms > 0 && !self.is_silent(now_ms))
    }

    /// Whether its leader has told nothing for too long.
    pub const fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.told_ms + NEWS_LIFE_MS
    }

    /// Whether its steps go on, as far as known.
    pub const fn is_serving(&self, now_ms: u64) -> bool {
        now_ms >= self.fault_until_ms && (self.is_serving || self.is_silent(now_ms))
    }
}
