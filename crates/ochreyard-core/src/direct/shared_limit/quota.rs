//! The number of requests that all boxes together, and each of them, may send to an endpoint.

use super::request_rate::RequestRate;
use super::share_rank::ShareRank;

/// The span over which arrivals at an endpoint must stay within its limit, in milliseconds.
const SPAN_MS: u64 = 4_000;
/// How much the distance between two requests of one box may shrink in transit, in milliseconds. Windows are longer
/// than the span by this time.
const TRANSIT_MS: u64 = 200;
/// The longest window, in milliseconds. An endpoint that accepts almost nothing is sent one request per window, so that
/// its response tells whether the limit still applies.
const MAX_WINDOW_MS: u64 = 20_000;
/// One request, in thousandths of a request per second times milliseconds.
const MILLI_REQUEST_MS: u64 = 1_000_000;

/// The number of requests that all boxes together may send within any window.
///
/// Boxes get shares of whole requests, so the sum never exceeds the count, regardless of the number of boxes and of
/// when each of them sends. If each box got a fraction of the rate, all boxes could send a request at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Number of requests per window.
    pub count: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Quota {
    /// Creates the quota for a rate. Within the span it allows at most one request more than the rate.
    #[must_use]
    pub fn from_rate(rate: RequestRate) -> Self {
        let milli = rate.milli_per_s();
        let count = milli * SPAN_MS / MILLI_REQUEST_MS + 1;
        let exact_ms = (count * MILLI_REQUEST_MS).checked_div(milli).unwrap_or(MAX_WINDOW_MS);
        Self { count, window_ms: exact_ms.clamp(SPAN_MS + TRANSIT_MS, MAX_WINDOW_MS) }
    }

    /// Creates a quota that allows at most `count` arrivals within any `span_ms`.
    #[must_use]
    pub const fn for_span(count: u64, span_ms: u64) -> Self {
        Self { count, window_ms: span_ms + TRANSIT_MS }
    }

    /// Returns the share of one box. The remainder of the division goes to the boxes with the lowest ranks.
    #[must_use]
    pub const fn share(self, share_rank: ShareRank) -> u64 {
        self.count / share_rank.boxes + (share_rank.rank < self.count % share_rank.boxes) as u64
    }
}
