//! The share of one box in the quota of an endpoint.

use std::collections::VecDeque;

use super::quota::Quota;
use super::share_rank::ShareRank;

/// The least time between two requests of this box, as a fraction of the even interval. It spreads the share over the
/// window, so that waiting callers are not all served at its start.
const MIN_GAP_FRACTION: f64 = 0.75;
/// How long an abandoned request may be on the way to an endpoint that sends nothing, in milliseconds.
const MAX_TRANSIT_MS: u64 = 60_000;

/// The share of this box in a [`Quota`], and the requests that it has sent recently.
#[derive(Debug, Clone)]
pub struct QuotaShare {
    share_rank: ShareRank,
    /// The times of the last requests that this box sent, oldest first.
    sent_ms: VecDeque<u64>,
    /// When abandoned requests were sent that may not have arrived yet: an endpoint that is stopped, or cut off, reads
    /// them all at once when it goes on.
    abandoned_ms: Vec<u64>,
}

impl QuotaShare {
    /// Creates the share of a box at `share_rank` that has sent nothing yet.
    #[must_use]
    pub const fn new(share_rank: ShareRank) -> Self {
        Self { share_rank, sent_ms: VecDeque::new(), abandoned_ms: Vec::new() }
    }

    /// Returns the position of this box among the boxes that share the quota.
    #[must_use]
    pub const fn share_rank(&self) -> ShareRank {
        self.share_rank
    }

    /// Replaces the position of this box among the boxes that share the quota.
    pub const fn set_share_rank(&mut self, share_rank: ShareRank) {
        self.share_rank = share_rank;
    }

    /// Returns the part of the quota that this box may use.
    #[must_use]
    pub const fn share_of(&self, quota: Quota) -> Quota {
        Quota { count: quota.share(self.share_rank), window_ms: quota.window_ms }
    }

    /// Returns the earliest time for the next request, in addition to `unsent` requests that were picked but not sent
    /// yet. Returns `None` if the share of this box is empty.
    #[must_use]
    pub fn next_send_ms(&self, quota: Quota, unsent: u64, now_ms: u64) -> Option<u64> {
        let Quota { count, window_ms } = self.share_of(quota);
        if count == 0 {
            return None;
        }
        let gap_ms = (window_ms as f64 * MIN_GAP_FRACTION / count as f64) as u64;
        let paced_ms = if unsent > 0 { now_ms + unsent * gap_ms } else { self.after_last_ms(1, gap_ms) };
        let late = self.late_arrivals(window_ms, now_ms);
        let within_quota_ms = match (count.checked_sub(unsent), count.checked_sub(unsent + late)) {
            (None | Some(0), _) => now_ms + window_ms,
            // One more per window shows whether the endpoint goes on.
            (_, None | Some(0)) => self.after_last_ms(1, window_ms),
            (_, Some(left)) => self.after_last_ms(left, window_ms),
        };
        Some(paced_ms.max(within_quota_ms))
    }

    /// Returns the number of abandoned requests that were sent before the window and may arrive within it.
    fn late_arrivals(&self, window_ms: u64, now_ms: u64) -> u64 {
        let is_late = |sent_ms: &&u64| **sent_ms + window_ms <= now_ms && **sent_ms + MAX_TRANSIT_MS > now_ms;
        self.abandoned_ms.iter().filter(is_late).count() as u64
    }

    /// Records that a request that was sent at `sent_ms` was abandoned before the endpoint sent anything.
    pub fn on_abandoned(&mut self, sent_ms: u64) {
        self.abandoned_ms.retain(|earlier_ms| earlier_ms + MAX_TRANSIT_MS > sent_ms);
        self.abandoned_ms.push(sent_ms);
    }

    /// Records that the endpoint has sent something. Abandoned requests have arrived by now, at the latest.
    pub fn on_heard(&mut self, now_ms: u64) {
        for sent_ms in std::mem::take(&mut self.abandoned_ms) {
            self.undo_send(sent_ms);
            if sent_ms + MAX_TRANSIT_MS > now_ms {
                self.sent_ms.push_back(now_ms);
            }
        }
    }

    /// Returns the time `interval_ms` after the `n`th last request, or 0 if fewer requests were sent.
    #[must_use]
    pub fn after_last_ms(&self, n: u64, interval_ms: u64) -> u64 {
        let at = usize::try_from(n).ok().and_then(|n| self.sent_ms.len().checked_sub(n));
        at.map_or(0, |at| self.sent_ms[at] + interval_ms)
    }

    /// Counts a request as sent, and removes requests that are older than the window.
    pub fn on_sent(&mut self, window_ms: u64, now_ms: u64) {
        while self.sent_ms.front().is_some_and(|sent_ms| sent_ms + window_ms <= now_ms) {
            self.sent_ms.pop_front();
        }
        self.sent_ms.push_back(now_ms);
    }

    /// Removes a request that was counted at `sent_ms` but never reached the endpoint.
    pub fn undo_send(&mut self, sent_ms: u64) {
        if let Some(at) = self.sent_ms.iter().rposition(|other| *other == sent_ms) {
            self.sent_ms.remove(at);
        }
    }

    /// Returns the number of requests that this box sent within the last `window_ms`.
    #[must_use]
    pub fn sent_within(&self, window_ms: u64, now_ms: u64) -> usize {
        self.sent_ms.iter().filter(|sent_ms| **sent_ms + window_ms > now_ms).count()
    }
}
