//! One entry of the model.

use std::collections::BTreeMap;

use ochreyard_core::config::ConfigFold;
use ochreyard_core::ids::Incarnation;

/// An entry with the real fold of the configuration.
pub struct Entry {
    pub incarnation: Incarnation,
    pub fold: ConfigFold,
    /// The last incarnation that each agent reported, and the step in which it was first reported.
    pub reported_incarnations: BTreeMap<usize, (Incarnation, u64)>,
    /// The step of the last read to the end of the log, and the version there.
    pub tail: Option<(u64, u64)>,
    pub requests: u64,
}

impl Entry {
    /// Creates an entry that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, fold: ConfigFold::new(), reported_incarnations: BTreeMap::new(), tail: None, requests: 0 }
    }
}
