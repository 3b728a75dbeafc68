//! The position of one box among the boxes that share a quota.

/// The position of one box among all boxes that share a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareRank {
    /// Number of boxes before this one.
    pub rank: u64,
    /// Number of boxes that share the quota, including this one.
    pub boxes: u64,
}
