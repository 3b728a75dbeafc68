//! Keys of requests that are not repeatable, and what became of each.

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

/// A key within its workspace and service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The key as the caller wrote it.
    pub key: String,
}

/// A whole answer that is kept for a repeat of the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// How the run of a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOutcome {
    /// What is known about the run.
    pub run: RunStatus,
    /// The answer, where it may be kept.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// What the store says about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// It has not run here and cannot have run elsewhere.
    New,
    /// It ran; this is its answer.
    Answered(Arc<StoredAnswer>),
    /// It must not run.
    Refused(Refusal),
}

/// Since when this agent would know of a run, and by how much clocks may differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHistory {
    /// Since when the agent has been the key's home without a break, in ms since 1970.
    pub home_since_ms: u64,
    /// How long outcomes are kept, in milliseconds.
    pub retention_ms: u64,
    /// By how much clocks may differ, in milliseconds.
    pub clock_margin_ms: u64,
}

impl KeyHistory {
    /// Whether a key that is not remembered cannot have run before.
    #[must_use]
    pub fn rules_out_earlier_run(&self, key: &str, now_ms: u64) -> bool {
        match uuid_v7_timestamp_ms(key) {
            Some(made_ms) => {
                let forgotten =
                    made_ms.saturating_add(self.retention_ms) <= now_ms.saturating_add(self.clock_margin_ms);
                made_ms > self.home_since_ms.saturating_add(self.clock_margin_ms) && !forgotten
            }
            None => now_ms >= self.home_since_ms.saturating_add(self.retention_ms),
        }
    }
}

