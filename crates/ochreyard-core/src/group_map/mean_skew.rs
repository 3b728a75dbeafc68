//! The mean skew of a group over its recent steps.

/// Time after which a skew has lost most of its weight in the mean, in milliseconds: the same
/// period as that of the mean step time.
const DECAY_MS: f64 = 400.0;

/// The exponentially decaying mean of the recent skew.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanSkew {
    mean: Option<f64>,
    observed_ms: u64,
}

impl MeanSkew {
    /// Adds the skew that a polling round showed.
    pub fn observe(&mut self, skew: f64, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.observed_ms) as f64;
        let retained_weight = (-age_ms / DECAY_MS).exp();
        self.mean = Some(self.mean.map_or(skew, |mean| retained_weight * mean + (1.0 - retained_weight) * skew));
        self.observed_ms = now_ms;
    }

    /// The mean skew, once a skew has been observed.
    #[must_use]
    pub const fn mean(&self) -> Option<f64> {
        self.mean
    }
}
