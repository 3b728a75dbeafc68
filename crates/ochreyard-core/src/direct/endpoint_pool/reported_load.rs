//! The load that endpoints report.

/// The load that an endpoint reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedLoad {
    /// Requests that the endpoint is running.
    pub running: u64,
    /// Requests that are queued at the endpoint.
    pub waiting: u64,
}

impl ReportedLoad {
    /// Returns the number of requests at the endpoint. The endpoint may have stated any numbers.
    #[must_use]
    pub const fn requests(self) -> u64 {
        self.running.saturating_add(self.waiting)
    }
}
