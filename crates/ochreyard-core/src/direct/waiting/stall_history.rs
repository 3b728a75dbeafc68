//! How long a service stands, and how much longer it is expected to.

use std::collections::VecDeque;

/// What a stand is expected to last beyond its present age, as a share of that age. It says
/// how long one that never ends makes callers wait: those that give 8 s and are served within
/// 2 s wait in its first 24 s, each as long as callers usually do, and are told at once from
/// then on. With 0.5 callers in the last seconds of a stand of 6 s, back with half of their
/// time left, were refused for good.
const REST_SHARE: f64 = 0.25;
/// Stands that are remembered.
const REMEMBERED: usize = 4;
/// Stands from which their usual length says something: one alone may have had another cause.
const LEAST_KNOWN: usize = 2;
/// How long a stand is remembered, in milliseconds: what makes a service stand again and again
/// does so within seconds.
const REMEMBERED_MS: u64 = 30_000;
/// Pauses shorter than this belong to the stand around them, in milliseconds: news of a group
/// come that often.
const LEAST_PAUSE_MS: u64 = 300;

/// The stands of one service, as seen from here.
#[derive(Debug, Clone, Default)]
pub struct StallHistory {
    since_ms: Option<u64>,
    /// The last stands that are over: when each began and ended.
    past: VecDeque<(u64, u64)>,
}

impl StallHistory {
    /// Notes whether the service stands now.
    pub fn record(&mut self, stands: bool, now_ms: u64) {
        match (stands, self.since_ms) {
            (true, None) => self.begin(now_ms),
            (false, Some(since_ms)) => self.end(since_ms, now_ms),
            _ => {}
        }
    }

    fn begin(&mut self, now_ms: u64) {
        let goes_on = self.past.back().is_some_and(|(_, ended_ms)| now_ms < ended_ms + LEAST_PAUSE_MS);
        let resumed_ms = if goes_on { self.past.pop_back().map(|(began_ms, _)| began_ms) } else { None };
        self.since_ms = Some(resumed_ms.unwrap_or(now_ms));
    }

    fn end(&mut self, since_ms: u64, now_ms: u64) {
        self.since_ms = None;
        self.past.push_back((since_ms, now_ms));
        if self.past.len() > REMEMBERED {
            self.past.pop_front();
        }
    }

    /// Whether another stand was over a short time ago.
    #[must_use]
    pub fn has_recent(&self, now_ms: u64) -> bool {
        self.past.iter().any(|(_, ended_ms)| now_ms < ended_ms + REMEMBERED_MS)
    }

    /// How long stands have lasted of late, in milliseconds; `None` unless they recur.
    #[must_use]
    pub fn median_ms(&self, now_ms: u64) -> Option<u64> {
        let recent = self.past.iter().filter(|(_, ended_ms)| now_ms < ended_ms + REMEMBERED_MS);
        let mut lengths_ms: Vec<u64> = recent.map(|(began_ms, ended_ms)| ended_ms - began_ms).collect();
        lengths_ms.sort_unstable();
        (lengths_ms.len() >= LEAST_KNOWN).then(|| lengths_ms[lengths_ms.len() / 2])
    }

    /// How much longer it is expected to stand, in milliseconds; 0 where it goes on.
    #[must_use]
    pub fn expected_remaining_ms(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = self.since_ms else { return 0 };
        let age_ms = now_ms.saturating_sub(since_ms);
        let usual_rest_ms = self.median_ms(now_ms).map_or(0, |usual_ms| usual_ms.saturating_sub(age_ms));
        usual_rest_ms.max((age_ms as f64 * REST_SHARE) as u64)
    }
}
