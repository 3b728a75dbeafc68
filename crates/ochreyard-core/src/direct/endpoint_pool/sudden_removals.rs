//! Endpoints whose record was removed although they had not announced that they leave.

use std::collections::HashMap;

use crate::direct::EndpointIncarnation;

/// Longest time from the removal of a record to the break of a connection that may be due to the same crash, in
/// milliseconds. Both are reported at about the same time, and each report may be late by two retransmissions of 200 ms.
const MAX_DISTANCE_MS: u64 = 500;
/// How long a removal is kept, in milliseconds: a busy box may notice late that a connection broke before it.
const RETENTION_MS: u64 = 10_000;

/// Recent removals of endpoints that had not announced that they leave.
#[derive(Debug, Clone, Default)]
pub struct SuddenRemovals {
    removed_ms: HashMap<EndpointIncarnation, u64>,
}

impl SuddenRemovals {
    /// Records that the record of an endpoint is removed.
    pub fn record(&mut self, incarnation: EndpointIncarnation, now_ms: u64) {
        self.removed_ms.retain(|_, removed_ms| now_ms < *removed_ms + RETENTION_MS);
        self.removed_ms.insert(incarnation, now_ms);
    }

    /// Returns whether the record of an endpoint was removed shortly before a connection to it broke at `broke_ms`, or
    /// after that.
    pub fn may_share_cause(&self, incarnation: &EndpointIncarnation, broke_ms: u64) -> bool {
        self.removed_ms.get(incarnation).is_some_and(|removed_ms| broke_ms <= *removed_ms + MAX_DISTANCE_MS)
    }
}
