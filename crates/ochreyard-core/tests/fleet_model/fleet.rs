//! Boxes that read the log, relay or are told, by the decisions of the product, on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreyard_core::direct::{BoxList, BoxRecord, Duty, Own, Position, Questions, Reading, RetryPauses};

use crate::draws::Draws;

const STEP_MS: u64 = 50;
const ASK_EVERY_MS: u64 = 400;
const LEAVING_KNOWN_MS: u64 = 5_000;
/// How long a box leaves the log to others after its start, and by how much more, drawn.
const LEFT_TO_OTHERS_MS: (u64, u64) = (1_000, 2_000);
/// How long boxes that the platform names are asked now and then.
const SEEDS_ASKED_MS: u64 = 10_000;
/// How often boxes that read, and those that relay, list all boxes.
const LIST_EVERY_MS: (u64, u64) = (8_000, 60_000);
const DATA_CENTRES: usize = 5;
const SEEDS: usize = 3;
/// When the trouble begins and ends, and when the record is written that all are to know.
const TROUBLE_MS: (u64, u64) = (10_000, 19_000);
const WRITTEN_MS: u64 = 15_000;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// The log answers nobody.
    Outage,
    /// It answers two boxes in three, those that would read for all among the others.
    TurnsAway,
    /// Boxes of one data centre reach each other and the log, and nobody else.
    CutOff,
    /// Half of the boxes start again, knowing nothing.
    HalfRestart,
    /// The boxes that read, those that relay and some that would follow them are gone for good.
    FirstGone,
}

struct ModelBox {
    name: String,
    data_centre: String,
    record: BoxRecord,
    others: BoxList,
    reading: Reading,
    questions: Questions,
    pauses: RetryPauses,
    started_ms: u64,
    left_ms: u64,
    next_call_ms: u64,
    next_list_ms: u64,
    /// Until when a box that nobody told enough waits for others that read the same.
    spread_until_ms: Option<u64>,
    known_ms: Option<u64>,
    answered: usize,
}

pub struct Fleet {
    boxes: Vec<ModelBox>,
    by_addr: BTreeMap<SocketAddr, usize>,
    trouble: Trouble,
    draws: Draws,
    now_ms: u64,
    calls: usize,
    /// The boxes that have written themselves into the log.
    written: BTreeMap<String, BoxRecord>,
    gone: BTreeSet<usize>,
}

fn addr(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (at / 250) as u8, (at % 250) as u8], 7_340))
}

fn new_box(at: usize, started_ms: u64, draws: &mut Draws) -> ModelBox {
    let data_centre = format!("hall-{}", at % DATA_CENTRES);
    let record = BoxRecord { addr: addr(at), data_centre: data_centre.clone(), cores_permille: 250, link_mbps: 100 };
    ModelBox {
        name: format!("box-{at}"),
        data_centre,
        record,
        others: BoxList::default(),
        reading: Reading::new(LEAVING_KNOWN_MS),
        questions: Questions::default(),
        pauses: RetryPauses::default(),
        started_ms,
        left_ms: draws.between(LEFT_TO_OTHERS_MS.0, LEFT_TO_OTHERS_MS.1),
        next_call_ms: 0,
        next_list_ms: 0,
        spread_until_ms: None,
        known_ms: None,
        answered: 0,
    }
}

impl ModelBox {
    fn own(&self) -> Own<'_> {
        Own { name: &self.name, data_centre: &self.data_centre }
    }

    fn duty(&self, now_ms: u64) -> Duty {
        Duty::of(self.own(), &self.others, now_ms)
    }
}

