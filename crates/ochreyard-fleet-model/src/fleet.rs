//! Simulates a fleet in virtual time: boxes that read the log, relay what they read, or follow other boxes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreyard_core::direct::{BoxRecord, LocalBox, Position, ReadRole};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fault::Fault;
use crate::model_box::ModelBox;
use crate::parameters::{
    DATA_CENTRES, FAULT_WINDOW_MS, GROWING_LIST_INTERVAL_MS, LEAVE_PROPAGATION_MS, LIST_INTERVALS_MS, POLL_INTERVAL_MS,
    RECORD_WRITTEN_MS, REREAD_SPREAD_MS, RESTORED_COPY_AGE_MS, SEED_BOXES, SEED_POLLING_MS, STEP_MS, addr,
};
use crate::propagation_times::PropagationTimes;
use crate::traffic::{CallCause, Traffic};

/// A fleet of boxes under one injected fault.
pub struct Fleet {
    boxes: Vec<ModelBox>,
    by_addr: BTreeMap<SocketAddr, usize>,
    fault: Fault,
    rng: SmallRng,
    now_ms: u64,
    traffic: Traffic,
    /// Number of polls that each box has answered, over all its incarnations.
    answered_polls: Vec<u64>,
    /// Bytes of the answers that each box has sent, over all its incarnations.
    answered_bytes: Vec<u64>,
    /// The boxes that have written their own record into the list of boxes in the log.
    listed_boxes: BTreeMap<String, BoxRecord>,
    removed_boxes: BTreeSet<usize>,
    /// The box that falsely reports a recent read of the log, with the position up to which it had read.
    false_reader: Option<(usize, Position)>,
}

