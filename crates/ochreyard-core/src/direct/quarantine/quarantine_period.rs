//! For how long a request is refused.

/// How long a request is refused the first time, in milliseconds: ten minutes. Whoever mends the service or the
/// request needs longer than that; each trial after it costs one endpoint at the most.
const FIRST_LIFE_MS: u64 = 10 * 60 * 1_000;
/// The longest time, in milliseconds: a day.
pub const MAX_LIFE_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long a verdict that is over is remembered, in milliseconds: a request that crashes an endpoint on its trial
/// is refused again at once, and for twice as long.
const REMEMBERED_MS: u64 = MAX_LIFE_MS;

/// A verdict on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// When it was made.
    pub made_ms: u64,
    /// Until when the request is refused.
    pub until_ms: u64,
    /// How often the request has been judged.
    pub times: u32,
    /// The number of the change that brought it.
    pub change: u64,
}

impl Verdict {
    /// The verdict after `former`: each time it lasts twice as long.
    pub fn after(former: Option<&Self>, now_ms: u64, change: u64) -> Self {
        let times = former.map_or(0, |former| former.times).saturating_add(1);
        let life_ms = FIRST_LIFE_MS.saturating_mul(1 << (times - 1).min(16)).min(MAX_LIFE_MS);
        Self { made_ms: now_ms, until_ms: now_ms + life_ms, times, change }
    }

    /// How much longer the request is refused; `None` where it may be tried again.
    pub const fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let left_ms = self.until_ms.saturating_sub(now_ms);
        if left_ms == 0 { None } else { Some(left_ms) }
    }

    /// Whether it no longer says anything.
    pub const fn is_forgotten(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms + REMEMBERED_MS
    }
}
