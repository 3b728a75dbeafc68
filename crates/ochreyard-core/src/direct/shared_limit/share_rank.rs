//! The place of one box among those that share something.

/// The place of one box among all that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareRank {
    /// How many boxes come before it.
    pub rank: u64,
    /// How many share it, this one included.
    pub boxes: u64,
}
