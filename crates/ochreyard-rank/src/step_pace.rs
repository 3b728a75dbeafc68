//! How fast a group's steps go, and whether they go on.

use ochreyard_core::group_map::RankView;

/// Without a new step for this long, while requests run, a group stands, in
/// milliseconds: several times the longest step that is still in time.
const STANDS_AFTER_MS: u64 = 600;
/// Weight of a new measurement of the time of a step.
const NEW_WEIGHT: f64 = 0.3;

/// The pace of one group.
#[derive(Debug, Clone, Default)]
pub struct StepPace {
    step: u64,
    epoch: u64,
    at_ms: u64,
    step_ms: f64,
}

impl StepPace {
    /// Time of one step, in milliseconds; 0 while none was measured.
    pub const fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Takes fresh views, and says whether the group goes on.
    pub fn note(&mut self, views: &[Option<RankView>], now_ms: u64) -> bool {
        let seen = || views.iter().flatten();
        let Some(epoch) = seen().map(|view| view.epoch).max() else { return false };
        let step = seen().filter(|view| view.epoch == epoch).map(|view| view.step).max().unwrap_or(0);
        let has_work = seen().any(|view| view.running > 0);
        if epoch != self.epoch || !has_work || step < self.step {
            (self.epoch, self.step, self.at_ms) = (epoch, step, now_ms);
        } else if step > self.step {
            let each_ms = now_ms.saturating_sub(self.at_ms) as f64 / (step - self.step) as f64;
            let weight = if self.step_ms > 0.0 { NEW_WEIGHT } else { 1.0 };
            self.step_ms += weight * (each_ms - self.step_ms);
            (self.step, self.at_ms) = (step, now_ms);
        }
        let is_open = seen().all(|view| view.is_open);
        is_open && now_ms < self.at_ms + STANDS_AFTER_MS
    }
}
