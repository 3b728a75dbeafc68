//! Limits on callers' requests.

/// Limits and defaults for callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of the path and headers together, in bytes.
    pub max_head_bytes: usize,
    /// Largest size of the body, in bytes.
    pub max_body_bytes: usize,
    /// Deadline of a request that sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Longest deadline that a caller may set, in milliseconds.
    pub max_deadline_ms: u64,
    /// Longest idempotency key, in bytes.
    pub max_key_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
            max_key_bytes: 255,
        }
    }
}
