//! Idempotency keys of non-repeatable requests, and the outcome of each run.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::offer::IdempotencyKey;
use super::settings::AdmissionSettings;
use crate::config::Configuration;
use crate::error_kind::{ErrorKind, Refusal, RunStatus};
use crate::home::KeyHome;
use crate::ids::{EndpointId, ServiceId, WorkspaceId};

/// An idempotency key with the workspace and service that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId {
    /// The workspace of the request.
    pub workspace: WorkspaceId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The key as the caller sent it.
    pub key: String,
}

/// A complete answer that is stored for later requests with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The body of the answer.
    pub body: Vec<u8>,
}

/// How the run of a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOutcome {
    /// What is known about whether the request ran.
    pub run: RunStatus,
    /// The answer, if it may be stored.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// The result of looking up a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key has not run here and cannot have run elsewhere.
    New,
    /// The key has run, and this is its answer.
    Answered(Arc<StoredAnswer>),
    /// The key must not run.
    Refused(Refusal),
}

/// The period in which this agent would have recorded a run of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHistory {
    /// Time since which the agent has been the key's home without interruption, in milliseconds since 1970.
    pub home_since_ms: u64,
    /// How long outcomes are stored, in milliseconds.
    pub retention_ms: u64,
    /// Maximum clock skew between processes, in milliseconds.
    pub clock_margin_ms: u64,
}

impl KeyHistory {
    /// Returns whether a key that is not in the store cannot have run before. A key that is a UUIDv7 proves this by
    /// the time in it; any other key only when its agent has been its home for the whole retention time.
    #[must_use]
    pub fn rules_out_earlier_run(&self, key: &str, now_ms: u64) -> bool {
        match uuid_v7_timestamp_ms(key) {
            Some(created_ms) => {
                let may_be_forgotten =
                    created_ms.saturating_add(self.retention_ms) <= now_ms.saturating_add(self.clock_margin_ms);
                created_ms > self.home_since_ms.saturating_add(self.clock_margin_ms) && !may_be_forgotten
            }
            None => now_ms >= self.home_since_ms.saturating_add(self.retention_ms),
        }
    }
}

/// Returns the timestamp in a UUID of version 7, in milliseconds since 1970.
#[must_use]
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    const UUID_CHARS: usize = 36;
    const VERSION_INDEX: usize = 14;
    let is_uuid_shaped = key.len() == UUID_CHARS
        && key.bytes().enumerate().all(|(at, byte)| matches!(at, 8 | 13 | 18 | 23) == (byte == b'-'));
    if !is_uuid_shaped || key.as_bytes()[VERSION_INDEX] != b'7' {
        return None;
    }
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let value = u128::from_str_radix(&digits, 16).ok()?;
    u64::try_from(value >> 80).ok()
}

#[derive(Debug, Clone)]
enum KeyState {
    Running,
    Done { outcome: KeyOutcome, at_ms: u64 },
}

#[derive(Debug, Clone)]
struct KeyRecord {
    fingerprint: u64,
    state: KeyState,
}

/// A configuration that was in force at this agent until `until_ms`.
#[derive(Debug, Clone)]
struct PastHomes {
    until_ms: u64,
    service: ServiceId,
    /// Whether the endpoint was at this agent's address. If not, its agent at the other address may have run keys
    /// until then.
    is_at_this_agent: bool,
    config: Arc<Configuration>,
}

/// Bounded store of outcomes by key. A full store refuses new keys and never removes outcomes early.
#[derive(Debug, Clone)]
pub struct KeyStore {
    endpoint: EndpointId,
    agent_addr: SocketAddr,
    /// Runs before this time may be missing, in milliseconds since 1970.
    complete_since_ms: u64,
    retention_ms: u64,
    clock_margin_ms: u64,
    max_keys: usize,
    records: BTreeMap<KeyId, KeyRecord>,
    /// Time of each outcome and its key, oldest first.
    done_order: VecDeque<(u64, KeyId)>,
    /// Replaced configurations, oldest first.
    past_homes: VecDeque<PastHomes>,
}

impl KeyStore {
    /// Creates an empty store for a process that started at `now_ms`.
    #[must_use]
    pub fn new(settings: &AdmissionSettings, now_ms: u64) -> Self {
        Self {
            endpoint: settings.endpoint.clone(),
            agent_addr: settings.agent_addr,
            complete_since_ms: now_ms,
            retention_ms: settings.key_window_ms,
            clock_margin_ms: settings.clock_margin_ms,
            max_keys: settings.max_keys,
            records: BTreeMap::new(),
            done_order: VecDeque::new(),
            past_homes: VecDeque::new(),
        }
    }

    /// The number of stored keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Declares that runs before `now_ms` may be missing from this store.
    pub fn set_complete_since(&mut self, now_ms: u64) {
        self.complete_since_ms = self.complete_since_ms.max(now_ms);
    }

