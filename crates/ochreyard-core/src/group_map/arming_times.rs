//! How long ranks take to arm a map, of late: a step that is held may wait for it.

use super::controller::ChangePhase;

/// Share of one more change in the mean: three quick ones make up for a slow one.
const NEWEST_SHARE: f64 = 0.5;

/// Follows the changes of one leader.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArmingTimes {
    began_ms: Option<u64>,
    mean_ms: Option<f64>,
}

impl ArmingTimes {
    /// The controller has come to another phase.
    pub fn on_phase(&mut self, phase: &ChangePhase, now_ms: u64) {
        let began_ms = self.began_ms.take();
        if matches!(phase, ChangePhase::Arming { .. }) {
            self.began_ms = Some(now_ms);
            return;
        }
        if let Some(began_ms) = began_ms {
            let took_ms = now_ms.saturating_sub(began_ms) as f64;
            self.mean_ms = Some(self.mean_ms.map_or(took_ms, |mean| mean + NEWEST_SHARE * (took_ms - mean)));
        }
    }

    /// The mean, the newest changes weighing most, in milliseconds; 0 before the first one.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms.unwrap_or(0.0)
    }
}
