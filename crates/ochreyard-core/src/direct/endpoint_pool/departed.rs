//! State of an endpoint incarnation without a record.

use super::availability_notice::AvailabilityNotice;
use crate::direct::shared_limit::SharedLimit;

/// How long the limit of an incarnation without a record is kept, in milliseconds: as long as its
/// [`AvailabilityNotice`].
const LIMIT_RETENTION_MS: u64 = 600_000;

/// What is kept of an endpoint incarnation while it has no record. The record of a running endpoint may expire and come
/// back.
#[derive(Debug, Clone, Default)]
pub struct Departed {
    /// What the endpoint has asked for.
    pub notice: AvailabilityNotice,
    /// The rate limit that the endpoint sets for all boxes together.
    pub limit: Option<SharedLimit>,
}

impl Departed {
    /// Returns whether there is nothing to keep.
    pub fn is_empty(&self) -> bool {
        self.notice == AvailabilityNotice::default() && self.limit.is_none()
    }

    /// Returns whether the state must still be kept.
    pub fn is_retained(&self, now_ms: u64) -> bool {
        let has_limit = self.limit.as_ref().is_some_and(|limit| limit.age_ms(now_ms) < LIMIT_RETENTION_MS);
        self.notice.is_retained(now_ms) && self.notice != AvailabilityNotice::default() || has_limit
    }
}
