//! Retry decisions for one request at its entry.

use crate::error_kind::{ErrorKind, Refusal, Retry, RunStatus};
use crate::ids::EndpointId;
use crate::retry::RetryBudget;

/// Maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// What the entry does after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another endpoint.
    RetryElsewhere,
    /// Answer the caller with this refusal.
    GiveUp(Refusal),
}

/// The attempts of one request at its entry.
#[derive(Debug, Clone)]
pub struct Dispatch {
    repeatable: bool,
    has_key: bool,
    deadline_ms: u64,
    attempts: u32,
    may_have_run: bool,
    answer_started: bool,
    tried: Vec<EndpointId>,
}

impl Dispatch {
    /// Creates the state of a request that must be answered by `deadline_ms`. `has_key` says whether it has an
    /// idempotency key.
    #[must_use]
    pub const fn new(repeatable: bool, has_key: bool, deadline_ms: u64) -> Self {
        Self {
            repeatable,
            has_key,
            deadline_ms,
            attempts: 0,
            may_have_run: false,
            answer_started: false,
            tried: Vec::new(),
        }
    }

    /// Endpoints that attempts have been sent to.
    #[must_use]
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Starts an attempt and returns its number, from 1.
    pub fn begin(&mut self, endpoint: &EndpointId) -> u32 {
        self.attempts += 1;
        self.tried.push(endpoint.clone());
        self.attempts
    }

    /// Records that the first part of the answer was forwarded to the caller.
    pub const fn on_answer_started(&mut self) {
        self.answer_started = true;
    }

    /// Decides whether to retry after a failed attempt.
    pub fn on_failure(&mut self, refusal: Refusal, budget: &mut RetryBudget, now_ms: u64) -> RetryDecision {
        self.may_have_run |= refusal.run != RunStatus::NotRun;
        let may_retry = match refusal.kind.rule().retry {
            Retry::Never => false,
            Retry::Elsewhere => refusal.run == RunStatus::NotRun || self.repeatable,
            Retry::IfRepeatable => self.repeatable,
        };
        let can_retry = may_retry && !self.has_key && !self.answer_started;
        if !can_retry || self.attempts >= MAX_ATTEMPTS || now_ms >= self.deadline_ms {
            return RetryDecision::GiveUp(self.limit_claim(refusal));
        }
        // A leaving endpoint is not a sign of overload, so this retry is not charged to the budget.
        if refusal.kind != ErrorKind::Leaving && !budget.try_take() {
            return RetryDecision::GiveUp(self.limit_claim(refusal));
        }
        RetryDecision::RetryElsewhere
    }

    /// The final refusal when no other endpoint can be tried. `last` is the refusal of the last attempt.
    #[must_use]
    pub fn give_up(&self, last: Option<Refusal>) -> Refusal {
        self.limit_claim(last.unwrap_or_else(|| Refusal::new(ErrorKind::NoEndpoint)))
    }

    /// Weakens a claim that the request did not run, if the attempts together do not prove it.
    fn limit_claim(&self, refusal: Refusal) -> Refusal {
        let was_checked_at_home = self.attempts > 0;
        let is_unproven = self.may_have_run || (self.has_key && !was_checked_at_home);
        if refusal.run == RunStatus::NotRun && is_unproven { refusal.with_run(RunStatus::MayHaveRun) } else { refusal }
    }
}
