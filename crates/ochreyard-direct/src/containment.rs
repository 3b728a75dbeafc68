//! Containment of requests that crash endpoints: crash reports, trials, verdicts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{
    CrashReport, Fingerprint, LostRequest, PartFinding, Pick, PromptPart, QuarantineUpdate, QuarantinedRequest,
};
use ochreyard_core::hash;

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;
use crate::peers::broadcast;

/// How long crashes are collected before they are sent to other boxes: all requests of an endpoint break off within a
/// few milliseconds of its crash, and are reported in one message.
const CRASH_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Number of boxes that write a verdict based on the reports of others: one of them may be cut off from the log.
const INFORMED_WRITERS: usize = 2;

/// Crash reports to be sent, and verdicts to be written.
#[derive(Debug, Default)]
pub struct Outbox {
    crashes: RefCell<Vec<CrashReport>>,
    /// Requests whose verdicts are to be written into the log.
    pub verdicts_to_write: RefCell<Vec<Fingerprint>>,
    /// Wakes the task that writes verdicts.
    pub verdict_queued: tokio::sync::Notify,
}

impl<D: Dialect> Entry<D> {
    /// Records that an endpoint crashed while it had a request; its connection broke at `at_ms`.
    pub fn on_crash(self: &Rc<Self>, pick: &Pick, service: &str, lost: LostRequest, at_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.pool.on_crash(&pick.id, at_ms);
        let quarantined = state.quarantine.on_crash(&pick.id, service, lost.clone(), at_ms, now_ms);
        drop(state);
        self.log_part_findings();
        self.record_quarantined(&quarantined, "seen");
        quarantined.iter().for_each(|verdict| self.queue_verdict_write(verdict.fingerprint));
        self.broadcast_crash(pick, service, lost, now_ms.saturating_sub(at_ms));
    }

