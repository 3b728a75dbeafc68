//! Boxes that read the log, relay or are told, on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreyard_core::direct::{BoxRecord, LocalBox, Position, ReadRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::known_after::KnownAfter;
use crate::model_box::ModelBox;
use crate::site::{
    ASK_EVERY_MS, COPY_AGE_MS, DATA_CENTRES, LEAVING_KNOWN_MS, LIST_EVERY_MS, READ_AGAIN_MS, SEEDS, SEEDS_ASKED_MS,
    STEP_MS, TROUBLE_MS, WRITTEN_MS, addr,
};
use crate::traffic::{CallCause, Traffic};
use crate::trouble::Trouble;

/// A fleet in one trouble.
pub struct Fleet {
    boxes: Vec<ModelBox>,
    by_addr: BTreeMap<SocketAddr, usize>,
    trouble: Trouble,
    draws: SmallRng,
    now_ms: u64,
    traffic: Traffic,
    /// Questions that each box has answered, and the bytes of its answers, in all its lives.
    answered: Vec<u64>,
    answered_bytes: Vec<u64>,
    /// The boxes that have written themselves into the log.
    written: BTreeMap<String, BoxRecord>,
    gone: BTreeSet<usize>,
    /// The box that says that it has read, and has not; with how far it had come.
    false_reader: Option<(usize, Position)>,
}

