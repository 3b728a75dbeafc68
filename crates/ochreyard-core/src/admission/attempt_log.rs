//! Which attempts have arrived, so that none starts twice and none starts
//! after it was said not to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Incarnation};

/// How many request numbers of one entry are remembered. An attempt that lies
/// further back than this is never started.
const WINDOW_REQUESTS: u64 = 4096;

/// How many lives of entries are remembered.
const MAX_ENTRIES: usize = 256;

/// What has become of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// It waits.
    Waiting,
    /// It was handed to the endpoint.
    Started,
    /// It ended, or was answered from what was kept.
    Closed,
    /// It was refused and must never start.
    Tombstone,
}

/// What an agent says when asked that an attempt shall not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// It has not started and never will.
    NotStarted,
    /// It has started.
    Started,
    /// Nothing is known: it may have run.
    Unknown,
}

#[derive(Debug, Clone, Default)]
struct EntryLog {
    floor: u64,
    states: BTreeMap<(u64, u32), AttemptState>,
}

/// Attempts by the entry's life, with a bound for each.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog {
    entries: BTreeMap<Incarnation, EntryLog>,
    floor: Option<Incarnation>,
}

impl AttemptLog {
    /// Whether the attempt has never arrived and may be judged.
    #[must_use]
    pub fn is_new(&self, attempt: AttemptId) -> bool {
        if self.is_forgotten(attempt) {
            return false;
        }
        let log = self.entries.get(&attempt.entry);
        log.is_none_or(|log| !log.states.contains_key(&(attempt.request, attempt.attempt)))
    }

    /// The state of an attempt, if it is remembered.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.entries.get(&attempt.entry)?.states.get(&(attempt.request, attempt.attempt)).copied()
    }

    /// Notes the state of an attempt. An attempt below the window stays forgotten.
    pub fn set(&mut self, attempt: AttemptId, state: AttemptState) {
        if self.is_forgotten(attempt) {
            return;
        }
        let log = self.entries.entry(attempt.entry).or_default();
        log.states.insert((attempt.request, attempt.attempt), state);
        let floor = attempt.request.saturating_sub(WINDOW_REQUESTS).max(log.floor);
        if floor > log.floor {
            log.floor = floor;
            log.states = log.states.split_off(&(floor, 0));
        }
        self.forget_oldest_entry();
    }

    /// Lays a tombstone unless the attempt has started.
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
        let entry_forgotten = self.floor.is_some_and(|floor| attempt.entry <= floor);
        entry_forgotten || self.entries.get(&attempt.entry).is_some_and(|log| attempt.request < log.floor)
    }

    fn forget_oldest_entry(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        if let Some((oldest, _)) = self.entries.pop_first() {
            self.floor = Some(oldest);
        }
    }
}
