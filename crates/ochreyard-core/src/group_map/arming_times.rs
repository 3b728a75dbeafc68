//! The recent time that ranks take to arm a map: a held step may have to wait this long.

use super::controller::ChangePhase;

/// Weight of the newest change in the mean: three fast changes make up for a slow one.
const NEWEST_WEIGHT: f64 = 0.5;

/// The exponentially weighted mean of the arming times of one leader's changes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArmingTimes {
    arming_since_ms: Option<u64>,
    mean_ms: Option<f64>,
}

impl ArmingTimes {
    /// Creates the times of a leader whose predecessor observed this mean, in milliseconds; 0 if it observed none.
    #[must_use]
    pub fn handed_over(mean_ms: u64) -> Self {
        Self { arming_since_ms: None, mean_ms: Some(mean_ms as f64).filter(|mean_ms| *mean_ms > 0.0) }
    }

    /// Records that the controller entered `phase`.
    pub fn on_phase(&mut self, phase: &ChangePhase, now_ms: u64) {
        let arming_since_ms = self.arming_since_ms.take();
        if matches!(phase, ChangePhase::Arming { .. }) {
            self.arming_since_ms = Some(now_ms);
            return;
        }
        if let Some(arming_since_ms) = arming_since_ms {
            let took_ms = now_ms.saturating_sub(arming_since_ms) as f64;
            self.mean_ms = Some(self.mean_ms.map_or(took_ms, |mean| mean + NEWEST_WEIGHT * (took_ms - mean)));
        }
    }

    /// The mean arming time, weighted towards recent changes, in milliseconds; 0 before the first change.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.unwrap_or(0.0)
    }
}
