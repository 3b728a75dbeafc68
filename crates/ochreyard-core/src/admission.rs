//! Admission at the agent: the one place, next to the work, where "not run",
//! "at most once", leaving, fair share and permission become true.
//!
//! The agent is the only process that calls its endpoint. Each attempt that an
//! entry box offers passes through [`Admission`], which answers with actions.

mod attempt_log;
mod fair_queue;
mod key_store;
mod offer;
mod settings;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::{Configuration, EndpointSpec, WorkspaceSpec};
use crate::error_kind::{ErrorKind, Refusal, RunStatus};
use crate::home::{KeyHome, key_hash};
use crate::ids::{AttemptId, Incarnation};

pub use attempt_log::{AttemptLog, AttemptState, RevokeAnswer};
pub use fair_queue::{FairQueue, QueuedOffer};
pub use key_store::{KeyHistory, KeyId, KeyLookup, KeyOutcome, KeyStore, StoredAnswer, uuid_v7_timestamp_ms};
pub use offer::{IdempotencyKey, Offer, Outcome};
pub use settings::AdmissionSettings;

/// What the shell is to do after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Call the endpoint for this attempt now.
    Start(AttemptId),
    /// Give this final answer.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        refusal: Refusal,
    },
    /// Give the kept answer of an earlier run with the same key.
    Replay {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Arc<StoredAnswer>,
    },
    /// Stop the call of this attempt at the endpoint.
    Stop(AttemptId),
    /// This very attempt has arrived before: drop the message, claim nothing.
    Duplicate(AttemptId),
}

#[derive(Debug, Clone)]
struct Running {
    offer: Offer,
    started_ms: u64,
}

/// The admission of one endpoint.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    incarnation: Incarnation,
    config: Option<Arc<Configuration>>,
    tail_verified: bool,
    leaving: bool,
    attempts: AttemptLog,
    keys: KeyStore,
    queue: FairQueue,
    running: BTreeMap<AttemptId, Running>,
    mean_run_ms: u64,
}

impl Admission {
    /// The admission of an agent that has just started and remembers nothing.
    #[must_use]
    pub fn new(settings: AdmissionSettings, incarnation: Incarnation, now_ms: u64) -> Self {
        let keys = KeyStore::new(&settings, now_ms);
        let queue = FairQueue::new(settings.queue_limit, settings.queue_limit_per_workspace);
        Self {
            settings,
            incarnation,
            config: None,
            tail_verified: false,
            leaving: false,
            attempts: AttemptLog::default(),
            keys,
            queue,
            running: BTreeMap::new(),
            mean_run_ms: 0,
        }
    }

