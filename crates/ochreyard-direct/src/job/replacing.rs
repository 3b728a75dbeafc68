//! Replaces the endpoint of a request that waits for an answer, if it is silent or slow.
//!
//! At a silent one the attempt goes on until another endpoint is picked and a retry is taken for it. If there is none,
//! the answer may still come.

use std::pin::Pin;
use std::time::Duration;

use ochreyard_core::direct::{AbandonedAttempt, Pick};

use super::Job;
use super::choosing::{NotPicked, PICK_RETRY_INTERVAL};
use crate::attempt::Attempt;
use crate::dialect::Dialect;
use crate::give_up_reason::GiveUpReason;
use crate::job::SLOW_ENDPOINT;
use crate::queue_slot::{QueueSlot, WaitEnd};
use crate::timeout::poll_after_reads;

/// Multiple of the route's latency target after which a request leaves an endpoint that sends nothing on any request.
const SILENCE_TIMEOUT_FACTOR: f64 = 2.5;
/// Multiple of the route's latency target after which a request leaves an endpoint that does not respond to a check. Less
/// than [`SILENCE_TIMEOUT_FACTOR`], since the endpoint never gets the request, and no retry is needed.
const CHECK_TIMEOUT_FACTOR: f64 = 2.0;
/// How often a request that waits for an answer checks whether its endpoint still sends anything.
pub(super) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How an attempt ended.
pub(super) enum AttemptEnd<D: Dialect> {
    /// By itself, or because the request was quarantined.
    Ended(Attempt<D>),
    /// The request goes on at this endpoint.
    Replaced(Pick),
}

impl<D: Dialect> Job<D> {
    /// Waits for an attempt. If its endpoint sends nothing on any request, and the request may run again, seeks another
    /// endpoint meanwhile. A slow endpoint is left.
    pub(super) async fn watch_for_silence(
        &mut self,
        pick: &Pick,
        attempt: impl Future<Output = Attempt<D>>,
    ) -> AttemptEnd<D> {
        tokio::pin!(attempt);
        let mut slot: Option<QueueSlot<D>> = None;
        loop {
            let interval = if slot.is_some() { PICK_RETRY_INTERVAL } else { SILENCE_CHECK_INTERVAL };
            tokio::select! {
                // An attempt that has ended counts, however late this is noticed.
                biased;
                done = &mut attempt => return AttemptEnd::Ended(done),
                () = tokio::time::sleep(interval) => {}
            }
            // The endpoint has not begun to run the request, and need not crash with it.
            if self.is_quarantined() {
                let cause = "quarantined while it waited at the endpoint".to_owned();
                return AttemptEnd::Ended(Attempt::Abandoned { cause });
            }
            // A slow endpoint is left at once: its requests lengthen every step of its whole group.
            if self.may_retry_elsewhere() && self.should_migrate(pick) {
                return AttemptEnd::Ended(Attempt::Abandoned { cause: SLOW_ENDPOINT.to_owned() });
            }
            if let Some(end) = self.seek_replacement(pick, attempt.as_mut(), &mut slot).await {
                return end;
            }
        }
    }

    /// Looks once for another endpoint if this one is silent.
    async fn seek_replacement(
        &mut self,
        pick: &Pick,
        attempt: Pin<&mut impl Future<Output = Attempt<D>>>,
        slot: &mut Option<QueueSlot<D>>,
    ) -> Option<AttemptEnd<D>> {
        if self.silent_ms(pick).is_none() {
            *slot = None;
            return None;
        }
        if let Some(done) = poll_after_reads(attempt).await {
            return Some(AttemptEnd::Ended(done));
        }
        // Answers to other requests may have been read meanwhile.
        let silent_ms = self.silent_ms(pick)?;
        let next = self.pick_replacement(pick, slot)?;
        self.log_failed_attempt(pick, &format!("silent for {silent_ms} ms"));
        self.record_left_silent(pick);
        Some(AttemptEnd::Replaced(next))
    }

    fn may_retry_elsewhere(&self) -> bool {
        self.route.kind.may_run_again() && self.sent + 1 < self.route.max_attempts
    }

    /// How long the request waits for an endpoint that sends nothing, in milliseconds.
    pub(super) fn silence_timeout_ms(&self) -> u64 {
        (self.route.target_latency_ms as f64 * SILENCE_TIMEOUT_FACTOR) as u64
    }

    /// How long the request waits for an endpoint that does not respond to a liveness check, in milliseconds.
    pub(super) fn check_timeout_ms(&self) -> u64 {
        (self.route.target_latency_ms as f64 * CHECK_TIMEOUT_FACTOR) as u64
    }

    /// Returns for how long the request has waited, if its endpoint is silent and may be left.
    fn silent_ms(&self, pick: &Pick) -> Option<u64> {
        let now_ms = self.entry.clock.now_ms();
        let waited_ms = now_ms.saturating_sub(self.progress.started_ms);
        let silence_timeout_ms = self.silence_timeout_ms();
        let is_silent = || self.entry.state.borrow().pool.is_silent(&pick.id, silence_timeout_ms, now_ms);
        let should_leave =
            self.may_retry_elsewhere() && waited_ms >= silence_timeout_ms && is_silent() && self.may_leave(pick);
        should_leave.then_some(waited_ms)
    }

    /// Picks the endpoint that replaces the one of the attempt in flight, which then counts as failed. Joins the wait
    /// queue if there is room later.
    fn pick_replacement(&mut self, pick: &Pick, slot: &mut Option<QueueSlot<D>>) -> Option<Pick> {
        let before = (self.sent, self.has_reached_endpoint, self.may_have_run);
        self.note_abandoned_first(pick);
        self.sent += 1;
        self.tried.push(pick.incarnation());
        (self.has_reached_endpoint, self.may_have_run) = (true, true);
        let picked = self.pick_next(GiveUpReason::Failed, slot.as_ref());
        match (&picked, &slot) {
            (Ok(_), Some(slot)) => slot.set_end(WaitEnd::Sent),
            (Err(NotPicked::Wait), None) => {
                let joined = QueueSlot::join(&self.entry, self.id(), &self.pending_request());
                // The request ends its wait if its endpoint answers.
                joined.set_end(WaitEnd::Abandoned);
                *slot = Some(joined);
            }
            (Err(NotPicked::Hold | NotPicked::GiveUp(_)), _) => *slot = None,
            _ => {}
        }
        if picked.is_err() {
            (self.sent, self.has_reached_endpoint, self.may_have_run) = before;
            self.tried.pop();
            self.abandoned_first = None;
        }
        picked.ok()
    }

    /// Records that the request was moved to another endpoint, since this one is silent.
    pub fn record_left_silent(&self, pick: &Pick) {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_left_silent(pick, now_ms);
    }

    /// Notes that the attempt in flight is abandoned, if it is the first one. A later one holds its own retry.
    pub(super) fn note_abandoned_first(&mut self, pick: &Pick) {
        if self.retry.is_none() {
            self.abandoned_first = Some(AbandonedAttempt {
                endpoint: pick.incarnation(),
                sent_ms: self.progress.started_ms,
                abandoned_ms: self.entry.clock.now_ms(),
            });
        }
    }
}
