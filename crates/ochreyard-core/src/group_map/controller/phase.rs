//! The phases of a map change.

/// The phase of a map change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangePhase {
    /// No change is in progress.
    Idle,
    /// The ranks are copying experts.
    Preparing {
        /// Version of the new map.
        version: u64,
    },
    /// A hold of a future step is being placed at one rank.
    Holding {
        /// Version of the new map.
        version: u64,
        /// The step to hold.
        step: u64,
        /// The rank of the hold.
        rank: usize,
    },
    /// The ranks are arming the map.
    Arming {
        /// Version of the new map.
        version: u64,
        /// The first step that uses it.
        step: u64,
    },
    /// The holds are being released, after the map was armed, or the change undone, at all ranks.
    Releasing,
    /// This controller is placing a hold of its own beside one that a former leader left.
    Backing {
        /// The held step.
        step: u64,
        /// The rank of our own hold.
        rank: usize,
    },
    /// Armed ranks are being disarmed and late arm orders voided.
    Undoing,
}
