//! The requests that a group runs and the number that it may run.

/// The requests that a group runs and the number that it may run, as this box knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupRunning {
    /// Requests of all boxes that the group runs or has queued: those of the last report, changed by what this box has
    /// sent and finished since.
    pub running: u64,
    /// Number of requests that the group may run so that its steps stay within the gap target; `None`: no limit.
    pub stream_limit: Option<u64>,
}
