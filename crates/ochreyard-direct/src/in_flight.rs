//! An attempt in flight, as it counts in the load of its endpoint.

use std::cell::Cell;
use std::rc::Rc;

use ochreyard_core::direct::{AbandonedAttempt, AttemptOutcome, Pick, TakenRetry};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;

/// How far an attempt has come on the way to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The endpoint was picked, and holds a slot for the attempt.
    Picked,
    /// The request was written, as far as known, and counts as an arrival at the endpoint.
    Sent {
        /// When it was written, by the clock of this process.
        at_ms: u64,
    },
    /// The endpoint never gets the request.
    Withheld,
}

impl Stage {
    const fn sent_ms(self) -> Option<u64> {
        if let Self::Sent { at_ms } = self { Some(at_ms) } else { None }
    }
}

/// Counts an attempt in the load of its endpoint until dropped.
pub struct InFlightAttempt<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    pick: Pick,
    /// The retry that was taken for the attempt, unless it is the first one of its request.
    retry: Cell<Option<TakenRetry>>,
    stage: Cell<Stage>,
    outcome: Cell<AttemptOutcome>,
    is_answered: Cell<bool>,
}

impl<D: Dialect> InFlightAttempt<D> {
    /// Starts an attempt at the picked endpoint of a service.
    pub fn start(entry: &Rc<Entry<D>>, service: &str, pick: &Pick, retry: Option<TakenRetry>) -> Self {
        entry.state.borrow_mut().pool.on_attempt_start(pick);
        let outcome = Cell::new(AttemptOutcome::Unknown);
        Self {
            entry: Rc::clone(entry),
            service: service.to_owned(),
            pick: pick.clone(),
            retry: Cell::new(retry),
            stage: Cell::new(Stage::Picked),
            outcome,
            is_answered: Cell::new(false),
        }
    }

    /// Sets how the attempt ended.
    pub fn set_outcome(&self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }

    /// Returns whether the request may be written now, and counts it as sent if so. Called again if the connection
    /// turned out to be closed before a byte was written.
    pub fn try_send(&self) -> bool {
        if self.stage.get() == Stage::Withheld {
            return false;
        }
        let now_ms = self.entry.clock.now_ms();
        let may_send = self.entry.state.borrow_mut().pool.try_record_send(&self.pick, self.sent_ms(), now_ms);
        self.stage.set(if may_send { Stage::Sent { at_ms: now_ms } } else { Stage::Withheld });
        may_send
    }

    /// When the request was written.
    pub fn sent_ms(&self) -> Option<u64> {
        self.stage.get().sent_ms()
    }

    /// Records that the endpoint never gets the request.
    pub fn withhold(&self) {
        let before = self.stage.replace(Stage::Withheld);
        if before != Stage::Withheld {
            self.entry.state.borrow_mut().pool.on_unsent(&self.pick, before.sent_ms());
        }
    }

    /// Records that the endpoint has sent something.
    pub fn on_response_bytes(&self) {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_response_bytes(&self.pick.id, now_ms);
        if let Some(sent_ms) = self.sent_ms().filter(|_| !self.is_answered.get()) {
            self.settle_earlier_attempts(sent_ms, now_ms);
        }
        self.record_answered();
    }

    /// Attempts that were abandoned at the endpoint have arrived, since it has read a later one.
    fn settle_earlier_attempts(&self, sent_ms: u64, now_ms: u64) {
        let incarnation = self.pick.incarnation();
        let settled = self.entry.state.borrow_mut().budget.on_answered(&self.service, &incarnation, sent_ms, now_ms);
        if settled > 0 {
            log::info!("event=abandoned_attempts_arrived endpoint={} retries={settled}", self.pick.id);
        }
    }

    /// Records once that the endpoint has answered, or will not answer.
    fn record_answered(&self) {
        if !self.is_answered.replace(true) {
            let now_ms = self.entry.clock.now_ms();
            let mut state = self.entry.state.borrow_mut();
            state.pool.on_answered(&self.pick);
            if let Some(mut retry) = self.retry.take() {
                state.budget.on_arrived(&self.service, &mut retry, now_ms);
            }
        }
    }

    /// Records an attempt that this process ended before its endpoint sent anything. The request may still be in buffers
    /// on its way, and arrive later.
    fn record_if_abandoned(&self) {
        let Some(sent_ms) = self.sent_ms().filter(|_| self.is_abandoned()) else { return };
        meters::on_abandoned_attempt();
        let now_ms = self.entry.clock.now_ms();
        let waited_ms = now_ms.saturating_sub(sent_ms);
        let mut state = self.entry.state.borrow_mut();
        let has_responded = state.pool.has_responded(&self.pick);
        log::info!(
            "event=attempt_abandoned endpoint={} waited_ms={waited_ms} responded_before={has_responded} retry={}",
            self.pick.id,
            self.retry.get().is_some()
        );
        state.pool.on_abandoned(&self.pick, sent_ms);
        if let Some(mut retry) = self.retry.take() {
            let attempt = AbandonedAttempt { endpoint: self.pick.incarnation(), sent_ms, abandoned_ms: now_ms };
            state.budget.hold(&self.service, &mut retry, attempt, now_ms);
        }
    }

    /// Returns whether the request was sent, and neither an answer came nor the connection broke.
    fn is_abandoned(&self) -> bool {
        self.sent_ms().is_some() && !self.is_answered.get() && self.outcome.get() == AttemptOutcome::Unknown
    }

    /// Returns whether the endpoint has sent nothing on any request of this box for `for_ms`.
    pub fn is_silent(&self, for_ms: u64) -> bool {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow().pool.is_silent(&self.pick.id, for_ms, now_ms)
    }
}

impl<D: Dialect> Drop for InFlightAttempt<D> {
    fn drop(&mut self) {
        if self.stage.get() == Stage::Picked {
            self.withhold();
        }
        self.record_if_abandoned();
        self.record_answered();
        let now_ms = self.entry.clock.now_ms();
        let outcome = self.outcome.get();
        let mut state = self.entry.state.borrow_mut();
        state.pool.on_attempt_end(&self.pick, outcome, now_ms);
        let Some(sent_ms) = self.sent_ms() else { return };
        if state.pool.on_failed_attempt(&self.pick, outcome, sent_ms, now_ms) {
            log::info!("event=endpoint_ejected endpoint={} cause=\"failed too often in a row\"", self.pick.id);
            meters::on_ejected(&self.service);
        }
    }
}
