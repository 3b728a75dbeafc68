//! The difference between two versions of the configuration, for a process that has the older one in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::configuration::{ApplyOutcome, Configuration};
use super::record::ConfigRecord;

/// A record of the log that changed the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveRecord {
    /// The offset of the record.
    pub offset: u64,
    /// The content of the record.
    pub record: Arc<ConfigRecord>,
}

/// The records that lead from one version to a later one, in log order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the records apply to.
    pub from_version: u64,
    /// The records to apply, in log order.
    pub records: Vec<EffectiveRecord>,
}

impl Delta {
    /// Applies the records to `base`. Returns `None` if they apply to another version.
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
