//! The difference between one map of a group and the next, as a short text.
//!
//! A plan moves a few experts of each rank, so the difference is a fraction of the complete map.
//! Numbers of sets, ranks and experts take two characters each, as in
//! [`compact_map`](super::compact_map).

use serde::{Deserialize, Serialize};

use super::compact_map::{read_number, write_number};

/// Ends the list of experts that a rank drops.
const DROPPED_END: char = '.';
/// Ends the list of experts that are added to a rank.
const ADDED_END: char = ',';

/// The experts of a map by set and rank.
pub type ExpertMap = Vec<Vec<Vec<u16>>>;

/// The difference between one map and the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// Version of the map that the delta applies to.
    pub base: u64,
    /// For each rank of a set that changes: set, rank, dropped experts, added experts.
    changes: String,
}

impl MapDelta {
    /// The delta from `before`, whose version is `base`, to `after`; `None` if the two differ
    /// in the number of sets or ranks.
    #[must_use]
    pub fn between(base: u64, before: &ExpertMap, after: &ExpertMap) -> Option<Self> {
        if !have_same_shape(before, after) {
            return None;
        }
        let mut changes = String::new();
        for (set, (before, after)) in before.iter().zip(after).enumerate() {
            for (rank, (before, after)) in before.iter().zip(after).enumerate() {
                write_rank(&mut changes, SetRank { set, rank }, before, after)?;
            }
        }
        Some(Self { base, changes })
    }

    /// Applies the delta to `before`; `None` if it does not fit that map.
    /// The experts of a rank are sorted afterwards, as in every [`GroupPlacement`](super::GroupPlacement):
    /// engines that received the complete map and engines that received the delta must hold the same map.
    #[must_use]
    pub fn apply(&self, before: &ExpertMap) -> Option<ExpertMap> {
        let mut after = before.clone();
        let mut rest = self.changes.as_str();
        while !rest.is_empty() {
            let set = usize::from(read_number(&mut rest)?);
            let rank = usize::from(read_number(&mut rest)?);
            let held = after.get_mut(set)?.get_mut(rank)?;
            let dropped = read_until(&mut rest, DROPPED_END)?;
            let added = read_until(&mut rest, ADDED_END)?;
            held.retain(|expert| !dropped.contains(expert));
            held.extend(added);
            held.sort_unstable();
        }
        Some(after)
    }
}

fn have_same_shape(before: &ExpertMap, after: &ExpertMap) -> bool {
    let has_same_ranks = |(before, after): (&Vec<Vec<u16>>, &Vec<Vec<u16>>)| before.len() == after.len();
    before.len() == after.len() && before.iter().zip(after).all(has_same_ranks)
}

/// Identifies one rank of one set.
struct SetRank {
    set: usize,
    rank: usize,
}

/// Appends the change of one rank, if there is one; `None` if a number is too large to encode.
fn write_rank(changes: &mut String, set_rank: SetRank, before: &[u16], after: &[u16]) -> Option<()> {
    let dropped = missing_from(before, after);
    let added = missing_from(after, before);
    if dropped.is_empty() && added.is_empty() {
        return Some(());
    }
    write_number(changes, u16::try_from(set_rank.set).ok()?);
    write_number(changes, u16::try_from(set_rank.rank).ok()?);
    dropped.iter().for_each(|expert| write_number(changes, *expert));
    changes.push(DROPPED_END);
    added.iter().for_each(|expert| write_number(changes, *expert));
    changes.push(ADDED_END);
    Some(())
}

/// The elements of `experts` that are missing from `others`.
fn missing_from(experts: &[u16], others: &[u16]) -> Vec<u16> {
    experts.iter().copied().filter(|expert| !others.contains(expert)).collect()
}

/// Reads numbers up to and including the character `end`.
fn read_until(rest: &mut &str, end: char) -> Option<Vec<u16>> {
    let mut numbers = Vec::new();
    loop {
        if let Some(after) = rest.strip_prefix(end) {
            *rest = after;
            return Some(numbers);
        }
        numbers.push(read_number(rest)?);
    }
}
