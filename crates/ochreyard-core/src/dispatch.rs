//! What an entry does with one request, attempt by attempt.

use crate::error_kind::{ErrorKind, Refusal, Retry, RunStatus};
use crate::ids::EndpointId;
use crate::retry::RetryBudget;

/// Attempts of one request, at the most.
pub const MAX_ATTEMPTS: u32 = 4;

/// What comes next after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint.
    RetryElsewhere,
    /// Give this final answer, at once.
    GiveUp(Refusal),
}

/// The state of one request at its entry.
#[derive(Debug, Clone)]
pub struct Dispatch {
    repeatable: bool,
    keyed: bool,
    deadline_ms: u64,
    attempts: u32,
    may_have_run: bool,
    reached_caller: bool,
    tried: Vec<EndpointId>,
}

impl Dispatch {
    /// A request that must be answered by `deadline_ms`.
    #[must_use]
    pub const fn new(repeatable: bool, keyed: bool, deadline_ms: u64) -> Self {
        Self {
            repeatable,
            keyed,
            deadline_ms,
            attempts: 0,
            may_have_run: false,
            reached_caller: false,
            tried: Vec::new(),
        }
    }

    /// Endpoints that have been tried.
    #[must_use]
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Starts an attempt and returns its running number.
    pub fn begin(&mut self, endpoint: &EndpointId) -> u32 {
        self.attempts += 1;
        self.tried.push(endpoint.clone());
        self.attempts
    }

    /// Notes that part of the answer has been passed on.
    pub const fn on_answer_started(&mut self) {
        self.reached_caller = true;
    }

    /// Decides after a failed attempt.
    pub fn on_failure(&mut self, refusal: Refusal, budget: &mut RetryBudget, now_ms: u64) -> RetryDecision {
        self.may_have_run |= refusal.run != RunStatus::NotRun;
        let may_retry = match refusal.kind.rule().retry {
            Retry::Never => false,
            Retry::Elsewhere => refusal.run == RunStatus::NotRun || self.repeatable,
            Retry::IfRepeatable => self.repeatable,
        };
        let open = may_retry && !self.keyed && !self.reached_caller;
        if !open || self.attempts >= MAX_ATTEMPTS || now_ms >= self.deadline_ms {
            return RetryDecision::GiveUp(self.claim(refusal));
        }
        // A leaving endpoint is no sign of overload, so it costs no budget.
        if refusal.kind != ErrorKind::Leaving && !budget.try_take() {
            return RetryDecision::GiveUp(self.claim(refusal));
        }
        RetryDecision::RetryElsewhere
    }

    /// The final answer when no endpoint is left to try. `last` is the refusal of the last attempt.
    #[must_use]
    pub fn give_up(&self, last: Option<Refusal>) -> Refusal {
        self.claim(last.unwrap_or_else(|| Refusal::new(ErrorKind::NoEndpoint)))
    }

    /// Never claims more than all attempts together prove.
    fn claim(&self, refusal: Refusal) -> Refusal {
        let proved_by_home = self.attempts > 0;
        let unproved = self.may_have_run || (self.keyed && !proved_by_home);
        if refusal.run == RunStatus::NotRun && unproved { refusal.with_run(RunStatus::MayHaveRun) } else { refusal }
    }
}
