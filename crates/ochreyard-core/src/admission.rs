//! Admission control at the agent.
//!
//! The agent is the only process that calls its endpoint, so it is the one that enforces permissions, fair
//! sharing, graceful shutdown, at-most-once execution and the promise that a request did not run. Each attempt
//! that an entry offers passes through [`Admission`], which returns the actions to take.

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

/// What the caller of [`Admission`] must do after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Call the endpoint for this attempt now.
    Start(AttemptId),
    /// Answer the attempt with this refusal, which is final.
    Refuse {
        /// The refused attempt.
        attempt: AttemptId,
        /// The reason and the retry advice for the entry.
        refusal: Refusal,
    },
    /// Answer the attempt with the stored answer of an earlier run with the same idempotency key.
    Replay {
        /// The attempt to answer.
        attempt: AttemptId,
        /// The stored answer.
        answer: Arc<StoredAnswer>,
    },
    /// Cancel the call of this attempt at the endpoint.
    Stop(AttemptId),
    /// An offer with the same attempt identifier has arrived before: drop this one and claim nothing about the run.
    Duplicate(AttemptId),
}

#[derive(Debug, Clone)]
struct Running {
    offer: Offer,
    started_ms: u64,
}

/// Admission control of one endpoint.
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
    /// Creates the admission control of an agent that has just started and knows of no earlier requests.
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

    /// The incarnation of the agent process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The version of the configuration in force, or 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<Configuration>> {
        self.config.as_ref()
    }

    /// Returns whether new work is refused because the endpoint is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of queued requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of idempotency keys in the key store.
    #[must_use]
    pub fn kept_keys(&self) -> usize {
        self.keys.len()
    }

    /// Moving average of the run time, in milliseconds; 0 before the first run has ended.
    #[must_use]
    pub const fn mean_run_ms(&self) -> u64 {
        self.mean_run_ms
    }

    /// The number of requests that may run at the same time.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.own_spec().map_or(self.settings.slots, |spec| spec.slots)
    }

    /// Returns whether an entry has confirmed, after this process started, that the configuration here was the
    /// newest in the log.
    #[must_use]
    pub const fn is_tail_verified(&self) -> bool {
        self.tail_verified
    }

    /// Records that an entry read the log to its end after this process had started, and that `version` was in
    /// force at that point.
    pub fn verify_tail(&mut self, version: u64, now_ms: u64) {
        if self.tail_verified || self.config_version() < version {
            return;
        }
        self.tail_verified = true;
        // Until now the previous home may have run keys that this agent has no record of.
        self.keys.set_complete_since(now_ms);
    }

    /// Puts `config` in force if it is newer than the current configuration.
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
        let mut actions = self.refuse_queued_without_permission();
        actions.extend(self.fill_slots(now_ms));
        actions
    }

    /// Handles an attempt that an entry offers.
    pub fn offer(&mut self, offer: Offer, now_ms: u64) -> Vec<AdmissionAction> {
        let attempt = offer.attempt;
        if offer.agent_incarnation != self.incarnation {
            // The offer was addressed to an earlier incarnation, which may have run it.
            let refusal = Refusal::new(ErrorKind::Stale).with_run(RunStatus::MayHaveRun);
            return vec![AdmissionAction::Refuse { attempt, refusal }];
        }
        if !self.attempts.is_new(attempt) {
            return vec![AdmissionAction::Duplicate(attempt)];
        }
        match self.check_offer(&offer, now_ms) {
            Ok(None) => self.admit(offer, now_ms),
            Ok(Some(answer)) => {
                self.attempts.set(attempt, AttemptState::Closed);
                vec![AdmissionAction::Replay { attempt, answer }]
            }
            Err(refusal) => vec![self.refuse(attempt, refusal)],
        }
    }

    /// Records the end of an attempt that was started.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Outcome, now_ms: u64) -> Vec<AdmissionAction> {
        let Some(running) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        self.attempts.set(attempt, AttemptState::Closed);
        let run_ms = now_ms.saturating_sub(running.started_ms);
        self.mean_run_ms = if self.mean_run_ms == 0 { run_ms } else { (self.mean_run_ms * 7 + run_ms) / 8 };
        self.queue.settle_cost(&running.offer.workspace, running.offer.cost, outcome.cost);
        if let Some(key) = running.offer.key_id() {
            let outcome = self.storable_outcome(&running.offer, outcome);
            self.keys.finish_run(&key, outcome, now_ms);
        }
        self.fill_slots(now_ms)
    }

    /// Handles the disconnection of the caller of an attempt.
    pub fn cancel(&mut self, attempt: AttemptId, now_ms: u64) -> Vec<AdmissionAction> {
        if let Some(queued) = self.queue.remove(attempt) {
            self.release_key(&queued.offer);
            return vec![self.refuse(attempt, Refusal::new(ErrorKind::Revoked))];
        }
        let is_cancellable = self.running.get(&attempt).is_some_and(|running| running.offer.repeatable);
        if is_cancellable {
            return vec![AdmissionAction::Stop(attempt)];
        }
        if !self.running.contains_key(&attempt) && self.attempts.is_new(attempt) {
            self.attempts.set(attempt, AttemptState::Tombstone);
        }
        self.fill_slots(now_ms)
    }

    /// Prevents an attempt from starting, at the request of an entry that has lost track of it.
    pub fn revoke(
        &mut self,
        attempt: AttemptId,
        agent_incarnation: Incarnation,
    ) -> (RevokeAnswer, Vec<AdmissionAction>) {
        if agent_incarnation != self.incarnation {
            return (RevokeAnswer::Unknown, Vec::new());
        }
        let mut actions = Vec::new();
        if let Some(queued) = self.queue.remove(attempt) {
            self.release_key(&queued.offer);
            actions.push(self.refuse(attempt, Refusal::new(ErrorKind::Revoked)));
        }
        (self.attempts.revoke(attempt), actions)
    }

    /// Refuses new work from now on, and refuses the queued offers as not run.
    pub fn leave(&mut self) -> Vec<AdmissionAction> {
        self.leaving = true;
        let removed = self.queue.take_all();
        removed.into_iter().map(|queued| self.refuse_queued(&queued.offer, Refusal::new(ErrorKind::Leaving))).collect()
    }

    /// Accepts new work again, for example after a change of role.
    pub fn cancel_leaving(&mut self) {
        self.leaving = false;
    }

    /// Removes expired keys and refuses queued offers whose deadline has passed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<AdmissionAction> {
        self.keys.expire(now_ms);
        let expired = self.queue.take_expired(now_ms);
        let refusal = |admission: &Self| {
            Refusal::new(ErrorKind::DeadlineBeforeStart).with_retry_after_ms(admission.predicted_queue_wait_ms())
        };
        expired
            .into_iter()
            .map(|queued| {
                let refusal = refusal(self);
                self.refuse_queued(&queued.offer, refusal)
            })
            .collect()
    }

    /// Predicted time until a newly queued offer starts, in milliseconds; at least the minimum retry advice.
    #[must_use]
    pub fn predicted_queue_wait_ms(&self) -> u64 {
        let queued = self.queue.len() as u64 + 1;
        let per_slot = queued.div_ceil(u64::from(self.slots().max(1)));
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

    /// Checks the permission by the agent's own configuration; the entry's may be older.
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

    fn may_store_data(&self, offer: &Offer) -> bool {
        self.workspace_of(offer).is_some_and(|ws| ws.keep_in.contains(&self.settings.data_centre))
    }

    /// Checks whether the offer may run. Returns the stored answer if its key has run already.
    fn check_offer(&mut self, offer: &Offer, now_ms: u64) -> Result<Option<Arc<StoredAnswer>>, Refusal> {
        // Before the key has been looked up, nothing is known about its earlier runs.
        let unproven =
            |refusal: Refusal| if offer.key.is_some() { refusal.with_run(RunStatus::MayHaveRun) } else { refusal };
        self.check_permission(offer).map_err(unproven)?;
        if let Some(answer) = self.check_key(offer, now_ms)? {
            return Ok(Some(answer));
        }
        if self.leaving {
            return Err(Refusal::new(ErrorKind::Leaving));
        }
        self.check_capacity(offer)?;
        Ok(None)
    }

    fn check_key(&mut self, offer: &Offer, now_ms: u64) -> Result<Option<Arc<StoredAnswer>>, Refusal> {
        let (Some(key), Some(id)) = (&offer.key, offer.key_id()) else {
            return Ok(None);
        };
        let unproven = |kind: ErrorKind| Refusal::new(kind).with_run(RunStatus::MayHaveRun);
        let Some(config) = self.config.as_ref().filter(|_| self.tail_verified) else {
            return Err(unproven(ErrorKind::Stale).with_detail("no entry has shown this agent the end of the log yet"));
        };
        let hash = key_hash(offer.workspace.as_str(), offer.service.as_str(), &key.key);
        let home = config.home_view(&offer.workspace, &offer.service).home_of(hash);
        if home != KeyHome::At(self.settings.endpoint.clone()) {
            return Err(unproven(ErrorKind::KeyHomeMoving));
        }
        match self.keys.look_up(&id, key, hash, now_ms) {
            KeyLookup::New => Ok(None),
            KeyLookup::Answered(answer) => Ok(Some(answer)),
            KeyLookup::Refused(refusal) => Err(refusal),
        }
    }

    fn check_capacity(&self, offer: &Offer) -> Result<(), Refusal> {
        let has_free_slot = (self.running.len() as u64) < u64::from(self.slots());
        if has_free_slot && self.queue.is_empty() {
            return Ok(());
        }
        let overloaded = Refusal::new(ErrorKind::Overloaded).with_retry_after_ms(self.predicted_queue_wait_ms());
        if !self.may_store_data(offer) {
            return Err(overloaded.with_detail("the workspace's data may not wait in this data centre"));
        }
        if offer.remaining_ms <= self.predicted_queue_wait_ms() && self.mean_run_ms > 0 {
            return Err(overloaded.with_detail("it would wait past its deadline"));
        }
        self.queue
            .check_capacity(&offer.workspace)
            .map_err(|kind| capacity_refusal(kind, self.predicted_queue_wait_ms()))
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
            let Some(queued) = self.queue.pop() else { break };
            let attempt = queued.offer.attempt;
            self.attempts.set(attempt, AttemptState::Started);
            self.running.insert(attempt, Running { offer: queued.offer, started_ms: now_ms });
            actions.push(AdmissionAction::Start(attempt));
        }
        actions
    }

    fn refuse_queued_without_permission(&mut self) -> Vec<AdmissionAction> {
        let (permitted, not_permitted): (Vec<QueuedOffer>, Vec<QueuedOffer>) = self
            .queue
            .take_all()
            .into_iter()
            .partition(|queued| self.check_permission(&queued.offer).is_ok() && self.may_store_data(&queued.offer));
        permitted.into_iter().for_each(|queued| self.queue.push(queued));
        not_permitted
            .into_iter()
            .map(|queued| self.refuse_queued(&queued.offer, Refusal::new(ErrorKind::NotPermitted)))
            .collect()
    }

    fn refuse_queued(&mut self, offer: &Offer, refusal: Refusal) -> AdmissionAction {
        self.release_key(offer);
        self.refuse(offer.attempt, refusal)
    }

    fn release_key(&mut self, offer: &Offer) {
        if let Some(id) = offer.key_id() {
            self.keys.release(&id);
        }
    }

    /// Refuses an attempt as not run. The tombstone is set first, so that a later duplicate does not start.
    fn refuse(&mut self, attempt: AttemptId, refusal: Refusal) -> AdmissionAction {
        self.attempts.set(attempt, AttemptState::Tombstone);
        AdmissionAction::Refuse { attempt, refusal }
    }

    /// Drops the answer from the outcome unless the workspace's data may be stored in this data centre.
    fn storable_outcome(&self, offer: &Offer, outcome: Outcome) -> KeyOutcome {
        let answer = outcome.answer.filter(|_| self.may_store_data(offer));
        KeyOutcome { run: outcome.run, answer }
    }
}

fn capacity_refusal(kind: ErrorKind, retry_after_ms: u64) -> Refusal {
    Refusal::new(kind).with_retry_after_ms(retry_after_ms)
}
