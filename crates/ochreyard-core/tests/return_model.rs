//! All boxes of a fleet are killed at once and start again: how long until each group of a service has a leader, by the
//! decisions of the product on virtual time. Engines and agents go on, and grant whoever asks first.

use std::net::SocketAddr;

use ochreyard_core::direct::{
    BoxList, BoxRecord, EndpointChange, EndpointPool, EndpointRecord, GroupUpdate, RankUpdate, ReporterRole,
};
use ochreyard_core::group_map::{Candidacy, candidate_position};
use rstest::rstest;

/// Ranks of a group.
const SIZE: usize = 12;
/// How often each box looks.
const LOOK_EVERY_MS: u64 = 150;
/// How long a box takes to look at the ranks, how long until they have granted it, and how long its news take to all boxes.
const ASK_MS: u64 = 100;
const GRANT_MS: u64 = 20;
const NEWS_MS: u64 = 100;
/// Within this boxes have learned of endpoints and of each other.
const TOLD_WITHIN_MS: u64 = 400;
/// The model's steps, and how long it runs at most.
const TICK_MS: u64 = 10;
const END_MS: u64 = 60_000;

struct ModelBox {
    name: String,
    record: BoxRecord,
    others: BoxList,
    pool: EndpointPool,
    candidacy: Candidacy,
    told_ms: u64,
    leads: usize,
}

impl ModelBox {
    fn place(&self) -> usize {
        candidate_position("tiles", (&self.name, &self.record), &self.others) + self.leads * self.others.len()
    }
}

struct Return {
    boxes: Vec<ModelBox>,
    /// When each group was led, by its number.
    led_ms: Vec<Option<u64>>,
    /// Boxes that look at the ranks: when they know, who they are, at which place.
    looking: Vec<(u64, usize, usize)>,
    /// Boxes that ask to lead: when they are granted, who they are, which group.
    asking: Vec<(u64, usize, usize)>,
    /// How often a box has looked at the ranks.
    looks: usize,
}

impl Return {
    fn of(boxes: usize, groups: usize) -> Self {
        let records: Vec<_> = (0..boxes).map(|number| (format!("box-{number}"), box_record(number))).collect();
        let pool = pool_of(groups);
        let boxes = records.iter().enumerate().map(|(number, (name, record))| {
            let mut others = BoxList::default();
            records.iter().filter(|(other, _)| other != name).for_each(|(other, record)| {
                others.insert(other, record.clone());
            });
            ModelBox {
                name: name.clone(),
                record: record.clone(),
                others,
                pool: pool.clone(),
                candidacy: Candidacy::default(),
                told_ms: (number as u64 * 7 * TICK_MS) % TOLD_WITHIN_MS,
                leads: 0,
            }
        });
        Self { boxes: boxes.collect(), led_ms: vec![None; groups], looking: Vec::new(), asking: Vec::new(), looks: 0 }
    }

    /// When the last group has a leader.
    fn run(&mut self) -> Option<u64> {
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            self.grant(now_ms);
            self.ask(now_ms);
            self.tell(now_ms);
            self.look(now_ms);
            if self.led_ms.iter().all(Option::is_some) {
                return self.led_ms.iter().flatten().copied().max();
            }
        }
        None
    }

    fn look(&mut self, now_ms: u64) {
        for (number, one) in self.boxes.iter_mut().enumerate() {
            let is_look = now_ms >= one.told_ms && (now_ms - one.told_ms).is_multiple_of(LOOK_EVERY_MS);
            if !is_look {
                continue;
            }
            let place = one.place();
            if one.candidacy.is_due(one.pool.leaderless_groups("tiles", now_ms), place, now_ms) {
                one.candidacy.on_attempt(now_ms + ASK_MS);
                self.looks += 1;
                self.looking.push((now_ms + ASK_MS, number, place));
            }
        }
    }

    /// Whoever has looked at the ranks asks to lead one of the groups that it found without a leader.
    fn ask(&mut self, now_ms: u64) {
        let unled: Vec<usize> = (0..self.led_ms.len()).filter(|group| self.led_ms[*group].is_none()).collect();
        for (_, number, place) in due(&mut self.looking, now_ms) {
            if let Some(at) = place.checked_rem(unled.len()) {
                self.asking.push((now_ms + GRANT_MS, number, unled[at]));
            }
        }
    }

    /// The first one that asked leads; the others ask again later.
    fn grant(&mut self, now_ms: u64) {
        for (_, number, group) in due(&mut self.asking, now_ms) {
            if self.led_ms[group].is_none() {
                self.led_ms[group] = Some(now_ms);
                self.boxes[number].leads += 1;
            }
        }
    }

    /// Leaders tell all boxes of their groups, three times a second.
    fn tell(&mut self, now_ms: u64) {
        for (group, led_ms) in self.led_ms.iter().enumerate() {
            let Some(led_ms) = led_ms else { continue };
            if now_ms >= led_ms + NEWS_MS && (now_ms - led_ms - NEWS_MS).is_multiple_of(300) {
                let news = news_of(group);
                self.boxes.iter_mut().for_each(|one| one.pool.apply_group_update(&news, now_ms));
            }
        }
    }
}

/// Takes those out whose time has come.
fn due(waiting: &mut Vec<(u64, usize, usize)>, now_ms: u64) -> Vec<(u64, usize, usize)> {
    let (due, rest) = waiting.drain(..).partition(|(at_ms, ..)| *at_ms <= now_ms);
    *waiting = rest;
    due
}

fn box_record(number: usize) -> BoxRecord {
    let addr = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000));
    BoxRecord { addr, data_centre: "a".to_owned(), cores_permille: 250, link_mbps: 40 }
}

fn endpoint(group: usize, rank: usize) -> String {
    format!("e-{group}-{rank}")
}

fn pool_of(groups: usize) -> EndpointPool {
    let mut pool = EndpointPool::new();
    for (group, rank) in (0..groups).flat_map(|group| (0..SIZE).map(move |rank| (group, rank))) {
        let record = EndpointRecord {
            service: "tiles".to_owned(),
            addr: SocketAddr::from(([10, 1, group as u8, rank as u8], 8_000)),
            data_centre: "a".to_owned(),
            slots: 12,
            is_leaving: false,
            cold_ms: 0,
            started_ms: 1,
        };
        pool.apply(EndpointChange::Updated(endpoint(group, rank), record));
    }
    pool
}

fn news_of(group: usize) -> GroupUpdate {
    let rank = |rank| RankUpdate { endpoint: endpoint(group, rank), running: 0, waiting: 0, pace_permille: 1_000 };
    GroupUpdate {
        service: "tiles".to_owned(),
        group: format!("g{group}"),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        ranks: (0..SIZE).map(rank).collect(),
        ..GroupUpdate::default()
    }
}

/// Callers wait for a leader: it must not take longer the more groups there are. Each look asks all ranks, so few more boxes
/// look than there are groups.
#[rstest]
#[case::one_group(30, 1)]
#[case::sixteen_groups(99, 16)]
#[case::forty_eight_groups(300, 48)]
fn each_group_has_a_leader_soon_after_all_boxes_were_killed(#[case] boxes: usize, #[case] groups: usize) {
    let mut played = Return::of(boxes, groups);
    let led_ms = played.run();
    assert!(led_ms.is_some_and(|led_ms| led_ms <= 2_000), "{boxes} boxes, {groups} groups: {led_ms:?}");
    assert!(played.looks <= 3 * groups, "{boxes} boxes, {groups} groups: {} looks", played.looks);
}
