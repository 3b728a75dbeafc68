//! Which endpoint a request goes to next, or whether it waits for one.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{DispatchDecision, EndpointPool, PendingRequest, Pick, PickError, QuarantineDecision};

use super::Job;
use crate::dialect::Dialect;
use crate::entry::{State, queue_of};
use crate::given_up::GivenUp;
use crate::meters;
use crate::waiting_place::{WaitEnd, WaitingPlace};

/// How often a waiting request looks for room: well under the time of a step.
const ROOM_LOOK: Duration = Duration::from_millis(10);
/// Endpoints that are tried in vain for one request before it is given up, where
/// none of them got it, and that took its time: a few connections that did not come up.
const MAX_UNREACHED: usize = 4;
/// The same where they failed at once, as they do where a data centre is cut off: two of each are tried before it counts as that.
const MAX_UNREACHED_AT_ONCE: usize = 16;
/// Least time left for which another attempt is worth its cost, in milliseconds: an
/// engine's step alone takes longer.
const LEAST_USEFUL_MS: u64 = 30;

/// Why a request has no endpoint now.
enum NotPicked {
    /// It waits for one.
    Wait,
    /// It is given up.
    GivenUp(GivenUp),
}

impl From<GivenUp> for NotPicked {
    fn from(why: GivenUp) -> Self {
        Self::GivenUp(why)
    }
}

impl<D: Dialect> Job<D> {
    /// Picks an endpoint; where there is none now, waits for one as long as that may help.
    pub(super) async fn wait_for_pick(&mut self, last: GivenUp) -> Result<Pick, GivenUp> {
        let mut place = None;
        loop {
            let picked = match self.pick_next(last, place.as_ref()) {
                Ok(pick) => Ok(pick),
                Err(NotPicked::GivenUp(why)) => Err(why),
                Err(NotPicked::Wait) => {
                    if place.is_none() {
                        place = Some(WaitingPlace::join(&self.entry, &self.seeker()));
                        if self.stands() {
                            self.end.on_held();
                        }
                    }
                    tokio::time::sleep(ROOM_LOOK).await;
                    continue;
                }
            };
            if let Some(place) = &place {
                place.end(if picked.is_ok() { WaitEnd::Sent } else { WaitEnd::GivenUp });
            }
            return picked;
        }
    }

    /// Whether no further attempt is allowed.
    fn is_spent(&self) -> bool {
        let in_vain = self.tried.len() + self.refused_by_stands;
        let took_its_time = self.elapsed_ms() >= self.route.target_latency_ms;
        self.sent >= self.route.max_attempts
            || (in_vain >= MAX_UNREACHED && took_its_time)
            || in_vain >= MAX_UNREACHED_AT_ONCE
    }

    fn pick_next(&mut self, last: GivenUp, place: Option<&WaitingPlace<D>>) -> Result<Pick, NotPicked> {
        let now_ms = self.entry.clock.now_ms();
        if self.may_have_run && !self.route.kind.may_run_again() {
            return Err(GivenUp::Failed.into());
        }
        let is_trial = self.is_trial(now_ms)?;
        if self.is_spent() {
            return Err(last.into());
        }
        if self.time_left_ms() < LEAST_USEFUL_MS {
            return Err(GivenUp::TimeUp.into());
        }
        if place.is_some() && self.entry.is_refusing.get() {
            return Err(GivenUp::Leaving.into());
        }
        let entry = Rc::clone(&self.entry);
        let mut state = entry.state.borrow_mut();
        if self.has_arrived && !state.budget.has_retry(&self.service, now_ms) {
            return Err(GivenUp::Budget.into());
        }
        let boxes = state.boxes.len() as u64 + 1;
        let seeker = PendingRequest { ticket: place.map(WaitingPlace::ticket), ..self.seeker() };
        let State { queues, pool, .. } = &mut *state;
        let queue = queue_of(queues, &self.service);
        match queue.decide(pool, boxes, &seeker, entry.next_random(), now_ms) {
            DispatchDecision::Send(pick) => {
                if self.has_arrived && state.budget.try_take(&self.service, now_ms) {
                    meters::on_repeat(&self.service);
                }
                drop(state);
                if is_trial {
                    self.is_tried = true;
                    self.entry.begin_trial(self.fingerprint());
                }
                Ok(pick)
            }
            DispatchDecision::Wait(facts) => {
                self.last_facts = Some(facts);
                Err(NotPicked::Wait)
            }
            DispatchDecision::GiveUp(facts) => {
                self.last_facts = Some(facts);
                Err(given_up(facts.no_pick, last, now_ms).into())
            }
        }
    }

    /// Whether it would run as a suspect that is tried.
    ///
    /// # Errors
    ///
    /// When it is refused: it crashed endpoints, a copy of it is being tried, or this would be a repeat of a suspect.
    fn is_trial(&self, now_ms: u64) -> Result<bool, GivenUp> {
        let state = self.entry.state.borrow();
        if state.quarantine.is_empty() {
            return Ok(false);
        }
        match state.quarantine.decision(self.fingerprint(), now_ms) {
            QuarantineDecision::Allow => Ok(false),
            QuarantineDecision::AllowAsTrial if self.may_have_run => Err(GivenUp::Failed),
            QuarantineDecision::AllowAsTrial => Ok(true),
            QuarantineDecision::WaitForTrial { .. } if self.is_tried => Ok(false),
            QuarantineDecision::WaitForTrial { left_ms } | QuarantineDecision::Refuse { left_ms } => {
                Err(GivenUp::Quarantined { left_ms })
            }
        }
    }

    fn seeker(&self) -> PendingRequest<'_> {
        PendingRequest {
            service: &self.service,
            allowed_regions: &self.homes,
            tried: &self.tried,
            arrival: self.arrival,
            deadline_ms: self.deadline_ms,
            silent_since_ms: self.silent_since_ms,
            target_latency_ms: self.route.target_latency_ms,
            patience_ms: self.route.patience_ms,
            ticket: None,
        }
    }

    /// Whether a whole answer that is a failure may be made good by another endpoint.
    pub(super) fn may_try_again(&self) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        self.route.kind.may_run_again()
            && self.sent < self.route.max_attempts
            && self.time_left_ms() >= LEAST_USEFUL_MS
            && state.budget.has_retry(&self.service, now_ms)
            && self.finds_another(&state.pool, now_ms)
    }

    fn finds_another(&self, pool: &EndpointPool, now_ms: u64) -> bool {
        let urgency = self.seeker().urgency(now_ms);
        pool.pick_in_regions(&self.homes, &self.service, &self.tried, urgency, 0, now_ms).is_ok()
    }
}

/// Why a request is given up that found no endpoint; `last` says how its last attempt went.
const fn given_up(no_pick: PickError, last: GivenUp, now_ms: u64) -> GivenUp {
    match no_pick {
        PickError::Nobody => last,
        PickError::Full => GivenUp::Full,
        PickError::Paused { until_ms } => GivenUp::Paused { left_ms: until_ms.saturating_sub(now_ms) },
        PickError::Limited { until_ms } => GivenUp::Limited { left_ms: until_ms.saturating_sub(now_ms) },
        PickError::Stands => GivenUp::Stands,
    }
}
