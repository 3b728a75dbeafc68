//! The decision about a request that may be suspected of crashing endpoints.

/// What may be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request is not suspected and may be sent.
    Allow,
    /// The request is a suspect. It may be sent once, to one endpoint, as a trial.
    AllowAsTrial,
    /// A copy of the request is under trial.
    WaitForTrial {
        /// Remaining time of the trial, in milliseconds.
        left_ms: u64,
    },
    /// The request is quarantined.
    Refuse {
        /// Remaining time of the quarantine, in milliseconds.
        left_ms: u64,
    },
}
