//! How many requests an endpoint gets at first, once a pause that it asked for is over.
//!
//! All boxes that an endpoint refused within a second of each other come back within a second, and none of them knows
//! whether it takes work again. So each box sends one request first, and twice as many at a time after each that the
//! endpoint has taken: one that still refuses gets one request from each box and pause, not as many as it has places.

/// How many requests of this box an endpoint may have that it has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SlowStart {
    /// As many as it has room for.
    #[default]
    Open,
    /// No more than this, since a pause that it asked for is over.
    Limited {
        /// Requests at a time.
        allowed: u64,
    },
}

impl SlowStart {
    /// What a pause leaves behind: one request tells whether the endpoint takes work again.
    pub const AFTER_PAUSE: Self = Self::Limited { allowed: 1 };

    /// Whether one more request may go, with so many unanswered.
    #[must_use]
    pub const fn admits(self, unanswered: u64) -> bool {
        match self {
            Self::Open => true,
            Self::Limited { allowed } => unanswered < allowed,
        }
    }

    /// The endpoint has taken a request. From `enough` at a time on it counts as any other.
    #[must_use]
    pub const fn after_accepted(self, enough: u64) -> Self {
        match self {
            Self::Limited { allowed } if allowed * 2 < enough => Self::Limited { allowed: allowed * 2 },
            _ => Self::Open,
        }
    }
}
