//! Detection of data centres that this box cannot reach.

/// Consecutive endpoints of a data centre that must be unreachable before the data centre counts as unreachable.
const MIN_UNREACHABLE: u32 = 2;
/// Failures that are further apart than this are not related, in milliseconds.
const FAILURE_WINDOW_MS: u64 = 1_000;
/// The first and the longest time for which an unreachable data centre is avoided, in milliseconds.
const INITIAL_AVOID_MS: u64 = 500;
const MAX_AVOID_MS: u64 = 2_000;
/// Limits the exponent of the backoff so that the shift stays within a `u64`, well beyond [`MAX_AVOID_MS`].
const MAX_DOUBLINGS: u32 = 8;

/// Whether one data centre is reachable, as seen from failed attempts at its endpoints.
///
/// When a data centre is cut off, hundreds of endpoints are unreachable. A box that found this out endpoint by endpoint
/// would abandon most requests before it reached a working endpoint.
#[derive(Debug, Clone, Default)]
pub struct DataCentreReach {
    /// The number of consecutive unreachable endpoints, and the last of them with its time.
    consecutive_unreachable: u32,
    last_unreachable: Option<(String, u64)>,
    avoid_count: u32,
    avoid_until_ms: u64,
}

impl DataCentreReach {
    /// Records that an endpoint of the data centre was unreachable.
    pub fn on_unreachable(&mut self, id: &str, now_ms: u64) {
        let is_other_endpoint = match &self.last_unreachable {
            Some((last_unreachable, at_ms)) if now_ms < at_ms + FAILURE_WINDOW_MS => last_unreachable != id,
            _ => {
                self.consecutive_unreachable = 0;
                true
            }
        };
        self.consecutive_unreachable += u32::from(is_other_endpoint);
        self.last_unreachable = Some((id.to_owned(), now_ms));
        if self.consecutive_unreachable >= MIN_UNREACHABLE && !self.is_avoided(now_ms) {
            self.avoid_until_ms = now_ms + (INITIAL_AVOID_MS << self.avoid_count.min(MAX_DOUBLINGS)).min(MAX_AVOID_MS);
            self.avoid_count += 1;
            // After the backoff, one failing endpoint is enough to avoid the data centre again.
            self.consecutive_unreachable = MIN_UNREACHABLE - 1;
        }
    }

    /// Returns whether the data centre is avoided because it counts as unreachable.
    pub const fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }
}
