//! What follows from a round: the next orders, a proposal, and the pause until the next round.

use std::time::Duration;

use ochreyard_core::group_map::{ChangePhase, Round};
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;
use crate::questions::brief;

/// Pause between rounds while a change is under way: well under a step, which takes 50 ms and more.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Pause between rounds while experts are copied: a copy takes tens of milliseconds, and
/// a round as long again.
const COPY_PAUSE: Duration = Duration::from_millis(25);
/// Pause before orders go out: other tasks get their turn.
const ORDER_PAUSE: Duration = Duration::from_millis(1);
/// Least time that a grant must still hold for orders to go out, in milliseconds: a
/// quarter of the default lease, and many times what an order takes to arrive.
const ORDER_MARGIN_MS: u64 = 200;
/// How long a change takes before what it waits for is logged, in milliseconds: longer
/// than the longest waits of the controller's settings for a hold and for arms together.
const STUCK_NOTE_MS: u64 = 1_000;

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Lets the controller take the round, and proposes a map where one is worth it.
    pub(super) async fn decide(&mut self) {
        let now_ms = self.now_ms();
        let size = self.last_round.views.len();
        if !self.leadership.has_majority(size, now_ms, ORDER_MARGIN_MS) {
            return;
        }
        self.note_stuck(now_ms);
        self.note_skew();
        let before = self.controller.phase().clone();
        let round = std::mem::take(&mut self.last_round);
        self.pending = self.controller.on_round(&round, now_ms);
        self.last_round = round;
        if self.accepts_proposal(now_ms) && self.propose(now_ms).await {
            // The first orders need not wait for another round.
            let views = self.last_round.views.clone();
            self.pending = self.controller.on_round(&Round { views, outcomes: Vec::new() }, now_ms);
        }
        if *self.controller.phase() != before {
            let (switched, undone) = self.controller.change_counts();
            log::info!("event=map_phase phase={:?} switched={switched} undone={undone}", self.controller.phase());
            self.note_answer(now_ms);
            self.arming_times.on_phase(self.controller.phase(), now_ms);
        }
    }

    /// Whether a map may be proposed: while none changes, or in place of a change that was
    /// planned for what is no longer in demand.
    fn accepts_proposal(&self, now_ms: u64) -> bool {
        let views = &self.last_round.views;
        self.controller.accepts_proposal(views, now_ms) || (self.is_outdated && self.controller.is_preemptible(views))
    }

    /// Tells how long it took to answer a shift of demand, once that is done.
    fn note_answer(&mut self, now_ms: u64) {
        let Some(answer) = self.shift_times.on_phase(self.controller.phase(), now_ms) else { return };
        log::info!(
            "event=shift_answered service={} proposed_ms={} copied_ms={} switched_ms={}",
            self.service,
            answer.proposed_ms,
            answer.copied_ms,
            answer.switched_ms
        );
    }

    /// Tells once a second what a change that does not end waits for.
    fn note_stuck(&mut self, now_ms: u64) {
        if !self.controller.is_busy() {
            self.busy_noted_ms = now_ms;
        }
        if now_ms < self.busy_noted_ms + STUCK_NOTE_MS {
            return;
        }
        self.busy_noted_ms = now_ms;
        let views: Vec<String> =
            self.last_round.views.iter().map(|view| view.as_ref().map_or("-".into(), brief)).collect();
        log::warn!("event=map_change_waits phase={:?} ranks=\"{}\"", self.controller.phase(), views.join(" "));
    }

    /// Pause until the next round, where the last one began at `asked_ms`.
    pub(super) fn pause(&self, asked_ms: u64) -> Duration {
        if !self.pending.is_empty() {
            return ORDER_PAUSE;
        }
        match self.controller.phase() {
            ChangePhase::Idle if self.controller.is_about_to_switch(&self.last_round.views) => BUSY_PAUSE,
            ChangePhase::Idle => {
                // Where rounds take long, no more than half of the time goes to them.
                let took_ms = self.now_ms().saturating_sub(asked_ms);
                Duration::from_millis(self.settings.round_ms.max(took_ms.min(self.settings.lease_ms / 4)))
            }
            ChangePhase::Preparing { .. } => COPY_PAUSE,
            _ => BUSY_PAUSE,
        }
    }
}
