//! Limits for callers.

use serde::{Deserialize, Serialize};

/// What callers may send, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Until a configuration names its own: small heads, bodies up to 4 MiB, rests of 15 s.
    fn default() -> Self {
        Self { max_header_bytes: 16_384, max_body_bytes: 4 << 20, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}
