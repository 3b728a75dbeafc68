//! What changed since a version, for a process that has that version in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::configuration::{ApplyOutcome, Configuration};
use super::record::ConfigRecord;

/// One record of the log that had an effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveRecord {
    /// Its offset.
    pub offset: u64,
    /// The record.
    pub record: Arc<ConfigRecord>,
}

/// The records that lead from one version to a later one, in the log's order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The version to start from.
    pub from_version: u64,
    /// The records.
    pub records: Vec<EffectiveRecord>,
}

impl Delta {
    /// The configuration that `base` becomes; `None` if this starts from another version.
    #[must_use]
    pub fn applied_to(&self, base: &Configuration) -> Option<Configuration> {
        if base.version() != self.from_version {
            return None;
        }
        let mut next = base.clone();
        for EffectiveRecord { offset, record } in &self.records {
            let _: ApplyOutcome = match &**record {
                ConfigRecord::Confirmed(plan) => next.apply(*offset, plan).ok()?,
                ConfigRecord::HomeAcks { acks } => next.record_home_acks(*offset, acks),
                _ => return None,
            };
            next.set_folded_to(offset + 1);
        }
        Some(next)
    }
}
