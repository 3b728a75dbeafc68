//! Why a request is not tried again.

use ochreyard_core::direct::Fingerprint;

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// No endpoint can accept the request.
    NoEndpoint,
    /// The endpoints that were tried have no capacity left.
    Full,
    /// All endpoints that accept requests have asked for a backoff.
    Paused {
        /// Time until the first backoff ends, in milliseconds.
        left_ms: u64,
    },
    /// All endpoints that accept requests have rate limits, and this box has used up its share of them.
    Limited {
        /// Time until the turn of this request, in milliseconds.
        left_ms: u64,
    },
    /// All groups of the service are stalled.
    Stalled,
    /// The box is shutting down.
    Leaving,
    /// The retry budget is used up.
    Budget,
    /// An attempt failed and no further one is allowed.
    Failed,
    /// The deadline of the request has passed.
    TimeUp,
    /// The request, or a part of its prompt, has crashed endpoints or may do so, and is refused.
    Quarantined {
        /// The part, unless it is the request itself.
        part: Option<Fingerprint>,
        /// Time until the quarantine ends, in milliseconds.
        left_ms: u64,
    },
}
