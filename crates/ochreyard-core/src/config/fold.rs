//! The fold over the configuration stream: the log's order is the only authority.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::configuration::{Configuration, VoidReason};
use super::delta::{Delta, EffectiveRecord};
use super::record::{ConfigRecord, ConfirmedPlan};
use crate::ids::PlanId;

/// How many proposals and outcomes are remembered.
const MAX_REMEMBERED_PLANS: usize = 1024;

/// How many records with an effect are remembered for those who lack them.
const MAX_RECENT_RECORDS: usize = 256;

/// One record as the log service gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// Its text.
    pub text: String,
}

/// One page of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogPage {
    /// The oldest offset that can still be read.
    pub first_offset: u64,
    /// The offset that the next append will get.
    pub next_offset: u64,
    /// Records from the asked offset on, in order.
    pub records: Vec<LogRecord>,
}

/// What the fold noticed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldEvent {
    /// A new version is in force.
    VersionInForce(u64),
    /// A confirmed plan came into force.
    Accepted(PlanId),
    /// A confirmed plan has no effect.
    Voided(PlanId, VoidReason),
    /// A record could not be read; it counts as nothing, at every reader alike.
    Unreadable {
        /// Its offset.
        offset: u64,
        /// What the parser said.
        problem: String,
    },
    /// A snapshot or seed was passed over, because records that it may lack have expired.
    SnapshotSkipped(u64),
}

/// Whether the state can be relied on to be the log's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldStatus {
    /// Nothing has been read or adopted yet.
    Empty,
    /// The state holds all records up to where the log was read.
    Following,
    /// Records expired unread, and no usable snapshot has been found yet.
    Gap {
        /// The oldest offset that can still be read.
        first_offset: u64,
    },
}

/// While records have expired unread: what has been scanned since.
#[derive(Debug, Clone)]
struct Rebase {
    first_offset: u64,
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
    remembered: VecDeque<PlanId>,
    /// Records with an effect, each with the version before it.
    recent: VecDeque<(u64, EffectiveRecord)>,
}

impl ConfigFold {
    /// A fold that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The state, once there is one.
    #[must_use]
    pub fn state(&self) -> Option<&Arc<Configuration>> {
        self.state.as_ref()
    }

