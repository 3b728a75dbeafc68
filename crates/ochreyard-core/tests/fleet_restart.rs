//! Time until each group of a service has a leader after all boxes of a fleet were killed at once and restarted. The
//! model uses the real candidacy decisions on virtual time. Engines and agents keep running, and grant the lead to the
//! first box that claims it.

use std::net::SocketAddr;

use ochreyard_core::direct::{
    BoxList, BoxRecord, EndpointChange, EndpointPool, EndpointRecord, GroupUpdate, RankUpdate, ReporterRole,
};
use ochreyard_core::group_map::{Candidacy, candidate_position};
use rstest::rstest;

/// Number of ranks of a group.
const GROUP_SIZE: usize = 12;
/// Time between two checks of a box whether its candidacy is due.
const CHECK_INTERVAL_MS: u64 = 150;
/// Time that a box takes to query the ranks, time until they have granted a claim, and time of an update to all boxes.
const CHECK_MS: u64 = 100;
const GRANT_MS: u64 = 20;
const UPDATE_MS: u64 = 100;
/// Time within which boxes learn of endpoints and of each other.
const STATE_KNOWN_WITHIN_MS: u64 = 400;
/// Step of the model, and its longest run time.
const TICK_MS: u64 = 10;
const END_MS: u64 = 60_000;

struct ModelBox {
    name: String,
    record: BoxRecord,
    others: BoxList,
    pool: EndpointPool,
    candidacy: Candidacy,
    state_known_ms: u64,
    led_groups: usize,
}

impl ModelBox {
    fn candidate_rank(&self) -> usize {
        candidate_position("tiles", (&self.name, &self.record), &self.others) + self.led_groups * self.others.len()
    }
}

struct FleetRestart {
    boxes: Vec<ModelBox>,
    /// When each group got a leader, by its number.
    leader_since_ms: Vec<Option<u64>>,
    /// Boxes that query the ranks: when they have the answers, their number, their rank among the candidates.
    checks: Vec<(u64, usize, usize)>,
    /// Boxes that claim the lead: when the claim arrives, their number, the group.
    claims: Vec<(u64, usize, usize)>,
    /// How often any box has queried the ranks.
    check_count: usize,
}

impl FleetRestart {
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
                state_known_ms: (number as u64 * 7 * TICK_MS) % STATE_KNOWN_WITHIN_MS,
                led_groups: 0,
            }
        });
        Self {
            boxes: boxes.collect(),
            leader_since_ms: vec![None; groups],
            checks: Vec::new(),
            claims: Vec::new(),
            check_count: 0,
        }
    }

    /// Runs the model, and returns when the last group has a leader.
    fn run(&mut self) -> Option<u64> {
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            self.grant(now_ms);
            self.claim(now_ms);
            self.send_updates(now_ms);
            self.check(now_ms);
            if self.leader_since_ms.iter().all(Option::is_some) {
                return self.leader_since_ms.iter().flatten().copied().max();
            }
        }
        None
    }

    fn check(&mut self, now_ms: u64) {
        for (number, model) in self.boxes.iter_mut().enumerate() {
            let is_check_due =
                now_ms >= model.state_known_ms && (now_ms - model.state_known_ms).is_multiple_of(CHECK_INTERVAL_MS);
            if !is_check_due {
                continue;
            }
            let candidate_rank = model.candidate_rank();
            if model.candidacy.is_due(model.pool.leaderless_groups("tiles", now_ms), candidate_rank, now_ms) {
                model.candidacy.on_attempt(now_ms + CHECK_MS);
                self.check_count += 1;
                self.checks.push((now_ms + CHECK_MS, number, candidate_rank));
            }
        }
    }

    /// Boxes that have queried the ranks claim the lead of one of the groups that have no leader.
    fn claim(&mut self, now_ms: u64) {
        let leaderless: Vec<usize> =
            (0..self.leader_since_ms.len()).filter(|group| self.leader_since_ms[*group].is_none()).collect();
        for (_, number, candidate_rank) in due(&mut self.checks, now_ms) {
            if let Some(at) = candidate_rank.checked_rem(leaderless.len()) {
                self.claims.push((now_ms + GRANT_MS, number, leaderless[at]));
            }
        }
    }

    /// The first box that claims a group leads it; the others try again later.
    fn grant(&mut self, now_ms: u64) {
        for (_, number, group) in due(&mut self.claims, now_ms) {
            if self.leader_since_ms[group].is_none() {
                self.leader_since_ms[group] = Some(now_ms);
                self.boxes[number].led_groups += 1;
            }
        }
    }

    /// Leaders send updates of their groups to all boxes, three times per second.
    fn send_updates(&mut self, now_ms: u64) {
        for (group, leader_since_ms) in self.leader_since_ms.iter().enumerate() {
            let Some(leader_since_ms) = leader_since_ms else { continue };
            if now_ms >= leader_since_ms + UPDATE_MS && (now_ms - leader_since_ms - UPDATE_MS).is_multiple_of(300) {
                let update = update_of(group);
                self.boxes.iter_mut().for_each(|model| model.pool.apply_group_update(&update, now_ms));
            }
        }
    }
}

/// Removes and returns the items whose time has come.
fn due(pending: &mut Vec<(u64, usize, usize)>, now_ms: u64) -> Vec<(u64, usize, usize)> {
    let (due, rest) = pending.drain(..).partition(|(at_ms, ..)| *at_ms <= now_ms);
    *pending = rest;
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
    for (group, rank) in (0..groups).flat_map(|group| (0..GROUP_SIZE).map(move |rank| (group, rank))) {
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

fn update_of(group: usize) -> GroupUpdate {
    let rank = |rank| RankUpdate { endpoint: endpoint(group, rank), running: 0, waiting: 0, pace_permille: 1_000 };
    GroupUpdate {
        service: "tiles".to_owned(),
        group: format!("g{group}"),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        ranks: (0..GROUP_SIZE).map(rank).collect(),
        ..GroupUpdate::default()
    }
}

/// Callers wait until a group has a leader, so the time must not grow with the number of groups. Each check queries all
/// ranks, so hardly more boxes may check than there are groups.
#[rstest]
#[case::one_group(30, 1)]
#[case::sixteen_groups(99, 16)]
#[case::forty_eight_groups(300, 48)]
fn each_group_has_a_leader_soon_after_all_boxes_were_killed(#[case] boxes: usize, #[case] groups: usize) {
    let mut fleet = FleetRestart::of(boxes, groups);
    let last_leader_ms = fleet.run();
    assert!(
        last_leader_ms.is_some_and(|last_ms| last_ms <= 2_000),
        "{boxes} boxes, {groups} groups: {last_leader_ms:?}"
    );
    assert!(fleet.check_count <= 3 * groups, "{boxes} boxes, {groups} groups: {} checks", fleet.check_count);
}
