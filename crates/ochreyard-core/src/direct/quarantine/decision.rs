//! What may be done with a request that may be a suspect.

/// What may be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Nothing stands against it.
    Allow,
    /// It may be tried, once, at one endpoint.
    AllowAsTrial,
    /// A copy of it is being tried.
    WaitForTrial {
        /// How much longer, in milliseconds.
        left_ms: u64,
    },
    /// It is refused.
    Refuse {
        /// How much longer, in milliseconds.
        left_ms: u64,
    },
}