    /// The version in force; 0 when there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.version())
    }

    /// The offset to read from next.
    #[must_use]
    pub const fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Whether the state is the log's.
    #[must_use]
    pub const fn status(&self) -> FoldStatus {
        match (&self.rebase, &self.state) {
            (Some(rebase), _) => FoldStatus::Gap { first_offset: rebase.first_offset },
            (None, Some(_)) => FoldStatus::Following,
            (None, None) => FoldStatus::Empty,
        }
    }

    /// A plan that waits to be confirmed.
    #[must_use]
    pub fn proposal(&self, plan_id: &PlanId) -> Option<&ConfirmedPlan> {
        self.proposals.get(plan_id)
    }

    /// What became of a confirmed plan: its version, or why it is void.
    #[must_use]
    pub fn outcome(&self, plan_id: &PlanId) -> Option<&Result<u64, VoidReason>> {
        self.outcomes.get(plan_id)
    }

    /// What changed since `version`, if that is remembered.
    #[must_use]
    pub fn delta_since(&self, version: u64) -> Option<Delta> {
        let start = self.recent.iter().position(|(before, _)| *before == version)?;
        let records = self.recent.iter().skip(start).map(|(_, record)| record.clone()).collect();
        Some(Delta { from_version: version, records })
    }

    /// Takes over a state from a peer, if it is newer than the own one.
    pub fn adopt(&mut self, state: Arc<Configuration>) -> bool {
        let newer = self.state.as_ref().is_none_or(|own| position(&state) > position(own));
        if newer {
            self.cursor = state.folded_to();
            self.state = Some(state);
            self.rebase = None;
            self.recent.clear();
        }
        newer
    }

    /// Folds one page, which must have been read from [`Self::cursor`].
    pub fn fold_page(&mut self, page: &LogPage) -> Vec<FoldEvent> {
        let mut events = Vec::new();
        self.notice_gap(page);
        if self.state.is_none() && self.rebase.is_none() {
            self.state = Some(Arc::default());
        }
        let before = self.version();
        for record in &page.records {
            if record.offset != self.cursor {
                continue;
            }
            self.read_one(record, &mut events);
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

    fn notice_gap(&mut self, page: &LogPage) {
        let lost = self.cursor < page.first_offset;
        if lost {
            self.rebase = Some(Rebase { first_offset: page.first_offset, scanned: Vec::new() });
            self.cursor = page.first_offset;
        }
    }

    fn read_one(&mut self, record: &LogRecord, events: &mut Vec<FoldEvent>) {
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
            ConfigRecord::Proposed(plan) => self.remember_proposal(plan),
            ConfigRecord::Confirmed(plan) => {
                let outcome = Arc::make_mut(state).apply(offset, plan).map(|_| offset + 1);
                events.push(match &outcome {
                    Ok(_) => FoldEvent::Accepted(plan.plan_id.clone()),
                    Err(void) => FoldEvent::Voided(plan.plan_id.clone(), void.clone()),
                });
                self.remember_outcome(&plan.plan_id, outcome);
            }
            ConfigRecord::HomeAcks { acks } => {
                Arc::make_mut(state).record_home_acks(offset, acks);
            }
            ConfigRecord::Snapshot { .. } | ConfigRecord::Seed { .. } => {}
        }
        if self.version() != before {
            self.remember_recent(before, offset, record);
        }
    }

    fn remember_recent(&mut self, before: u64, offset: u64, record: &ConfigRecord) {
        let record = EffectiveRecord { offset, record: Arc::new(record.clone()) };
        self.recent.push_back((before, record));
        if self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// Looks for a state to start from, after records expired unread.
    fn scan(&mut self, offset: u64, record: ConfigRecord, events: &mut Vec<FoldEvent>) {
        let Some(rebase) = self.rebase.as_mut() else { return };
        let (from, state) = match record {
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
        self.start_from(state, from, &scanned, events);
    }

    fn start_from(
        &mut self,
        state: Box<Configuration>,
        from: u64,
        scanned: &[(u64, ConfigRecord)],
        events: &mut Vec<FoldEvent>,
    ) {
        let older = self.state.as_ref().is_some_and(|own| own.version() > state.version());
        if older {
            // Never back: this process has seen more than the state that it found.
            return;
        }
        self.state = Some(Arc::new(*state));
        self.recent.clear();
        for (offset, record) in scanned.iter().filter(|(offset, _)| *offset >= from) {
            self.apply(*offset, record, events);
        }
    }

    fn remember_proposal(&mut self, plan: &ConfirmedPlan) {
        self.remember(&plan.plan_id);
        self.proposals.insert(plan.plan_id.clone(), plan.clone());
    }

    fn remember_outcome(&mut self, plan_id: &PlanId, outcome: Result<u64, VoidReason>) {
        self.remember(plan_id);
        // A repeated record of a plan that came into force is void, but the plan is in force.
        self.outcomes.entry(plan_id.clone()).or_insert(outcome);
    }

    fn remember(&mut self, plan_id: &PlanId) {
        if self.proposals.contains_key(plan_id) || self.outcomes.contains_key(plan_id) {
            return;
        }
        self.remembered.push_back(plan_id.clone());
        if self.remembered.len() <= MAX_REMEMBERED_PLANS {
            return;
        }
        if let Some(oldest) = self.remembered.pop_front() {
            self.proposals.remove(&oldest);
            self.outcomes.remove(&oldest);
        }
    }
}

/// Which of two states is newer.
fn position(state: &Configuration) -> (u64, u64) {
    (state.version(), state.folded_to())
}
