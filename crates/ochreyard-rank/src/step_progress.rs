//! Whether a group's steps go on.

use ochreyard_core::group_map::RankView;

/// Without a new step for this long, while requests run, a group stands, in
/// milliseconds: several times the longest step that is still in time.
const STANDS_AFTER_MS: u64 = 600;

/// The newest step of one group.
#[derive(Debug, Clone, Default)]
pub struct StepProgress {
    epoch: u64,
    step: u64,
    since_ms: u64,
}

impl StepProgress {
    /// Takes fresh views, and says whether the group goes on.
    pub fn note(&mut self, views: &[Option<RankView>], now_ms: u64) -> bool {
        let seen = || views.iter().flatten();
        let Some(epoch) = seen().map(|view| view.epoch).max() else { return false };
        let step = seen().filter(|view| view.epoch == epoch).map(|view| view.step).max().unwrap_or(0);
        let has_work = seen().any(|view| view.running > 0);
        if epoch != self.epoch || step != self.step || !has_work {
            *self = Self { epoch, step, since_ms: now_ms };
        }
        let is_open = seen().all(|view| view.is_open);
        is_open && now_ms < self.since_ms + STANDS_AFTER_MS
    }
}
