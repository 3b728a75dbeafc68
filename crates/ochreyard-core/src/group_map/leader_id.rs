//! Who leads a group, or wants to.

use serde::{Deserialize, Serialize};

/// One life of one entry, as a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaderId {
    /// A number that no other life of any box has.
    pub life: u64,
}