impl Fleet {
    /// `boxes` boxes that all start at once.
    #[must_use]
    pub fn new(boxes: usize, trouble: Trouble, seed: u64) -> Self {
        let mut draws = SmallRng::seed_from_u64(seed);
        Self {
            boxes: (0..boxes).map(|at| ModelBox::start(at, 0, &mut draws)).collect(),
            by_addr: (0..boxes).map(|at| (addr(at), at)).collect(),
            trouble,
            draws,
            now_ms: 0,
            traffic: Traffic::default(),
            answered: vec![0; boxes],
            answered_bytes: vec![0; boxes],
            written: BTreeMap::new(),
            gone: BTreeSet::new(),
            false_reader: None,
        }
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if self.now_ms == TROUBLE_MS.0 {
                self.begin_trouble();
            }
            for at in self.present() {
                self.follow_log(at);
                // Boxes ask at different moments.
                if (self.now_ms + at as u64 * STEP_MS).is_multiple_of(ASK_EVERY_MS) {
                    self.ask(at);
                }
            }
        }
    }

    /// What was called, asked and sent so far.
    #[must_use]
    pub const fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// The questions that the busiest box has answered so far.
    #[must_use]
    pub fn most_questions(&self) -> u64 {
        self.answered.iter().copied().max().unwrap_or(0)
    }

    /// The bytes that each box has sent as answers so far.
    #[must_use]
    pub fn answered_bytes(&self) -> &[u64] {
        &self.answered_bytes
    }

    /// After how long boxes knew what was written, from then on or from the end of the trouble where the log answers nobody.
    #[must_use]
    pub fn known_after(&self) -> KnownAfter {
        let from_ms = if self.trouble == Trouble::Outage { TROUBLE_MS.1 } else { WRITTEN_MS };
        let after = |at: usize| self.boxes[at].known_ms.map_or(u64::MAX, |known_ms| known_ms.saturating_sub(from_ms));
        KnownAfter::of(self.present().into_iter().map(after).collect())
    }

    fn present(&self) -> Vec<usize> {
        (0..self.boxes.len()).filter(|at| !self.gone.contains(at)).collect()
    }

    fn begin_trouble(&mut self) {
        match self.trouble {
            Trouble::HalfRestart => self.restart(2),
            Trouble::AllRestart => self.restart(1),
            Trouble::FirstGone => self.lose_first(),
            Trouble::FalseReader => self.false_reader = self.first_reader(),
            _ => {}
        }
    }

    /// Each `every`th box starts again.
    fn restart(&mut self, every: usize) {
        for at in (0..self.boxes.len()).step_by(every) {
            self.boxes[at] = ModelBox::start(at, self.now_ms, &mut self.draws);
        }
    }

    /// Takes away whoever does not only listen, and some more.
    fn lose_first(&mut self) {
        let busy = self.present().into_iter().filter(|at| self.boxes[*at].duty(self.now_ms) != ReadRole::Follower);
        let busy: Vec<usize> = busy.collect();
        let following = self.boxes.len() / 20;
        self.gone.extend(busy.into_iter().chain(0..following));
    }

    fn first_reader(&self) -> Option<(usize, Position)> {
        let reads = |at: &usize| self.boxes[*at].duty(self.now_ms) == ReadRole::Reader;
        let at = self.present().into_iter().find(reads)?;
        Some((at, self.boxes[at].reading.next_position()?))
    }

    const fn in_trouble(&self) -> bool {
        self.now_ms >= TROUBLE_MS.0 && self.now_ms < TROUBLE_MS.1
    }

    fn log_answers(&self, at: usize) -> bool {
        match self.trouble {
            _ if !self.in_trouble() => true,
            Trouble::Outage => false,
            Trouble::TurnsAway => !at.is_multiple_of(3) && self.boxes[at].duty(self.now_ms) != ReadRole::Reader,
            Trouble::FalseReader => self.false_reader.is_none_or(|(other, _)| other != at),
            _ => true,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.trouble == Trouble::CutOff && self.in_trouble();
        !self.gone.contains(&to) && (!is_cut || from % DATA_CENTRES == to % DATA_CENTRES)
    }

    /// The end of the log: an era later and some seconds back once it has returned from a copy.
    const fn end_of_log(&self) -> Position {
        if matches!(self.trouble, Trouble::LogReturn) && self.now_ms >= TROUBLE_MS.0 {
            Position::new(1, self.now_ms - COPY_AGE_MS)
        } else {
            Position::new(0, self.now_ms)
        }
    }

    /// Reads the log where this box has to.
    fn follow_log(&mut self, at: usize) {
        self.read_again(at);
        let now_ms = self.now_ms;
        let model = &self.boxes[at];
        let is_fresh = model.reading.is_fresh(now_ms);
        let is_left = at >= SEEDS && now_ms < model.started_ms + model.left_ms;
        let duty = model.duty(now_ms);
        if is_fresh && duty != ReadRole::Reader {
            self.boxes[at].spread_until_ms = None;
            return;
        }
        if now_ms >= model.next_call_ms && !is_left && self.has_waited(at, duty, is_fresh) {
            self.read(at, duty);
        }
    }

    /// Whether a box that nobody told enough has left the log to others that read the same.
    fn has_waited(&mut self, at: usize, duty: ReadRole, is_fresh: bool) -> bool {
        let now_ms = self.now_ms;
        let model = &mut self.boxes[at];
        let spread_ms = self.draws.random_range(0..model.reading.pause_ms());
        if !is_fresh && duty != ReadRole::Reader && now_ms < *model.spread_until_ms.get_or_insert(now_ms + spread_ms) {
            return false;
        }
        model.spread_until_ms = None;
        true
    }

    fn read(&mut self, at: usize, duty: ReadRole) {
        let now_ms = self.now_ms;
        self.traffic.on_call(CallCause::Reads, duty);
        if !self.log_answers(at) {
            let draw = self.draws.random();
            let model = &mut self.boxes[at];
            model.next_call_ms = now_ms + model.pauses.next_delay_ms(duty, LEAVING_KNOWN_MS, draw);
            return;
        }
        let end = self.end_of_log();
        let model = &mut self.boxes[at];
        model.pauses.reset();
        model.reading.advance(end, now_ms);
        model.next_call_ms = now_ms + model.reading.pause_ms();
        if now_ms >= WRITTEN_MS {
            model.known_ms.get_or_insert(now_ms);
        }
        let lists = duty != ReadRole::Follower && now_ms >= model.next_list_ms;
        self.note_era(at);
        if lists {
            self.list_boxes(at, duty);
        }
    }

    /// A box that learns of a later era of the log reads all again, in a while.
    fn note_era(&mut self, at: usize) {
        let is_later = |next: &Position| *next >= Position::new(1, 0);
        let model = &mut self.boxes[at];
        if model.era == 0 && model.reading.next_position().as_ref().is_some_and(is_later) {
            model.era = 1;
            model.read_again_ms = Some(self.now_ms + self.draws.random_range(0..READ_AGAIN_MS));
        }
    }

    fn read_again(&mut self, at: usize) {
        let now_ms = self.now_ms;
        if self.boxes[at].read_again_ms.take_if(|again_ms| now_ms >= *again_ms).is_some() {
            let duty = self.boxes[at].duty(now_ms);
            self.traffic.on_call(CallCause::ReadsAgain, duty);
        }
    }

    /// Writes this box into the list of boxes, and reads who else is there.
    fn list_boxes(&mut self, at: usize, duty: ReadRole) {
        self.traffic.on_call(CallCause::Lists, duty);
        let model = &mut self.boxes[at];
        let every_ms = if duty == ReadRole::Reader { LIST_EVERY_MS.0 } else { LIST_EVERY_MS.1 };
        model.next_list_ms = self.now_ms + every_ms;
        if self.written.insert(model.name.clone(), model.record.clone()).is_none() {
            self.traffic.on_call(CallCause::Writes, duty);
        }
        for (name, record) in self.written.iter().filter(|(name, _)| **name != model.name) {
            model.others.insert(name, record.clone());
        }
    }

    fn ask(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let draw = self.draws.random();
        let seed = self.draws.random_range(0..SEEDS);
        if self.boxes[at].others.is_empty() {
            self.ask_one(at, seed, true);
            return;
        }
        let ModelBox { name, data_centre, others, reading, questions, started_ms, .. } = &mut self.boxes[at];
        let asks_seeds = now_ms < *started_ms + SEEDS_ASKED_MS;
        let asked = questions.next(reading, LocalBox { name, data_centre }, others, draw, now_ms);
        let is_fresh = reading.is_fresh(now_ms);
        if let Some(to) = asked.source {
            self.ask_one(at, self.by_addr[&to], true);
        }
        if let Some(to) = asked.random {
            let to = if asks_seeds && self.draws.random_bool(0.5) { seed } else { self.by_addr[&to] };
            self.ask_one(at, to, !is_fresh);
        }
    }

    /// Asks one box, and takes what it tells: who is there, and how far it has read.
    fn ask_one(&mut self, at: usize, to: usize, relies: bool) {
        if at == to {
            return;
        }
        let now_ms = self.now_ms;
        if !self.reaches(at, to) {
            let asker = &mut self.boxes[at];
            asker.reading.skip_source();
            asker.others.on_poll_unanswered(addr(to), now_ms);
            return;
        }
        self.note_question(at, to);
        self.tell_boxes(at, to);
        if relies {
            self.tell_reading(at, to);
        }
        if self.boxes[to].known_ms.is_some() {
            self.boxes[at].known_ms.get_or_insert(now_ms);
        }
    }

    /// The box that is asked learns who asks.
    fn note_question(&mut self, at: usize, to: usize) {
        let now_ms = self.now_ms;
        let (name, record) = (self.boxes[at].name.clone(), self.boxes[at].record.clone());
        self.answered[to] += 1;
        let asked = &mut self.boxes[to];
        asked.others.insert(&name, record);
        asked.others.on_heard(addr(at), now_ms);
    }

    /// Tells which boxes there are, where the lists differ, and which of them answer nobody.
    fn tell_boxes(&mut self, at: usize, to: usize) {
        let now_ms = self.now_ms;
        let is_same = self.boxes[to].digest() == self.boxes[at].digest();
        let listed = if is_same { Vec::new() } else { self.boxes[to].listed() };
        let silent: Vec<String> = self.boxes[to].others.locally_silent(now_ms).map(str::to_owned).collect();
        let knows_nothing =
            self.boxes[at].reading.next_position().is_none() && self.boxes[to].reading.next_position().is_some();
        let boxes = self.boxes.len() as u64;
        self.answered_bytes[to] += self.traffic.on_answer(listed.len() as u64, knows_nothing, boxes);
        let asker = &mut self.boxes[at];
        for (name, record) in listed.into_iter().filter(|(name, _)| *name != asker.name) {
            asker.others.insert(&name, record);
        }
        asker.others.on_heard(addr(to), now_ms);
        silent
            .iter()
            .filter(|name| **name != asker.name)
            .for_each(|name| asker.others.apply_reported_silence(name, now_ms));
    }

    /// Tells how far the box has read, and when.
    fn tell_reading(&mut self, at: usize, to: usize) {
        let now_ms = self.now_ms;
        let reading = &self.boxes[to].reading;
        let told = match self.false_reader.filter(|(other, _)| *other == to && self.in_trouble()) {
            Some((_, position)) => Some((position, now_ms)),
            None => reading.next_position().map(|next| (next, now_ms.saturating_sub(reading.age_ms(now_ms)))),
        };
        if let Some((next, as_of_ms)) = told {
            self.boxes[at].reading.apply_peer_progress(next, as_of_ms, now_ms);
            self.note_era(at);
        }
    }
}
