//! A log line each second with the pace of a group's steps and the figures that explain it.

use ochreyard_core::group_map::RankView;

/// Interval between log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The newest step at the time of the last log line.
#[derive(Debug, Clone, Default)]
pub struct PaceLog {
    epoch: u64,
    step: u64,
    logged_ms: u64,
}

impl PaceLog {
    /// Writes the line if it is due; `skew` is called only then.
    pub fn log_if_due(
        &mut self,
        group: &str,
        views: &[Option<RankView>],
        stream_limit: Option<u64>,
        now_ms: u64,
        skew: impl FnOnce() -> Option<f64>,
    ) {
        if now_ms < self.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        let known_views = || views.iter().flatten();
        let Some(newest) = known_views().max_by_key(|view| (view.epoch, view.step)) else { return };
        let steps = newest.step.saturating_sub(self.step);
        let has_new_steps = self.logged_ms > 0 && newest.epoch == self.epoch && steps > 0;
        let step_ms = if has_new_steps { (now_ms - self.logged_ms) / steps } else { 0 };
        *self = Self { epoch: newest.epoch, step: newest.step, logged_ms: now_ms };
        if !has_new_steps {
            return;
        }
        let running: u64 = known_views().map(|view| view.running).sum();
        let most_running = known_views().map(|view| view.running).max().unwrap_or(0);
        let waiting: u64 = known_views().map(|view| view.waiting).sum();
        let slowest = known_views().map(|view| view.pace_permille).max().unwrap_or(0);
        let skew = skew().map_or("-".to_owned(), |skew| format!("{skew:.2}"));
        let stream_limit = stream_limit.map_or("-".to_owned(), |limit| limit.to_string());
        log::info!(
            "event=group_pace group={group} epoch={} step={} step_ms={step_ms} skew={skew} running={running} \
             most_running={most_running} waiting={waiting} slowest_permille={slowest} stream_limit={stream_limit}",
            newest.epoch,
            newest.step
        );
    }
}
