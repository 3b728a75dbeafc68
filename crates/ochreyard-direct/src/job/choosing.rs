//! Which endpoint a request goes to next, or whether it waits for one.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{Choice, Clearance, EndpointPool, NoPick, Pick, Seeker};

use super::Job;
use crate::dialect::Dialect;
use crate::entry::{State, queue_of};
use crate::give_up_reason::GiveUpReason;
use crate::meters;
use crate::queue_slot::{QueueSlot, WaitEnd};

/// How often a waiting request looks for room: well under the time of a step.
const PICK_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Endpoints that are tried in vain for one request before it is given up, where
/// none of them got it, and that took its time: a few connections that did not come up.
const MAX_UNREACHED: usize = 4;
/// The same where they failed at once, as they do where a data centre is cut off: two of each are tried before it counts as that.
const MAX_FAST_UNREACHED: usize = 16;
/// Least time left for which another attempt is worth its cost, in milliseconds: an
/// engine's step alone takes longer.
const MIN_ATTEMPT_MS: u64 = 30;

/// Why a request has no endpoint now.
enum NotPicked {
    /// It waits for one.
    Wait,
    /// It is given up.
    GiveUp(GiveUpReason),
}

impl From<GiveUpReason> for NotPicked {
    fn from(why: GiveUpReason) -> Self {
        Self::GiveUp(why)
    }
}

impl<D: Dialect> Job<D> {
    /// Picks an endpoint; where there is none now, waits for one as long as that may help.
    pub(super) async fn wait_for_pick(&mut self, last: GiveUpReason) -> Result<Pick, GiveUpReason> {
        let mut place = None;
        loop {
            let picked = match self.pick_next(last, place.as_ref()) {
                Ok(pick) => Ok(pick),
                Err(NotPicked::GiveUp(why)) => Err(why),
                Err(NotPicked::Wait) => {
                    if place.is_none() {
                        place = Some(QueueSlot::join(&self.entry, &self.seeker()));
                        if self.is_service_stalled() {
                            self.end.on_held();
                        }
                    }
                    tokio::time::sleep(PICK_RETRY_INTERVAL).await;
                    continue;
                }
            };
            if let Some(place) = &place {
                place.end(if picked.is_ok() { WaitEnd::Sent } else { WaitEnd::Abandoned });
            }
            return picked;
        }
    }

    /// Whether no further attempt is allowed.
    fn attempts_exhausted(&self) -> bool {
        let in_vain = self.tried.len() + self.stall_refusals;
        let took_its_time = self.elapsed_ms() >= self.route.aim_ms;
        self.sent >= self.route.max_attempts
            || (in_vain >= MAX_UNREACHED && took_its_time)
            || in_vain >= MAX_FAST_UNREACHED
    }

    fn pick_next(&mut self, last: GiveUpReason, place: Option<&QueueSlot<D>>) -> Result<Pick, NotPicked> {
        let now_ms = self.entry.clock.now_ms();
        if self.may_have_run && !self.route.kind.may_run_again() {
            return Err(GiveUpReason::Failed.into());
        }
        let is_trial = self.is_trial(now_ms)?;
        if self.attempts_exhausted() {
            return Err(last.into());
        }
        if self.time_left_ms() < MIN_ATTEMPT_MS {
            return Err(GiveUpReason::TimeUp.into());
        }
        if place.is_some() && self.entry.is_refusing.get() {
            return Err(GiveUpReason::Leaving.into());
        }
        let entry = Rc::clone(&self.entry);
        let mut state = entry.state.borrow_mut();
        if self.has_reached_endpoint && !state.budget.has_one(&self.service, now_ms) {
            return Err(GiveUpReason::Budget.into());
        }
        let boxes = state.boxes.len() as u64 + 1;
        let seeker = Seeker { ticket: place.map(QueueSlot::ticket), ..self.seeker() };
        let State { queues, pool, .. } = &mut *state;
        let queue = queue_of(queues, &self.service);
        match queue.choose(pool, boxes, &seeker, entry.next_random(), now_ms) {
            Choice::Go(pick) => {
                if self.has_reached_endpoint && state.budget.try_take(&self.service, now_ms) {
                    meters::on_repeat(&self.service);
                }
                drop(state);
                if is_trial {
                    self.is_on_trial = true;
                    self.entry.begin_trial(self.fingerprint());
                }
                Ok(pick)
            }
            Choice::Wait(facts) => {
                self.last_wait_facts = Some(facts);
                Err(NotPicked::Wait)
            }
            Choice::GiveUp(facts) => {
                self.last_wait_facts = Some(facts);
                Err(give_up_reason(facts.no_pick, last, now_ms).into())
            }
        }
    }

    /// Whether it would run as a suspect that is tried.
    ///
    /// # Errors
    ///
    /// When it is refused: it crashed endpoints, a copy of it is being tried, or this would be a repeat of a suspect.
    fn is_trial(&self, now_ms: u64) -> Result<bool, GiveUpReason> {
        let state = self.entry.state.borrow();
        if state.quarantine.is_empty() {
            return Ok(false);
        }
        match state.quarantine.clearance(self.fingerprint(), now_ms) {
            Clearance::Free => Ok(false),
            Clearance::Trial if self.may_have_run => Err(GiveUpReason::Failed),
            Clearance::Trial => Ok(true),
            Clearance::OnTrial { .. } if self.is_on_trial => Ok(false),
            Clearance::OnTrial { left_ms } | Clearance::Quarantined { left_ms } => {
                Err(GiveUpReason::Quarantined { left_ms })
            }
        }
    }

    fn seeker(&self) -> Seeker<'_> {
        Seeker {
            service: &self.service,
            homes: &self.homes,
            tried: &self.tried,
            arrival: self.arrival,
            deadline_ms: self.deadline_ms,
            silent_since_ms: self.silent_since_ms,
            aim_ms: self.route.aim_ms,
            patience_ms: self.route.patience_ms,
            ticket: None,
        }
    }

    /// Whether a whole answer that is a failure may be made good by another endpoint.
    pub(super) fn may_retry(&self) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        self.route.kind.may_run_again()
            && self.sent < self.route.max_attempts
            && self.time_left_ms() >= MIN_ATTEMPT_MS
            && state.budget.has_one(&self.service, now_ms)
            && self.has_other_endpoint(&state.pool, now_ms)
    }

    fn has_other_endpoint(&self, pool: &EndpointPool, now_ms: u64) -> bool {
        let urgency = self.seeker().urgency(now_ms);
        pool.pick_within(&self.homes, &self.service, &self.tried, urgency, 0, now_ms).is_ok()
    }
}

/// Why a request is given up that found no endpoint; `last` says how its last attempt went.
const fn give_up_reason(no_pick: NoPick, last: GiveUpReason, now_ms: u64) -> GiveUpReason {
    match no_pick {
        NoPick::Nobody => last,
        NoPick::Full => GiveUpReason::Full,
        NoPick::Paused { until_ms } => GiveUpReason::Paused { left_ms: until_ms.saturating_sub(now_ms) },
        NoPick::Limited { until_ms } => GiveUpReason::Limited { left_ms: until_ms.saturating_sub(now_ms) },
        NoPick::Stands => GiveUpReason::Stands,
    }
}
