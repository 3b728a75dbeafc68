//! Simulates a log that is restored from older copies, endpoints that write to it, and boxes that read it and send each
//! other updates.

use std::collections::{BTreeMap, BTreeSet};

use ochreyard_core::direct::{Catalog, EndpointChange, EndpointRecord, Position};

use crate::direct_fixture::endpoint;

pub const BOXES: usize = 2;
pub const ENDPOINTS: usize = 2;
/// Longer than the time that endpoints have to write their records again after a restore, in milliseconds.
const SETTLE_MS: u64 = 2_100;

/// Phase of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    Leaving,
    Ended,
}

/// One operation of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// An endpoint writes its record.
    Write(usize),
    /// An endpoint starts to leave, and writes its record.
    Leave(usize),
    /// An endpoint ends, and its record is deleted.
    End(usize),
    /// An endpoint restarts with the same identifier.
    Restart(usize),
    /// The record of an endpoint expires although the endpoint is running.
    Expire(usize),
    /// The log is restored without its last records.
    RestoreLog(usize),
    /// A box lists the newest record of each endpoint.
    List(usize),
    /// A box reads the log from its next position.
    Read(usize),
    /// One box sends the other one the changes.
    SendUpdates { from: usize, to: usize },
    /// A box restarts without its state.
    RestartBox(usize),
    /// Time passes.
    PassTime,
}

#[derive(Clone)]
struct Endpoint {
    phase: Phase,
    incarnation: u64,
}

#[derive(Clone, Default)]
struct BoxModel {
    catalog: Catalog,
    next: Option<Position>,
    /// Latest era that the box knows, and the era in which it has listed all endpoints.
    era: Option<u64>,
    listed: Option<u64>,
    known: BTreeMap<String, EndpointRecord>,
    /// Incarnations that the box knows to be leaving, or of which it has read the end. A record that is absent does not
    /// count as an end.
    not_ready: BTreeSet<(String, u64)>,
}

impl BoxModel {
    fn record_era(&mut self, era: u64, now_ms: u64) {
        if self.era.is_none_or(|known| known < era) {
            let previous = self.era.replace(era);
            self.catalog.on_log_restored(era, previous.map(|_| now_ms));
        }
    }

    fn apply(&mut self, changes: impl IntoIterator<Item = EndpointChange>) {
        for change in changes {
            match change {
                EndpointChange::Updated(id, record) => {
                    if record.is_leaving {
                        self.not_ready.insert((id.clone(), record.started_ms));
                    }
                    self.known.insert(id, record);
                }
                EndpointChange::Removed(id) => drop(self.known.remove(&id)),
            }
        }
    }
}

/// One record of the log.
#[derive(Clone)]
struct LogRecord {
    endpoint: usize,
    record: Option<EndpointRecord>,
    /// Incarnation that ended with this record.
    ends: Option<u64>,
}

/// State of the simulation.
#[derive(Clone)]
pub struct Simulation {
    now_ms: u64,
    era: u64,
    log: Vec<LogRecord>,
    endpoints: Vec<Endpoint>,
    boxes: Vec<BoxModel>,
    /// Incarnations whose record expired although they kept running, so that its absence is not their end.
    expired: BTreeSet<(String, u64)>,
}

fn name(endpoint: usize) -> String {
    format!("i-{endpoint}")
}

impl Simulation {
    pub fn new() -> Self {
        let endpoints = vec![Endpoint { phase: Phase::Ready, incarnation: 1 }; ENDPOINTS];
        let boxes = vec![BoxModel::default(); BOXES];
        let mut simulation =
            Self { now_ms: 10_000, era: 1, log: Vec::new(), endpoints, boxes, expired: BTreeSet::new() };
        (0..ENDPOINTS).for_each(|at| simulation.apply(Op::Write(at)));
        (0..BOXES).for_each(|at| simulation.apply(Op::List(at)));
        simulation
    }

    pub fn apply(&mut self, op: Op) {
        self.now_ms += 100;
        match op {
            Op::Write(at) => self.write(at),
            Op::Leave(at) => self.change_phase(at, Phase::Ready, Phase::Leaving),
            Op::End(at) => self.end(at),
            Op::Restart(at) => self.restart(at),
            Op::Expire(at) => self.expire(at),
            Op::RestoreLog(lost) => self.restore_log_without(lost),
            Op::List(at) => self.list(at),
            Op::Read(at) => self.read(at),
            Op::SendUpdates { from, to } => self.send_updates(from, to),
            Op::RestartBox(at) => self.boxes[at] = BoxModel::default(),
            Op::PassTime => self.now_ms += SETTLE_MS,
        }
        self.boxes.iter_mut().for_each(|model| {
            let expired_changes = model.catalog.expire_unconfirmed(self.now_ms);
            model.apply(expired_changes);
        });
        self.assert_no_state_reverted();
    }

    fn record(&self, at: usize) -> EndpointRecord {
        let Endpoint { phase, incarnation } = &self.endpoints[at];
        EndpointRecord { is_leaving: *phase == Phase::Leaving, started_ms: *incarnation, ..endpoint(at as u16 + 1) }
    }

    fn write(&mut self, at: usize) {
        if self.endpoints[at].phase != Phase::Ended {
            self.log.push(LogRecord { endpoint: at, record: Some(self.record(at)), ends: None });
        }
    }

    fn change_phase(&mut self, at: usize, from: Phase, to: Phase) {
        if self.endpoints[at].phase == from {
            self.endpoints[at].phase = to;
            self.write(at);
        }
    }

