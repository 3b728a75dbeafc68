//! How far a box has read, as it tells others.

use serde::{Deserialize, Serialize};

/// How far a box has come with the records of endpoints.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PeerReading {
    /// Where to read on.
    pub next: u64,
    /// How long ago the log was asked, in milliseconds.
    pub age_ms: u64,
}
