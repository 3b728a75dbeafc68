//! Decides after each round: the next orders, the proposal of a map, and the pause before the next round.

use std::time::Duration;

use ochreyard_core::group_map::{ChangePhase, Round};
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;
use crate::rank_requests::summarize_view;

/// Pause between rounds while a change is in progress: well below a step, which takes 50 ms or more.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Pause between rounds while experts are copied: a copy takes tens of milliseconds, and so does
/// a round.
const COPY_PAUSE: Duration = Duration::from_millis(25);
/// Pause before pending orders are sent, which lets other tasks run.
const ORDER_PAUSE: Duration = Duration::from_millis(1);
/// Least remaining time of the grants for which orders are sent, in milliseconds: a quarter of the
/// default lease, and many times the time that an order takes to arrive.
const MIN_REMAINING_GRANT_MS: u64 = 200;
/// Time after which a change in progress logs the views that it waits for, in milliseconds: longer than the
/// controller's timeouts for a hold and for arming together.
const WAIT_LOG_MS: u64 = 1_000;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Passes the round to the controller, and proposes a map if one is worth its cost.
    pub(super) async fn decide(&mut self) {
        let now_ms = self.now_ms();
        let size = self.last_round.views.len();
        if !self.leadership.has_majority(size, now_ms, MIN_REMAINING_GRANT_MS) {
            return;
        }
        self.log_waiting_change(now_ms);
        self.record_skew();
        self.update_stream_limit(now_ms);
        let before = self.controller.phase().clone();
        let round = std::mem::take(&mut self.last_round);
        self.pending_orders = self.controller.on_round(&round, now_ms);
        self.last_round = round;
        if self.accepts_proposal(now_ms) && self.propose(now_ms).await {
            // The first orders of the change do not have to wait for another round.
            let views = self.last_round.views.clone();
            self.pending_orders = self.controller.on_round(&Round { views, outcomes: Vec::new() }, now_ms);
        }
        if *self.controller.phase() != before {
            let (switched, undone) = self.controller.change_counts();
            log::info!("event=map_phase phase={:?} switched={switched} undone={undone}", self.controller.phase());
            self.log_shift_response(now_ms);
            self.arming_times.on_phase(self.controller.phase(), now_ms);
        }
    }

    /// Whether a map may be proposed: either no change is in progress, or the change in progress was planned
    /// for an outdated demand and can be replaced.
    fn accepts_proposal(&self, now_ms: u64) -> bool {
        let views = &self.last_round.views;
        self.controller.accepts_proposal(views, now_ms)
            || (self.is_change_outdated && self.controller.is_preemptible(views))
    }

    /// Logs how long the response to a shift of demand took, once it is complete.
    fn log_shift_response(&mut self, now_ms: u64) {
        let Some(response) = self.shift_times.on_phase(self.controller.phase(), now_ms) else { return };
        log::info!(
            "event=shift_answered service={} proposed_ms={} copied_ms={} switched_ms={}",
            self.service,
            response.proposed_ms,
            response.copied_ms,
            response.switched_ms
        );
    }

    /// Logs once a second the phase and the views of a change that takes long.
    fn log_waiting_change(&mut self, now_ms: u64) {
        if !self.controller.is_busy() {
            self.wait_logged_ms = now_ms;
        }
        if now_ms < self.wait_logged_ms + WAIT_LOG_MS {
            return;
        }
        self.wait_logged_ms = now_ms;
        let views: Vec<String> =
            self.last_round.views.iter().map(|view| view.as_ref().map_or("-".into(), summarize_view)).collect();
        log::warn!("event=map_change_waits phase={:?} ranks=\"{}\"", self.controller.phase(), views.join(" "));
    }

    /// The pause before the next round, where the last one began at `round_started_ms`.
    pub(super) fn pause_before_next_round(&self, round_started_ms: u64) -> Duration {
        if !self.pending_orders.is_empty() {
            return ORDER_PAUSE;
        }
        match self.controller.phase() {
            ChangePhase::Idle if self.controller.is_about_to_switch(&self.last_round.views) => BUSY_PAUSE,
            ChangePhase::Idle => {
                // After a long round the pause is as long, so that rounds take no more than half of the time.
                let round_duration_ms = self.now_ms().saturating_sub(round_started_ms);
                Duration::from_millis(self.settings.round_ms.max(round_duration_ms.min(self.settings.lease_ms / 4)))
            }
            ChangePhase::Preparing { .. } => COPY_PAUSE,
            _ => BUSY_PAUSE,
        }
    }
}
