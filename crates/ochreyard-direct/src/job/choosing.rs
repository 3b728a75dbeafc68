//! Chooses the endpoint that a request goes to next, or lets the request wait for one.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{
    Admission, DispatchDecision, EndpointIncarnation, EndpointPool, Fingerprint, PartDecision, PendingRequest, Pick,
    PickError, PickRequest, QuarantineDecision,
};

use super::Job;
use crate::dialect::Dialect;
use crate::entry::{State, queue_of};
use crate::give_up_reason::GiveUpReason;
use crate::meters;
use crate::part_trial::{RunningTrial, TrialClaim, TrialTurn};
use crate::queue_slot::{QueueSlot, WaitEnd};

/// How often a waiting request looks for a free endpoint: well under the time of an engine step.
pub(super) const PICK_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Number of failed attempts after which a request that reached no endpoint is given up, if the attempts took as long
/// as the latency target.
const MAX_SLOW_FAILURES: usize = 4;
/// The same if they failed at once, as they do when a data centre is cut off: two endpoints of it are tried before the
/// data centre counts as cut off.
const MAX_FAST_FAILURES: usize = 16;
/// Least time left for which another attempt is worth its cost, in milliseconds: a single engine step takes longer.
const MIN_ATTEMPT_MS: u64 = 30;

/// Time in which the trial of a part usually shows whether it is the cause, in milliseconds. Claims last longer.
const TRIAL_TIME_MS: u64 = 1_000;

/// Why no endpoint was picked for a request.
pub(super) enum NotPicked {
    /// The request waits for an endpoint.
    Wait,
    /// The request waits for the trial of a part of its prompt, and keeps no other request from an endpoint meanwhile.
    Hold,
    /// The request is given up.
    GiveUp(GiveUpReason),
}

impl From<GiveUpReason> for NotPicked {
    fn from(why: GiveUpReason) -> Self {
        Self::GiveUp(why)
    }
}

impl<D: Dialect> Job<D> {
    /// Picks an endpoint; if none is available now, waits for one as long as that may help.
    pub(super) async fn wait_for_pick(&mut self, last: GiveUpReason) -> Result<Pick, GiveUpReason> {
        let mut slot: Option<QueueSlot<D>> = None;
        loop {
            let picked = match self.pick_next(last, slot.as_ref()) {
                Ok(pick) => Ok(pick),
                Err(NotPicked::GiveUp(why)) => {
                    self.ahead = self.count_ahead(slot.as_ref());
                    Err(why)
                }
                Err(NotPicked::Hold) => {
                    if let Some(slot) = slot.take() {
                        slot.set_end(WaitEnd::Abandoned);
                    }
                    tokio::time::sleep(PICK_RETRY_INTERVAL).await;
                    continue;
                }
                Err(NotPicked::Wait) => {
                    if slot.is_none() {
                        let joined = QueueSlot::join(&self.entry, self.id(), &self.pending_request());
                        if self.is_replacing {
                            // The wait ends if the present endpoint goes on.
                            joined.set_end(WaitEnd::Abandoned);
                        }
                        slot = Some(joined);
                        if self.is_service_stalled() {
                            self.stall_outcome.on_held();
                        }
                    }
                    tokio::time::sleep(PICK_RETRY_INTERVAL).await;
                    continue;
                }
            };
            if let Some(slot) = &slot {
                slot.set_end(if picked.is_ok() { WaitEnd::Sent } else { WaitEnd::Abandoned });
            }
            return picked;
        }
    }

    /// Returns how many waiting requests go before this one.
    fn count_ahead(&self, slot: Option<&QueueSlot<D>>) -> usize {
        let now_ms = self.entry.clock.now_ms();
        let request = PendingRequest { ticket: slot.map(QueueSlot::ticket), ..self.pending_request() };
        self.entry.state.borrow_mut().queue(&self.service).wait_queue.ahead(&request, now_ms)
    }

    /// Returns whether no further attempt is allowed.
    fn attempts_exhausted(&self) -> bool {
        let failures = self.tried.len() + self.stall_refusals;
        let is_past_target = self.elapsed_ms() >= self.route.target_latency_ms;
        self.sent >= self.route.max_attempts
            || (failures >= MAX_SLOW_FAILURES && is_past_target)
            || failures >= MAX_FAST_FAILURES
    }

