//! What an entry does about requests that crash endpoints: reports, trials, news.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{CrashNews, Fingerprint, Judged, LostRequest, Pick, QuarantineNews};
use ochreyard_core::hash;

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;
use crate::peers::broadcast;

/// How long crashes are gathered before others are told: all requests of an endpoint break off within a few
/// milliseconds of its crash, and are told in one message.
const CRASH_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Boxes that write a verdict which they made by what they were told: one may be cut off from the log.
const INFORMED_WRITERS: usize = 2;

/// What waits to be told or written.
#[derive(Debug, Default)]
pub struct Outbox {
    crashes: RefCell<Vec<CrashNews>>,
    /// Requests that were judged here, and are to be written into the log.
    pub verdicts_to_write: RefCell<Vec<Fingerprint>>,
    /// Wakes whoever writes.
    pub written: tokio::sync::Notify,
}

impl<D: Dialect> Entry<D> {
    /// An endpoint crashed that had a request; its connection broke at `at_ms`.
    pub fn on_crash(self: &Rc<Self>, pick: &Pick, service: &str, lost: LostRequest, at_ms: u64) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.pool.on_crash(&pick.id, at_ms);
        let judged = state.quarantine.on_crash(&pick.id, service, lost, at_ms, now_ms);
        drop(state);
        self.record_judged(&judged, "seen");
        judged.iter().for_each(|one| self.queue_verdict_write(one.fingerprint));
        self.broadcast_crash(pick, service, lost, now_ms.saturating_sub(at_ms));
    }

    /// Tells others of a crash, with what else is known of it within a moment.
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
                broadcast(&entry, &QuarantineNews { crashes, ..QuarantineNews::default() });
            });
        }
        crashes.push(CrashNews { endpoint: pick.id.clone(), service: service.to_owned(), age_ms, lost: vec![lost] });
    }

    /// A suspect is about to be sent: others keep copies of it back.
    pub fn begin_trial(self: &Rc<Self>, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        let news = self.state.borrow_mut().quarantine.begin_trial(fingerprint, now_ms);
        log::info!("event=suspect_tried fingerprint={fingerprint}");
        meters::on_trial();
        broadcast(self, &news);
    }

    /// A request ended well. Others learn of it when they ask.
    pub fn on_good_end(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        if self.state.borrow_mut().quarantine.on_good_end(fingerprint, now_ms) {
            log::debug!("event=suspect_cleared fingerprint={fingerprint}");
        }
    }

    /// Takes what another box tells of requests that crash endpoints.
    pub fn apply_quarantine_update(&self, news: &QuarantineNews) {
        if news.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        for crash in &news.crashes {
            state.pool.on_crash(&crash.endpoint, now_ms.saturating_sub(crash.age_ms));
        }
        let judged = state.quarantine.take(news, now_ms);
        drop(state);
        self.record_judged(&judged, "told");
        let ours = judged.iter().map(|one| one.fingerprint).filter(|one| self.is_verdict_writer(*one));
        ours.for_each(|one| self.queue_verdict_write(one));
    }

    /// Whether this box writes verdicts on a request that it was told of. Whoever saw the last crash writes them, too,
    /// but it may have known too little to judge, or be gone by now.
    fn is_verdict_writer(&self, fingerprint: Fingerprint) -> bool {
        let place = |name: &str| hash::mix(hash::fnv1a(name.as_bytes()) ^ fingerprint.number());
        let own = place(&self.identity.name);
        let state = self.state.borrow();
        state.boxes.iter().filter(|(name, _)| place(name) < own).count() < INFORMED_WRITERS
    }

    /// The log has lost what was written of late: verdicts and releases are written again by the boxes that write them for
    /// all.
    pub fn rewrite_verdicts(&self) {
        let now_ms = self.clock.now_ms();
        let known = self.state.borrow().quarantine.decided(now_ms);
        known.into_iter().filter(|one| self.is_verdict_writer(*one)).for_each(|one| self.queue_verdict_write(one));
    }

    fn queue_verdict_write(&self, fingerprint: Fingerprint) {
        self.outbox.verdicts_to_write.borrow_mut().push(fingerprint);
        self.outbox.written.notify_one();
    }

    /// An operator releases a request: here, at other boxes, and in the log.
    pub fn release(self: &Rc<Self>, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        let news = self.state.borrow_mut().quarantine.release(fingerprint, now_ms);
        log::warn!("event=request_released fingerprint={fingerprint} source=operator");
        self.queue_verdict_write(fingerprint);
        broadcast(self, &news);
    }

    fn record_judged(&self, judged: &[Judged], source: &str) {
        for Judged { fingerprint, times, for_ms, crashes } in judged {
            meters::on_quarantined();
            log::warn!(
                "event=request_quarantined fingerprint={fingerprint} source={source} times={times} for_ms={for_ms} \
                 crashed=\"{}\"",
                crashes.iter().map(|(id, age_ms)| format!("{id} {age_ms} ms ago")).collect::<Vec<_>>().join(", ")
            );
        }
    }
}
