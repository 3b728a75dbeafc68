//! The rate limit of a cold endpoint, as this box enforces its share of it.

use crate::direct::shared_limit::{Quota, QuotaShare, ShareRank};

/// How long an endpoint that was unreachable may be cold without this box knowing, in milliseconds: it writes its
/// record about once a second, and boxes read the record within another second.
const UNCONFIRMED_MS: u64 = 3_000;

/// The limit on the requests that one cold endpoint gets from all boxes together.
///
/// Requests to a warm endpoint are counted too: it can become cold at any moment, and then has to serve the requests of
/// the previous second as well.
#[derive(Debug, Clone)]
pub struct ColdLimit {
    /// `None` if the service has no limit for cold endpoints.
    quota: Option<Quota>,
    share: QuotaShare,
    /// The start time of this process. Requests that an earlier process sent are unknown.
    started_ms: u64,
    /// The end of the cold phase that the endpoint has announced.
    cold_until_ms: u64,
    /// The time until which the endpoint may be cold without having announced it.
    unconfirmed_until_ms: u64,
}

impl ColdLimit {
    /// Creates the limit of an endpoint that is not known to be cold, for a box at `share_rank` that started at
    /// `started_ms`.
    pub const fn new(quota: Option<Quota>, share_rank: ShareRank, started_ms: u64) -> Self {
        Self { quota, share: QuotaShare::new(share_rank), started_ms, cold_until_ms: 0, unconfirmed_until_ms: 0 }
    }

    /// Replaces the quota. `None` removes the limit.
    pub const fn set_quota(&mut self, quota: Option<Quota>) {
        self.quota = quota;
    }

    /// Returns whether the service limits cold endpoints.
    pub const fn is_limited(&self) -> bool {
        self.quota.is_some()
    }

    /// Replaces the position of this box among the boxes that share the limit.
    pub const fn set_share_rank(&mut self, share_rank: ShareRank) {
        self.share.set_share_rank(share_rank);
    }

    /// Records that the endpoint stays cold for `cold_ms`.
    pub fn on_cold(&mut self, cold_ms: u64, now_ms: u64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms.saturating_add(cold_ms));
    }

    /// Records that the endpoint becomes reachable again at `reachable_from_ms` and may be cold then.
    pub fn on_possible_restart(&mut self, reachable_from_ms: u64) {
        self.unconfirmed_until_ms = self.unconfirmed_until_ms.max(reachable_from_ms + UNCONFIRMED_MS);
    }

    /// Returns the rest of the announced cold phase, in milliseconds.
    pub const fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.cold_until_ms.saturating_sub(now_ms)
    }

    /// Returns the earliest time for the next request of this box, in addition to `unsent` requests that were picked
    /// but not sent yet. Returns `None` if no limit applies.
    pub fn next_send_ms(&self, unsent: u64, now_ms: u64) -> Option<u64> {
        let until_ms = self.cold_until_ms.max(self.unconfirmed_until_ms);
        let quota = self.quota.filter(|_| now_ms < until_ms)?;
        let next_ms = self.share.next_send_ms(quota, unsent, now_ms).unwrap_or(until_ms);
        Some(next_ms.max(self.started_ms + quota.window_ms).min(until_ms))
    }

    /// Counts a request as sent.
    pub fn on_sent(&mut self, now_ms: u64) {
        if let Some(quota) = self.quota {
            self.share.on_sent(quota.window_ms, now_ms);
        }
    }

    /// Removes a request that was counted at `sent_ms` but never reached the endpoint.
    pub fn undo_send(&mut self, sent_ms: u64) {
        self.share.undo_send(sent_ms);
    }
}
