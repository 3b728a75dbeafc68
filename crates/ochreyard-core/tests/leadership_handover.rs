//! Tests how a leader that stops finds a successor, and when a box accepts.

use std::net::SocketAddr;

use ochreyard_core::direct::{BoxList, BoxRecord, EndpointPool, GroupUpdate, LeaderReport, ReporterRole};
use ochreyard_core::group_map::{
    Demand, FirstGrants, GroupPlacement, HandoverAnswer, HandoverAttempts, HandoverRefusal, LeaderGrant, LeaderId,
    Leadership, LeadershipHandover, MapController, MapControllerSettings, RoundTimes, SelectionCounts, StandbyWatch,
    SuccessorState, standby_candidates, successor_candidates,
};
use rstest::rstest;

const LEASE_MS: u64 = 800;
const FORMER: LeaderId = LeaderId { life: 7 };

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

fn handover() -> LeadershipHandover {
    LeadershipHandover {
        service: "tiles".into(),
        group: "g0".into(),
        size: 2,
        from: FORMER,
        report_age_ms: 20,
        members: [(0, addr(0)), (1, addr(1))].into(),
        demand: Some(SelectionCounts::new(&[30, 10, 20, 40])),
        map_version: Some(3),
        map: vec![vec![vec![0, 2], vec![1, 3]]],
        arming_ms: 90,
        highest_version: 5 << 20,
        round_ms: 40,
    }
}

const READY: SuccessorState = SuccessorState {
    is_stopping: false,
    is_ready: true,
    is_slow: false,
    leads_group: false,
    leads_other: false,
    leader_report: Some(LeaderReport { age_ms: 100, leader_tag: Some(FORMER.tag()) }),
};

#[rstest]
#[case::ready(READY, None)]
#[case::stopping(SuccessorState { is_stopping: true, ..READY }, Some(HandoverRefusal::Stopping))]
#[case::just_started(SuccessorState { is_ready: false, ..READY }, Some(HandoverRefusal::NotReady))]
#[case::slow(SuccessorState { is_slow: true, ..READY }, Some(HandoverRefusal::TooSlow))]
#[case::doubled(SuccessorState { leads_group: true, ..READY }, Some(HandoverRefusal::LeadsGroup))]
#[case::leads_another_group(SuccessorState { leads_other: true, ..READY }, Some(HandoverRefusal::LeadsOther))]
#[case::late(
    SuccessorState { leader_report: Some(LeaderReport { age_ms: 10, leader_tag: Some(8) }), ..READY },
    Some(HandoverRefusal::HasLeader)
)]
#[case::late_and_nobody_leads(SuccessorState { leader_report: None, ..READY }, None)]
#[case::leader_of_an_older_version(
    SuccessorState { leader_report: Some(LeaderReport { age_ms: 10, leader_tag: None }), ..READY },
    None
)]
fn a_box_accepts_only_what_it_can_lead(#[case] state: SuccessorState, #[case] refusal: Option<HandoverRefusal>) {
    assert_eq!(state.decide(&handover()).err(), refusal);
}

#[rstest]
#[case::no_ranks(LeadershipHandover { size: 0, members: [].into(), map: vec![], ..handover() })]
#[case::too_many_ranks(LeadershipHandover { size: 1 << 40, map: vec![], map_version: None, ..handover() })]
#[case::unknown_rank(LeadershipHandover { members: [(2, addr(2))].into(), ..handover() })]
#[case::map_of_another_size(LeadershipHandover { map: vec![vec![vec![0, 1, 2, 3]]], ..handover() })]
#[case::inexact_highest_version(LeadershipHandover { highest_version: u64::MAX, ..handover() })]
#[case::inexact_map_version(LeadershipHandover { map_version: Some(u64::MAX), ..handover() })]
fn a_handover_that_contradicts_itself_is_refused(#[case] handover: LeadershipHandover) {
    assert_eq!(READY.decide(&handover), Err(HandoverRefusal::Invalid));
}