    /// Records the configuration that is being replaced, which later shows since when this agent has been the home
    /// of a key.
    pub fn record_previous_homes(&mut self, old: &Arc<Configuration>, service: Option<ServiceId>, now_ms: u64) {
        let Some(service) = service else { return };
        let is_at_this_agent = old.endpoint(&self.endpoint).is_some_and(|spec| spec.agent_addr == self.agent_addr);
        self.past_homes.push_back(PastHomes { until_ms: now_ms, service, is_at_this_agent, config: Arc::clone(old) });
        self.expire(now_ms);
    }

    /// Looks up a key and decides whether it may run.
    #[must_use]
    pub fn look_up(&self, id: &KeyId, key: &IdempotencyKey, hash: u64, now_ms: u64) -> KeyLookup {
        if let Some(record) = self.records.get(id) {
            return look_up_record(record, key);
        }
        let history = self.history_of(id, hash);
        if !history.rules_out_earlier_run(&key.key, now_ms) {
            return KeyLookup::Refused(self.unproven_refusal(&key.key, history, now_ms));
        }
        if self.records.len() >= self.max_keys {
            return KeyLookup::Refused(Refusal::new(ErrorKind::KeyStoreFull));
        }
        KeyLookup::New
    }

    fn unproven_refusal(&self, key: &str, history: KeyHistory, now_ms: u64) -> Refusal {
        let refusal = Refusal::new(ErrorKind::KeyUnproven);
        if uuid_v7_timestamp_ms(key).is_some() {
            return refusal;
        }
        let wait_ms = history.home_since_ms.saturating_add(self.retention_ms).saturating_sub(now_ms);
        refusal.with_retry_after_ms(wait_ms).with_detail("a UUIDv7 as the key would not have to wait")
    }

    /// Returns since when this agent has been the home of the key without interruption.
    fn history_of(&self, id: &KeyId, hash: u64) -> KeyHistory {
        let was_elsewhere = |past: &&PastHomes| {
            let view = past.config.home_view(&id.workspace, &id.service);
            !past.is_at_this_agent
                || past.service != id.service
                || view.home_of(hash) != KeyHome::At(self.endpoint.clone())
        };
        let moved_ms = self.past_homes.iter().rev().find(was_elsewhere).map_or(0, |past| past.until_ms);
        KeyHistory {
            home_since_ms: self.complete_since_ms.max(moved_ms),
            retention_ms: self.retention_ms,
            clock_margin_ms: self.clock_margin_ms,
        }
    }

    /// Records that the key is about to run.
    pub fn start_run(&mut self, id: KeyId, fingerprint: u64) {
        self.records.insert(id, KeyRecord { fingerprint, state: KeyState::Running });
    }

    /// Removes a key whose request will not run.
    pub fn release(&mut self, id: &KeyId) {
        self.records.remove(id);
    }

    /// Records how the run of the key ended.
    pub fn finish_run(&mut self, id: &KeyId, outcome: KeyOutcome, now_ms: u64) {
        if outcome.run == RunStatus::NotRun {
            self.release(id);
            return;
        }
        if let Some(record) = self.records.get_mut(id) {
            record.state = KeyState::Done { outcome, at_ms: now_ms };
            self.done_order.push_back((now_ms, id.clone()));
        }
    }

    /// Removes outcomes and replaced configurations that are older than the retention time.
    pub fn expire(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms.saturating_add(self.retention_ms) <= now_ms;
        while self.done_order.front().is_some_and(|(at_ms, _)| is_old(*at_ms)) {
            let Some((at_ms, id)) = self.done_order.pop_front() else { break };
            let is_that_run =
                |record: &KeyRecord| matches!(record.state, KeyState::Done { at_ms: done_ms, .. } if done_ms == at_ms);
            if self.records.get(&id).is_some_and(is_that_run) {
                self.records.remove(&id);
            }
        }
        while self.past_homes.front().is_some_and(|past| is_old(past.until_ms)) {
            self.past_homes.pop_front();
        }
    }
}

fn look_up_record(record: &KeyRecord, key: &IdempotencyKey) -> KeyLookup {
    if record.fingerprint != key.fingerprint {
        return KeyLookup::Refused(Refusal::new(ErrorKind::KeyReused));
    }
    match &record.state {
        KeyState::Running => KeyLookup::Refused(Refusal::new(ErrorKind::KeyInFlight)),
        KeyState::Done { outcome: KeyOutcome { run: RunStatus::Ran, answer: Some(answer) }, .. } => {
            KeyLookup::Answered(Arc::clone(answer))
        }
        KeyState::Done { outcome: KeyOutcome { run: RunStatus::Ran, answer: None }, .. } => {
            KeyLookup::Refused(Refusal::new(ErrorKind::AlreadyRan))
        }
        KeyState::Done { .. } => KeyLookup::Refused(Refusal::new(ErrorKind::KeyUnproven)),
    }
}
