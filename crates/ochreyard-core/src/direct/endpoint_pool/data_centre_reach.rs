//! Whether a data centre is reached from this box.

/// Endpoints of a data centre that cannot be reached one after the other before all of it counts as cut off.
const LEAST_UNREACHED: u32 = 2;
/// Failures that lie further apart say nothing of each other, in milliseconds.
const TOGETHER_MS: u64 = 1_000;
/// How long a data centre is left alone at first, in milliseconds, and the longest.
const ASIDE_MS: u64 = 500;
const MAX_ASIDE_MS: u64 = 2_000;
/// Most doublings of the first time: keeps the shift within a `u64`, well beyond [`MAX_ASIDE_MS`].
const MAX_DOUBLINGS: u32 = 8;

/// What attempts at the endpoints of one data centre showed of the way there.
///
/// Where a data centre is cut off, hundreds of endpoints cannot be reached, and a box that learned of them one by one would
/// give up most requests before it came to one that serves.
#[derive(Debug, Clone, Default)]
pub struct DataCentreReach {
    /// Endpoints that were not reached in a row, the last one and when.
    unreached: u32,
    last: Option<(String, u64)>,
    times: u32,
    aside_until_ms: u64,
}

impl DataCentreReach {
    /// An endpoint there could not be reached.
    pub fn on_unreachable(&mut self, id: &str, now_ms: u64) {
        let is_other = match &self.last {
            Some((last, at_ms)) if now_ms < at_ms + TOGETHER_MS => last != id,
            _ => {
                self.unreached = 0;
                true
            }
        };
        self.unreached += u32::from(is_other);
        self.last = Some((id.to_owned(), now_ms));
        if self.unreached >= LEAST_UNREACHED && !self.is_aside(now_ms) {
            self.aside_until_ms = now_ms + (ASIDE_MS << self.times.min(MAX_DOUBLINGS)).min(MAX_ASIDE_MS);
            self.times += 1;
            // The next look starts with one endpoint, and another one that fails is enough.
            self.unreached = LEAST_UNREACHED - 1;
        }
    }

    /// Whether it is left alone, since it counts as cut off.
    pub const fn is_aside(&self, now_ms: u64) -> bool {
        now_ms < self.aside_until_ms
    }
}
