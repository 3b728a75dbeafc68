//! The skew that the next shift of demand is expected to cause.

use std::collections::VecDeque;

/// Number of recent shifts whose skew counts.
const MAX_SHIFTS: usize = 5;
/// Shifts that are detected within this time of another one belong to it, in milliseconds: a reading that predates it in
/// part is followed by one that does not.
const SAME_SHIFT_MS: u64 = 500;
/// Time after a shift in which the skew counts as that of the shift, in milliseconds. A map that fits is in use about then;
/// later a group with few requests shows a large skew by chance.
const SKEW_OF_SHIFT_MS: u64 = 1_500;
/// Least time for which another shift is expected after one, in milliseconds.
const MIN_EXPECTED_MS: u64 = 5_000;
/// Longest time between two shifts that counts as recurrence, in milliseconds. A shift makes the streams of about 2 s
/// late, and a limit that holds for more than 10 s in between costs more than that.
const MAX_INTERVAL_MS: u64 = 10_000;
/// Factor on the longest time between two shifts: shifts are noticed up to half a second late.
const INTERVAL_MARGIN: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
struct Shift {
    at_ms: u64,
    largest_skew: f64,
}

/// The recent shifts of demand and the skews that they caused.
#[derive(Debug, Clone, Default)]
pub struct ShiftSkews {
    recent: VecDeque<Shift>,
}

impl ShiftSkews {
    /// Records that the demand has shifted.
    pub fn on_shift(&mut self, now_ms: u64) {
        if self.recent.back().is_some_and(|last| now_ms < last.at_ms + SAME_SHIFT_MS) {
            return;
        }
        if self.recent.back().is_some_and(|last| now_ms > last.at_ms + MAX_INTERVAL_MS) {
            self.recent.clear();
        }
        self.recent.push_back(Shift { at_ms: now_ms, largest_skew: 0.0 });
        if self.recent.len() > MAX_SHIFTS {
            self.recent.pop_front();
        }
    }

    /// Records the skew by the demand alone.
    pub fn observe(&mut self, skew: f64, now_ms: u64) {
        if let Some(last) = self.recent.back_mut().filter(|last| now_ms < last.at_ms + SKEW_OF_SHIFT_MS) {
            last.largest_skew = last.largest_skew.max(skew);
        }
    }

    /// Returns the largest skew of the recent shifts while another one is expected.
    pub fn expected(&self, now_ms: u64) -> Option<f64> {
        let largest = self.recent.iter().map(|shift| shift.largest_skew).reduce(f64::max);
        largest.filter(|_| self.is_next_expected(now_ms))
    }

    fn is_next_expected(&self, now_ms: u64) -> bool {
        let pairs = self.recent.iter().zip(self.recent.iter().skip(1));
        let longest_ms = pairs.map(|(one, next)| next.at_ms - one.at_ms).max().unwrap_or(0);
        let expected_ms = MIN_EXPECTED_MS.max((longest_ms as f64 * INTERVAL_MARGIN) as u64);
        self.recent.back().is_some_and(|last| now_ms < last.at_ms + expected_ms)
    }
}
