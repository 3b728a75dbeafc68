//! How long the polling rounds of a leader take, and whether the box is strong enough to lead.

/// Weight of the newest round in the mean: about the last ten rounds count, so that a single long one does not.
const NEWEST_WEIGHT: f64 = 0.1;
/// Number of rounds after which a leader compares them with those of its predecessor: the first ones open connections.
const MIN_ROUNDS: u32 = 30;
/// How many times as long as those of the predecessor rounds may take. Boxes differ by a factor of two or so; one that
/// has a larger one answers a shift of demand several rounds later.
const MAX_FACTOR: u64 = 3;
/// Mean duration up to which rounds are never too long, in milliseconds: the default pause between them.
const MIN_LONG_ROUND_MS: u64 = 100;

/// The exponentially weighted mean duration of one leader's rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundTimes {
    mean_ms: Option<f64>,
    rounds: u32,
}

impl RoundTimes {
    /// Records the duration of a round in which all ranks answered, in milliseconds. Other rounds take as long as the
    /// timeout of a request, on any box.
    pub fn observe(&mut self, round_ms: u64) {
        let round_ms = round_ms as f64;
        self.mean_ms = Some(self.mean_ms.map_or(round_ms, |mean| mean + NEWEST_WEIGHT * (round_ms - mean)));
        self.rounds = self.rounds.saturating_add(1);
    }

    /// The mean duration, in milliseconds; 0 before the first round.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        self.mean_ms.map_or(0, |mean| mean.round() as u64)
    }

    /// Whether the rounds take much longer than those of the predecessor, which took `predecessor_ms` on average; 0 if
    /// that is not known.
    #[must_use]
    pub fn are_too_long(&self, predecessor_ms: u64) -> bool {
        let limit_ms = predecessor_ms.saturating_mul(MAX_FACTOR).max(MIN_LONG_ROUND_MS);
        predecessor_ms > 0 && self.rounds >= MIN_ROUNDS && self.mean_ms() > limit_ms
    }
}
