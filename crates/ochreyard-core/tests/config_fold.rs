//! All readers of the log derive the same configuration for a version and never go back to an older version,
//! whatever happens to the log, its answers, the readers and the operators.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreyard_core::config::{
    Change, ConfigFold, ConfigRecord, Configuration, ConfirmedPlan, FoldEvent, FoldStatus, LogPage, LogRecord,
    ServiceKind, ServiceSpec, VoidReason,
};
use ochreyard_core::ids::PlanId;
use proptest::prelude::*;

const READERS: usize = 4;
const SERVICES: usize = 4;

#[derive(Debug, Clone)]
enum Op {
    /// An operator makes a plan from the version of a reader.
    Plan {
        reader: usize,
        service: usize,
        first_byte_ms: u64,
        remove: bool,
    },
    /// A plan is confirmed, and confirmed again if the answer is lost.
    Confirm {
        plan: usize,
        twice: bool,
    },
    Garbage(String),
    Read {
        reader: usize,
        limit: usize,
    },
    Snapshot(usize),
    /// A reader stalled after it had made a snapshot, and appends it now.
    StaleSnapshot(usize),
    Expire(usize),
    Restart(usize),
    /// A reader adopts the newest state among the reachable peers.
    Adopt {
        reader: usize,
        peers: Vec<usize>,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..READERS, 0..SERVICES, 1..5u64, prop::bool::weighted(0.2))
            .prop_map(|(reader, service, first_byte_ms, remove)| Op::Plan { reader, service, first_byte_ms, remove }),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(plan, twice)| Op::Confirm { plan, twice }),
        1 => "[a-z{\"]{0,9}".prop_map(Op::Garbage),
        8 => (0..READERS, 1..6usize).prop_map(|(reader, limit)| Op::Read { reader, limit }),
        2 => (0..READERS).prop_map(Op::Snapshot),
        1 => any::<usize>().prop_map(Op::StaleSnapshot),
        1 => (1..12usize).prop_map(Op::Expire),
        1 => (0..READERS).prop_map(Op::Restart),
        1 => (0..READERS, prop::collection::vec(0..READERS, 0..3)).prop_map(|(reader, peers)| Op::Adopt { reader, peers }),
    ]
}

#[derive(Default)]
struct World {
    first_offset: u64,
    records: Vec<String>,
    readers: Vec<ConfigFold>,
    /// Highest version that each reader has had in force since its last restart.
    highest_versions: Vec<u64>,
    /// The configuration of one agent of each reader, which receives deltas if there are any.
    agents: Vec<Arc<Configuration>>,
    delta_count: u64,
    plans: Vec<ConfirmedPlan>,
    snapshots: Vec<ConfigRecord>,
    /// The fold of all records, including expired ones.
    reference: ConfigFold,
    state_at: BTreeMap<u64, String>,
}

fn without_position(state: &Configuration) -> String {
    let mut value = serde_json::to_value(state).unwrap();
    value.as_object_mut().unwrap().remove("folded_to");
    value.to_string()
}

