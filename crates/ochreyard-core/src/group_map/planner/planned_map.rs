//! What a plan comes to.

use crate::group_map::GroupPlacement;

/// A map worth a change.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedMap {
    /// The map.
    pub placement: GroupPlacement,
    /// Time saved over the horizon, in milliseconds.
    pub saving_ms: f64,
    /// The most copies that one rank takes.
    pub max_copies_per_rank: usize,
    /// Skew of the present map and of the new one, under the demand.
    pub skew: (f64, f64),
}
