//! What may be done again with requests.

use serde::{Deserialize, Serialize};

/// What may be done again with requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each attempt of the caller.
    Once,
    /// A stream of events; a resumable one may go on at another endpoint.
    Stream {
        /// Whether another run may continue it.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}