    pub(super) fn pick_next(&mut self, last: GiveUpReason, slot: Option<&QueueSlot<D>>) -> Result<Pick, NotPicked> {
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
        // A request that an endpoint may have run is under way, and has the rest of the grace period. Any other one is
        // better off at a box that stays.
        let is_late = || slot.is_some() && self.entry.is_refusing.get() || self.would_outlast_process(now_ms);
        if !self.may_have_run && is_late() {
            return Err(GiveUpReason::Leaving.into());
        }
        self.claim_part_trials(now_ms)?;
        let entry = Rc::clone(&self.entry);
        let mut state = entry.state.borrow_mut();
        let has_retry = match &self.abandoned_first {
            Some(_) => state.budget.has_holdable_retry(&self.service, now_ms),
            None => state.budget.has_retry(&self.service, now_ms),
        };
        if self.has_reached_endpoint && !has_retry {
            return Err(GiveUpReason::Budget.into());
        }
        let boxes = state.boxes.len() as u64 + 1;
        let request = PendingRequest { ticket: slot.map(QueueSlot::ticket), ..self.pending_request() };
        let State { queues, pool, .. } = &mut *state;
        let queue = queue_of(queues, &self.service);
        match queue.decide(pool, boxes, &request, entry.next_random(), now_ms) {
            DispatchDecision::Send(pick) => {
                self.retry = self.has_reached_endpoint.then(|| state.budget.try_take(&self.service, now_ms)).flatten();
                if let Some(retry) = &mut self.retry {
                    meters::on_retry(&self.service);
                    if let Some(attempt) = self.abandoned_first.take() {
                        state.budget.hold(&self.service, retry, attempt, now_ms);
                    }
                }
                drop(state);
                if is_trial {
                    self.is_on_trial = true;
                    self.entry.begin_trial(self.fingerprint());
                }
                self.running_trial = self.trial_claim.take().map(TrialClaim::begin);
                self.is_on_trial |= self.running_trial.is_some();
                Ok(pick)
            }
            DispatchDecision::Wait(facts) => {
                self.last_wait_facts = Some(facts);
                Err(NotPicked::Wait)
            }
            DispatchDecision::GiveUp(facts) => {
                self.last_wait_facts = Some(facts);
                Err(give_up_reason(facts.pick_error, last, now_ms).into())
            }
        }
    }

    /// Returns whether a run that begins now may go on for longer than this process, which is stopping.
    fn would_outlast_process(&self, now_ms: u64) -> bool {
        let Some(exit_ms) = self.entry.exit_ms.get() else { return false };
        let longest_run_ms = self.entry.state.borrow_mut().queue(&self.service).longest_runs.of(&self.route.name);
        longest_run_ms.is_some_and(|run_ms| now_ms + run_ms.min(self.time_left_ms()) > exit_ms)
    }

    /// Returns whether the request would run as the trial of a suspected request.
    ///
    /// # Errors
    ///
    /// When the request is refused: it crashed endpoints, a trial of an identical request is running, or this would be
    /// a retry of a suspected request.
    fn is_trial(&self, now_ms: u64) -> Result<bool, GiveUpReason> {
        let state = self.entry.state.borrow();
        if state.quarantine.is_empty() {
            return Ok(false);
        }
        match state.quarantine.decision(self.fingerprint(), now_ms) {
            QuarantineDecision::Allow => Ok(false),
            QuarantineDecision::AllowAsTrial if self.may_have_run => Err(GiveUpReason::Failed),
            QuarantineDecision::AllowAsTrial => Ok(true),
            QuarantineDecision::WaitForTrial { .. } if self.is_on_trial && self.may_have_run => {
                Err(GiveUpReason::Failed)
            }
            QuarantineDecision::WaitForTrial { .. } if self.is_on_trial => Ok(false),
            QuarantineDecision::WaitForTrial { left_ms } | QuarantineDecision::Refuse { left_ms } => {
                Err(GiveUpReason::Quarantined { part: None, left_ms })
            }
        }
    }

    /// Checks the parts of the prompt. If any are suspected of crashing endpoints, claims their trials for this request.
    ///
    /// # Errors
    ///
    /// When the request must not be sent now: a part is refused, or other requests may run a trial first.
    fn claim_part_trials(&mut self, now_ms: u64) -> Result<(), NotPicked> {
        let state = self.entry.state.borrow();
        let decision = if state.quarantine.is_empty() {
            PartDecision::Allow
        } else {
            state.quarantine.part_decision(self.prompt_parts(), now_ms)
        };
        let suspected = match decision {
            PartDecision::Allow => {
                drop(state);
                self.trial_claim = None;
                self.running_trial = None;
                return Ok(());
            }
            PartDecision::Refuse { part, left_ms } => {
                return Err(GiveUpReason::Quarantined { part: Some(part), left_ms }.into());
            }
            PartDecision::Suspected(_) if self.is_on_trial && self.may_have_run => {
                return Err(GiveUpReason::Failed.into());
            }
            PartDecision::Suspected(parts) => parts,
        };
        // A claim without an endpoint that may run the request keeps others from trials that could take place.
        let has_endpoint = self.pick_other(&state.pool, &self.tried, now_ms).is_ok();
        drop(state);
        if !has_endpoint {
            self.trial_claim = None;
            return Ok(());
        }
        let first = suspected.first().copied();
        let claim = self.running_trial.take().map(RunningTrial::into_claim).or(self.trial_claim.take());
        let mut claim =
            claim.unwrap_or_else(|| TrialClaim::new(&self.entry, &self.service, self.id(), self.prompt_parts()));
        let turn = claim.claim(suspected);
        self.trial_claim = Some(claim);
        match turn {
            TrialTurn::Now => Ok(()),
            TrialTurn::Soon => Err(NotPicked::Hold),
            TrialTurn::AfterOther { left_ms } => Err(self.hold_for_trial(first, left_ms, now_ms)),
        }
    }

