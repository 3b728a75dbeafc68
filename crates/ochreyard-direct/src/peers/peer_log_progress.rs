//! How far a box has read the log, as sent to other boxes.

use ochreyard_core::direct::Position;
use serde::{Deserialize, Serialize};

/// How far a box has read the endpoint records.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PeerLogProgress {
    /// Position of the next record to read.
    pub next: Position,
    /// Time since the log was asked, in milliseconds.
    pub age_ms: u64,
}
