//! Who leads a group, or wants to.

use serde::{Deserialize, Serialize};

/// One life of one agent, as a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord)]
pub struct LeaderId {
    /// Its rank: of two that ask at once, the lower one goes on.
    pub rank: usize,
    /// A number that no other life has.
    pub life: u64,
}
