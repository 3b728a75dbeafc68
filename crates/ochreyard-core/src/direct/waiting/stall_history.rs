//! Present and past stalls of a service, and how much longer a stall is expected to last.

use std::collections::VecDeque;

/// Expected remaining length of a stall as a share of its present age. It bounds how long callers
/// wait in a stall that never ends: those with a timeout of 8 s that are served within 2 s wait
/// during its first 24 s, each for as long as callers usually wait, and are refused at once from
/// then on. With 0.5 callers in the last seconds of a stall of 6 s that retried with half of their
/// time left were refused for good.
const REMAINING_SHARE: f64 = 0.25;
/// Number of past stalls that are kept.
const MAX_STALLS: usize = 4;
/// Number of past stalls from which their median length is used: a single one may have had another cause.
const MIN_STALLS: usize = 2;
/// How long a past stall counts, in milliseconds: stalls that recur for one cause do so within
/// seconds.
const MAX_AGE_MS: u64 = 30_000;
/// Shorter gaps between two stalls are part of one stall, in milliseconds: updates of a group
/// arrive at about this interval.
const MIN_GAP_MS: u64 = 300;

/// The stalls of one service, as this box has seen them.
#[derive(Debug, Clone, Default)]
pub struct StallHistory {
    since_ms: Option<u64>,
    /// Start and end of each of the last stalls that are over, in milliseconds.
    past: VecDeque<(u64, u64)>,
}

impl StallHistory {
    /// Records whether the service is stalled now.
    pub fn record(&mut self, is_stalled: bool, now_ms: u64) {
        match (is_stalled, self.since_ms) {
            (true, None) => self.begin(now_ms),
            (false, Some(since_ms)) => self.end(since_ms, now_ms),
            _ => {}
        }
    }

    /// Returns whether the service was stalled when this was last recorded.
    #[must_use]
    pub const fn is_stalled(&self) -> bool {
        self.since_ms.is_some()
    }

    /// Returns whether the present stall began less than `within_ms` after the end of the one before.
    #[must_use]
    pub fn has_recurred_within(&self, within_ms: u64) -> bool {
        let last_end_ms = self.past.back().map(|(_, ended_ms)| *ended_ms);
        self.since_ms.zip(last_end_ms).is_some_and(|(since_ms, ended_ms)| since_ms < ended_ms + within_ms)
    }

    fn begin(&mut self, now_ms: u64) {
        let is_same_stall = self.past.back().is_some_and(|(_, ended_ms)| now_ms < ended_ms + MIN_GAP_MS);
        let earlier_start_ms = if is_same_stall { self.past.pop_back().map(|(began_ms, _)| began_ms) } else { None };
        self.since_ms = Some(earlier_start_ms.unwrap_or(now_ms));
    }

    fn end(&mut self, since_ms: u64, now_ms: u64) {
        self.since_ms = None;
        self.past.push_back((since_ms, now_ms));
        if self.past.len() > MAX_STALLS {
            self.past.pop_front();
        }
    }

    /// Returns whether another stall ended recently.
    #[must_use]
    pub fn has_recent(&self, now_ms: u64) -> bool {
        self.past.iter().any(|(_, ended_ms)| now_ms < ended_ms + MAX_AGE_MS)
    }

    /// Returns the median length of recent stalls, in milliseconds; `None` unless they recur.
    #[must_use]
    pub fn median_ms(&self, now_ms: u64) -> Option<u64> {
        let recent = self.past.iter().filter(|(_, ended_ms)| now_ms < ended_ms + MAX_AGE_MS);
        let mut lengths_ms: Vec<u64> = recent.map(|(began_ms, ended_ms)| ended_ms - began_ms).collect();
        lengths_ms.sort_unstable();
        (lengths_ms.len() >= MIN_STALLS).then(|| lengths_ms[lengths_ms.len() / 2])
    }

    /// Returns how much longer the present stall is expected to last, in milliseconds; 0 where there is none.
    #[must_use]
    pub fn expected_remaining_ms(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = self.since_ms else { return 0 };
        let age_ms = now_ms.saturating_sub(since_ms);
        let median_remaining_ms = self.median_ms(now_ms).map_or(0, |median_ms| median_ms.saturating_sub(age_ms));
        median_remaining_ms.max((age_ms as f64 * REMAINING_SHARE) as u64)
    }
}
