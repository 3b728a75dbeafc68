//! What may be done with a request that may be a suspect.

/// What may be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// Nothing stands against it.
    Free,
    /// It may be tried, once, at one endpoint.
    Trial,
    /// A copy of it is being tried.
    OnTrial {
        /// How much longer, in milliseconds.
        left_ms: u64,
    },
    /// It is refused.
    Quarantined {
        /// How much longer, in milliseconds.
        left_ms: u64,
    },
}
