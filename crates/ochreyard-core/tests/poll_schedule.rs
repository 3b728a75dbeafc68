//! How a new configuration reaches all boxes while readings of the platform's log hang.
//!
//! Seen: one of 39 entries answered by a configuration that was eleven seconds old, after the log had been slow and had lost
//! answers, while all others had the newest one within two seconds.
//!
//! How it can come about: the boxes that read for others were too slow for some askers, which passed them over and came to
//! rely on each other. Each of them reads the records of endpoints itself as soon as those are old, so each looks fresh
//! to the other and is never passed over; their own readings of the configuration hang.
//!
//! Cause: whom a box relies on was judged by the records of endpoints alone, and it asked nobody else for the configuration.
//!
//! What shows it: the model below, with the real choice of whom to ask. The log of that one entry was not kept, so that it
//! went this way there is likely, not proved.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreyard_core::direct::{BoxList, BoxRecord, LocalBox, LogProgress, PollSchedule, Position};
use ochreyard_core::hash;
use rstest::rstest;

const LEAVING_KNOWN_MS: u64 = 2_000;
/// A box asks this often.
const ROUND_MS: u64 = 400;
/// How long questions to boxes that read for others get no answer in time.
const SLOW_MS: u64 = 4_000;
/// The time in which all boxes have to know of a new configuration once questions are answered: the platform's pages give
/// it some seconds more than this.
const KNOWN_WITHIN_MS: u64 = 6_000;
const NEW_VERSION: u64 = 68;

struct BoxModel {
    name: String,
    others: BoxList,
    reading: LogProgress,
    questions: PollSchedule,
    version: u64,
}

const fn own(name: &str) -> LocalBox<'_> {
    LocalBox { name, data_centre: "" }
}

struct Fleet {
    boxes: Vec<BoxModel>,
    by_addr: BTreeMap<SocketAddr, usize>,
    draws: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let name = |at: usize| format!("box-{at}");
        let addr = |at: usize| SocketAddr::from(([10, 0, 0, at as u8 + 1], 7_340));
        let record =
            |at: usize| BoxRecord { addr: addr(at), data_centre: String::new(), cores_permille: 250, link_mbps: 1_000 };
        let others = |own: usize| {
            let mut list = BoxList::default();
            for at in (0..count).filter(|at| *at != own) {
                list.insert(&name(at), record(at));
            }
            list
        };
        let model = |at: usize| BoxModel {
            name: name(at),
            others: others(at),
            reading: LogProgress::new(LEAVING_KNOWN_MS),
            questions: PollSchedule::default(),
            version: NEW_VERSION - 1,
        };
        Self {
            boxes: (0..count).map(model).collect(),
            by_addr: (0..count).map(|at| (addr(at), at)).collect(),
            draws: 0,
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        hash::mix(self.draws)
    }

    fn reads_for_others(&self, at: usize) -> bool {
        let model = &self.boxes[at];
        model.reading.source(own(&model.name), &model.others, 0).is_none()
    }

    /// A box that reads for others, or whose records are too old, reads those of endpoints; never the configuration.
    fn read_endpoints(&mut self, at: usize, now_ms: u64) {
        if self.reads_for_others(at) || !self.boxes[at].reading.is_fresh(now_ms) {
            self.boxes[at].reading.advance(Position::new(0, now_ms), now_ms);
        }
    }

    fn ask(&mut self, at: usize, now_ms: u64) {
        let draw = self.draw();
        let BoxModel { name, others, reading, questions, .. } = &mut self.boxes[at];
        let asked = questions.next(reading, own(name), others, draw, now_ms);
        if let Some(to) = asked.source.map(|addr| self.by_addr[&addr]) {
            let is_slow = now_ms < SLOW_MS && self.reads_for_others(to) && self.draw().is_multiple_of(2);
            if is_slow {
                self.boxes[at].reading.skip_source();
            } else {
                let (next, age_ms) =
                    (self.boxes[to].reading.next_position().unwrap_or_default(), self.boxes[to].reading.age_ms(now_ms));
                self.boxes[at].reading.apply_peer_progress(next, now_ms.saturating_sub(age_ms), now_ms);
                self.take_version(at, to);
            }
        }
        if let Some(to) = asked.random.map(|addr| self.by_addr[&addr]) {
            self.take_version(at, to);
        }
    }

    fn take_version(&mut self, at: usize, from: usize) {
        self.boxes[at].version = self.boxes[at].version.max(self.boxes[from].version);
    }

    fn behind(&self) -> Vec<&str> {
        self.boxes.iter().filter(|model| model.version < NEW_VERSION).map(|model| model.name.as_str()).collect()
    }
}

#[rstest]
#[case::of_8(8)]
#[case::of_39(39)]
#[case::of_99(99)]
fn no_box_stays_behind_with_the_configuration_whomever_it_relies_on(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    for now_ms in (0..SLOW_MS + KNOWN_WITHIN_MS).step_by(ROUND_MS as usize) {
        for at in 0..count {
            fleet.read_endpoints(at, now_ms);
            fleet.ask(at, now_ms);
        }
        if now_ms == SLOW_MS {
            // Those who read for others learn of the new version, and nobody else does by itself.
            (0..count).filter(|at| fleet.reads_for_others(*at)).collect::<Vec<_>>().into_iter().for_each(|at| {
                fleet.boxes[at].version = NEW_VERSION;
            });
        }
    }
    assert_eq!(fleet.behind(), Vec::<&str>::new(), "six seconds after the boxes that read have it");
}
