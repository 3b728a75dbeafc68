//! State of the evacuation of a data centre.

/// State of the evacuation of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationState {
    /// The log holds the evacuation.
    InForce,
    /// The evacuation was in force, and is absent from the log since a restore from an older copy.
    Missing {
        /// Since when this box knows of the restore, in milliseconds.
        since_ms: u64,
    },
    /// The operator has withdrawn the evacuation.
    Withdrawn,
}

impl EvacuationState {
    /// Returns whether the data centre gets no requests.
    pub const fn is_in_force(self) -> bool {
        !matches!(self, Self::Withdrawn)
    }

    /// Returns whether the evacuation has been absent from the log for at least `grace_ms`.
    pub const fn is_overdue(self, grace_ms: u64, now_ms: u64) -> bool {
        matches!(self, Self::Missing { since_ms } if now_ms >= since_ms + grace_ms)
    }
}
