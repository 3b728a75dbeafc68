//! How long the polling rounds of a leader take.

/// Weight of the newest round in the mean: about the last ten rounds count, so that a single long one does not.
const NEWEST_WEIGHT: f64 = 0.1;

/// The exponentially weighted mean duration of one leader's rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundTimes {
    mean_ms: Option<f64>,
}

impl RoundTimes {
    /// Records the duration of a round, in milliseconds.
    pub fn observe(&mut self, round_ms: u64) {
        let round_ms = round_ms as f64;
        self.mean_ms = Some(self.mean_ms.map_or(round_ms, |mean| mean + NEWEST_WEIGHT * (round_ms - mean)));
    }

    /// The mean duration, in milliseconds; 0 before the first round.
    #[must_use]
    pub fn mean_ms(&self) -> u64 {
        self.mean_ms.map_or(0, |mean| mean.round() as u64)
    }
}
