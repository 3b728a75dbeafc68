//! Whether a group's steps go on, and how long they take.

use ochreyard_core::group_map::RankView;

/// Without a new step for this long, while requests run, a group stands, in
/// milliseconds: several times the longest step that is still in time.
const STANDS_AFTER_MS: u64 = 600;
/// After this time the length of a step has lost most of its weight in the mean, in
/// milliseconds: several steps, so that one long one is no news.
const STEP_FADE_MS: f64 = 400.0;
/// From this pace on a rank counts as slow, in thousandths of the usual time.
const SLOW_PACE_PERMILLE: u64 = 1_500;

/// The newest step of one group.
#[derive(Debug, Clone, Default)]
pub struct StepProgress {
    epoch: u64,
    step: u64,
    since_ms: u64,
    mean_step_ms: Option<f64>,
}

impl StepProgress {
    /// Takes fresh views, and says whether the group goes on.
    pub fn note(&mut self, views: &[Option<RankView>], now_ms: u64) -> bool {
        let seen = || views.iter().flatten();
        let Some(epoch) = seen().map(|view| view.epoch).max() else { return false };
        let step = seen().filter(|view| view.epoch == epoch).map(|view| view.step).max().unwrap_or(0);
        let has_work = seen().any(|view| view.running > 0);
        let has_slow_rank = seen().any(|view| view.pace_permille >= SLOW_PACE_PERMILLE);
        if epoch != self.epoch || step != self.step || !has_work {
            self.note_step(epoch, step, has_work, now_ms);
        }
        if !has_work && !has_slow_rank {
            // Nothing runs that could be measured; what comes next starts with empty ranks.
            self.mean_step_ms = None;
        }
        let is_open = seen().all(|view| view.is_open);
        is_open && now_ms < self.since_ms + STANDS_AFTER_MS
    }

    fn note_step(&mut self, epoch: u64, step: u64, has_work: bool, now_ms: u64) {
        let steps = step.saturating_sub(self.step);
        if epoch == self.epoch && steps > 0 && has_work && self.since_ms > 0 {
            let took_ms = (now_ms - self.since_ms) as f64;
            let step_ms = took_ms / steps as f64;
            let keep = (-took_ms / STEP_FADE_MS).exp();
            self.mean_step_ms = Some(self.mean_step_ms.map_or(step_ms, |mean| keep * mean + (1.0 - keep) * step_ms));
        }
        (self.epoch, self.step, self.since_ms) = (epoch, step, now_ms);
    }

    /// How long steps take of late, in milliseconds; 0 where that is not known.
    pub fn step_ms(&self) -> u64 {
        self.mean_step_ms.map_or(0, |mean| mean.round() as u64)
    }
}