impl Fleet {
    pub fn new(count: usize, trouble: Trouble) -> Self {
        let mut draws = Draws::new(count as u64);
        let boxes = (0..count).map(|at| new_box(at, 0, &mut draws)).collect();
        let by_addr = (0..count).map(|at| (addr(at), at)).collect();
        Self { boxes, by_addr, trouble, draws, now_ms: 0, calls: 0, written: BTreeMap::new(), gone: BTreeSet::new() }
    }

    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if self.trouble == Trouble::HalfRestart && self.now_ms == TROUBLE_MS.0 {
                (0..self.boxes.len())
                    .step_by(2)
                    .for_each(|at| self.boxes[at] = new_box(at, self.now_ms, &mut self.draws));
            }
            if self.trouble == Trouble::FirstGone && self.now_ms == TROUBLE_MS.0 {
                self.lose_first();
            }
            for at in (0..self.boxes.len()).filter(|at| !self.gone.contains(at)).collect::<Vec<_>>() {
                self.follow_log(at);
                // Boxes ask at different moments.
                if (self.now_ms + at as u64 * STEP_MS).is_multiple_of(ASK_EVERY_MS) {
                    self.ask(at);
                }
            }
        }
    }

    pub const fn calls(&self) -> usize {
        self.calls
    }

    pub fn most_questions(&self) -> usize {
        self.boxes.iter().map(|model| model.answered).max().unwrap_or(0)
    }

    /// After how long boxes knew what was written, from then on or from the end of the trouble where the log answers nobody:
    /// the middle and the last one.
    pub fn known_after_ms(&self) -> (u64, u64) {
        let from_ms = if self.trouble == Trouble::Outage { TROUBLE_MS.1 } else { WRITTEN_MS };
        let left = self.boxes.iter().enumerate().filter(|(at, _)| !self.gone.contains(at)).map(|(_, model)| model);
        let after = |model: &ModelBox| model.known_ms.map_or(u64::MAX, |known_ms| known_ms.saturating_sub(from_ms));
        let mut after: Vec<u64> = left.map(after).collect();
        after.sort_unstable();
        (after[after.len() / 2], after[after.len() - 1])
    }

    /// Takes away whoever does not only listen, and some more.
    fn lose_first(&mut self) {
        let busy = (0..self.boxes.len()).filter(|at| self.boxes[*at].duty(self.now_ms) != Duty::Told);
        self.gone.extend(busy.collect::<Vec<_>>());
        let following = self.boxes.len() / 20;
        self.gone.extend(0..following);
    }

    fn in_trouble(&self) -> bool {
        self.now_ms >= TROUBLE_MS.0 && self.now_ms < TROUBLE_MS.1
    }

    fn log_answers(&self, at: usize) -> bool {
        match self.trouble {
            _ if !self.in_trouble() => true,
            Trouble::Outage => false,
            Trouble::TurnsAway => !at.is_multiple_of(3) && self.boxes[at].duty(self.now_ms) != Duty::Reads,
            _ => true,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        if self.gone.contains(&to) {
            return false;
        }
        let is_cut = self.trouble == Trouble::CutOff && self.in_trouble();
        !is_cut || from.is_multiple_of(DATA_CENTRES) == to.is_multiple_of(DATA_CENTRES)
    }

    /// Reads the log where this box has to.
    fn follow_log(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let model = &self.boxes[at];
        let is_fresh = model.reading.is_fresh(now_ms);
        let is_left = at >= SEEDS && now_ms < model.started_ms + model.left_ms;
        let reads = model.duty(self.now_ms) == Duty::Reads;
        if is_fresh && !reads {
            self.boxes[at].spread_until_ms = None;
            return;
        }
        if now_ms < model.next_call_ms || is_left {
            return;
        }
        let draw = self.draws.number();
        let pause_ms = model.reading.pause_ms();
        let model = &mut self.boxes[at];
        if is_fresh {
            model.spread_until_ms = None;
        } else if !reads && now_ms < *model.spread_until_ms.get_or_insert(now_ms + draw % pause_ms) {
            return;
        }
        model.spread_until_ms = None;
        self.calls += 1;
        let is_answered = self.log_answers(at);
        let draw = self.draws.number();
        let duty = self.boxes[at].duty(self.now_ms);
        let model = &mut self.boxes[at];
        if is_answered {
            model.pauses.reset();
            model.reading.advance(Position::new(0, now_ms), now_ms);
            model.next_call_ms = now_ms + model.reading.pause_ms();
            if now_ms >= WRITTEN_MS {
                model.known_ms.get_or_insert(now_ms);
            }
            if duty != Duty::Told && now_ms >= model.next_list_ms {
                self.list_boxes(at, duty);
            }
        } else {
            model.next_call_ms = now_ms + model.pauses.after_failure(duty, LEAVING_KNOWN_MS, draw);
        }
    }

    /// Writes this box into the list of boxes, and reads who else is there.
    fn list_boxes(&mut self, at: usize, duty: Duty) {
        self.calls += 1;
        let model = &mut self.boxes[at];
        let every_ms = if duty == Duty::Reads { LIST_EVERY_MS.0 } else { LIST_EVERY_MS.1 };
        model.next_list_ms = self.now_ms + every_ms;
        if self.written.insert(model.name.clone(), model.record.clone()).is_none() {
            self.calls += 1;
        }
        for (name, record) in self.written.iter().filter(|(name, _)| **name != model.name) {
            model.others.take(name, record.clone());
        }
    }

    fn ask(&mut self, at: usize) {
        let draw = self.draws.number();
        let now_ms = self.now_ms;
        let model = &mut self.boxes[at];
        if model.others.is_empty() {
            let to = (draw % SEEDS as u64) as usize;
            self.ask_one(at, to, true);
            return;
        }
        let ModelBox { name, data_centre, others, reading, questions, .. } = model;
        let started_ms = model.started_ms;
        let asked = questions.next(reading, Own { name, data_centre }, others, draw, now_ms);
        let is_fresh = reading.is_fresh(now_ms);
        if let Some(to) = asked.relied_on {
            self.ask_one(at, self.by_addr[&to], true);
        }
        if let Some(to) = asked.any {
            let asks_seed = now_ms < started_ms + SEEDS_ASKED_MS && self.draws.happens(0.5);
            let to = if asks_seed { (draw % SEEDS as u64) as usize } else { self.by_addr[&to] };
            self.ask_one(at, to, !is_fresh);
        }
    }

    /// Asks one box, and takes what it tells: who is there, and how far it has read.
    fn ask_one(&mut self, at: usize, to: usize, relies: bool) {
        if at == to {
            return;
        }
        if !self.reaches(at, to) {
            self.boxes[at].reading.pass_over();
            self.boxes[at].others.on_unanswered(addr(to), self.now_ms);
            return;
        }
        let now_ms = self.now_ms;
        let (name, record) = (self.boxes[at].name.clone(), self.boxes[at].record.clone());
        let told = &mut self.boxes[to];
        told.answered += 1;
        told.others.take(&name, record);
        told.others.on_heard(addr(at), now_ms);
        let silent: Vec<String> = told.others.silent(now_ms).map(str::to_owned).collect();
        let (next, age_ms, known_ms) = (told.reading.next(), told.reading.age_ms(now_ms), told.known_ms);
        let own = (told.name.clone(), told.record.clone());
        let is_same = self.boxes[to].others.digest((&own.0, &own.1))
            == self.boxes[at].others.digest((&self.boxes[at].name, &self.boxes[at].record));
        let list: Vec<(String, BoxRecord)> = if is_same {
            Vec::new()
        } else {
            self.boxes[to].others.iter().map(|(name, record)| (name.to_owned(), record.clone())).chain([own]).collect()
        };
        let asker = &mut self.boxes[at];
        for (name, record) in list.into_iter().filter(|(name, _)| *name != asker.name) {
            asker.others.take(&name, record);
        }
        asker.others.on_heard(addr(to), now_ms);
        silent.iter().filter(|name| **name != asker.name).for_each(|name| asker.others.take_silent(name, now_ms));
        if let Some(next) = next.filter(|_| relies) {
            asker.reading.take_told(next, now_ms.saturating_sub(age_ms), now_ms);
        }
        if known_ms.is_some() {
            asker.known_ms.get_or_insert(now_ms);
        }
    }
}
