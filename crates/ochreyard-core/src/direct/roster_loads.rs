//! The loads of a group's ranks without their names, for boxes that know those.

use serde::{Deserialize, Serialize};

use super::group_update::RankUpdate;
use crate::hash;

/// The first character of a number; greater numbers are the characters after it.
const ZERO: u8 = b'0';
/// Characters a rank: requests that run, requests that wait.
const CHARACTERS: usize = 2;
/// The highest number that has a character: far more requests than a rank runs or lets wait.
const MOST: u64 = (b'z' - ZERO) as u64;
/// The pace of a rank that is as fast as usual, in thousandths.
const USUAL_PACE_PERMILLE: u64 = 1_000;

/// What changes from moment to moment of a group's ranks, in the order of its roster.
///
/// A rank's name takes ten times as many bytes as its load, and hundreds of boxes are told of dozens of ranks several times a
/// second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterLoads {
    /// Digest of the names, so that a box does not read loads by another roster.
    pub roster: u64,
    /// Two characters a rank: requests that run, requests that wait.
    loads: String,
    /// Ranks that are faster or slower than usual, by their number, with their pace in thousandths.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    paces: Vec<(u16, u64)>,
}

impl RosterLoads {
    /// The loads of these ranks.
    #[must_use]
    pub fn of(ranks: &[RankUpdate]) -> Self {
        let character = |number: u64| char::from(ZERO + number.min(MOST) as u8);
        let loads = ranks.iter().flat_map(|rank| [character(rank.running), character(rank.waiting)]).collect();
        let is_unusual = |(_, rank): &(usize, &RankUpdate)| rank.pace_permille != USUAL_PACE_PERMILLE;
        let unusual = ranks.iter().enumerate().filter(is_unusual);
        let paces = unusual.filter_map(|(at, rank)| Some((u16::try_from(at).ok()?, rank.pace_permille))).collect();
        Self { roster: digest_of(ranks.iter().map(|rank| rank.endpoint.as_str())), loads, paces }
    }

    /// Of how many ranks they are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.loads.len() / CHARACTERS
    }

    /// Whether they are of no rank.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// The ranks, by the names of the roster; `None` where these are of another one.
    #[must_use]
    pub fn named(&self, names: &[String]) -> Option<Vec<RankUpdate>> {
        let is_own = digest_of(names.iter().map(String::as_str)) == self.roster && self.len() == names.len();
        if !is_own {
            return None;
        }
        let number = |byte: u8| u64::from(byte.saturating_sub(ZERO));
        let loads = self.loads.as_bytes().chunks_exact(CHARACTERS);
        let mut ranks: Vec<RankUpdate> = names
            .iter()
            .zip(loads)
            .map(|(name, load)| RankUpdate {
                endpoint: name.clone(),
                running: number(load[0]),
                waiting: number(load[1]),
                pace_permille: USUAL_PACE_PERMILLE,
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

/// A number that differs for other names, and for another order of them.
fn digest_of<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    names.fold(0, |digest, name| hash::mix(digest ^ hash::fnv1a(name.as_bytes())))
}
