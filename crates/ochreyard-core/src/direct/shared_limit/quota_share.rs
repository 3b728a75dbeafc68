//! The part of one box in what all boxes together may send to an endpoint.

use std::collections::VecDeque;

use super::quota::Quota;
use super::share_rank::ShareRank;

/// Least time between two requests of this box, as a share of what an even pace would be: callers that wait are served
/// through the whole window, not all at its start.
const LEAST_GAP: f64 = 0.75;

/// The part of this box in a [`Quota`] that is dealt to all boxes, and what it has sent of late.
#[derive(Debug, Clone)]
pub struct QuotaShare {
    place: ShareRank,
    /// When this box sent its last requests, oldest first.
    sent_ms: VecDeque<u64>,
}

impl QuotaShare {
    /// The part of the box at `place`, which has sent nothing yet.
    #[must_use]
    pub const fn new(place: ShareRank) -> Self {
        Self { place, sent_ms: VecDeque::new() }
    }

    /// The place of this box among those that share the quota.
    #[must_use]
    pub const fn share_rank(&self) -> ShareRank {
        self.place
    }

    /// Other boxes take part.
    pub const fn set_share_rank(&mut self, place: ShareRank) {
        self.place = place;
    }

    /// What this box may send of a quota.
    #[must_use]
    pub const fn share_of(&self, quota: Quota) -> Quota {
        Quota { count: quota.share(self.place), window_ms: quota.window_ms }
    }

    /// When the next request may be sent, beside `unsent` that were picked and are not sent yet; `None` where this box has
    /// no part of the quota.
    #[must_use]
    pub fn next_send_ms(&self, quota: Quota, unsent: u64, now_ms: u64) -> Option<u64> {
        let Quota { count, window_ms } = self.share_of(quota);
        if count == 0 {
            return None;
        }
        let gap_ms = (window_ms as f64 * LEAST_GAP / count as f64) as u64;
        let paced_ms = if unsent > 0 { now_ms + unsent * gap_ms } else { self.after_last_ms(1, gap_ms) };
        let in_window_ms = match count.checked_sub(unsent) {
            Some(left) if left > 0 => self.after_last_ms(left, window_ms),
            _ => now_ms + window_ms,
        };
        Some(paced_ms.max(in_window_ms))
    }

    /// The end of a pause after the `n`th last request was sent; 0 where there were fewer.
    #[must_use]
    pub fn after_last_ms(&self, n: u64, pause_ms: u64) -> u64 {
        let at = usize::try_from(n).ok().and_then(|n| self.sent_ms.len().checked_sub(n));
        at.map_or(0, |at| self.sent_ms[at] + pause_ms)
    }

    /// A request is sent; those that lie a window back count no more.
    pub fn on_sent(&mut self, window_ms: u64, now_ms: u64) {
        while self.sent_ms.front().is_some_and(|sent_ms| sent_ms + window_ms <= now_ms) {
            self.sent_ms.pop_front();
        }
        self.sent_ms.push_back(now_ms);
    }

    /// A request that counts as sent at `sent_ms` never reached the endpoint.
    pub fn undo_send(&mut self, sent_ms: u64) {
        if let Some(at) = self.sent_ms.iter().rposition(|other| *other == sent_ms) {
            self.sent_ms.remove(at);
        }
    }

    /// Requests that this box sent within the last window.
    #[must_use]
    pub fn sent_within(&self, window_ms: u64, now_ms: u64) -> usize {
        self.sent_ms.iter().filter(|sent_ms| **sent_ms + window_ms > now_ms).count()
    }
}
