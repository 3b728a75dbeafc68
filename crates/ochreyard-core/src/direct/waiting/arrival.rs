//! What the time that a caller gives tells of its request.

/// A request as it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Until when it can be sent and still be answered in its aim.
    pub on_time_until_ms: u64,
    /// Whether its caller has asked before.
    pub is_caller_retry: bool,
}