impl World {
    fn new() -> Self {
        Self {
            readers: (0..READERS).map(|_| ConfigFold::new()).collect(),
            highest_versions: vec![0; READERS],
            agents: vec![Arc::default(); READERS],
            ..Self::default()
        }
    }

    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, record: &ConfigRecord) {
        self.append_text(serde_json::to_string(record).unwrap());
    }

    fn append_text(&mut self, text: String) {
        let offset = self.next_offset();
        self.records.push(text.clone());
        let page = LogPage { first_offset: 0, next_offset: offset + 1, records: vec![LogRecord { offset, text }] };
        self.reference.fold_page(&page);
        let state = self.reference.state().unwrap();
        self.state_at.insert(state.version(), without_position(state));
    }

    fn page(&self, from: u64, limit: usize) -> LogPage {
        let from = from.max(self.first_offset);
        let skip = usize::try_from(from - self.first_offset).unwrap();
        let records = self.records.iter().enumerate().skip(skip).take(limit);
        let records =
            records.map(|(at, text)| LogRecord { offset: self.first_offset + at as u64, text: text.clone() }).collect();
        LogPage { first_offset: self.first_offset, next_offset: self.next_offset(), records }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Plan { reader, service, first_byte_ms, remove } => {
                self.plan(*reader, *service, *first_byte_ms, *remove);
            }
            Op::Confirm { plan, twice } if !self.plans.is_empty() => {
                let plan = self.plans[plan % self.plans.len()].clone();
                self.append(&ConfigRecord::Confirmed(plan.clone()));
                if *twice {
                    self.append(&ConfigRecord::Confirmed(plan));
                }
            }
            Op::Garbage(text) => self.append_text(text.clone()),
            Op::Read { reader, limit } => self.read(*reader, *limit),
            Op::Snapshot(reader) => {
                let fold = &self.readers[*reader];
                if let Some(state) = fold.state().filter(|_| fold.status() == FoldStatus::Following) {
                    let record =
                        ConfigRecord::Snapshot { as_of: state.folded_to(), state: Box::new((**state).clone()) };
                    self.snapshots.push(record.clone());
                    self.append(&record);
                }
            }
            Op::StaleSnapshot(at) if !self.snapshots.is_empty() => {
                let record = self.snapshots[at % self.snapshots.len()].clone();
                self.append(&record);
            }
            Op::Expire(keep) => {
                let expired = self.records.len().saturating_sub(*keep);
                self.records.drain(..expired);
                self.first_offset += expired as u64;
            }
            Op::Restart(reader) => {
                self.readers[*reader] = ConfigFold::new();
                self.highest_versions[*reader] = 0;
            }
            Op::Adopt { reader, peers } => {
                let newest = peers.iter().filter_map(|peer| self.readers[*peer].state()).max_by_key(|s| s.version());
                if let Some(state) = newest.cloned() {
                    self.readers[*reader].adopt(state);
                    self.check(*reader);
                }
            }
            _ => {}
        }
    }

    fn plan(&mut self, reader: usize, service: usize, first_byte_ms: u64, remove: bool) {
        let name = format!("s{service}");
        let mut change = Change::default();
        if remove {
            change.remove.services.insert(name.into());
        } else {
            let kind = ServiceKind::Plain;
            change.services.push(ServiceSpec { service: name.into(), kind, first_byte_ms, objective_permille: 900 });
        }
        let plan_id = PlanId::from(format!("p{}", self.plans.len()));
        self.plans.push(ConfirmedPlan { plan_id, base_version: self.readers[reader].version(), change });
    }

    fn read(&mut self, reader: usize, limit: usize) {
        let page = self.page(self.readers[reader].cursor(), limit);
        self.readers[reader].fold_page(&page);
        self.check(reader);
    }

    /// Brings the agent to the reader's state, by a delta or the complete state.
    fn update_agent(&mut self, reader: usize) {
        let fold = &self.readers[reader];
        let Some(state) = fold.state().filter(|state| state.version() > self.agents[reader].version()) else { return };
        let delta = fold.delta_since(self.agents[reader].version());
        let by_delta = delta.and_then(|delta| delta.applied_to(&self.agents[reader]));
        self.delta_count += u64::from(by_delta.is_some());
        self.agents[reader] = by_delta.map_or_else(|| Arc::clone(state), Arc::new);
        assert_eq!(without_position(&self.agents[reader]), without_position(state));
    }

    /// Checks that the state equals the reference state of its version, and that the version never goes back.
    fn check(&mut self, reader: usize) {
        self.update_agent(reader);
        let Some(state) = self.readers[reader].state() else { return };
        let version = state.version();
        assert!(version >= self.highest_versions[reader], "reader {reader} went back to {version}");
        self.highest_versions[reader] = version;
        if version > 0 {
            assert_eq!(Some(&without_position(state)), self.state_at.get(&version), "version {version} differs");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(1_500), max_shrink_iters: 40_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_version_has_the_same_state_everywhere_and_never_goes_back(ops in prop::collection::vec(op(), 1..120)) {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(op));
    }

    /// Once the log contains a snapshot of the current state, every reader reaches that state.
    #[test]
    fn every_reader_catches_up_with_a_snapshot(ops in prop::collection::vec(op(), 1..80)) {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(op));
        let state = world.reference.state().cloned().unwrap_or_default();
        world.append(&ConfigRecord::Snapshot { as_of: world.next_offset(), state: Box::new((*state).clone()) });
        for reader in 0..READERS {
            while world.readers[reader].cursor() < world.next_offset() {
                world.read(reader, 7);
            }
            prop_assert_eq!(world.readers[reader].version(), state.version());
            prop_assert_eq!(world.readers[reader].status(), FoldStatus::Following);
        }
    }
}