#[test]
fn boxes_one_version_older_and_newer_read_the_messages() {
    let written = serde_json::to_value(handover()).unwrap();
    assert_eq!(serde_json::from_value::<LeadershipHandover>(written.clone()).unwrap(), handover());
    let mut newer = written;
    newer["new_field"] = serde_json::json!({"a": [1]});
    assert_eq!(serde_json::from_value::<LeadershipHandover>(newer).unwrap(), handover());
    let least = serde_json::json!({"service": "tiles", "group": "g0", "size": 2, "from": 7});
    let least: LeadershipHandover = serde_json::from_value(least).unwrap();
    assert!(least.is_consistent() && least.current_map(1, 4).is_none() && least.selections(4).is_none());
    let refusal = r#"{"accepted": false, "refusal": "new_reason", "new_field": 1}"#;
    let refusal: HandoverAnswer = serde_json::from_str(refusal).unwrap();
    assert_eq!(refusal, HandoverAnswer { accepted: false, refusal: Some(HandoverRefusal::Unknown) });
}

/// A plan on demand or a map of other engines would index outside of it.
#[test]
fn demand_and_map_are_used_only_where_they_fit_the_engines() {
    assert_eq!(handover().selections(4), Some(vec![30.0, 10.0, 20.0, 40.0]));
    assert_eq!(handover().selections(5), None);
    let expected = GroupPlacement::from_ranks(4, &[vec![vec![0, 2]], vec![vec![1, 3]]]);
    assert_eq!(handover().current_map(1, 4), Some((3, expected)));
    assert!(handover().current_map(2, 4).is_none(), "two sets");
    assert!(handover().current_map(1, 3).is_none(), "expert 3 does not exist");
    assert!(handover().current_map(1, 5).is_none(), "expert 4 has no rank");
}

#[test]
fn the_successor_detects_a_shift_from_the_demand_that_it_was_handed() {
    let selections = handover().selections(4).unwrap();
    let mut demand = Demand::handed_over(selections, 150.0, 1_000);
    assert_eq!(demand.rounded(), handover().demand.unwrap());
    assert!(!demand.observe(&[31.0, 9.0, 21.0, 39.0], 1_100));
    assert!(demand.observe(&[1.0, 90.0, 1.0, 8.0], 1_200));
}

/// Ranks refuse versions up to the highest that they ever had, and each refusal costs a copy of all experts.
#[test]
fn the_successor_uses_versions_above_those_of_the_former_leader() {
    let mut controller = MapController::new(MapControllerSettings::default(), 0, 9);
    controller.raise_highest_version(handover().highest_version);
    controller.propose(GroupPlacement::round_robin(1, 4, 2), 1, 0);
    assert_eq!(controller.highest_version(), (6 << 20) + 9);
}

fn asked(silent: impl Fn(usize) -> bool, took_ms: u64) -> usize {
    let mut attempts = HandoverAttempts::new((0..20).map(addr).collect(), 1_000);
    let mut now_ms = 1_000;
    let mut asked = 0;
    while attempts.next_candidate(now_ms).is_some() {
        if silent(asked) {
            attempts.on_silent();
        }
        asked += 1;
        now_ms += took_ms;
    }
    asked
}

#[test]
fn three_silent_candidates_or_four_tenths_of_a_second_end_the_attempts() {
    assert_eq!(asked(|_| true, HandoverAttempts::ANSWER_TIMEOUT_MS), 3);
    assert_eq!(asked(|at| at < 2, 1), 8, "refusals cost a round trip each");
    assert_eq!(asked(|_| false, 90), 5);
    let mut alone = HandoverAttempts::new(Vec::new(), 0);
    assert_eq!(alone.next_candidate(0), None);
}

#[test]
fn the_strongest_other_box_is_asked_first_and_silent_ones_are_not() {
    let record = |number: u16, cores_permille: u64, link_mbps: u64| BoxRecord {
        addr: addr(number),
        data_centre: String::new(),
        cores_permille,
        link_mbps,
    };
    let mut others = BoxList::default();
    for (name, record) in [("a", record(1, 240, 40)), ("b", record(2, 500, 100)), ("c", record(3, 500, 200))] {
        others.insert(name, record);
    }
    assert_eq!(successor_candidates("tiles", &others, 0), [addr(3), addr(2), addr(1)]);
    for now_ms in (0..20_000).step_by(100) {
        others.on_poll_unanswered(addr(3), now_ms);
        others.on_heard(addr(1), now_ms);
        others.on_heard(addr(2), now_ms);
    }
    assert_eq!(successor_candidates("tiles", &others, 20_000), [addr(2), addr(1)]);
}

fn report(role: ReporterRole, tag: Option<u64>) -> GroupUpdate {
    GroupUpdate {
        service: "tiles".into(),
        group: "g0".into(),
        reporter_role: role,
        leader_tag: tag,
        is_serving: true,
        ..GroupUpdate::default()
    }
}

