//! How far the evacuation of a data centre has come.

/// How far the evacuation of a data centre has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationState {
    /// The log has confirmed it.
    InForce,
    /// It was confirmed, and the log lacks it since it came back from an older copy.
    Missing {
        /// Since when that is known.
        since_ms: u64,
    },
    /// The operator has taken it back.
    TakenBack,
}

impl EvacuationState {
    /// Whether the data centre gets no request.
    pub const fn is_in_force(self) -> bool {
        !matches!(self, Self::TakenBack)
    }

    /// Whether the log has lacked it for longer than `grace_ms`.
    pub const fn is_overdue(self, grace_ms: u64, now_ms: u64) -> bool {
        matches!(self, Self::Missing { since_ms } if now_ms >= since_ms + grace_ms)
    }
}