    fn end(&mut self, at: usize) {
        if self.endpoints[at].phase != Phase::Ended {
            self.endpoints[at].phase = Phase::Ended;
            self.log.push(LogRecord { endpoint: at, record: None, ends: Some(self.endpoints[at].incarnation) });
        }
    }

    fn expire(&mut self, at: usize) {
        self.expired.insert((name(at), self.endpoints[at].incarnation));
        self.log.push(LogRecord { endpoint: at, record: None, ends: None });
    }

    fn restart(&mut self, at: usize) {
        let incarnation = self.endpoints[at].incarnation + 1;
        self.endpoints[at] = Endpoint { phase: Phase::Ready, incarnation };
        self.write(at);
    }

    fn restore_log_without(&mut self, lost: usize) {
        self.log.truncate(self.log.len().saturating_sub(lost));
        self.era += 1;
    }

    fn list(&mut self, at: usize) {
        let mut newest: BTreeMap<usize, (u64, EndpointRecord)> = BTreeMap::new();
        for (offset, LogRecord { endpoint, record, .. }) in self.log.iter().enumerate() {
            match record {
                Some(record) => newest.insert(*endpoint, (offset as u64, record.clone())),
                None => newest.remove(endpoint),
            };
        }
        let (era, now_ms) = (self.era, self.now_ms);
        let after_last = newest.values().map(|(offset, _)| offset + 1).max().unwrap_or(self.log.len() as u64);
        let next = Position::new(era, after_last);
        let end = self.log.len() as u64;
        let model = &mut self.boxes[at];
        model.record_era(era, now_ms);
        model.catalog.on_listing_end(Position::new(era, end));
        for (endpoint, (offset, record)) in &newest {
            let change =
                model.catalog.apply(&name(*endpoint), Position::new(era, *offset), Some(record.clone()), now_ms);
            model.apply(change);
        }
        let listed: BTreeSet<String> = newest.keys().map(|endpoint| name(*endpoint)).collect();
        let removed = model.catalog.retain_listed(&listed, next, now_ms);
        model.apply(removed);
        model.next = model.next.max(Some(next));
        model.listed = Some(era);
    }

    fn read(&mut self, at: usize) {
        let from = self.boxes[at].next.filter(|from| from.era == self.era && self.boxes[at].listed == Some(self.era));
        let Some(from) = from else { return self.list(at) };
        let (era, now_ms) = (self.era, self.now_ms);
        let first = usize::try_from(from.offset).unwrap();
        let model = &mut self.boxes[at];
        for (offset, LogRecord { endpoint, record, ends }) in self.log.iter().enumerate().skip(first) {
            let position = Position::new(era, offset as u64);
            let change = model.catalog.apply(&name(*endpoint), position, record.clone(), now_ms);
            model.apply(change);
            let is_gone = !model.known.contains_key(&name(*endpoint));
            model.not_ready.extend(ends.filter(|_| is_gone).map(|incarnation| (name(*endpoint), incarnation)));
        }
        model.next = Some(Position::new(era, self.log.len() as u64));
    }

    fn send_updates(&mut self, from: usize, to: usize) {
        let sender = &self.boxes[from];
        let Some(next) = sender.next.filter(|_| sender.catalog.is_settled()) else { return };
        let since = self.boxes[to].next.unwrap_or_default();
        let updates: Vec<(String, Position, Option<EndpointRecord>)> =
            sender.catalog.changed_since(since).map(|(id, at, record)| (id.to_owned(), at, record.cloned())).collect();
        let now_ms = self.now_ms;
        let model = &mut self.boxes[to];
        model.record_era(next.era, now_ms);
        for (id, position, record) in updates {
            let change = model.catalog.apply(&id, position, record, now_ms);
            model.apply(change);
        }
        // A box that learns of a restore reads the log again before it relies on updates.
        if model.listed == Some(next.era) {
            model.next = model.next.max(Some(next));
        }
    }

    /// Asserts that a box that knew an incarnation to be leaving or ended does not take it for ready again.
    fn assert_no_state_reverted(&self) {
        for model in &self.boxes {
            for (id, record) in &model.known {
                let at: usize = id[2..].parse().unwrap();
                let Endpoint { phase, incarnation: present } = &self.endpoints[at];
                let is_not_ready = record.started_ms < *present || *phase != Phase::Ready;
                let incarnation = (id.clone(), record.started_ms);
                let was_known = model.not_ready.contains(&incarnation) && !self.expired.contains(&incarnation);
                assert!(record.is_leaving || !is_not_ready || !was_known, "{id} reverted to {record:?}");
            }
        }
    }

    /// Asserts that all boxes know the present state once all endpoints have written and all boxes have read.
    pub fn settle(&mut self) {
        (0..ENDPOINTS).for_each(|at| self.apply(Op::Write(at)));
        (0..BOXES).for_each(|at| self.apply(Op::Read(at)));
        self.apply(Op::PassTime);
        (0..ENDPOINTS).for_each(|at| self.apply(Op::Write(at)));
        (0..BOXES).for_each(|at| self.apply(Op::Read(at)));
        for model in &self.boxes {
            for at in 0..ENDPOINTS {
                let known = model.known.get(&name(at));
                match self.endpoints[at].phase {
                    Phase::Ended => {}
                    _ => assert_eq!(known, Some(&self.record(at)), "endpoint {at}"),
                }
            }
        }
    }
}
