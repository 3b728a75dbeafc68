//! How far one box has synchronized the state of another.

use serde::{Deserialize, Serialize};

/// How much of the incrementally sent state of another box this box has applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SyncCursor {
    /// Incarnation of the other box. Its counters start at 0 in each incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of records of its box list, in the order in which it learned of them.
    pub boxes: usize,
    /// Number of changes to its state on requests that crash endpoints.
    #[serde(default)]
    pub quarantine: u64,
    /// Number of changes to the endpoint limits that it knows.
    #[serde(default)]
    pub limits: u64,
}
