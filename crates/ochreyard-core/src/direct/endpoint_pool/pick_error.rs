//! Reasons why no endpoint can be picked.

/// Why no endpoint was picked for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// No endpoint that takes work is left.
    NoEndpoint,
    /// The endpoints that take work have as many requests as they can serve in time.
    Full,
    /// All endpoints that take work have asked for a backoff.
    Paused {
        /// When the first of these backoffs ends.
        until_ms: u64,
    },
    /// All endpoints that take work have rate limits, and this box has used up its share of them.
    Limited {
        /// When this box may send the next request.
        until_ms: u64,
    },
    /// All groups of the service are known to be stalled or broken.
    Stalled,
}