impl Fleet {
    /// Creates a fleet of `boxes` boxes that all start at once.
    #[must_use]
    pub fn new(boxes: usize, fault: Fault, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            boxes: (0..boxes).map(|index| ModelBox::start(index, 0, &mut rng)).collect(),
            by_addr: (0..boxes).map(|index| (addr(index), index)).collect(),
            fault,
            rng,
            now_ms: 0,
            traffic: Traffic::default(),
            answered_polls: vec![0; boxes],
            answered_bytes: vec![0; boxes],
            listed_boxes: BTreeMap::new(),
            removed_boxes: BTreeSet::new(),
            false_reader: None,
        }
    }

    /// Runs the simulation until `until_ms` of virtual time.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if self.now_ms == FAULT_WINDOW_MS.0 {
                self.start_fault();
            }
            for index in self.present_boxes() {
                self.read_log_if_due(index);
                // Spreads the polls of the boxes over the poll interval.
                if (self.now_ms + index as u64 * STEP_MS).is_multiple_of(POLL_INTERVAL_MS) {
                    self.poll(index);
                }
            }
        }
    }

    /// Returns the calls to the log, the polls and the bytes sent so far.
    #[must_use]
    pub const fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns the number of polls that the busiest box has answered so far.
    #[must_use]
    pub fn max_answered_polls(&self) -> u64 {
        self.answered_polls.iter().copied().max().unwrap_or(0)
    }

    /// Returns the bytes of answers that each box has sent so far.
    #[must_use]
    pub fn answered_bytes(&self) -> &[u64] {
        &self.answered_bytes
    }

    /// Returns how long the boxes took to learn of the record, counted from the moment it was written. In an outage of
    /// the log, the time is counted from the end of the outage.
    #[must_use]
    pub fn propagation_times(&self) -> PropagationTimes {
        let from_ms = if self.fault == Fault::Outage { FAULT_WINDOW_MS.1 } else { RECORD_WRITTEN_MS };
        let propagation_ms = |index: usize| {
            self.boxes[index].record_known_ms.map_or(u64::MAX, |known_ms| known_ms.saturating_sub(from_ms))
        };
        PropagationTimes::from_box_times(self.present_boxes().into_iter().map(propagation_ms).collect())
    }

    fn present_boxes(&self) -> Vec<usize> {
        (0..self.boxes.len()).filter(|index| !self.removed_boxes.contains(index)).collect()
    }

    fn start_fault(&mut self) {
        match self.fault {
            Fault::HalfRestart => self.restart(2),
            Fault::AllRestart => self.restart(1),
            Fault::FirstGone => self.remove_readers_and_relays(),
            Fault::FalseReader => self.false_reader = self.first_reader(),
            _ => {}
        }
    }

    /// Restarts every `every`th box with no state.
    fn restart(&mut self, every: usize) {
        for index in (0..self.boxes.len()).step_by(every) {
            self.boxes[index] = ModelBox::start(index, self.now_ms, &mut self.rng);
        }
    }

    /// Removes all readers and relays for good, and the first twentieth of all boxes.
    fn remove_readers_and_relays(&mut self) {
        let readers_and_relays = self
            .present_boxes()
            .into_iter()
            .filter(|index| self.boxes[*index].read_role(self.now_ms) != ReadRole::Follower);
        let readers_and_relays: Vec<usize> = readers_and_relays.collect();
        let first_boxes = self.boxes.len() / 20;
        self.removed_boxes.extend(readers_and_relays.into_iter().chain(0..first_boxes));
    }

    fn first_reader(&self) -> Option<(usize, Position)> {
        let is_reader = |index: &usize| self.boxes[*index].read_role(self.now_ms) == ReadRole::Reader;
        let index = self.present_boxes().into_iter().find(is_reader)?;
        Some((index, self.boxes[index].log_progress.next_position()?))
    }

    const fn is_fault_active(&self) -> bool {
        self.now_ms >= FAULT_WINDOW_MS.0 && self.now_ms < FAULT_WINDOW_MS.1
    }

    fn log_answers(&self, index: usize) -> bool {
        match self.fault {
            _ if !self.is_fault_active() => true,
            Fault::Outage => false,
            Fault::TurnsAway => {
                !index.is_multiple_of(3) && self.boxes[index].read_role(self.now_ms) != ReadRole::Reader
            }
            Fault::FalseReader => self.false_reader.is_none_or(|(other, _)| other != index),
            _ => true,
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_partitioned = self.fault == Fault::CutOff && self.is_fault_active();
        !self.removed_boxes.contains(&to) && (!is_partitioned || from % DATA_CENTRES == to % DATA_CENTRES)
    }

    /// Returns the end of the log. After the log was restored from an older copy, the era is higher and the offset is
    /// `RESTORED_COPY_AGE_MS` lower.
    const fn log_end(&self) -> Position {
        if matches!(self.fault, Fault::LogReturn) && self.now_ms >= FAULT_WINDOW_MS.0 {
            Position::new(1, self.now_ms - RESTORED_COPY_AGE_MS)
        } else {
            Position::new(0, self.now_ms)
        }
    }

    /// Reads the log if this box must read it itself now.
    fn read_log_if_due(&mut self, index: usize) {
        self.reread_if_due(index);
        let now_ms = self.now_ms;
        let model_box = &self.boxes[index];
        let is_fresh = model_box.log_progress.is_fresh(now_ms);
        let waits_after_start = index >= SEED_BOXES && now_ms < model_box.started_ms + model_box.startup_log_delay_ms;
        let read_role = model_box.read_role(now_ms);
        if is_fresh && read_role != ReadRole::Reader {
            self.boxes[index].read_delay_until_ms = None;
            return;
        }
        if now_ms >= model_box.next_call_ms && !waits_after_start && self.check_read_delay(index, read_role, is_fresh) {
            self.read_log(index, read_role);
        }
    }

    /// Returns whether the random delay before a read is over. A reader, and a box whose state is fresh, have no delay;
    /// any other box waits, since another box may read the same records and send them first.
    fn check_read_delay(&mut self, index: usize, read_role: ReadRole, is_fresh: bool) -> bool {
        let now_ms = self.now_ms;
        let model_box = &mut self.boxes[index];
        let delay_ms = self.rng.random_range(0..model_box.log_progress.pause_ms());
        if !is_fresh
            && read_role != ReadRole::Reader
            && now_ms < *model_box.read_delay_until_ms.get_or_insert(now_ms + delay_ms)
        {
            return false;
        }
        model_box.read_delay_until_ms = None;
        true
    }

    fn read_log(&mut self, index: usize, read_role: ReadRole) {
        let now_ms = self.now_ms;
        self.traffic.record_call(CallCause::ReadRecords, read_role);
        if !self.log_answers(index) {
            let draw = self.rng.random();
            let model_box = &mut self.boxes[index];
            model_box.next_call_ms =
                now_ms + model_box.retry_backoff.next_delay_ms(read_role, LEAVE_PROPAGATION_MS, draw);
            return;
        }
        let end = self.log_end();
        let model_box = &mut self.boxes[index];
        model_box.retry_backoff.reset();
        model_box.log_progress.advance(end, now_ms);
        model_box.next_call_ms = now_ms + model_box.log_progress.pause_ms();
        if now_ms >= RECORD_WRITTEN_MS {
            model_box.record_known_ms.get_or_insert(now_ms);
        }
        let is_list_due = read_role != ReadRole::Follower && now_ms >= model_box.next_list_ms;
        self.schedule_reread_on_new_era(index);
        if is_list_due {
            self.list_boxes(index, read_role);
        }
    }

    /// Schedules a second read of all records, after a random delay, once the box learns of a new era of the log.
    fn schedule_reread_on_new_era(&mut self, index: usize) {
        let is_later = |next: &Position| *next >= Position::new(1, 0);
        let model_box = &mut self.boxes[index];
        if model_box.era == 0 && model_box.log_progress.next_position().as_ref().is_some_and(is_later) {
            model_box.era = 1;
            model_box.reread_at_ms = Some(self.now_ms + self.rng.random_range(0..REREAD_SPREAD_MS));
        }
    }

    fn reread_if_due(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if self.boxes[index].reread_at_ms.take_if(|reread_at_ms| now_ms >= *reread_at_ms).is_some() {
            let read_role = self.boxes[index].read_role(now_ms);
            self.traffic.record_call(CallCause::Reread, read_role);
        }
    }

    /// Reads the list of boxes, and adds those that it lacks: a reader all that it knows, other boxes themselves.
    fn list_boxes(&mut self, index: usize, read_role: ReadRole) {
        self.traffic.record_call(CallCause::ListBoxes, read_role);
        let model_box = &mut self.boxes[index];
        let interval_ms = if read_role == ReadRole::Reader { LIST_INTERVALS_MS.0 } else { LIST_INTERVALS_MS.1 };
        model_box.next_list_ms = self.now_ms + interval_ms;
        for (name, record) in self.listed_boxes.iter().filter(|(name, _)| **name != model_box.name) {
            model_box.other_boxes.insert(name, record.clone());
        }
        let own_box = (model_box.name.as_str(), &model_box.record);
        let others = model_box.other_boxes.iter().filter(|_| read_role == ReadRole::Reader);
        let unlisted = others.chain([own_box]).filter(|(name, _)| !self.listed_boxes.contains_key(*name));
        let unlisted: Vec<_> = unlisted.map(|(name, record)| (name.to_owned(), record.clone())).collect();
        if unlisted.is_empty() {
            return;
        }
        self.traffic.record_call(CallCause::WriteBox, read_role);
        if unlisted.iter().any(|(name, _)| *name == model_box.name) {
            // The box reads the list again, in which others may be by now.
            self.traffic.record_call(CallCause::ListBoxes, read_role);
        }
        self.listed_boxes.extend(unlisted);
        if read_role == ReadRole::Reader {
            self.boxes[index].next_list_ms = self.now_ms + GROWING_LIST_INTERVAL_MS;
        }
    }

    fn poll(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let draw = self.rng.random();
        let seed_box = self.rng.random_range(0..SEED_BOXES);
        if self.boxes[index].other_boxes.is_empty() {
            self.poll_box(index, seed_box, true);
            return;
        }
        let ModelBox { name, data_centre, other_boxes, log_progress, poll_schedule, started_ms, .. } =
            &mut self.boxes[index];
        let polls_seed_boxes = now_ms < *started_ms + SEED_POLLING_MS;
        let targets = poll_schedule.next(log_progress, LocalBox { name, data_centre }, other_boxes, draw, now_ms);
        let is_fresh = log_progress.is_fresh(now_ms);
        if let Some(addr) = targets.source {
            self.poll_box(index, self.by_addr[&addr], true);
        }
        if let Some(addr) = targets.random {
            let polled = if polls_seed_boxes && self.rng.random_bool(0.5) { seed_box } else { self.by_addr[&addr] };
            self.poll_box(index, polled, !is_fresh);
        }
    }

    /// Polls one box and applies its answer: the list of boxes and, with `applies_progress`, how far it has read the log.
    fn poll_box(&mut self, poller: usize, polled: usize, applies_progress: bool) {
        if poller == polled {
            return;
        }
        let now_ms = self.now_ms;
        if !self.can_reach(poller, polled) {
            let poller_box = &mut self.boxes[poller];
            poller_box.log_progress.skip_source();
            poller_box.other_boxes.on_poll_unanswered(addr(polled), now_ms);
            return;
        }
        self.register_poller(poller, polled);
        self.send_box_list(poller, polled);
        if applies_progress {
            self.send_log_progress(poller, polled);
        }
        if self.boxes[polled].record_known_ms.is_some() {
            self.boxes[poller].record_known_ms.get_or_insert(now_ms);
        }
    }

    /// Adds the polling box to the box list of the polled box.
    fn register_poller(&mut self, poller: usize, polled: usize) {
        let now_ms = self.now_ms;
        let (name, record) = (self.boxes[poller].name.clone(), self.boxes[poller].record.clone());
        self.answered_polls[polled] += 1;
        let polled_box = &mut self.boxes[polled];
        polled_box.other_boxes.insert(&name, record);
        polled_box.other_boxes.on_heard(addr(poller), now_ms);
    }

    /// Sends the box list of the polled box if the lists differ, and the boxes that it counts as silent.
    fn send_box_list(&mut self, poller: usize, polled: usize) {
        let now_ms = self.now_ms;
        let is_same_list = self.boxes[polled].digest() == self.boxes[poller].digest();
        let sent_boxes = if is_same_list { Vec::new() } else { self.boxes[polled].all_boxes() };
        let silent_boxes: Vec<String> =
            self.boxes[polled].other_boxes.locally_silent(now_ms).map(str::to_owned).collect();
        let needs_full_state = self.boxes[poller].log_progress.next_position().is_none()
            && self.boxes[polled].log_progress.next_position().is_some();
        let boxes = self.boxes.len() as u64;
        self.answered_bytes[polled] +=
            self.traffic.record_poll_answer(sent_boxes.len() as u64, needs_full_state, boxes);
        let poller_box = &mut self.boxes[poller];
        for (name, record) in sent_boxes.into_iter().filter(|(name, _)| *name != poller_box.name) {
            poller_box.other_boxes.insert(&name, record);
        }
        poller_box.other_boxes.on_heard(addr(polled), now_ms);
        silent_boxes
            .iter()
            .filter(|name| **name != poller_box.name)
            .for_each(|name| poller_box.other_boxes.apply_reported_silence(name, now_ms));
    }

    /// Sends how far the polled box has read the log, and when.
    fn send_log_progress(&mut self, poller: usize, polled: usize) {
        let now_ms = self.now_ms;
        let log_progress = &self.boxes[polled].log_progress;
        let reported = match self.false_reader.filter(|(other, _)| *other == polled && self.is_fault_active()) {
            Some((_, position)) => Some((position, now_ms)),
            None => log_progress.next_position().map(|next| (next, now_ms.saturating_sub(log_progress.age_ms(now_ms)))),
        };
        if let Some((next, as_of_ms)) = reported {
            self.boxes[poller].log_progress.apply_peer_progress(next, as_of_ms, now_ms);
            self.schedule_reread_on_new_era(poller);
        }
    }
}
