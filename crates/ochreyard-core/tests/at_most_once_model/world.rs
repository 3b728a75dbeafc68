//! The state of the model and the properties that it checks.

use std::collections::{BTreeMap, BTreeSet};

use ochreyard_core::admission::AdmissionAction;
use ochreyard_core::config::{Change, ConfigFold, ConfigRecord, ConfirmedPlan, LogPage, LogRecord};
use ochreyard_core::error_kind::RunStatus;
use ochreyard_core::ids::{AttemptId, Incarnation, PlanId};

use super::agent::Agent;
use super::entry::Entry;
use super::message::Message;
use super::specs::{admission, agent_addr, first_change};
use super::{AGENTS, CLOCK_MARGIN_MS, ENTRIES, KEYS};

/// The state of the model.
pub struct World {
    pub now_ms: u64,
    pub step: u64,
    pub last_incarnation: u64,
    pub log: Vec<ConfigRecord>,
    /// The fold of the complete log, which operators see.
    pub reference: ConfigFold,
    pub agents: Vec<Agent>,
    pub entries: Vec<Entry>,
    pub keys: Vec<String>,
    pub messages: Vec<Message>,
    pub key_of: BTreeMap<AttemptId, String>,
    pub runs: BTreeMap<String, u64>,
    pub started: BTreeSet<AttemptId>,
    pub reported_not_run: BTreeSet<AttemptId>,
    pub started_count: u64,
}

impl World {
    /// Creates a model in which no request has been sent yet.
    pub fn new() -> Self {
        let agent = |index: usize| {
            let (endpoint, addr) = (index / 2, index % 2);
            let addr = agent_addr(endpoint, addr);
            Agent { endpoint, addr, admission: admission(endpoint, addr, 1, 0), skew_ms: 0, running: Vec::new() }
        };
        let mut world = Self {
            now_ms: 1_000_000,
            step: 1,
            last_incarnation: 1,
            log: Vec::new(),
            reference: ConfigFold::new(),
            agents: (0..AGENTS).map(agent).collect(),
            entries: Vec::new(),
            keys: (0..KEYS).map(|k| format!("undated-{k}")).collect(),
            messages: Vec::new(),
            key_of: BTreeMap::new(),
            runs: BTreeMap::new(),
            started: BTreeSet::new(),
            reported_not_run: BTreeSet::new(),
            started_count: 0,
        };
        for agent in 0..AGENTS {
            world.restart_agent(agent);
            world.agents[agent].skew_ms = agent as u64 * CLOCK_MARGIN_MS / 16;
        }
        world.entries = (0..ENTRIES).map(|_| world.new_entry()).collect();
        world.confirm(first_change());
        world
    }

    pub fn new_entry(&mut self) -> Entry {
        self.last_incarnation += 1;
        Entry::new(Incarnation(self.last_incarnation))
    }

    pub fn restart_agent(&mut self, agent: usize) {
        self.last_incarnation += 1;
        let (endpoint, addr) = (self.agents[agent].endpoint, self.agents[agent].addr);
        let now_ms = self.agents[agent].local_time_ms(self.now_ms);
        self.agents[agent].admission = admission(endpoint, addr, self.last_incarnation, now_ms);
        self.agents[agent].running.clear();
    }

    pub fn confirm(&mut self, change: Change) {
        let page = self.page(self.reference.cursor());
        self.reference.fold_page(&page);
        let plan = ConfirmedPlan {
            plan_id: PlanId::from(format!("p{}", self.log.len())),
            base_version: self.reference.version(),
            change,
        };
        self.log.push(ConfigRecord::Confirmed(plan));
    }

    pub fn page(&self, from: u64) -> LogPage {
        let records = self.log.iter().enumerate().skip(usize::try_from(from).unwrap());
        let records =
            records.map(|(at, r)| LogRecord { offset: at as u64, text: serde_json::to_string(r).unwrap() }).collect();
        LogPage { first_offset: 0, next_offset: self.log.len() as u64, records }
    }

    pub fn apply_actions(&mut self, agent: usize, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(attempt) => self.start(agent, attempt),
                AdmissionAction::Refuse { attempt, refusal } if refusal.run == RunStatus::NotRun => {
                    self.record_not_run(attempt);
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, agent: usize, attempt: AttemptId) {
        assert!(!self.reported_not_run.contains(&attempt), "{attempt} started after it was reported as not run");
        assert!(self.started.insert(attempt), "{attempt} started twice");
        self.agents[agent].running.push(attempt);
        self.started_count += 1;
        let key = self.key_of[&attempt].clone();
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        // An undated key may run again after the retention time. Tests of the admission control cover undated keys.
        let is_dated = !key.starts_with("undated");
        assert!(!is_dated || *runs <= 1, "{key} ran {runs} times");
    }

    pub fn record_not_run(&mut self, attempt: AttemptId) {
        assert!(!self.started.contains(&attempt), "{attempt} was reported as not run after it had started");
        self.reported_not_run.insert(attempt);
    }
}