fn service(first_byte_ms: u64) -> Change {
    let kind = ServiceKind::Plain;
    let spec = ServiceSpec { service: "maps".into(), kind, first_byte_ms, objective_permille: 900 };
    Change { services: vec![spec], ..Change::default() }
}

fn confirmed(id: &str, base_version: u64, change: Change) -> ConfirmedPlan {
    ConfirmedPlan { plan_id: id.into(), base_version, change }
}

#[test]
fn of_two_conflicting_plans_the_first_in_the_log_is_in_force_everywhere() {
    let mut world = World::new();
    world.append(&ConfigRecord::Confirmed(confirmed("first", 0, service(1))));
    world.append(&ConfigRecord::Confirmed(confirmed("second", 0, service(2))));
    for reader in 0..READERS {
        world.read(reader, 1 + reader);
        world.read(reader, 9);
        let fold = &world.readers[reader];
        assert_eq!(fold.outcome(&"first".into()), Some(&Ok(1)));
        assert!(matches!(fold.outcome(&"second".into()), Some(Err(VoidReason::Conflict { version: 1, .. }))));
        assert_eq!(fold.state().unwrap().service(&"maps".into()).unwrap().first_byte_ms, 1);
    }
}

#[test]
fn a_plan_confirmed_twice_after_a_lost_answer_is_applied_once() {
    let mut world = World::new();
    let plan = confirmed("p", 0, service(1));
    world.append(&ConfigRecord::Confirmed(plan.clone()));
    world.append(&ConfigRecord::Confirmed(plan));
    world.read(0, 9);
    assert_eq!(world.readers[0].outcome(&"p".into()), Some(&Ok(1)));
    assert_eq!(world.readers[0].version(), 1);
}

#[test]
fn an_unreadable_record_is_reported_and_skipped() {
    let mut world = World::new();
    world.append_text("{\"kind\":\"confirmed\"".into());
    world.append(&ConfigRecord::Confirmed(confirmed("p", 0, service(1))));
    let page = world.page(0, 9);
    let events = world.readers[0].fold_page(&page);
    assert!(matches!(events[0], FoldEvent::Unreadable { offset: 0, .. }));
    assert_eq!(world.readers[0].version(), 2);
}

#[test]
fn after_the_log_lost_all_records_a_seed_restores_the_state_of_a_peer() {
    let mut world = World::new();
    world.append(&ConfigRecord::Confirmed(confirmed("p", 0, service(1))));
    world.read(0, 9);
    let state = Arc::clone(world.readers[0].state().unwrap());
    world.apply(&Op::Expire(0));
    world.read(1, 9);
    assert_eq!(world.readers[1].status(), FoldStatus::Gap { first_offset: 1 });
    let seed = ConfigRecord::Seed { first_offset: 1, state: Box::new((*state).clone()) };
    world.append(&seed);
    for reader in 0..2 {
        world.read(reader, 9);
        assert_eq!(world.readers[reader].version(), 1);
        assert_eq!(world.readers[reader].status(), FoldStatus::Following);
    }
}

#[test]
fn an_up_to_date_agent_gets_deltas_and_a_far_lagging_one_the_complete_state() {
    let mut world = World::new();
    for number in 0..300 {
        world.append(&ConfigRecord::Confirmed(confirmed(&format!("p{number}"), number, service(number + 1))));
        world.read(0, 9);
    }
    // The first delta applies to the empty configuration, which has version 0.
    assert_eq!(world.delta_count, 300);
    assert!(world.readers[0].delta_since(1).is_none());
    assert_eq!(world.readers[0].delta_since(299).unwrap().records.len(), 1);
}
