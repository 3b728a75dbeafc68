//! The boxes that share limits, and the place of this one among them.

use super::share_rank::ShareRank;
use crate::hash;

/// Boxes that are reckoned with while the list of boxes is not known whole: more than any fleet of today has. A box that
/// knows too little takes too small a part.
const ASSUMED_BOXES: u64 = 128;

/// The boxes that share limits.
///
/// All boxes find the same order for an endpoint without asking each other, and different orders for different endpoints, so
/// what cannot be dealt evenly falls to different boxes.
#[derive(Debug, Clone, Default)]
pub struct SharingBoxes {
    own: u64,
    others: Vec<u64>,
    is_whole: bool,
}

impl SharingBoxes {
    /// The box `own` and all others that it knows; `is_whole` says whether it has seen the whole list of boxes.
    pub fn new<'a>(own: &str, others: impl Iterator<Item = &'a str>, is_whole: bool) -> Self {
        let number = |name: &str| hash::fnv1a(name.as_bytes());
        Self { own: number(own), others: others.map(number).collect(), is_whole }
    }

    /// How many boxes to reckon with, this one included.
    #[must_use]
    pub fn count(&self) -> u64 {
        let known = self.others.len() as u64 + 1;
        if self.is_whole { known } else { known.max(ASSUMED_BOXES) }
    }

    /// The place of this box where something is shared under `key`. While the list of boxes is not known whole, it is the
    /// last one.
    #[must_use]
    pub fn share_rank(&self, key: &str) -> ShareRank {
        let boxes = self.count();
        if !self.is_whole {
            return ShareRank { rank: boxes - 1, boxes };
        }
        let key = hash::fnv1a(key.as_bytes());
        let weight = |name: u64| hash::mix(hash::mix(key) ^ name);
        let own = weight(self.own);
        let before = self.others.iter().filter(|other| weight(**other) < own).count();
        ShareRank { rank: before as u64, boxes }
    }
}
