//! Keeps a standby leader informed about the members and the demand.

use std::cell::Cell;
use std::rc::Rc;

use ochreyard_core::group_map::standby_candidates;
use ochreyard_direct::{Dialect, STANDBY_PATH};
use ochreyard_rank::EngineFactory;

use super::Leader;
use super::handing_over::ask_to_succeed;

/// Interval between notices to the standby leader, in milliseconds.
const NOTICE_INTERVAL_MS: u64 = 1_000;

/// The standby leader of a group, as its leader knows it.
#[derive(Default)]
pub struct StandbyChoice {
    noticed_ms: u64,
    /// Index of the standby leader among the candidates; the next one is asked after a refusal.
    index: Rc<Cell<usize>>,
}

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Sends the standby leader a notice if one is due, without waiting for its answer.
    pub(super) fn inform_standby_if_due(&mut self) {
        let now_ms = self.now_ms();
        if now_ms < self.standby.noticed_ms + NOTICE_INTERVAL_MS {
            return;
        }
        self.standby.noticed_ms = now_ms;
        let data_centre = &self.entry.identity.data_centre;
        let candidates = standby_candidates(&self.service, data_centre, &self.entry.state.borrow().boxes, now_ms);
        let index = Rc::clone(&self.standby.index);
        let Some(candidate) = index.get().checked_rem(candidates.len()).map(|at| candidates[at]) else { return };
        let notice = self.handover().into_notice();
        tokio::task::spawn_local(async move {
            let answer = ask_to_succeed(candidate, STANDBY_PATH, &notice).await;
            if !answer.is_some_and(|answer| answer.accepted) {
                index.set(index.get().wrapping_add(1));
            }
        });
    }
}
