//! One line a second that tells how fast a group's steps are, and why.

use ochreyard_core::group_map::RankView;

/// How often the line is written, in milliseconds.
const NOTE_EVERY_MS: u64 = 1_000;

/// Where the line before left off.
#[derive(Debug, Clone, Default)]
pub struct PaceNote {
    epoch: u64,
    step: u64,
    since_ms: u64,
}

impl PaceNote {
    /// Writes the line if it is due; `skew` is asked only then.
    pub fn note(&mut self, group: &str, views: &[Option<RankView>], now_ms: u64, skew: impl FnOnce() -> Option<f64>) {
        if now_ms < self.since_ms + NOTE_EVERY_MS {
            return;
        }
        let seen = || views.iter().flatten();
        let Some(newest) = seen().max_by_key(|view| (view.epoch, view.step)) else { return };
        let steps = newest.step.saturating_sub(self.step);
        let is_begun = self.since_ms > 0 && newest.epoch == self.epoch && steps > 0;
        let step_ms = if is_begun { (now_ms - self.since_ms) / steps } else { 0 };
        *self = Self { epoch: newest.epoch, step: newest.step, since_ms: now_ms };
        if !is_begun {
            return;
        }
        let running: u64 = seen().map(|view| view.running).sum();
        let most_running = seen().map(|view| view.running).max().unwrap_or(0);
        let waiting: u64 = seen().map(|view| view.waiting).sum();
        let slowest = seen().map(|view| view.pace_permille).max().unwrap_or(0);
        let skew = skew().map_or("-".to_owned(), |skew| format!("{skew:.2}"));
        log::info!(
            "event=group_pace group={group} epoch={} step={} step_ms={step_ms} skew={skew} running={running} \
             most_running={most_running} waiting={waiting} slowest_permille={slowest}",
            newest.epoch,
            newest.step
        );
    }
}
