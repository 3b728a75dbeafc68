//! The phases of a change.

/// Where a change stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangePhase {
    /// No change.
    Idle,
    /// The ranks copy experts.
    Preparing {
        /// The map.
        version: u64,
    },
    /// A step ahead is being held at one rank.
    Holding {
        /// The map.
        version: u64,
        /// The step.
        step: u64,
        /// The rank.
        rank: usize,
    },
    /// The ranks arm the map.
    Arming {
        /// The map.
        version: u64,
        /// The first step that uses it.
        step: u64,
    },
    /// All ranks are armed, or all are undone: holds are released.
    Releasing,
    /// A former leader's hold is backed by one of our own.
    Backing {
        /// The held step.
        step: u64,
        /// The rank of our own hold.
        rank: usize,
    },
    /// Armed ranks are disarmed, and late arms are made void.
    Undoing,
}