/// The time inside a UUID of version 7, in milliseconds since 1970.
#[must_use]
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    const UUID_CHARS: usize = 36;
    const VERSION_AT: usize = 14;
    let dashes_fit = key.len() == UUID_CHARS
        && key.bytes().enumerate().all(|(at, byte)| matches!(at, 8 | 13 | 18 | 23) == (byte == b'-'));
    if !dashes_fit || key.as_bytes()[VERSION_AT] != b'7' {
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
struct Kept {
    fingerprint: u64,
    state: KeyState,
}

/// A configuration that was in force here until `until_ms`.
#[derive(Debug, Clone)]
struct PastHomes {
    until_ms: u64,
    service: ServiceId,
    /// Whether the endpoint stood at this agent's address: the agent before may have run keys until the end.
    is_here: bool,
    config: Arc<Configuration>,
}

/// Outcomes by key, bounded; a full store refuses and never forgets early.
#[derive(Debug, Clone)]
pub struct KeyStore {
    endpoint: EndpointId,
    agent_addr: SocketAddr,
    /// Nothing is known of runs before this.
    remembers_from_ms: u64,
    retention_ms: u64,
    clock_margin_ms: u64,
    max_keys: usize,
    kept: BTreeMap<KeyId, Kept>,
    done_order: VecDeque<(u64, KeyId)>,
    past_homes: VecDeque<PastHomes>,
}

impl KeyStore {
    /// An empty store of a process that started at `now_ms`.
    #[must_use]
    pub fn new(settings: &AdmissionSettings, now_ms: u64) -> Self {
        Self {
            endpoint: settings.endpoint.clone(),
            agent_addr: settings.agent_addr,
            remembers_from_ms: now_ms,
            retention_ms: settings.key_window_ms,
            clock_margin_ms: settings.clock_margin_ms,
            max_keys: settings.max_keys,
            kept: BTreeMap::new(),
            done_order: VecDeque::new(),
            past_homes: VecDeque::new(),
        }
    }

    /// How many keys are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Counts this store's memory from `now_ms` on.
    pub fn set_complete_since(&mut self, now_ms: u64) {
        self.remembers_from_ms = self.remembers_from_ms.max(now_ms);
    }

    /// Remembers the configuration that is being replaced, to know later since
    /// when this agent has been the home of a key.
    pub fn record_previous_homes(&mut self, old: &Arc<Configuration>, service: Option<ServiceId>, now_ms: u64) {
        let Some(service) = service else { return };
        let is_here = old.endpoint(&self.endpoint).is_some_and(|spec| spec.agent_addr == self.agent_addr);
        self.past_homes.push_back(PastHomes { until_ms: now_ms, service, is_here, config: Arc::clone(old) });
        self.expire(now_ms);
    }

    /// Says what is known about a key.
    #[must_use]
    pub fn look_up(&self, id: &KeyId, key: &IdempotencyKey, hash: u64, now_ms: u64) -> KeyLookup {
        if let Some(kept) = self.kept.get(id) {
            return kept_verdict(kept, key);
        }
        let clock = self.clock_for(id, hash);
        if !clock.rules_out_earlier_run(&key.key, now_ms) {
            return KeyLookup::Refused(self.unproven(&key.key, clock, now_ms));
        }
        if self.kept.len() >= self.max_keys {
            return KeyLookup::Refused(Refusal::new(ErrorKind::KeyStoreFull));
        }
        KeyLookup::New
    }

    fn unproven(&self, key: &str, clock: KeyHistory, now_ms: u64) -> Refusal {
        let refusal = Refusal::new(ErrorKind::KeyUnproven);
        if uuid_v7_timestamp_ms(key).is_some() {
            return refusal;
        }
        let wait_ms = clock.home_since_ms.saturating_add(self.retention_ms).saturating_sub(now_ms);
        refusal.with_retry_after_ms(wait_ms).with_detail("a UUIDv7 as the key would not have to wait")
    }

    /// Since when this agent has been the home of the key without a break.
    fn clock_for(&self, id: &KeyId, hash: u64) -> KeyHistory {
        let was_elsewhere = |past: &&PastHomes| {
            let view = past.config.home_view(&id.workspace, &id.service);
            !past.is_here || past.service != id.service || view.home_of(hash) != KeyHome::At(self.endpoint.clone())
        };
        let moved_ms = self.past_homes.iter().rev().find(was_elsewhere).map_or(0, |past| past.until_ms);
        KeyHistory {
            home_since_ms: self.remembers_from_ms.max(moved_ms),
            retention_ms: self.retention_ms,
            clock_margin_ms: self.clock_margin_ms,
        }
    }

    /// Notes that the key is about to run.
    pub fn start_run(&mut self, id: KeyId, fingerprint: u64) {
        self.kept.insert(id, Kept { fingerprint, state: KeyState::Running });
    }

    /// Notes that the key will not run after all.
    pub fn release(&mut self, id: &KeyId) {
        self.kept.remove(id);
    }

    /// Notes how the run of the key ended.
    pub fn finish_run(&mut self, id: &KeyId, outcome: KeyOutcome, now_ms: u64) {
        if outcome.run == RunStatus::NotRun {
            self.release(id);
            return;
        }
        if let Some(kept) = self.kept.get_mut(id) {
            kept.state = KeyState::Done { outcome, at_ms: now_ms };
            self.done_order.push_back((now_ms, id.clone()));
        }
    }

    /// Forgets outcomes that are older than the window.
    pub fn expire(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms.saturating_add(self.retention_ms) <= now_ms;
        while self.done_order.front().is_some_and(|(at_ms, _)| is_old(*at_ms)) {
            let Some((at_ms, id)) = self.done_order.pop_front() else { break };
            let is_that_run =
                |kept: &Kept| matches!(kept.state, KeyState::Done { at_ms: done_ms, .. } if done_ms == at_ms);
            if self.kept.get(&id).is_some_and(is_that_run) {
                self.kept.remove(&id);
            }
        }
        while self.past_homes.front().is_some_and(|past| is_old(past.until_ms)) {
            self.past_homes.pop_front();
        }
    }
}

fn kept_verdict(kept: &Kept, key: &IdempotencyKey) -> KeyLookup {
    if kept.fingerprint != key.fingerprint {
        return KeyLookup::Refused(Refusal::new(ErrorKind::KeyReused));
    }
    match &kept.state {
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
