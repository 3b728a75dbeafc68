//! What an endpoint bears while it is cold, as this box keeps to it.

use crate::direct::shared_limit::{Quota, QuotaShare, ShareRank};

/// An endpoint that could not be reached may have turned cold meanwhile. What it writes of itself is known within this
/// time after its return, in milliseconds: it writes about once a second, and boxes read that within another one.
const UNCONFIRMED_MS: u64 = 3_000;

/// The bound on what one endpoint gets while it is cold, from all boxes together.
///
/// Requests count also while it is warm: it may turn cold at any moment, and those of the second before are then the first
/// that it has to bear.
#[derive(Debug, Clone)]
pub struct ColdLimit {
    /// `None` where its service names no bound.
    quota: Option<Quota>,
    part: QuotaShare,
    /// When this process started: what one before it sent is not known.
    started_ms: u64,
    /// Until when it said that it stays cold.
    cold_until_ms: u64,
    /// Until when it may be cold without having said so.
    unconfirmed_until_ms: u64,
}

impl ColdLimit {
    /// The bound of an endpoint that is warm, as far as known, to a box at `place` that started at `started_ms`.
    pub const fn new(quota: Option<Quota>, place: ShareRank, started_ms: u64) -> Self {
        Self { quota, part: QuotaShare::new(place), started_ms, cold_until_ms: 0, unconfirmed_until_ms: 0 }
    }

    /// Its service names another bound, or none.
    pub const fn set_quota(&mut self, quota: Option<Quota>) {
        self.quota = quota;
    }

    /// Whether its service names a bound.
    pub const fn is_bounded(&self) -> bool {
        self.quota.is_some()
    }

    /// Other boxes share it.
    pub const fn set_share_rank(&mut self, place: ShareRank) {
        self.part.set_share_rank(place);
    }

    /// It stays cold for so long.
    pub fn on_cold(&mut self, cold_ms: u64, now_ms: u64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + cold_ms);
    }

    /// It comes back at `back_ms`, and whether it is cold then is not known yet.
    pub fn on_possible_restart(&mut self, back_ms: u64) {
        self.unconfirmed_until_ms = self.unconfirmed_until_ms.max(back_ms + UNCONFIRMED_MS);
    }

    /// How much longer it stays cold, as it said, in milliseconds.
    pub const fn left_ms(&self, now_ms: u64) -> u64 {
        self.cold_until_ms.saturating_sub(now_ms)
    }

    /// When this box may send it the next request, beside `unsent` that were picked and are not sent yet; `None` where
    /// nothing binds.
    pub fn next_send_ms(&self, unsent: u64, now_ms: u64) -> Option<u64> {
        let until_ms = self.cold_until_ms.max(self.unconfirmed_until_ms);
        let quota = self.quota.filter(|_| now_ms < until_ms)?;
        let free_ms = self.part.next_send_ms(quota, unsent, now_ms).unwrap_or(until_ms);
        Some(free_ms.max(self.started_ms + quota.window_ms).min(until_ms))
    }

    /// A request is sent.
    pub fn on_sent(&mut self, now_ms: u64) {
        if let Some(quota) = self.quota {
            self.part.on_sent(quota.window_ms, now_ms);
        }
    }

    /// A request that counts as sent at `sent_ms` never reached the endpoint.
    pub fn undo_send(&mut self, sent_ms: u64) {
        self.part.undo_send(sent_ms);
    }
}
