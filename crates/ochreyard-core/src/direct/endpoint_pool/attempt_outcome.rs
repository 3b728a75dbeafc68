//! What an attempt tells of its endpoint.

/// How one attempt at an endpoint ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered as it should.
    Success,
    /// It answered with a failure of its own, or an answer that was not whole.
    Failed,
    /// It said that it has no room.
    Full,
    /// It could not be reached or fell silent.
    Unreachable,
    /// Nothing is known: the caller went away, or the time ran out.
    Unknown,
}
