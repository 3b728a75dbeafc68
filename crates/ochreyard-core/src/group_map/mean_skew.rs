//! The skew of a group over the last steps.

/// After this time a skew has lost most of its weight in the mean, in milliseconds: as long as the mean of steps looks back.
const FADE_MS: f64 = 400.0;

/// The mean skew of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanSkew {
    mean: Option<f64>,
    noted_ms: u64,
}

impl MeanSkew {
    /// The skew that a round showed.
    pub fn observe(&mut self, skew: f64, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.noted_ms) as f64;
        let keep = (-age_ms / FADE_MS).exp();
        self.mean = Some(self.mean.map_or(skew, |mean| keep * mean + (1.0 - keep) * skew));
        self.noted_ms = now_ms;
    }

    /// The mean, once a skew is known.
    #[must_use]
    pub const fn mean(&self) -> Option<f64> {
        self.mean
    }
}
