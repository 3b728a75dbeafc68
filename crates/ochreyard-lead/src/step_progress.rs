//! Detects when a group's steps stall, and measures how long they take.

use ochreyard_core::group_map::RankView;

/// Time without a new step after which a group with running requests counts as stalled, in
/// milliseconds: several times the longest step that is still on time.
const STALL_AFTER_MS: u64 = 600;
/// Time after which a step has lost most of its weight in the mean step time, in
/// milliseconds: it covers several steps, so that a single long step has little effect.
const STEP_DECAY_MS: f64 = 400.0;
/// Pace from which a rank counts as slow, in thousandths of the usual time.
const SLOW_PACE_PERMILLE: u64 = 1_500;

/// The newest step of one group, and the mean step time.
#[derive(Debug, Clone, Default)]
pub struct StepProgress {
    epoch: u64,
    step: u64,
    step_recorded_ms: u64,
    mean_step_ms: Option<f64>,
}

impl StepProgress {
    /// Records new views and returns whether the group is serving: it is open and has not stalled.
    pub fn observe(&mut self, views: &[Option<RankView>], now_ms: u64) -> bool {
        let known_views = || views.iter().flatten();
        let Some(epoch) = known_views().map(|view| view.epoch).max() else { return false };
        let step = known_views().filter(|view| view.epoch == epoch).map(|view| view.step).max().unwrap_or(0);
        let has_work = known_views().any(|view| view.running > 0);
        let has_slow_rank = known_views().any(|view| view.pace_permille >= SLOW_PACE_PERMILLE);
        if epoch != self.epoch || step != self.step || !has_work {
            self.record_step(epoch, step, has_work, now_ms);
        }
        if !has_work && !has_slow_rank {
            // Without running requests there is no step to measure, and the next ones start on empty ranks.
            self.mean_step_ms = None;
        }
        let is_open = known_views().all(|view| view.is_open);
        is_open && now_ms < self.step_recorded_ms + STALL_AFTER_MS
    }

    fn record_step(&mut self, epoch: u64, step: u64, has_work: bool, now_ms: u64) {
        let steps = step.saturating_sub(self.step);
        if epoch == self.epoch && steps > 0 && has_work && self.step_recorded_ms > 0 {
            let elapsed_ms = (now_ms - self.step_recorded_ms) as f64;
            let step_ms = elapsed_ms / steps as f64;
            let retained_weight = (-elapsed_ms / STEP_DECAY_MS).exp();
            self.mean_step_ms = Some(
                self.mean_step_ms.map_or(step_ms, |mean| retained_weight * mean + (1.0 - retained_weight) * step_ms),
            );
        }
        (self.epoch, self.step, self.step_recorded_ms) = (epoch, step, now_ms);
    }

    /// The recent mean step time, in milliseconds; 0 if it is not known.
    pub fn step_ms(&self) -> u64 {
        self.mean_step_ms.map_or(0, |mean| mean.round() as u64)
    }
}
