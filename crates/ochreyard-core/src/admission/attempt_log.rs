//! A record of the attempts that have arrived, so that none starts twice and none starts after the agent has
//! promised that it will not.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Incarnation};

/// Number of the newest requests of one entry that are recorded. An attempt of an older request is never started.
const WINDOW_REQUESTS: u64 = 4096;

/// Number of entry incarnations that are recorded.
const MAX_ENTRIES: usize = 256;

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// It is queued.
    Waiting,
    /// It was handed to the endpoint.
    Started,
    /// It ended, or was answered with a stored answer.
    Closed,
    /// It was refused and must never start.
    Tombstone,
}

/// The agent's answer to an entry that asks it not to start an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// It has not started and never will.
    NotStarted,
    /// It has started.
    Started,
    /// The agent has no record of it: it may have run.
    Unknown,
}

#[derive(Debug, Clone, Default)]
struct EntryLog {
    /// Requests with a lower number are forgotten.
    oldest_request: u64,
    states: BTreeMap<(u64, u32), AttemptState>,
}

/// Bounded record of attempts, grouped by the incarnation of their entry.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog {
    entries: BTreeMap<Incarnation, EntryLog>,
    /// The newest entry incarnation that has been forgotten; older ones are forgotten too.
    forgotten_up_to: Option<Incarnation>,
}

impl AttemptLog {
    /// Returns whether the attempt has not arrived before. It is `false` for forgotten attempts.
    #[must_use]
    pub fn is_new(&self, attempt: AttemptId) -> bool {
        if self.is_forgotten(attempt) {
            return false;
        }
        let log = self.entries.get(&attempt.entry);
        log.is_none_or(|log| !log.states.contains_key(&(attempt.request, attempt.attempt)))
    }

    /// The state of an attempt, if it is recorded.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.entries.get(&attempt.entry)?.states.get(&(attempt.request, attempt.attempt)).copied()
    }

    /// Records the state of an attempt. Does nothing for a forgotten attempt.
    pub fn set(&mut self, attempt: AttemptId, state: AttemptState) {
        if self.is_forgotten(attempt) {
            return;
        }
        let log = self.entries.entry(attempt.entry).or_default();
        log.states.insert((attempt.request, attempt.attempt), state);
        let oldest_request = attempt.request.saturating_sub(WINDOW_REQUESTS).max(log.oldest_request);
        if oldest_request > log.oldest_request {
            log.oldest_request = oldest_request;
            log.states = log.states.split_off(&(oldest_request, 0));
        }
        self.forget_oldest_entry();
    }

    /// Marks the attempt with a tombstone, unless it has started or is forgotten.
    pub fn revoke(&mut self, attempt: AttemptId) -> RevokeAnswer {
        if self.is_forgotten(attempt) {
            return RevokeAnswer::Unknown;
        }
        match self.get(attempt) {
            Some(AttemptState::Started | AttemptState::Closed) => RevokeAnswer::Started,
            Some(AttemptState::Waiting | AttemptState::Tombstone) | None => {
                self.set(attempt, AttemptState::Tombstone);
                RevokeAnswer::NotStarted
            }
        }
    }

    fn is_forgotten(&self, attempt: AttemptId) -> bool {
        let is_entry_forgotten = self.forgotten_up_to.is_some_and(|newest| attempt.entry <= newest);
        is_entry_forgotten || self.entries.get(&attempt.entry).is_some_and(|log| attempt.request < log.oldest_request)
    }

    fn forget_oldest_entry(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        if let Some((oldest, _)) = self.entries.pop_first() {
            self.forgotten_up_to = Some(oldest);
        }
    }
}
