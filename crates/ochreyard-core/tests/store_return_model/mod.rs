//! A log that comes back from older copies, endpoints that write into it, and boxes that read it and tell each other.

use std::collections::{BTreeMap, BTreeSet};

use ochreyard_core::direct::{Catalog, EndpointChange, EndpointRecord, Position};

use crate::direct_fixture::endpoint;

pub const BOXES: usize = 2;
pub const ENDPOINTS: usize = 2;
/// Longer than endpoints may take to write again after a return, in milliseconds.
const SETTLE_MS: u64 = 2_100;

/// What an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    Leaving,
    Ended,
}

/// One thing that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// An endpoint writes what it is.
    Write(usize),
    /// An endpoint begins to leave, and writes that.
    Leave(usize),
    /// An endpoint has left, and its entry goes.
    End(usize),
    /// An endpoint starts again as itself.
    StartAgain(usize),
    /// An endpoint that lives loses its entry.
    Lapse(usize),
    /// The log comes back without its last records.
    Return(usize),
    /// A box reads the newest record of each endpoint.
    List(usize),
    /// A box reads on.
    Read(usize),
    /// One box tells the other one what changed.
    Tell { from: usize, to: usize },
    /// A box starts again.
    StartBox(usize),
    /// Time passes.
    Pass,
}

#[derive(Clone)]
struct Endpoint {
    phase: Phase,
    life: u64,
}

#[derive(Clone, Default)]
struct BoxModel {
    catalog: Catalog,
    next: Option<Position>,
    /// The latest era that it knows, and in which it has listed all endpoints.
    era: Option<u64>,
    listed: Option<u64>,
    known: BTreeMap<String, EndpointRecord>,
    /// Lives of which it has read, or was told, that they leave, or has read that they have ended. That an entry is
    /// missing says nothing of that.
    over: BTreeSet<(String, u64)>,
}

impl BoxModel {
    fn note_era(&mut self, era: u64, now_ms: u64) {
        if self.era.is_none_or(|known| known < era) {
            let before = self.era.replace(era);
            self.catalog.on_log_restored(era, before.map(|_| now_ms));
        }
    }

