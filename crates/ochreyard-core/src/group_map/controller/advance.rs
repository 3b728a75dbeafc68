//! Detects the end of each phase of a change and enters the next phase.

use super::{ChangePhase, MapController, newest_step};
use crate::group_map::RankView;

/// A step that is being held for a map, and the rank of the hold.
#[derive(Debug, Clone, Copy)]
struct Hold {
    version: u64,
    step: u64,
    rank: usize,
}

impl MapController {
    /// Enters the next phase if the views show that the current one has ended.
    pub(super) fn advance(&mut self, views: &[&RankView], now_ms: u64) {
        match self.phase.clone() {
            ChangePhase::Idle => self.detect_leftover_hold(views, now_ms),
            ChangePhase::Preparing { version } => self.advance_preparing(views, version, now_ms),
            ChangePhase::Holding { version, step, rank } => {
                self.advance_holding(views, Hold { version, step, rank }, now_ms);
            }
            ChangePhase::Arming { version, step } => self.advance_arming(views, version, step, now_ms),
            ChangePhase::Backing { step, rank } => self.advance_backing(views, step, rank, now_ms),
            ChangePhase::Undoing if self.is_undone(views) => self.enter(ChangePhase::Releasing, now_ms),
            ChangePhase::Releasing if views.iter().all(|view| view.held.is_none()) => {
                self.enter(ChangePhase::Idle, now_ms);
            }
            ChangePhase::Undoing | ChangePhase::Releasing => {}
        }
    }

    /// Time since the phase began, in milliseconds.
    pub(super) const fn waited_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.phase_since_ms)
    }

    fn advance_preparing(&mut self, views: &[&RankView], version: u64, now_ms: u64) {
        if views.iter().all(|view| view.prepared == Some(version)) {
            self.consecutive_refusals = 0;
            self.hold_ahead(views, version, now_ms);
        } else if self.waited_ms(now_ms) > self.prepare_timeout_ms {
            self.give_up(now_ms);
        }
    }

    /// Starts to hold a step for which no hold was placed before.
    fn hold_ahead(&mut self, views: &[&RankView], version: u64, now_ms: u64) {
        let step = newest_step(views) + self.settings.steps_ahead;
        self.hold_allowed_from_step = Some(step);
        let rank = self.hold_rank.min(views.len() - 1);
        self.enter(ChangePhase::Holding { version, step, rank }, now_ms);
    }

    fn advance_holding(&mut self, views: &[&RankView], hold: Hold, now_ms: u64) {
        let Hold { version, step, rank } = hold;
        if views[rank].held == Some(step) {
            self.held_step = step;
            self.enter(ChangePhase::Arming { version, step }, now_ms);
        } else if newest_step(views) >= step {
            // The hold order was lost and would now be too late. Nothing is armed yet, and the
            // experts have been copied, so a later step is held.
            self.hold_ahead(views, version, now_ms);
        } else if self.waited_ms(now_ms) > self.settings.hold_timeout_ms {
            self.undo(now_ms);
        }
    }

    fn advance_arming(&mut self, views: &[&RankView], version: u64, step: u64, now_ms: u64) {
        let is_armed = |view: &&RankView| view.armed.is_some_and(|armed| armed.version == version);
        if views.iter().all(is_armed) {
            self.switched += 1;
            self.current_map = self.target.take().map(|target| (version, target));
            self.enter(ChangePhase::Releasing, now_ms);
        } else if self.waited_ms(now_ms) > self.settings.arm_timeout_ms || newest_step(views) >= step {
            self.undo(now_ms);
        }
    }

    fn advance_backing(&mut self, views: &[&RankView], step: u64, rank: usize, now_ms: u64) {
        // The step has begun, so a hold would be too late: the remaining holds are checked again.
        let is_too_late = newest_step(views) >= step;
        // The former leader's release was carried out, so all of its ranks were armed.
        let is_released = views.iter().all(|view| view.held.is_none());
        if views[rank].held == Some(step) {
            self.held_step = step;
            self.undo(now_ms);
        } else if is_too_late || is_released {
            self.enter(ChangePhase::Idle, now_ms);
        }
    }

    /// Whether no rank is armed and no arm order in flight can still take effect.
    pub(super) fn is_undone(&self, views: &[&RankView]) -> bool {
        views.iter().all(|view| view.armed.is_none()) && self.unfenced.iter().all(Option::is_none)
    }

    /// Detects a hold that this controller did not place: a former leader left it, and arm
    /// orders of that leader may be in flight to any rank.
    fn detect_leftover_hold(&mut self, views: &[&RankView], now_ms: u64) {
        let Some(held) = views.iter().find_map(|view| view.held) else { return };
        // An armed map may take effect before the held step.
        let next_step = newest_step(views) + self.settings.steps_ahead;
        let armed = views.iter().filter_map(|view| view.armed).map(|armed| armed.step.unwrap_or(next_step));
        let step = armed.chain([held]).min().unwrap_or(held);
        self.hold_allowed_from_step = self.hold_allowed_from_step.max(Some(held));
        let highest = self.highest_version;
        self.unfenced = vec![Some(highest); views.len()];
        let preferred_rank =
            Some(self.hold_rank).filter(|rank| views.get(*rank).is_some_and(|view| view.held.is_none()));
        match preferred_rank.or_else(|| views.iter().position(|view| view.held.is_none())) {
            Some(rank) => self.enter(ChangePhase::Backing { step, rank }, now_ms),
            None => self.undo(now_ms),
        }
    }
}
