//! The share of one box in the quota of an endpoint.

use std::collections::VecDeque;

use super::quota::Quota;
use super::share_rank::ShareRank;

/// The least time between two requests of this box, as a fraction of the even interval. It spreads the share over the
/// window, so that waiting callers are not all served at its start.
const MIN_GAP_FRACTION: f64 = 0.75;

/// The share of this box in a [`Quota`], and the requests that it has sent recently.
#[derive(Debug, Clone)]
pub struct QuotaShare {
    share_rank: ShareRank,
    /// The times of the last requests that this box sent, oldest first.
    sent_ms: VecDeque<u64>,
}

impl QuotaShare {
    /// Creates the share of a box at `share_rank` that has sent nothing yet.
    #[must_use]
    pub const fn new(share_rank: ShareRank) -> Self {
        Self { share_rank, sent_ms: VecDeque::new() }
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
        let within_quota_ms = match count.checked_sub(unsent) {
            Some(left) if left > 0 => self.after_last_ms(left, window_ms),
            _ => now_ms + window_ms,
        };
        Some(paced_ms.max(within_quota_ms))
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
