//! The fold over the configuration stream. The order of the log alone decides which plans are in force.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::configuration::{Configuration, VoidReason};
use super::delta::{Delta, EffectiveRecord};
use super::record::{ConfigRecord, ConfirmedPlan};
use crate::ids::PlanId;

/// Number of plans whose proposals and outcomes are stored.
const MAX_STORED_PLANS: usize = 1024;

/// Number of recent records with an effect that are stored, from which deltas are made.
const MAX_RECENT_RECORDS: usize = 256;

/// A record as returned by the log service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// The offset of the record.
    pub offset: u64,
    /// The text of the record.
    pub text: String,
}

/// A page of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogPage {
    /// The oldest offset that can still be read.
    pub first_offset: u64,
    /// The offset that the next append will get.
    pub next_offset: u64,
    /// Records from the requested offset on, in order.
    pub records: Vec<LogRecord>,
}

/// An event that the fold reports to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldEvent {
    /// A new version is in force.
    VersionInForce(u64),
    /// A confirmed plan came into force.
    Accepted(PlanId),
    /// A confirmed plan has no effect.
    Voided(PlanId, VoidReason),
    /// A record could not be parsed. Every reader ignores it.
    Unreadable {
        /// The offset of the record.
        offset: u64,
        /// The parser's error message.
        problem: String,
    },
    /// The snapshot or seed at this offset was skipped, because records that it may lack have expired.
    SnapshotSkipped(u64),
}

/// Whether the state is known to be the state of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldStatus {
    /// Nothing has been read or adopted yet.
    Empty,
    /// The state includes all records up to the last one that was read.
    Following,
    /// Records expired before they were read, and no usable snapshot has been found yet.
    Gap {
        /// The oldest offset that can still be read.
        first_offset: u64,
    },
}

/// The search for a snapshot or seed after records expired unread.
#[derive(Debug, Clone)]
struct Rebase {
    first_offset: u64,
    /// Records that were read during the search, with their offsets.
    scanned: Vec<(u64, ConfigRecord)>,
}

/// Folds the configuration stream into the accepted configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    state: Option<Arc<Configuration>>,
    cursor: u64,
    rebase: Option<Rebase>,
    proposals: BTreeMap<PlanId, ConfirmedPlan>,
    outcomes: BTreeMap<PlanId, Result<u64, VoidReason>>,
    /// Plans in `proposals` and `outcomes`, oldest first.
    plan_order: VecDeque<PlanId>,
    /// Recent records with an effect, each with the version before it.
    recent: VecDeque<(u64, EffectiveRecord)>,
}

impl ConfigFold {
    /// Creates a fold that has read nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The folded configuration, or `None` before a page was folded or a state adopted.
    #[must_use]
    pub fn state(&self) -> Option<&Arc<Configuration>> {
        self.state.as_ref()
    }