/// Updates are forwarded over different paths, and a candidate that failed ends its term with an update, too.
#[test]
fn only_the_reporting_leader_can_give_up_the_lead() {
    let mut pool = EndpointPool::new();
    pool.apply_group_update(&report(ReporterRole::Leads, Some(1)), 0);
    pool.apply_group_update(&report(ReporterRole::Leads, Some(2)), 100);
    pool.apply_group_update(&report(ReporterRole::StoodDown, Some(1)), 150);
    let expected = LeaderReport { age_ms: 60, leader_tag: Some(2) };
    assert_eq!(pool.leader_report("tiles", "g0", 160), Some(expected));
    pool.apply_group_update(&report(ReporterRole::StoodDown, Some(2)), 200);
    assert_eq!(pool.leader_report("tiles", "g0", 200), None);
    pool.apply_group_update(&report(ReporterRole::Leads, Some(2)), 300);
    pool.apply_group_update(&report(ReporterRole::StoodDown, None), 400);
    assert_eq!(pool.leader_report("tiles", "g0", 400), None, "a leader of an older version");
    pool.apply_group_update(&report(ReporterRole::Leads, Some(2)), 500);
    assert_eq!(pool.leader_report("tiles", "g0", 1_400), None, "it is silent");
}

/// Agents of one group, and the successors that ask them for their first grants.
struct Agents {
    grants: Vec<LeaderGrant>,
}

struct Successor {
    id: LeaderId,
    first_grants: FirstGrants,
    next_round_ms: Option<u64>,
    is_leading: bool,
    /// Number of agents that each round of requests reaches, from the first one or from the last one.
    asks_last_first: bool,
}

const SIZE: usize = 24;

impl Agents {
    /// Half of the grants of a round are requested first by one successor, half by the other, as on two sides of a
    /// network.
    fn run(&mut self, successors: &mut [Successor], now_ms: u64, draw: &mut u64) {
        let due: Vec<usize> =
            (0..successors.len()).filter(|at| successors[*at].next_round_ms == Some(now_ms)).collect();
        let mut leaderships = vec![Leadership::new(LEASE_MS); successors.len()];
        for half in 0..2 {
            for &at in &due {
                let asks_last = (half == 1) != successors[at].asks_last_first;
                let ranks = if asks_last { SIZE / 2..SIZE } else { 0..SIZE / 2 };
                for rank in ranks {
                    let granted = self.grants[rank].try_grant(&successors[at].id, LEASE_MS, now_ms);
                    leaderships[at].on_answer(rank, granted, now_ms);
                }
            }
        }
        for &at in &due {
            let successor = &mut successors[at];
            if leaderships[at].has_majority(SIZE, now_ms, 0) {
                successor.is_leading = true;
                successor.next_round_ms = Some(now_ms + 100);
                continue;
            }
            let others = self.grants.iter().filter_map(|grant| grant.holder(now_ms).copied());
            let holders: Vec<LeaderId> = others.filter(|holder| *holder != successor.id).collect();
            *draw += 1;
            let draw = ochreyard_core::hash::mix(*draw);
            let pause_ms = successor.first_grants.retry_pause_ms(&holders, SIZE, draw, now_ms);
            self.grants.iter_mut().for_each(|grant| grant.release(&successor.id));
            successor.next_round_ms = pause_ms.map(|pause_ms| now_ms + pause_ms);
        }
    }
}

/// A box whose answer was late leads beside the one that was asked next: each of them gets half of the grants.
#[rstest]
fn of_two_successors_one_leads(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut agents = Agents { grants: vec![LeaderGrant::new(LEASE_MS, 0); SIZE] };
    let new_successor = |life: u64, asks_last_first: bool| Successor {
        id: LeaderId { life },
        first_grants: FirstGrants::new(FORMER, LEASE_MS, 1_000),
        next_round_ms: Some(1_000),
        is_leading: false,
        asks_last_first,
    };
    let mut successors = [new_successor(1, false), new_successor(2, true)];
    let mut draw = seed << 32;
    for now_ms in 1_000..1_800 {
        agents.run(&mut successors, now_ms, &mut draw);
    }
    assert_eq!(successors.iter().filter(|successor| successor.is_leading).count(), 1);
    assert_eq!(successors.iter().filter(|successor| successor.next_round_ms.is_none()).count(), 1, "the other ends");
}