    fn apply(&mut self, changes: impl IntoIterator<Item = EndpointChange>) {
        for change in changes {
            match change {
                EndpointChange::Updated(id, record) => {
                    if record.is_leaving {
                        self.over.insert((id.clone(), record.started_ms));
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
struct Entry {
    endpoint: usize,
    record: Option<EndpointRecord>,
    /// The life that ended with it.
    ends: Option<u64>,
}

/// Everything.
#[derive(Clone)]
pub struct World {
    now_ms: u64,
    era: u64,
    log: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    boxes: Vec<BoxModel>,
    /// Lives that lost their entry although they went on: that it is gone says nothing of their end.
    lapsed: BTreeSet<(String, u64)>,
}

fn name(endpoint: usize) -> String {
    format!("i-{endpoint}")
}

impl World {
    pub fn new() -> Self {
        let endpoints = vec![Endpoint { phase: Phase::Ready, life: 1 }; ENDPOINTS];
        let boxes = vec![BoxModel::default(); BOXES];
        let mut world = Self { now_ms: 10_000, era: 1, log: Vec::new(), endpoints, boxes, lapsed: BTreeSet::new() };
        (0..ENDPOINTS).for_each(|at| world.apply(Op::Write(at)));
        (0..BOXES).for_each(|at| world.apply(Op::List(at)));
        world
    }

    pub fn apply(&mut self, op: Op) {
        self.now_ms += 100;
        match op {
            Op::Write(at) => self.write(at),
            Op::Leave(at) => self.begin(at, Phase::Ready, Phase::Leaving),
            Op::End(at) => self.end(at),
            Op::StartAgain(at) => self.start_again(at),
            Op::Lapse(at) => self.lapse(at),
            Op::Return(lost) => self.return_without(lost),
            Op::List(at) => self.list(at),
            Op::Read(at) => self.read(at),
            Op::Tell { from, to } => self.tell(from, to),
            Op::StartBox(at) => self.boxes[at] = BoxModel::default(),
            Op::Pass => self.now_ms += SETTLE_MS,
        }
        self.boxes.iter_mut().for_each(|model| {
            let overdue = model.catalog.expire_unconfirmed(self.now_ms);
            model.apply(overdue);
        });
        self.nothing_goes_back();
    }

    fn record(&self, at: usize) -> EndpointRecord {
        let Endpoint { phase, life } = &self.endpoints[at];
        EndpointRecord { is_leaving: *phase == Phase::Leaving, started_ms: *life, ..endpoint(at as u16 + 1) }
    }

    fn write(&mut self, at: usize) {
        if self.endpoints[at].phase != Phase::Ended {
            self.log.push(Entry { endpoint: at, record: Some(self.record(at)), ends: None });
        }
    }

    fn begin(&mut self, at: usize, from: Phase, to: Phase) {
        if self.endpoints[at].phase == from {
            self.endpoints[at].phase = to;
            self.write(at);
        }
    }

    fn end(&mut self, at: usize) {
        if self.endpoints[at].phase != Phase::Ended {
            self.endpoints[at].phase = Phase::Ended;
            self.log.push(Entry { endpoint: at, record: None, ends: Some(self.endpoints[at].life) });
        }
    }

    fn lapse(&mut self, at: usize) {
        self.lapsed.insert((name(at), self.endpoints[at].life));
        self.log.push(Entry { endpoint: at, record: None, ends: None });
    }

    fn start_again(&mut self, at: usize) {
        let life = self.endpoints[at].life + 1;
        self.endpoints[at] = Endpoint { phase: Phase::Ready, life };
        self.write(at);
    }

    fn return_without(&mut self, lost: usize) {
        self.log.truncate(self.log.len().saturating_sub(lost));
        self.era += 1;
    }

    fn list(&mut self, at: usize) {
        let mut newest: BTreeMap<usize, (u64, EndpointRecord)> = BTreeMap::new();
        for (offset, Entry { endpoint, record, .. }) in self.log.iter().enumerate() {
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
        model.note_era(era, now_ms);
        model.catalog.on_listing_end(Position::new(era, end));
        for (endpoint, (offset, record)) in &newest {
            let change =
                model.catalog.apply(&name(*endpoint), Position::new(era, *offset), Some(record.clone()), now_ms);
            model.apply(change);
        }
        let listed: BTreeSet<String> = newest.keys().map(|endpoint| name(*endpoint)).collect();
        let missing = model.catalog.retain_listed(&listed, next, now_ms);
        model.apply(missing);
        model.next = model.next.max(Some(next));
        model.listed = Some(era);
    }

    fn read(&mut self, at: usize) {
        let from = self.boxes[at].next.filter(|from| from.era == self.era && self.boxes[at].listed == Some(self.era));
        let Some(from) = from else { return self.list(at) };
        let (era, now_ms) = (self.era, self.now_ms);
        let first = usize::try_from(from.offset).unwrap();
        let model = &mut self.boxes[at];
        for (offset, Entry { endpoint, record, ends }) in self.log.iter().enumerate().skip(first) {
            let position = Position::new(era, offset as u64);
            let change = model.catalog.apply(&name(*endpoint), position, record.clone(), now_ms);
            model.apply(change);
            let is_gone = !model.known.contains_key(&name(*endpoint));
            model.over.extend(ends.filter(|_| is_gone).map(|life| (name(*endpoint), life)));
        }
        model.next = Some(Position::new(era, self.log.len() as u64));
    }

    fn tell(&mut self, from: usize, to: usize) {
        let teller = &self.boxes[from];
        let Some(next) = teller.next.filter(|_| teller.catalog.is_settled()) else { return };
        let since = self.boxes[to].next.unwrap_or_default();
        let told: Vec<(String, Position, Option<EndpointRecord>)> =
            teller.catalog.changed_since(since).map(|(id, at, record)| (id.to_owned(), at, record.cloned())).collect();
        let now_ms = self.now_ms;
        let model = &mut self.boxes[to];
        model.note_era(next.era, now_ms);
        for (id, position, record) in told {
            let change = model.catalog.apply(&id, position, record, now_ms);
            model.apply(change);
        }
        // One that learns of a return reads all again before it relies on what it is told.
        if model.listed == Some(next.era) {
            model.next = model.next.max(Some(next));
        }
    }

    /// A box that knew that a life leaves or has ended never sends it work again, as long as that is so.
    fn nothing_goes_back(&self) {
        for model in &self.boxes {
            for (id, record) in &model.known {
                let at: usize = id[2..].parse().unwrap();
                let Endpoint { phase, life: present } = &self.endpoints[at];
                let is_over = record.started_ms < *present || *phase != Phase::Ready;
                let life = (id.clone(), record.started_ms);
                let was_known = model.over.contains(&life) && !self.lapsed.contains(&life);
                assert!(record.is_leaving || !is_over || !was_known, "{id} went back to {record:?}");
            }
        }
    }

    /// Once all that live have written again and boxes have read, each knows what is so.
    pub fn settle(&mut self) {
        (0..ENDPOINTS).for_each(|at| self.apply(Op::Write(at)));
        (0..BOXES).for_each(|at| self.apply(Op::Read(at)));
        self.apply(Op::Pass);
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
