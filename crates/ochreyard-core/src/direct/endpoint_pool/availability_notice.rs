//! What one life of an endpoint has asked for in its answers.

/// How long it is kept for a life whose record is gone, in milliseconds: longer than any outage of the log that was
/// planned for, and short enough that lives that are over do not add up.
const PARTED_LIFE_MS: u64 = 600_000;

/// What one life of an endpoint has asked for in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AvailabilityNotice {
    /// Until when it wants no request from this box.
    backoff_until_ms: u64,
    /// When it last asked for that.
    asked_ms: Option<u64>,
    /// Whether it leaves, by its own word: nothing takes that back.
    is_leaving: bool,
    /// When it last asked for anything.
    told_ms: u64,
}

impl AvailabilityNotice {
    /// It wants no request for so long. A shorter time than was asked for before takes nothing back: each answer
    /// stands for itself, and a later one may have been made before an earlier one.
    pub fn on_backoff(&mut self, backoff_ms: u64, now_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + backoff_ms);
        self.asked_ms = Some(now_ms);
        self.told_ms = now_ms;
    }

    /// It leaves.
    pub const fn on_leaving(&mut self, now_ms: u64) {
        self.is_leaving = true;
        self.told_ms = now_ms;
    }

    /// Whether it leaves, by its own word.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether it has ever asked for a pause.
    #[must_use]
    pub const fn has_requested_backoff(&self) -> bool {
        self.asked_ms.is_some()
    }

    /// Until when it wants no request; `None` if it wants some.
    #[must_use]
    pub fn backoff_until_ms(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.backoff_until_ms).then_some(self.backoff_until_ms)
    }

    /// Whether it may still matter for a life whose record is gone: a record that lapsed comes back within seconds of
    /// the log's return.
    #[must_use]
    pub const fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.told_ms + PARTED_LIFE_MS || now_ms < self.backoff_until_ms
    }

    /// How long ago it last asked for a pause, in milliseconds.
    #[must_use]
    pub fn backoff_request_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.asked_ms.map(|asked_ms| now_ms.saturating_sub(asked_ms))
    }
}
