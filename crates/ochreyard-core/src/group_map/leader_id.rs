//! The identity of a leader, or candidate for leader, of a group.

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of one entry as a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaderId {
    /// The incarnation's number, which is unique among the incarnations of all boxes.
    pub life: u64,
}