    /// Reports a crash to other boxes, with what else becomes known of it within [`CRASH_BATCH_DELAY`].
    fn broadcast_crash(self: &Rc<Self>, pick: &Pick, service: &str, lost: LostRequest, age_ms: u64) {
        let mut crashes = self.outbox.crashes.borrow_mut();
        if let Some(crash) = crashes.iter_mut().find(|crash| crash.endpoint == pick.id) {
            crash.lost.push(lost);
            return;
        }
        if crashes.is_empty() {
            let entry = Rc::clone(self);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(CRASH_BATCH_DELAY).await;
                let crashes = std::mem::take(&mut *entry.outbox.crashes.borrow_mut());
                broadcast(&entry, &QuarantineUpdate { crashes, ..QuarantineUpdate::default() });
            });
        }
        crashes.push(CrashReport { endpoint: pick.id.clone(), service: service.to_owned(), age_ms, lost: vec![lost] });
    }

    /// Records that a suspected request is about to be sent, and lets other boxes hold back identical ones.
    pub fn begin_trial(self: &Rc<Self>, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        let update = self.state.borrow_mut().quarantine.begin_trial(fingerprint, now_ms);
        log::info!("event=suspect_tried fingerprint={fingerprint}");
        meters::on_trial();
        broadcast(self, &update);
    }

    /// Records that a request succeeded. Other boxes learn of it when they poll.
    pub fn on_request_success(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        if self.state.borrow_mut().quarantine.on_success(fingerprint, now_ms) {
            log::debug!("event=suspect_cleared fingerprint={fingerprint}");
        }
    }

    /// Records the good run of a request, which began at `began_ms`. Other boxes are told at once of one that was a trial,
    /// since they hold requests back.
    pub fn on_good_run(self: &Rc<Self>, parts: &[PromptPart], began_ms: u64, is_trial: bool) {
        let now_ms = self.clock.now_ms();
        let update = self.state.borrow_mut().quarantine.on_good_run(parts, began_ms, now_ms);
        self.share_progress(update, is_trial);
    }

    /// Records that a run which began at `began_ms` got past the start of its answer.
    pub fn on_run_past_start(self: &Rc<Self>, parts: &[PromptPart], began_ms: u64, is_trial: bool) {
        let now_ms = self.clock.now_ms();
        let update = self.state.borrow_mut().quarantine.on_run_past_start(parts, began_ms, now_ms);
        self.share_progress(update, is_trial);
    }

    fn share_progress(self: &Rc<Self>, update: Option<QuarantineUpdate>, is_trial: bool) {
        let Some(update) = update else { return };
        update.cleared.iter().for_each(|one| log::info!("event=part_cleared fingerprint={}", one.fingerprint));
        self.log_part_findings();
        if is_trial {
            broadcast(self, &update);
        }
    }

    /// Removes what no longer matters from the quarantine, and quarantines parts whose last crash is fully reported.
    pub fn expire_quarantine(&self) {
        let now_ms = self.clock.now_ms();
        let quarantined = self.state.borrow_mut().quarantine.remove_expired(now_ms);
        self.log_part_findings();
        self.record_quarantined(&quarantined, "seen");
        self.queue_verdict_writes(&quarantined);
    }

    /// Applies findings of another box on requests that crash endpoints.
    pub fn apply_quarantine_update(&self, update: &QuarantineUpdate) {
        if update.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        for crash in &update.crashes {
            state.pool.on_crash(&crash.endpoint, now_ms.saturating_sub(crash.age_ms));
        }
        let quarantined = state.quarantine.apply_delayed_update(update, self.recent_lag.late_ms(now_ms), now_ms);
        drop(state);
        self.log_part_findings();
        self.record_quarantined(&quarantined, "told");
        self.queue_verdict_writes(&quarantined);
    }

    /// Queues the verdicts that this box writes for all.
    fn queue_verdict_writes(&self, quarantined: &[QuarantinedRequest]) {
        let fingerprints = quarantined.iter().map(|verdict| verdict.fingerprint);
        fingerprints
            .filter(|fingerprint| self.is_verdict_writer(*fingerprint))
            .for_each(|fingerprint| self.queue_verdict_write(fingerprint));
    }

    /// Returns whether this box writes the verdict on a request that other boxes reported. The box that saw the last
    /// crash writes it, too, but it may have known too little for a verdict, or be gone by now.
    fn is_verdict_writer(&self, fingerprint: Fingerprint) -> bool {
        let rank = |name: &str| hash::mix(hash::fnv1a(name.as_bytes()) ^ fingerprint.to_u64());
        let own_rank = rank(&self.identity.name);
        let state = self.state.borrow();
        state.boxes.iter().filter(|(name, _)| rank(name) < own_rank).count() < INFORMED_WRITERS
    }

    /// Queues verdicts and releases for writing again after the log lost recent records. Only the boxes that write them
    /// for all do so.
    pub fn rewrite_verdicts(&self) {
        let now_ms = self.clock.now_ms();
        let known = self.state.borrow().quarantine.active_decisions(now_ms);
        known
            .into_iter()
            .filter(|fingerprint| self.is_verdict_writer(*fingerprint))
            .for_each(|fingerprint| self.queue_verdict_write(fingerprint));
    }

    fn queue_verdict_write(&self, fingerprint: Fingerprint) {
        self.outbox.verdicts_to_write.borrow_mut().push(fingerprint);
        self.outbox.verdict_queued.notify_one();
    }

    /// Releases a request by an operator's command: at this box, at other boxes, and in the log.
    pub fn release(self: &Rc<Self>, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        let update = self.state.borrow_mut().quarantine.release(fingerprint, now_ms);
        log::warn!("event=request_released fingerprint={fingerprint} source=operator");
        self.queue_verdict_write(fingerprint);
        broadcast(self, &update);
    }

    fn log_part_findings(&self) {
        let findings = self.state.borrow_mut().quarantine.take_part_findings();
        for PartFinding { id, is_suspected, explained_by, crashes, failed_trials, good_runs } in findings {
            log::info!(
                "event=part_judged part={id} suspected={is_suspected} explained_by={} crashes={crashes} \
                 failed_trials={failed_trials} good_runs={good_runs}",
                explained_by.as_deref().unwrap_or("-")
            );
        }
    }

    fn record_quarantined(&self, quarantined: &[QuarantinedRequest], source: &str) {
        for QuarantinedRequest { fingerprint, part, times, for_ms, crashes } in quarantined {
            meters::on_quarantined();
            log::warn!(
                "event=request_quarantined fingerprint={fingerprint} part={part:?} source={source} times={times} \
                 for_ms={for_ms} crashed=\"{}\"",
                crashes.iter().map(|(id, age_ms)| format!("{id} {age_ms} ms ago")).collect::<Vec<_>>().join(", ")
            );
        }
    }
}