    /// The life of the process that this belongs to.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The version of the configuration in force; 0 for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<Configuration>> {
        self.config.as_ref()
    }

    /// Whether new work is refused because the endpoint is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait now.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn kept_keys(&self) -> usize {
        self.keys.len()
    }

    /// Mean time of a run, in milliseconds.
    #[must_use]
    pub const fn mean_run_ms(&self) -> u64 {
        self.mean_run_ms
    }

    /// Requests that may run at the same time.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.own_spec().map_or(self.settings.slots, |spec| spec.slots)
    }

    /// Whether an entry has shown, after this process started, that the
    /// configuration is the log's newest.
    #[must_use]
    pub const fn is_tail_verified(&self) -> bool {
        self.tail_verified
    }

    /// Notes that an entry read the log to its end after this process had
    /// started, and that `version` was in force there.
    pub fn verify_tail(&mut self, version: u64, now_ms: u64) {
        if self.tail_verified || self.config_version() < version {
            return;
        }
        self.tail_verified = true;
        // Until now an old home may have run keys that this agent knows nothing of.
        self.keys.set_complete_since(now_ms);
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub fn configure(&mut self, config: Arc<Configuration>, now_ms: u64) -> Vec<AdmissionAction> {
        if config.version() <= self.config_version() {
            return Vec::new();
        }
        if let Some(old) = &self.config {
            let service = self.settings.service_of(&config);
            let unchanged = service.as_ref().is_some_and(|service| old.has_same_homes(&config, service));
            self.keys.record_previous_homes(old, service.filter(|_| !unchanged), now_ms);
        }
        self.config = Some(config);
        let mut actions = self.refuse_waiting_without_permission();
        actions.extend(self.fill_slots(now_ms));
        actions
    }

    /// Takes an offer from an entry.
    pub fn offer(&mut self, offer: Offer, now_ms: u64) -> Vec<AdmissionAction> {
        let attempt = offer.attempt;
        if offer.agent_incarnation != self.incarnation {
            // It was meant for an earlier life, which may have run it.
            let refusal = Refusal::new(ErrorKind::Stale).with_run(RunStatus::MayHaveRun);
            return vec![AdmissionAction::Refuse { attempt, refusal }];
        }
        if !self.attempts.is_new(attempt) {
            return vec![AdmissionAction::Duplicate(attempt)];
        }
        match self.judge(&offer, now_ms) {
            Ok(None) => self.admit(offer, now_ms),
            Ok(Some(answer)) => {
                self.attempts.set(attempt, AttemptState::Closed);
                vec![AdmissionAction::Replay { attempt, answer }]
            }
            Err(refusal) => vec![self.refuse(attempt, refusal)],
        }
    }

    /// Ends an attempt that was started.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Outcome, now_ms: u64) -> Vec<AdmissionAction> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        self.attempts.set(attempt, AttemptState::Closed);
        let took_ms = now_ms.saturating_sub(running.started_ms);
        self.mean_run_ms = if self.mean_run_ms == 0 { took_ms } else { (self.mean_run_ms * 7 + took_ms) / 8 };
        self.queue.settle_cost(&running.offer.workspace, running.offer.cost, outcome.cost);
        if let Some(key) = running.offer.key_id() {
            let outcome = self.keepable(&running.offer, outcome);
            self.keys.finish_run(&key, outcome, now_ms);
        }
        self.fill_slots(now_ms)
    }

    /// The caller has gone away.
    pub fn cancel(&mut self, attempt: AttemptId, now_ms: u64) -> Vec<AdmissionAction> {
        if let Some(waiting) = self.queue.remove(attempt) {
            self.give_back_key(&waiting.offer);
            return vec![self.refuse(attempt, Refusal::new(ErrorKind::Revoked))];
        }
        let stoppable = self.running.get(&attempt).is_some_and(|running| running.offer.repeatable);
        if stoppable {
            return vec![AdmissionAction::Stop(attempt)];
        }
        if !self.running.contains_key(&attempt) && self.attempts.is_new(attempt) {
            self.attempts.set(attempt, AttemptState::Tombstone);
        }
        self.fill_slots(now_ms)
    }

    /// An entry has lost sight of an attempt and asks that it shall not start.
    pub fn revoke(&mut self, attempt: AttemptId, to: Incarnation) -> (RevokeAnswer, Vec<AdmissionAction>) {
        if to != self.incarnation {
            return (RevokeAnswer::Unknown, Vec::new());
        }
        let mut actions = Vec::new();
        if let Some(waiting) = self.queue.remove(attempt) {
            self.give_back_key(&waiting.offer);
            actions.push(self.refuse(attempt, Refusal::new(ErrorKind::Revoked)));
        }
        (self.attempts.revoke(attempt), actions)
    }

    /// From now on no new work: what waits is given back as not run.
    pub fn leave(&mut self) -> Vec<AdmissionAction> {
        self.leaving = true;
        let waiting = self.queue.take_all();
        waiting.into_iter().map(|w| self.give_back(&w.offer, Refusal::new(ErrorKind::Leaving))).collect()
    }

    /// The endpoint takes new work again, for example after a change of role.
    pub fn cancel_leaving(&mut self) {
        self.leaving = false;
    }

    /// Time passes: what waits beyond its deadline gets its final answer.
    pub fn tick(&mut self, now_ms: u64) -> Vec<AdmissionAction> {
        self.keys.expire(now_ms);
        let late = self.queue.take_expired(now_ms);
        let refusal =
            |me: &Self| Refusal::new(ErrorKind::DeadlineBeforeStart).with_retry_after_ms(me.predicted_queue_wait_ms());
        late.into_iter()
            .map(|w| {
                let refusal = refusal(self);
                self.give_back(&w.offer, refusal)
            })
            .collect()
    }

    /// Predicted time until what waits has started, in milliseconds.
    #[must_use]
    pub fn predicted_queue_wait_ms(&self) -> u64 {
        let ahead = self.queue.len() as u64 + 1;
        let per_slot = ahead.div_ceil(u64::from(self.slots().max(1)));
        (per_slot * self.mean_run_ms).max(self.settings.min_retry_after_ms)
    }

    fn own_spec(&self) -> Option<&EndpointSpec> {
        let spec = self.config.as_ref()?.endpoint(&self.settings.endpoint)?;
        let is_own = spec.data_centre == self.settings.data_centre && spec.agent_addr == self.settings.agent_addr;
        is_own.then_some(spec)
    }

    fn workspace_of(&self, offer: &Offer) -> Option<&WorkspaceSpec> {
        self.config.as_ref()?.workspace(&offer.workspace)
    }

    /// Permission by the agent's own configuration, whatever the entry thought.
    fn check_permission(&self, offer: &Offer) -> Result<(), Refusal> {
        let Some(own) = self.own_spec().filter(|own| own.service == offer.service) else {
            return Err(
                Refusal::new(ErrorKind::Stale).with_detail("the agent's configuration does not name this endpoint")
            );
        };
        let permitted = self
            .workspace_of(offer)
            .is_some_and(|ws| ws.services.contains(&own.service) && ws.run_in.contains(&own.data_centre));
        if permitted { Ok(()) } else { Err(Refusal::new(ErrorKind::NotPermitted)) }
    }

    fn may_keep(&self, offer: &Offer) -> bool {
        self.workspace_of(offer).is_some_and(|ws| ws.keep_in.contains(&self.settings.data_centre))
    }

    /// Says whether the offer may run; an answer that was kept is returned in its place.
    fn judge(&mut self, offer: &Offer, now_ms: u64) -> Result<Option<Arc<StoredAnswer>>, Refusal> {
        // Before the key has been looked up, nothing is known about its earlier runs.
        let unproved =
            |refusal: Refusal| if offer.key.is_some() { refusal.with_run(RunStatus::MayHaveRun) } else { refusal };
        self.check_permission(offer).map_err(unproved)?;
        if let Some(answer) = self.judge_key(offer, now_ms)? {
            return Ok(Some(answer));
        }
        if self.leaving {
            return Err(Refusal::new(ErrorKind::Leaving));
        }
        self.check_room(offer)?;
        Ok(None)
    }

    fn judge_key(&mut self, offer: &Offer, now_ms: u64) -> Result<Option<Arc<StoredAnswer>>, Refusal> {
        let (Some(key), Some(id)) = (&offer.key, offer.key_id()) else {
            return Ok(None);
        };
        let unproved = |kind: ErrorKind| Refusal::new(kind).with_run(RunStatus::MayHaveRun);
        let Some(config) = self.config.as_ref().filter(|_| self.tail_verified) else {
            return Err(unproved(ErrorKind::Stale).with_detail("no entry has shown this agent the end of the log yet"));
        };
        let hash = key_hash(offer.workspace.as_str(), offer.service.as_str(), &key.key);
        let home = config.home_view(&offer.workspace, &offer.service).home_of(hash);
        if home != KeyHome::At(self.settings.endpoint.clone()) {
            return Err(unproved(ErrorKind::KeyHomeMoving));
        }
        match self.keys.look_up(&id, key, hash, now_ms) {
            KeyLookup::New => Ok(None),
            KeyLookup::Answered(answer) => Ok(Some(answer)),
            KeyLookup::Refused(refusal) => Err(refusal),
        }
    }

    fn check_room(&self, offer: &Offer) -> Result<(), Refusal> {
        let free = (self.running.len() as u64) < u64::from(self.slots());
        if free && self.queue.is_empty() {
            return Ok(());
        }
        let overloaded = Refusal::new(ErrorKind::Overloaded).with_retry_after_ms(self.predicted_queue_wait_ms());
        if !self.may_keep(offer) {
            return Err(overloaded.with_detail("the workspace's data may not wait in this data centre"));
        }
        if offer.remaining_ms <= self.predicted_queue_wait_ms() && self.mean_run_ms > 0 {
            return Err(overloaded.with_detail("it would wait past its deadline"));
        }
        self.queue.check_room(&offer.workspace).map_err(|kind| overloaded_as(kind, self.predicted_queue_wait_ms()))
    }

    fn admit(&mut self, offer: Offer, now_ms: u64) -> Vec<AdmissionAction> {
        if let (Some(id), Some(key)) = (offer.key_id(), &offer.key) {
            self.keys.start_run(id, key.fingerprint);
        }
        self.attempts.set(offer.attempt, AttemptState::Waiting);
        let deadline_ms = now_ms.saturating_add(offer.remaining_ms);
        self.queue.push(QueuedOffer { offer, deadline_ms });
        self.fill_slots(now_ms)
    }

    fn fill_slots(&mut self, now_ms: u64) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while (self.running.len() as u64) < u64::from(self.slots()) {
            let Some(waiting) = self.queue.pop() else { break };
            let attempt = waiting.offer.attempt;
            self.attempts.set(attempt, AttemptState::Started);
            self.running.insert(attempt, Running { offer: waiting.offer, started_ms: now_ms });
            actions.push(AdmissionAction::Start(attempt));
        }
        actions
    }

    fn refuse_waiting_without_permission(&mut self) -> Vec<AdmissionAction> {
        let (kept, lost): (Vec<QueuedOffer>, Vec<QueuedOffer>) = self
            .queue
            .take_all()
            .into_iter()
            .partition(|w| self.check_permission(&w.offer).is_ok() && self.may_keep(&w.offer));
        kept.into_iter().for_each(|w| self.queue.push(w));
        lost.into_iter().map(|w| self.give_back(&w.offer, Refusal::new(ErrorKind::NotPermitted))).collect()
    }

    fn give_back(&mut self, offer: &Offer, refusal: Refusal) -> AdmissionAction {
        self.give_back_key(offer);
        self.refuse(offer.attempt, refusal)
    }

    fn give_back_key(&mut self, offer: &Offer) {
        if let Some(id) = offer.key_id() {
            self.keys.release(&id);
        }
    }

    /// Refuses as not run: the tombstone comes first, so that a late arrival is refused too.
    fn refuse(&mut self, attempt: AttemptId, refusal: Refusal) -> AdmissionAction {
        self.attempts.set(attempt, AttemptState::Tombstone);
        AdmissionAction::Refuse { attempt, refusal }
    }

    /// An answer rests here only where the workspace's data may.
    fn keepable(&self, offer: &Offer, outcome: Outcome) -> KeyOutcome {
        let answer = outcome.answer.filter(|_| self.may_keep(offer));
        KeyOutcome { run: outcome.run, answer }
    }
}

fn overloaded_as(kind: ErrorKind, retry_after_ms: u64) -> Refusal {
    Refusal::new(kind).with_retry_after_ms(retry_after_ms)
}
