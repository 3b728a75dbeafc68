//! The load that an endpoint reports.

/// The load that an endpoint told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u64,
    /// Requests that wait there.
    pub waiting: u64,
}
