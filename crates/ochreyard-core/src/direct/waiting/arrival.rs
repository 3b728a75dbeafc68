//! What an entry derives from the timeout of a request when the request arrives.

/// A request at the time of its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time until which the request can be sent and still meet its latency target, in milliseconds.
    pub on_time_until_ms: u64,
    /// Whether the request is a retry by its caller.
    pub is_caller_retry: bool,
}
