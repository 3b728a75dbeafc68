//! The expert map that an agent or a leader remembers, with its version.

use ochreyard_core::group_map::ExpertMap;

/// An expert map and its version.
#[derive(Debug, Clone)]
pub struct VersionedMap {
    /// The version of the map.
    pub version: u64,
    /// The experts by set and rank.
    pub experts: ExpertMap,
}
