//! A map of a group as an agent or a leader remembers it.

use ochreyard_core::group_map::ExpertMap;

/// A map and its number.
#[derive(Debug, Clone)]
pub struct VersionedMap {
    /// Its number.
    pub version: u64,
    /// Its experts by set and rank.
    pub experts: ExpertMap,
}
