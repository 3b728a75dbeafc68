//! What is kept of one life of an endpoint while it has no record.

use super::availability_notice::AvailabilityNotice;
use crate::direct::shared_limit::SharedLimit;

/// How long the limit of a life whose record is gone is kept, in milliseconds: as long as what else it asked for.
const LIMIT_LIFE_MS: u64 = 600_000;

/// What is kept of one life of an endpoint while it has no record: one that lapsed may come back.
#[derive(Debug, Clone, Default)]
pub struct Departed {
    /// What it has asked for.
    pub notice: AvailabilityNotice,
    /// What it takes from all boxes together.
    pub limit: Option<SharedLimit>,
}

impl Departed {
    /// Whether there is nothing to keep.
    pub fn is_empty(&self) -> bool {
        self.notice == AvailabilityNotice::default() && self.limit.is_none()
    }

    /// Whether it may still matter.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        let has_limit = self.limit.as_ref().is_some_and(|limit| limit.age_ms(now_ms) < LIMIT_LIFE_MS);
        self.notice.is_recent(now_ms) && self.notice != AvailabilityNotice::default() || has_limit
    }
}
