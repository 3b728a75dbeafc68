//! The loads of the ranks of a group without their names, for boxes that know the names.

use serde::{Deserialize, Serialize};

use super::group_update::RankUpdate;
use crate::hash;

/// Character of the number 0; greater numbers use the characters after it.
const ZERO: u8 = b'0';
/// Number of characters per rank: one for running requests, one for waiting ones.
const CHARS_PER_RANK: usize = 2;
/// Largest number that can be encoded; a rank runs or queues far fewer requests.
const MAX_LOAD: u64 = (b'z' - ZERO) as u64;
/// Pace of a rank that is as fast as usual, in thousandths.
const NORMAL_PACE_PERMILLE: u64 = 1_000;

/// Loads and paces of the ranks of a group, in the order of its roster.
///
/// The name of a rank takes ten times as many bytes as its load, and hundreds of boxes are sent the loads of dozens of
/// ranks several times per second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterLoads {
    /// Digest of the names of the ranks, so that a box does not apply the loads to another roster.
    pub roster: u64,
    /// Two characters per rank: running requests, waiting requests.
    loads: String,
    /// Ranks that are faster or slower than usual, by their index in the roster, with their pace in thousandths.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    paces: Vec<(u16, u64)>,
}

impl RosterLoads {
    /// Encodes the loads of the given ranks.
    #[must_use]
    pub fn of(ranks: &[RankUpdate]) -> Self {
        let encode = |number: u64| char::from(ZERO + number.min(MAX_LOAD) as u8);
        let loads = ranks.iter().flat_map(|rank| [encode(rank.running), encode(rank.waiting)]).collect();
        let has_other_pace = |(_, rank): &(usize, &RankUpdate)| rank.pace_permille != NORMAL_PACE_PERMILLE;
        let other_paces = ranks.iter().enumerate().filter(has_other_pace);
        let paces = other_paces.filter_map(|(at, rank)| Some((u16::try_from(at).ok()?, rank.pace_permille))).collect();
        Self { roster: digest_of(ranks.iter().map(|rank| rank.endpoint.as_str())), loads, paces }
    }

    /// Returns the number of ranks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.loads.len() / CHARS_PER_RANK
    }

    /// Returns whether there are no ranks.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// Returns the number of running and waiting requests of all ranks.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.loads.bytes().map(number).sum()
    }

    /// Returns the ranks with the names of a roster; `None` where the loads are of another roster.
    #[must_use]
    pub fn named(&self, names: &[String]) -> Option<Vec<RankUpdate>> {
        let matches_roster = digest_of(names.iter().map(String::as_str)) == self.roster && self.len() == names.len();
        if !matches_roster {
            return None;
        }
        let loads = self.loads.as_bytes().chunks_exact(CHARS_PER_RANK);
        let mut ranks: Vec<RankUpdate> = names
            .iter()
            .zip(loads)
            .map(|(name, load)| RankUpdate {
                endpoint: name.clone(),
                running: number(load[0]),
                waiting: number(load[1]),
                pace_permille: NORMAL_PACE_PERMILLE,
            })
            .collect();
        for (at, pace_permille) in &self.paces {
            if let Some(rank) = ranks.get_mut(usize::from(*at)) {
                rank.pace_permille = *pace_permille;
            }
        }
        Some(ranks)
    }
}

/// Returns the number that a character stands for.
fn number(byte: u8) -> u64 {
    u64::from(byte.saturating_sub(ZERO))
}

/// Returns a digest of names that depends on their order.
fn digest_of<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    names.fold(0, |digest, name| hash::mix(digest ^ hash::fnv1a(name.as_bytes())))
}
