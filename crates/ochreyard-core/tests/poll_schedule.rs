//! How a new configuration reaches all boxes while their reads of the platform's log hang.
//!
//! One of 39 entries answered by a configuration that was eleven seconds old, after the log had been slow and had lost
//! answers, while all others had the newest one within two seconds.
//!
//! A likely course, since the log of that entry was not kept: the readers were too slow for some boxes, which skipped
//! them and became each other's sources. Each of these reads the records of endpoints itself as soon as they are
//! stale, so each looks fresh to the other and is never skipped, while its own reads of the configuration hang. The
//! source of a box was chosen by the freshness of the endpoint records alone, and no other box was polled for the
//! configuration.
//!
//! The model below uses the real choice of the boxes to poll.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreyard_core::direct::{BoxList, BoxRecord, LocalBox, LogProgress, PollSchedule, Position};
use ochreyard_core::hash;
use rstest::rstest;

const LEAVING_KNOWN_MS: u64 = 2_000;
/// Interval between two polling rounds of a box.
const ROUND_MS: u64 = 400;
/// How long polls of readers may get no answer in time.
const SLOW_MS: u64 = 4_000;
/// Time within which all boxes must have a new configuration once polls are answered again; the specification of the
/// platform allows some seconds more.
const CONVERGED_WITHIN_MS: u64 = 6_000;
const NEW_VERSION: u64 = 68;

struct BoxModel {
    name: String,
    others: BoxList,
    progress: LogProgress,
    schedule: PollSchedule,
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
            progress: LogProgress::new(LEAVING_KNOWN_MS),
            schedule: PollSchedule::default(),
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

    fn is_reader(&self, at: usize) -> bool {
        let model = &self.boxes[at];
        model.progress.source(own(&model.name), &model.others, 0).is_none()
    }

    /// A reader, or a box whose state is stale, reads the records of endpoints, but never the configuration.
    fn read_endpoints(&mut self, at: usize, now_ms: u64) {
        if self.is_reader(at) || !self.boxes[at].progress.is_fresh(now_ms) {
            self.boxes[at].progress.advance(Position::new(0, now_ms), now_ms);
        }
    }

    fn poll(&mut self, at: usize, now_ms: u64) {
        let draw = self.draw();
        let BoxModel { name, others, progress, schedule, .. } = &mut self.boxes[at];
        let targets = schedule.next(progress, own(name), others, draw, now_ms);
        if let Some(to) = targets.source.map(|addr| self.by_addr[&addr]) {
            let is_slow = now_ms < SLOW_MS && self.is_reader(to) && self.draw().is_multiple_of(2);
            if is_slow {
                self.boxes[at].progress.skip_source();
            } else {
                let (next, age_ms) = (
                    self.boxes[to].progress.next_position().unwrap_or_default(),
                    self.boxes[to].progress.age_ms(now_ms),
                );
                self.boxes[at].progress.apply_peer_progress(next, now_ms.saturating_sub(age_ms), now_ms);
                self.apply_version(at, to);
            }
        }
        if let Some(to) = targets.random.map(|addr| self.by_addr[&addr]) {
            self.apply_version(at, to);
        }
    }

    fn apply_version(&mut self, at: usize, from: usize) {
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
fn no_box_stays_behind_with_the_configuration_whatever_its_source(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    for now_ms in (0..SLOW_MS + CONVERGED_WITHIN_MS).step_by(ROUND_MS as usize) {
        for at in 0..count {
            fleet.read_endpoints(at, now_ms);
            fleet.poll(at, now_ms);
        }
        if now_ms == SLOW_MS {
            // The readers get the new version; no other box gets it by its own reads.
            (0..count).filter(|at| fleet.is_reader(*at)).collect::<Vec<_>>().into_iter().for_each(|at| {
                fleet.boxes[at].version = NEW_VERSION;
            });
        }
    }
    assert_eq!(fleet.behind(), Vec::<&str>::new(), "six seconds after the readers have it");
}
