//! Whether a request can still meet its latency target.

/// Whether a request can still meet its latency target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// The request can still be answered within its latency target.
    OnTime,
    /// The request can only be answered after its latency target.
    Late,
}
