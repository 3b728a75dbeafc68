//! Whether requests of a route may be retried.

use serde::{Deserialize, Serialize};

/// Whether requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once for each attempt of the caller.
    Once,
    /// Requests are answered by a stream of events; a resumable one may be resumed at another endpoint.
    Stream {
        /// Whether another run may continue the stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}
