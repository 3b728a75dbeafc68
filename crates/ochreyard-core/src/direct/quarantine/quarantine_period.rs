//! How long a request is refused.

/// The durations of successive quarantines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeriodLengths {
    /// Duration of the first quarantine, in milliseconds.
    pub first_ms: u64,
    /// Binary logarithm of the factor by which each quarantine is longer than the one before.
    growth_bits: u32,
}

/// Quarantines of requests, from ten minutes on. Fixing the service or the request takes longer than that, but each trial
/// after a quarantine costs at most one endpoint.
pub const REQUEST_PERIODS: PeriodLengths = PeriodLengths { first_ms: 10 * 60 * 1_000, growth_bits: 1 };
/// Quarantines of prompt parts, which requests of many callers may share.
const PART_PERIODS: PeriodLengths = PeriodLengths { first_ms: 60 * 1_000, growth_bits: 1 };
/// Quarantines of parts with good runs that chance may have taken to the crashes. If such a part is at most crashes only because it is in wide use, the first trial
/// releases it; if that crashes its endpoint, the part has failed three trials.
const DOUBTFUL_PART_PERIODS: PeriodLengths = PeriodLengths { first_ms: 10 * 1_000, growth_bits: 2 };
/// The longest duration of a quarantine, in milliseconds: one day.
pub const MAX_PERIOD_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long a quarantine is remembered after its end, in milliseconds. A request that crashes an endpoint in its trial
/// is refused again at once, for longer.
const RETENTION_MS: u64 = MAX_PERIOD_MS;

/// One period for which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinePeriod {
    /// Start of the period.
    pub started_ms: u64,
    /// End of the period.
    pub until_ms: u64,
    /// How many times the request has been quarantined.
    pub times: u32,
    /// The version of the quarantine in which the period was added.
    pub version: u64,
}

/// Returns the durations of the quarantines of a prompt part, which may be in doubt since the part is in wide use.
pub const fn part_periods(is_in_doubt: bool) -> PeriodLengths {
    if is_in_doubt { DOUBTFUL_PART_PERIODS } else { PART_PERIODS }
}

impl QuarantinePeriod {
    /// Creates the period that follows `former`, or the first one.
    pub fn after(former: Option<&Self>, lengths: PeriodLengths, now_ms: u64, version: u64) -> Self {
        let times = former.map_or(0, |former| former.times).saturating_add(1);
        let factor = 1 << ((times - 1).saturating_mul(lengths.growth_bits)).min(16);
        let duration_ms = lengths.first_ms.saturating_mul(factor).min(MAX_PERIOD_MS);
        Self { started_ms: now_ms, until_ms: now_ms + duration_ms, times, version }
    }

    /// Returns the remaining time of the period in milliseconds, or `None` if it has ended.
    pub const fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let left_ms = self.until_ms.saturating_sub(now_ms);
        if left_ms == 0 { None } else { Some(left_ms) }
    }

    /// Returns whether the period ended so long ago that it is no longer remembered.
    pub const fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms + RETENTION_MS
    }
}
