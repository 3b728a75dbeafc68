//! The boxes that share rate limits, and the position of this box among them.

use super::share_rank::ShareRank;
use crate::hash;

/// Number of boxes that is assumed while the list of boxes is incomplete: more than the largest fleet has. A box that
/// knows too few boxes then takes too small a share.
const ASSUMED_BOXES: u64 = 1_024;

/// The boxes that share rate limits.
///
/// All boxes compute the same order for an endpoint without coordination (rendezvous hashing). The order differs
/// between endpoints, so the remainders of the divisions go to different boxes.
#[derive(Debug, Clone, Default)]
pub struct SharingBoxes {
    own: u64,
    others: Vec<u64>,
    is_complete: bool,
}

impl SharingBoxes {
    /// Creates the set of this box `own` and the `others` that it knows. `is_complete` says whether it has seen the
    /// complete list of boxes.
    pub fn new<'a>(own: &str, others: impl Iterator<Item = &'a str>, is_complete: bool) -> Self {
        let hash_name = |name: &str| hash::fnv1a(name.as_bytes());
        Self { own: hash_name(own), others: others.map(hash_name).collect(), is_complete }
    }

    /// Returns the number of boxes to assume, including this one.
    #[must_use]
    pub fn count(&self) -> u64 {
        let known = self.others.len() as u64 + 1;
        if self.is_complete { known } else { known.max(ASSUMED_BOXES) }
    }

    /// Returns the position of this box in the order for `key`. While the list of boxes is incomplete, it is the last
    /// one.
    #[must_use]
    pub fn share_rank(&self, key: &str) -> ShareRank {
        let boxes = self.count();
        if !self.is_complete {
            return ShareRank { rank: boxes - 1, boxes };
        }
        let key = hash::fnv1a(key.as_bytes());
        let weight = |name: u64| hash::mix(hash::mix(key) ^ name);
        let own = weight(self.own);
        let boxes_before = self.others.iter().filter(|other| weight(**other) < own).count();
        ShareRank { rank: boxes_before as u64, boxes }
    }
}
