//! Counts of endpoints that accept no new requests.

/// The number of endpoints of a service that currently accept no new requests from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnavailableCounts {
    /// Endpoints that asked for a backoff.
    pub paused: usize,
    /// Endpoints that are leaving, by their record or by a response.
    pub leaving: usize,
}
