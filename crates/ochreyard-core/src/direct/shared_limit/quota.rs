//! How many requests all boxes together may send to an endpoint, and how many of them one box.

use super::request_rate::RequestRate;
use super::share_rank::ShareRank;

/// The span over which the arrivals at an endpoint have to fit its limit, in milliseconds.
const SPAN_MS: u64 = 4_000;
/// By how much two requests of one box may come closer to each other on their way, in milliseconds: a window is longer
/// than the span by this.
const TRANSIT_MS: u64 = 200;
/// Longest window, in milliseconds. An endpoint that takes next to nothing is sent a request that often: its answer tells
/// whether the limit still holds.
const LONGEST_MS: u64 = 20_000;
/// Thousandths of a request a second, times milliseconds, in one request.
const MILLI_MS: u64 = 1_000_000;

/// Requests that all boxes together may send within any window.
///
/// Whole requests are dealt to the boxes, so the sum never exceeds the count, however many boxes there are and whenever each
/// of them sends. With a part of the rate for each box, every box could send one at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Requests in a window.
    pub count: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Quota {
    /// What fits a rate: within the span at most one request more than the rate allows.
    #[must_use]
    pub fn from_rate(rate: RequestRate) -> Self {
        let milli = rate.milli_per_s();
        let count = milli * SPAN_MS / MILLI_MS + 1;
        let exact_ms = (count * MILLI_MS).checked_div(milli).unwrap_or(LONGEST_MS);
        Self { count, window_ms: exact_ms.clamp(SPAN_MS + TRANSIT_MS, LONGEST_MS) }
    }

    /// At most `count` arrivals within any `span_ms`.
    #[must_use]
    pub const fn for_span(count: u64, span_ms: u64) -> Self {
        Self { count, window_ms: span_ms + TRANSIT_MS }
    }

    /// The part of one box; those that come first get what cannot be dealt evenly.
    #[must_use]
    pub const fn share(self, place: ShareRank) -> u64 {
        self.count / place.boxes + (place.rank < self.count % place.boxes) as u64
    }
}
