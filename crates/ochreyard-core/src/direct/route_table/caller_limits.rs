//! Limits for callers.

use serde::{Deserialize, Serialize};

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a complete request head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits until a configuration sets its own: heads up to 16 KiB, bodies up to 4 MiB, 15 s idle.
    fn default() -> Self {
        Self { max_header_bytes: 16_384, max_body_bytes: 4 << 20, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}
