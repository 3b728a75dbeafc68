//! The outcome of an attempt for the statistics of its endpoint.

/// How an attempt ended, as far as this concerns the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered successfully.
    Success,
    /// The endpoint answered with an error of its own, or sent something that is no answer.
    Failed,
    /// The connection broke, or the endpoint was left, before the answer was complete.
    BrokenOff,
    /// The endpoint rejected the request because it has no capacity.
    Full,
    /// The endpoint could not be reached, or stopped responding.
    Unreachable,
    /// The outcome is unknown because the caller left or the deadline passed.
    Unknown,
}