    /// Returns how a request goes on that waits for the trial of a part, which ends within `left_ms`.
    fn hold_for_trial(&self, part: Option<Fingerprint>, left_ms: u64, now_ms: u64) -> NotPicked {
        if self.entry.is_refusing.get() && !self.may_have_run {
            return GiveUpReason::Leaving.into();
        }
        let is_patient =
            self.entry.state.borrow_mut().queue(&self.service).is_caller_patient(&self.pending_request(), now_ms);
        let left_ms = left_ms.min(TRIAL_TIME_MS);
        if is_patient { NotPicked::Hold } else { GiveUpReason::Quarantined { part, left_ms }.into() }
    }

    pub(super) fn pending_request(&self) -> PendingRequest<'_> {
        PendingRequest {
            service: &self.service,
            permitted_regions: &self.permitted_regions,
            tried: &self.tried,
            workspace: self.workspace_name(),
            work_tokens: self.work_tokens,
            priority: self.priority,
            level: self.priority_level,
            may_have_run: self.may_have_run,
            arrival: self.arrival,
            deadline_ms: self.deadline_ms,
            silent_since_ms: self.silent_since_ms,
            target_latency_ms: self.route.target_latency_ms,
            patience_ms: self.route.patience_ms,
            ticket: None,
        }
    }

    /// Returns whether a complete answer that reports a failure may be retried at another endpoint; a trial run may not.
    pub(super) fn may_retry(&self) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        !self.is_on_trial
            && self.route.kind.may_run_again()
            && self.sent < self.route.max_attempts
            && self.time_left_ms() >= MIN_ATTEMPT_MS
            && state.budget.has_retry(&self.service, now_ms)
            && self.pick_other(&state.pool, &self.tried, now_ms).is_ok()
    }

    /// Returns whether the request may leave a silent endpoint, as far as another one may take it within its time. The
    /// trial run of a suspected request stays: its outcome at this endpoint decides, and it must not end a second one.
    pub fn may_leave(&self, pick: &Pick) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        let has_retry = state.budget.has_holdable_retry(&self.service, now_ms);
        if self.is_on_trial || self.time_left_ms() < MIN_ATTEMPT_MS || !has_retry {
            return false;
        }
        let tried: Vec<_> = self.tried.iter().cloned().chain([pick.incarnation()]).collect();
        match self.pick_other(&state.pool, &tried, now_ms) {
            Ok(_) | Err(PickError::Full) => true,
            Err(PickError::Limited { until_ms } | PickError::Paused { until_ms }) => until_ms < self.deadline_ms,
            Err(PickError::NoEndpoint | PickError::Stalled) => false,
        }
    }

    /// Picks an endpoint other than those in `tried`, without regard to the queue.
    fn pick_other(&self, pool: &EndpointPool, tried: &[EndpointIncarnation], now_ms: u64) -> Result<Pick, PickError> {
        let urgency = self.pending_request().urgency(now_ms);
        let PendingRequest { service, permitted_regions, level, .. } = self.pending_request();
        let admission = Admission::Exempt;
        pool.pick_for(&PickRequest { service, permitted_regions, tried, urgency, level, admission }, 0, now_ms)
    }
}

/// Returns why a request that found no endpoint is given up; `last` says how its last attempt ended.
const fn give_up_reason(error: PickError, last: GiveUpReason, now_ms: u64) -> GiveUpReason {
    match error {
        PickError::NoEndpoint => last,
        PickError::Full => GiveUpReason::Full,
        PickError::Paused { until_ms } => GiveUpReason::Paused { left_ms: until_ms.saturating_sub(now_ms) },
        PickError::Limited { until_ms } => GiveUpReason::Limited { left_ms: until_ms.saturating_sub(now_ms) },
        PickError::Stalled => GiveUpReason::Stalled,
    }
}
