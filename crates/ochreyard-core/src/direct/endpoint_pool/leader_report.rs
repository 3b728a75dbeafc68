//! The last report of a group's leader.

/// The last report of a group's leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderReport {
    /// Time since the report arrived, in milliseconds.
    pub age_ms: u64,
    /// Tag of the leader; `None` for leaders of older versions.
    pub leader_tag: Option<u64>,
}