    /// The version in force, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.version())
    }

    /// The offset to read from next.
    #[must_use]
    pub const fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Whether the state is known to be the state of the log.
    #[must_use]
    pub const fn status(&self) -> FoldStatus {
        match (&self.rebase, &self.state) {
            (Some(rebase), _) => FoldStatus::Gap { first_offset: rebase.first_offset },
            (None, Some(_)) => FoldStatus::Following,
            (None, None) => FoldStatus::Empty,
        }
    }

    /// A proposed plan.
    #[must_use]
    pub fn proposal(&self, plan_id: &PlanId) -> Option<&ConfirmedPlan> {
        self.proposals.get(plan_id)
    }

    /// The outcome of a confirmed plan: the version that it led to, or why it is void.
    #[must_use]
    pub fn outcome(&self, plan_id: &PlanId) -> Option<&Result<u64, VoidReason>> {
        self.outcomes.get(plan_id)
    }

    /// The difference between `version` and the version in force, if the records in between are stored.
    #[must_use]
    pub fn delta_since(&self, version: u64) -> Option<Delta> {
        let start = self.recent.iter().position(|(before, _)| *before == version)?;
        let records = self.recent.iter().skip(start).map(|(_, record)| record.clone()).collect();
        Some(Delta { from_version: version, records })
    }

    /// Adopts a state from a peer, if it is newer than the own state. Returns whether it was adopted.
    pub fn adopt(&mut self, state: Arc<Configuration>) -> bool {
        let is_newer = self.state.as_ref().is_none_or(|own| position(&state) > position(own));
        if is_newer {
            self.cursor = state.folded_to();
            self.state = Some(state);
            self.rebase = None;
            self.recent.clear();
        }
        is_newer
    }

    /// Folds a page, which must have been read from [`Self::cursor`] on.
    pub fn fold_page(&mut self, page: &LogPage) -> Vec<FoldEvent> {
        let mut events = Vec::new();
        self.detect_gap(page);
        if self.state.is_none() && self.rebase.is_none() {
            self.state = Some(Arc::default());
        }
        let before = self.version();
        for record in &page.records {
            if record.offset != self.cursor {
                continue;
            }
            self.fold_record(record, &mut events);
            self.cursor = record.offset + 1;
            if let Some(state) = self.state.as_mut().filter(|_| self.rebase.is_none()) {
                Arc::make_mut(state).set_folded_to(record.offset + 1);
            }
        }
        if self.version() != before {
            events.push(FoldEvent::VersionInForce(self.version()));
        }
        events
    }

    fn detect_gap(&mut self, page: &LogPage) {
        let has_gap = self.cursor < page.first_offset;
        if has_gap {
            self.rebase = Some(Rebase { first_offset: page.first_offset, scanned: Vec::new() });
            self.cursor = page.first_offset;
        }
    }

    fn fold_record(&mut self, record: &LogRecord, events: &mut Vec<FoldEvent>) {
        let parsed: ConfigRecord = match serde_json::from_str(&record.text) {
            Ok(parsed) => parsed,
            Err(error) => {
                events.push(FoldEvent::Unreadable { offset: record.offset, problem: error.to_string() });
                return;
            }
        };
        if self.rebase.is_some() {
            self.scan(record.offset, parsed, events);
        } else {
            self.apply(record.offset, &parsed, events);
        }
    }

    fn apply(&mut self, offset: u64, record: &ConfigRecord, events: &mut Vec<FoldEvent>) {
        let before = self.version();
        let Some(state) = self.state.as_mut() else { return };
        match record {
            ConfigRecord::Proposed(plan) => self.store_proposal(plan),
            ConfigRecord::Confirmed(plan) => {
                let outcome = Arc::make_mut(state).apply(offset, plan).map(|_| offset + 1);
                events.push(match &outcome {
                    Ok(_) => FoldEvent::Accepted(plan.plan_id.clone()),
                    Err(void) => FoldEvent::Voided(plan.plan_id.clone(), void.clone()),
                });
                self.store_outcome(&plan.plan_id, outcome);
            }
            ConfigRecord::HomeAcks { acks } => {
                Arc::make_mut(state).record_home_acks(offset, acks);
            }
            ConfigRecord::Snapshot { .. } | ConfigRecord::Seed { .. } => {}
        }
        if self.version() != before {
            self.store_recent(before, offset, record);
        }
    }

    fn store_recent(&mut self, before: u64, offset: u64, record: &ConfigRecord) {
        let record = EffectiveRecord { offset, record: Arc::new(record.clone()) };
        self.recent.push_back((before, record));
        if self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// Searches for a snapshot or seed to start from, after records expired unread.
    fn scan(&mut self, offset: u64, record: ConfigRecord, events: &mut Vec<FoldEvent>) {
        let Some(rebase) = self.rebase.as_mut() else { return };
        let (start_offset, state) = match record {
            ConfigRecord::Snapshot { as_of, state } if as_of >= rebase.first_offset && as_of <= offset => {
                (as_of, state)
            }
            ConfigRecord::Seed { first_offset, state } if first_offset >= rebase.first_offset => (first_offset, state),
            ConfigRecord::Snapshot { .. } | ConfigRecord::Seed { .. } => {
                events.push(FoldEvent::SnapshotSkipped(offset));
                return;
            }
            other => {
                rebase.scanned.push((offset, other));
                return;
            }
        };
        let scanned = std::mem::take(&mut rebase.scanned);
        self.rebase = None;
        self.start_from(state, start_offset, &scanned, events);
    }

    fn start_from(
        &mut self,
        state: Box<Configuration>,
        start_offset: u64,
        scanned: &[(u64, ConfigRecord)],
        events: &mut Vec<FoldEvent>,
    ) {
        let is_older = self.state.as_ref().is_some_and(|own| own.version() > state.version());
        if is_older {
            // The version must never go back: the own state is newer than the one that was found.
            return;
        }
        self.state = Some(Arc::new(*state));
        self.recent.clear();
        for (offset, record) in scanned.iter().filter(|(offset, _)| *offset >= start_offset) {
            self.apply(*offset, record, events);
        }
    }

    fn store_proposal(&mut self, plan: &ConfirmedPlan) {
        self.track_plan(&plan.plan_id);
        self.proposals.insert(plan.plan_id.clone(), plan.clone());
    }

    fn store_outcome(&mut self, plan_id: &PlanId, outcome: Result<u64, VoidReason>) {
        self.track_plan(plan_id);
        // A duplicate record of a plan in force is void by itself, but must not overwrite the plan's outcome.
        self.outcomes.entry(plan_id.clone()).or_insert(outcome);
    }

    fn track_plan(&mut self, plan_id: &PlanId) {
        if self.proposals.contains_key(plan_id) || self.outcomes.contains_key(plan_id) {
            return;
        }
        self.plan_order.push_back(plan_id.clone());
        if self.plan_order.len() <= MAX_STORED_PLANS {
            return;
        }
        if let Some(oldest) = self.plan_order.pop_front() {
            self.proposals.remove(&oldest);
            self.outcomes.remove(&oldest);
        }
    }
}

/// Sort key of a state; the greater one is newer.
fn position(state: &Configuration) -> (u64, u64) {
    (state.version(), state.folded_to())
}