#[test]
fn a_successor_waits_for_lost_releases_but_not_for_another_leader() {
    let first_grants = FirstGrants::new(FORMER, LEASE_MS, 1_000);
    assert!(first_grants.retry_pause_ms(&[FORMER; SIZE], SIZE, 9, 1_799).is_some());
    assert!(first_grants.retry_pause_ms(&[FORMER; SIZE], SIZE, 9, 1_800).is_none(), "its grants have expired");
    let other = LeaderId { life: 3 };
    assert!(first_grants.retry_pause_ms(&[other; SIZE / 2], SIZE, 9, 1_100).is_some());
    assert!(first_grants.retry_pause_ms(&[other; SIZE / 2 + 1], SIZE, 9, 1_100).is_none());
}

/// Interval of the leader's reports and rounds, and of the checks of the standby leader, in milliseconds.
const REPORT_MS: u64 = 300;
const ROUND_MS: u64 = 100;
const CHECK_MS: u64 = 50;

/// What a standby leader does about a leader that reports until `reports_until_ms` and renews its grants until
/// `renews_until_ms`: the time at which it takes over, and the number of its queries.
fn stand_by(reports_until_ms: u64, renews_until_ms: u64, for_ms: u64) -> (Option<u64>, u32) {
    let mut grants = vec![LeaderGrant::new(LEASE_MS, 0); SIZE];
    let mut watch = StandbyWatch::new(FORMER, 1_000);
    let mut reported_ms = 1_000;
    let mut queries = 0;
    for now_ms in 1_000..1_000 + for_ms {
        if now_ms <= renews_until_ms && now_ms % ROUND_MS == 0 {
            grants.iter_mut().for_each(|grant| assert!(grant.try_grant(&FORMER, LEASE_MS, now_ms)));
        }
        if now_ms <= reports_until_ms && now_ms % REPORT_MS == 100 {
            reported_ms = now_ms;
            watch.on_notice(FORMER, now_ms);
        }
        let report = Some(LeaderReport { age_ms: now_ms - reported_ms, leader_tag: Some(FORMER.tag()) });
        if now_ms % CHECK_MS != 0 || !watch.is_current(report, now_ms) || !watch.is_query_due(report, now_ms) {
            continue;
        }
        queries += 1;
        let free = grants.iter().filter(|grant| grant.holder(now_ms).is_none()).count();
        if StandbyWatch::takes_over(free, SIZE) {
            return (Some(now_ms), queries);
        }
    }
    (None, queries)
}

/// A second leader beside one whose grants are valid would give orders at the same time.
#[rstest]
fn a_standby_leader_takes_over_once_reports_are_overdue_and_the_grants_have_expired(
    #[values(0, 40, 90, 130, 210, 299)] killed_after_ms: u64,
) {
    let killed_ms = 4_000 + killed_after_ms;
    let (taken_over_ms, _) = stand_by(killed_ms, killed_ms, 10_000);
    let expired_ms = killed_ms / ROUND_MS * ROUND_MS + LEASE_MS;
    let reported_ms = (killed_ms - 100) / REPORT_MS * REPORT_MS + 100;
    let taken_over_ms = taken_over_ms.unwrap();
    assert!(taken_over_ms >= expired_ms, "{taken_over_ms} before {expired_ms}");
    assert!(taken_over_ms <= expired_ms.max(reported_ms + REPORT_MS + 400), "{taken_over_ms} after {expired_ms}");
}

#[test]
fn a_standby_leader_waits_for_a_leader_that_is_slow_or_that_it_does_not_hear() {
    let (taken_over_ms, queries) = stand_by(u64::MAX, u64::MAX, 30_000);
    assert_eq!((taken_over_ms, queries), (None, 0), "a leader that is well is not asked about");
    // Cut off from the leader: its agents still hold grants, and the leader's notices stop.
    let (taken_over_ms, queries) = stand_by(2_000, u64::MAX, 30_000);
    assert_eq!(taken_over_ms, None);
    assert!((12..20).contains(&queries), "{queries} queries until the standby ends");
}

