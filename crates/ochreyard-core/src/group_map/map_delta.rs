//! What changes from one map of a group to the next, as one short text.
//!
//! A plan moves a few experts of each rank, so this is a fraction of the whole map.
//! Numbers of sets, ranks and experts take two signs each, as in
//! [`compact_map`](super::compact_map).

use serde::{Deserialize, Serialize};

use super::compact_map::{put, take};

/// After the experts that a rank gives up.
const DROPPED_END: char = '.';
/// After the experts that a rank gets.
const ADDED_END: char = ',';

/// The experts of a map by set and rank.
pub type ExpertMap = Vec<Vec<Vec<u16>>>;

/// The way from one map to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// Number of the map that it starts from.
    pub base: u64,
    /// For each rank of a set that changes: set, rank, what it gives up, what it gets.
    changes: String,
}

impl MapDelta {
    /// The way from map number `base` to `after`; `None` where the two differ in
    /// the number of sets or ranks.
    #[must_use]
    pub fn between(base: u64, before: &ExpertMap, after: &ExpertMap) -> Option<Self> {
        if !have_same_shape(before, after) {
            return None;
        }
        let mut changes = String::new();
        for (set, (before, after)) in before.iter().zip(after).enumerate() {
            for (rank, (before, after)) in before.iter().zip(after).enumerate() {
                put_rank(&mut changes, RankAt { set, rank }, before, after)?;
            }
        }
        Some(Self { base, changes })
    }

    /// The map that it leads to from `before`; `None` where it does not fit that map.
    /// The experts of a rank come out sorted, as in every [`GroupPlacement`](super::GroupPlacement):
    /// engines that got the whole map and engines that got this one must hold the same.
    #[must_use]
    pub fn apply(&self, before: &ExpertMap) -> Option<ExpertMap> {
        let mut after = before.clone();
        let mut rest = self.changes.as_str();
        while !rest.is_empty() {
            let set = usize::from(take(&mut rest)?);
            let rank = usize::from(take(&mut rest)?);
            let held = after.get_mut(set)?.get_mut(rank)?;
            let dropped = take_until(&mut rest, DROPPED_END)?;
            let added = take_until(&mut rest, ADDED_END)?;
            held.retain(|expert| !dropped.contains(expert));
            held.extend(added);
            held.sort_unstable();
        }
        Some(after)
    }
}

fn have_same_shape(before: &ExpertMap, after: &ExpertMap) -> bool {
    let is_alike = |(before, after): (&Vec<Vec<u16>>, &Vec<Vec<u16>>)| before.len() == after.len();
    before.len() == after.len() && before.iter().zip(after).all(is_alike)
}

/// One rank of one set.
struct RankAt {
    set: usize,
    rank: usize,
}

/// Writes what changes at one rank, if anything does; `None` where a number is too large.
fn put_rank(changes: &mut String, at: RankAt, before: &[u16], after: &[u16]) -> Option<()> {
    let dropped = not_among(before, after);
    let added = not_among(after, before);
    if dropped.is_empty() && added.is_empty() {
        return Some(());
    }
    put(changes, u16::try_from(at.set).ok()?);
    put(changes, u16::try_from(at.rank).ok()?);
    dropped.iter().for_each(|expert| put(changes, *expert));
    changes.push(DROPPED_END);
    added.iter().for_each(|expert| put(changes, *expert));
    changes.push(ADDED_END);
    Some(())
}

/// Those of `experts` that are not among `others`.
fn not_among(experts: &[u16], others: &[u16]) -> Vec<u16> {
    experts.iter().copied().filter(|expert| !others.contains(expert)).collect()
}

/// Reads numbers up to `end`, and `end` itself.
fn take_until(rest: &mut &str, end: char) -> Option<Vec<u16>> {
    let mut numbers = Vec::new();
    loop {
        if let Some(after) = rest.strip_prefix(end) {
            *rest = after;
            return Some(numbers);
        }
        numbers.push(take(rest)?);
    }
}
