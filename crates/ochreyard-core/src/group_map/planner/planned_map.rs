//! The result of a plan.

use crate::group_map::GroupPlacement;

/// A map that is worth a change.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedMap {
    /// The new map.
    pub placement: GroupPlacement,
    /// Time saved over the horizon, in milliseconds.
    pub saving_ms: f64,
    /// The largest number of experts that one rank copies.
    pub max_copies_per_rank: usize,
    /// Skew of the current map and of the new one, under the demand.
    pub skew: (f64, f64),
}