#[test]
fn a_standby_ends_with_another_leader_and_queries_at_once_when_its_leader_stands_down() {
    let mut watch = StandbyWatch::new(FORMER, 1_000);
    let report = |life: u64| Some(LeaderReport { age_ms: 100, leader_tag: Some(LeaderId { life }.tag()) });
    assert!(watch.is_current(report(FORMER.life), 1_100));
    assert!(!watch.is_query_due(report(FORMER.life), 1_100));
    assert!(!watch.is_current(report(8), 1_100), "another leader reports");
    assert!(!watch.on_notice(LeaderId { life: 8 }, 1_100), "a late notice of a former leader");
    assert!(watch.is_current(None, 1_100) && watch.is_query_due(None, 1_100));
    assert!(!watch.is_query_due(None, 1_149), "the agents are not queried more often than their answers change");
    assert!(!watch.is_current(None, 6_000), "the notices stopped");
    let older = Some(LeaderReport { age_ms: 600, leader_tag: None });
    assert!(watch.is_current(older, 1_200) && watch.is_query_due(older, 1_200), "reports of an older version");
}

#[test]
fn the_standby_leader_is_the_strongest_box_of_another_data_centre() {
    let record = |number: u16, data_centre: &str, cores_permille: u64| BoxRecord {
        addr: addr(number),
        data_centre: data_centre.to_owned(),
        cores_permille,
        link_mbps: 100,
    };
    let mut others = BoxList::default();
    for (name, record) in [("a", record(1, "x", 500)), ("b", record(2, "y", 250)), ("c", record(3, "z", 400))] {
        others.insert(name, record);
    }
    assert_eq!(standby_candidates("tiles", "x", &others, 0), [addr(3), addr(2), addr(1)]);
    assert_eq!(standby_candidates("tiles", "z", &others, 0), [addr(1), addr(2), addr(3)]);
}

/// Links carry 28 megabits a second, of which all messages between boxes may use 3 KB/s.
#[rstest]
#[case::two_hundred_ranks(200, 16, 96)]
#[case::most_experts(128, 28, 100)]
#[case::too_many_experts_for_a_notice(64, 61, 256)]
#[case::twenty_four_ranks(24, 16, 96)]
#[case::thirty_two_ranks(32, 12, 128)]
fn a_notice_has_at_most_eight_kilobytes(#[case] ranks: usize, #[case] sets: usize, #[case] experts: usize) {
    let selections: Vec<u64> = (0..sets * experts).map(|at| at as u64 * 977 % 4_001).collect();
    let members = (0..ranks).map(|rank| (rank, SocketAddr::from(([210, 212, 131, rank as u8], 18_080)))).collect();
    let map = GroupPlacement::round_robin(sets, experts, ranks).sets().to_vec();
    let demand = Some(SelectionCounts::new(&selections));
    let handover = LeadershipHandover { size: ranks, members, demand, map, ..handover() };
    assert!(handover.is_consistent());
    let notice = handover.clone().into_notice();
    let bytes = |message: &LeadershipHandover| serde_json::to_vec(message).unwrap().len();
    println!("ranks={ranks} handover_bytes={} notice_bytes={}", bytes(&handover), bytes(&notice));
    assert!(bytes(&notice) <= 8_192, "{}", bytes(&notice));
    assert!(notice.is_consistent() && notice.members.len() * 2 > ranks);
}

/// Whether rounds that take `round_ms` are too long after a predecessor whose rounds took `predecessor_ms`.
#[rstest]
#[case::as_long(40, 40, false)]
#[case::three_times_as_long(150, 50, false)]
#[case::longer(160, 50, true)]
#[case::short_on_both_boxes(90, 5, false)]
#[case::unknown_predecessor(5_000, 0, false)]
#[case::predecessor_that_states_an_absurd_time(5_000, u64::MAX, false)]
fn a_box_that_is_much_weaker_than_its_predecessor_is_too_slow(
    #[case] round_ms: u64,
    #[case] predecessor_ms: u64,
    #[case] is_too_slow: bool,
) {
    let mut rounds = RoundTimes::default();
    (0..29).for_each(|_| rounds.observe(round_ms));
    assert!(!rounds.are_too_long(predecessor_ms), "the first rounds open connections");
    rounds.observe(round_ms);
    assert_eq!(rounds.are_too_long(predecessor_ms), is_too_slow);
}

/// A box that has paused once is not weak.
#[test]
fn a_single_long_round_does_not_make_a_box_too_slow() {
    let mut rounds = RoundTimes::default();
    (0..30).for_each(|_| rounds.observe(50));
    rounds.observe(700);
    assert!(!rounds.are_too_long(50), "{}", rounds.mean_ms());
    (0..10).for_each(|_| rounds.observe(300));
    assert!(rounds.are_too_long(50), "{}", rounds.mean_ms());
}
