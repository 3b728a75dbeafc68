//! Slow start of requests to an endpoint after a backoff that it asked for.
//!
//! All boxes that an endpoint rejected within one second resume within one second, and none of them knows whether it
//! accepts requests again. Each box therefore sends one request first, and doubles the number of concurrent requests
//! after each accepted one. An endpoint that is still overloaded gets one request per box and backoff, not one per
//! slot.

/// The limit on requests of this box that an endpoint has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SlowStart {
    /// Slow start does not apply.
    #[default]
    Inactive,
    /// The limit after a backoff.
    Limited {
        /// Allowed number of unanswered requests.
        allowed: u64,
    },
}

impl SlowStart {
    /// The state after a backoff: a single request probes whether the endpoint accepts requests again.
    pub const AFTER_BACKOFF: Self = Self::Limited { allowed: 1 };

    /// Returns whether one more request may be sent beside `unanswered` ones.
    #[must_use]
    pub const fn admits(self, unanswered: u64) -> bool {
        match self {
            Self::Inactive => true,
            Self::Limited { allowed } => unanswered < allowed,
        }
    }

    /// Returns the state after the endpoint accepted a request. Slow start ends when the limit reaches `slots`.
    #[must_use]
    pub const fn after_accepted(self, slots: u64) -> Self {
        match self {
            Self::Limited { allowed } if allowed * 2 < slots => Self::Limited { allowed: allowed * 2 },
            _ => Self::Inactive,
        }
    }
}
