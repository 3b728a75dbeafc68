//! The identity of a leader, or candidate for leader, of a group.

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of one entry as a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaderId {
    /// The incarnation's number, which is unique among the incarnations of all boxes.
    pub life: u64,
}

impl LeaderId {
    /// Number of tags.
    pub(super) const TAGS: u64 = 1 << 20;

    /// A short form of the identity, for map versions and reports. Two leaders of one group share it by chance only.
    #[must_use]
    pub const fn tag(&self) -> u64 {
        self.life % Self::TAGS
    }
}
