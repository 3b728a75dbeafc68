//! One entry of the model.

use std::collections::BTreeMap;

use ochreyard_core::config::ConfigFold;
use ochreyard_core::ids::Incarnation;

/// An entry with its real fold of the configuration.
pub struct Entry {
    pub incarnation: Incarnation,
    pub fold: ConfigFold,
    /// Incarnation of each agent as last heard, and when it was first met.
    pub heard: BTreeMap<usize, (Incarnation, u64)>,
    /// Step of the last read that came to the log's end, and the version there.
    pub tail: Option<(u64, u64)>,
    pub requests: u64,
}

impl Entry {
    /// An entry that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, fold: ConfigFold::new(), heard: BTreeMap::new(), tail: None, requests: 0 }
    }
}
