//! Tests which entry leads a group and when it requests the leadership.

use ochreyard_core::direct::{BoxList, BoxRecord, LeaderlessGroups};
use ochreyard_core::group_map::{Candidacy, LeaderGrant, LeaderId, candidate_position};

/// Ranks of a group.
const SIZE: usize = 12;
/// No group is without a leader, or one group is.
const NONE: LeaderlessGroups = LeaderlessGroups { known: 0, ungrouped_endpoints: 0, min_group_size: Some(SIZE) };
const ONE: LeaderlessGroups = LeaderlessGroups { known: 1, ..NONE };

fn record(number: u16, cores_permille: u64, link_mbps: u64) -> BoxRecord {
    BoxRecord {
        addr: format!("10.0.0.1:{}", 7000 + number).parse().unwrap(),
        data_centre: String::new(),
        cores_permille,
        link_mbps,
    }
}

/// The positions of these boxes, each computed from the box's own list of the others.
fn positions(service: &str, boxes: &[(&str, BoxRecord)]) -> Vec<usize> {
    let position = |own: &(&str, BoxRecord)| {
        let mut others = BoxList::default();
        for (name, record) in boxes.iter().filter(|other| other.0 != own.0) {
            others.insert(name, record.clone());
        }
        candidate_position(service, (own.0, &own.1), &others)
    };
    boxes.iter().map(position).collect()
}

#[test]
fn every_box_has_a_distinct_position_and_larger_ones_come_first() {
    let boxes = [
        ("a", record(1, 240, 40)),
        ("b", record(2, 500, 200)),
        ("c", record(3, 240, 200)),
        ("d", record(4, 500, 200)),
        ("e", record(5, 240, 40)),
    ];
    let positions = positions("tiles", &boxes);
    let mut sorted = positions.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1, 2, 3, 4]);
    assert!(positions[1].max(positions[3]) < positions[2], "more cores come first: {positions:?}");
    assert!(positions[2] < positions[0].min(positions[4]), "then faster links: {positions:?}");
}

#[test]
fn the_order_of_equal_boxes_differs_between_services() {
    let names: Vec<String> = (0..9).map(|at| format!("box-{at}")).collect();
    let boxes: Vec<(&str, BoxRecord)> =
        names.iter().enumerate().map(|(at, name)| (name.as_str(), record(at as u16, 250, 100))).collect();
    let firsts =
        ["s1", "s2", "s3", "s4"].map(|service| positions(service, &boxes).iter().position(|position| *position == 0));
    assert!(firsts.iter().any(|first| *first != firsts[0]), "{firsts:?}");
}

#[test]
fn the_first_entry_is_due_at_once_and_the_others_in_turn() {
    let is_due = |position: usize, now_ms: u64| {
        let mut candidacy = Candidacy::default();
        assert_eq!(candidacy.is_due(ONE, position, 1_000), position == 0);
        candidacy.is_due(ONE, position, now_ms)
    };
    assert!(is_due(0, 1_000));
    assert!(!is_due(2, 1_200));
    assert!(is_due(2, 1_240));
    assert!(is_due(15, 2_900), "fifteen boxes that are down cost less than two seconds");
}

#[test]
fn a_candidate_waits_longer_after_each_failure_until_the_group_has_a_leader() {
    let mut candidacy = Candidacy::default();
    let mut now_ms = 0;
    for wait_ms in [800, 1_600, 3_200, 6_400, 6_400] {
        assert!(candidacy.is_due(ONE, 0, now_ms));
        candidacy.on_attempt(now_ms);
        assert!(!candidacy.is_due(ONE, 0, now_ms + wait_ms - 1));
        now_ms += wait_ms;
    }
    assert!(!candidacy.is_due(NONE, 0, now_ms));
    assert!(candidacy.is_due(ONE, 0, now_ms), "a group that loses its leader later is requested at once");
}

#[test]
fn an_agent_grants_no_lease_during_its_startup_delay_and_none_longer_than_that_delay() {
    let (first, second) = (LeaderId { life: 1 }, LeaderId { life: 2 });
    let mut grant = LeaderGrant::new(800, 0);
    assert!(
        !grant.try_grant(&first, 800, 799),
        "it may have granted the lease to another leader in an earlier incarnation"
    );
    assert!(!grant.try_grant(&first, 801, 800));
    assert!(grant.try_grant(&first, 500, 800));
    assert!(!grant.try_grant(&second, 500, 1_299));
    assert!(grant.try_grant(&second, 500, 1_300), "the grant lasts as long as was requested");
}

#[test]
fn a_box_is_told_only_of_boxes_that_were_learned_since() {
    let mut list = BoxList::default();
    assert!(list.insert("a", record(1, 250, 100)));
    assert!(!list.insert("a", record(1, 250, 100)));
    assert!(list.insert("b", record(2, 250, 100)));
    let known = list.learned_count();
    assert!(list.insert("a", record(3, 250, 100)), "it has moved");
    let told: Vec<(&str, BoxRecord)> = list.learned_since(known).map(|(name, record)| (name, record.clone())).collect();
    assert_eq!(told, [("a", record(3, 250, 100))]);
    assert_eq!(list.learned_since(99).count(), 0);
}

/// Time at which the first entry in the order is due for these groups without a leader, within ten seconds.
fn due_at_ms(leaderless: LeaderlessGroups) -> Option<u64> {
    let mut candidacy = Candidacy::default();
    (0..10_000).find(|now_ms| candidacy.is_due(leaderless, 0, *now_ms))
}

/// After a restart of all boxes no update reports a group, and a leader is needed soon. A single
/// new endpoint of a group that has a leader is found by that leader.
#[test]
fn an_unreported_complete_group_is_requested_sooner_than_a_single_endpoint() {
    let lease_ms = 800;
    let no_group_known = due_at_ms(LeaderlessGroups { ungrouped_endpoints: 1, ..LeaderlessGroups::default() }).unwrap();
    assert!(no_group_known > lease_ms, "agents that have just started grant no lease for that time");
    assert!(no_group_known < 1_000);
    assert_eq!(due_at_ms(LeaderlessGroups { ungrouped_endpoints: SIZE, ..NONE }), Some(no_group_known));
    assert!(due_at_ms(LeaderlessGroups { ungrouped_endpoints: SIZE - 1, ..NONE }).unwrap() >= 2_000);
    assert_eq!(due_at_ms(NONE), None);
}

#[test]
fn as_many_entries_are_due_together_as_groups_have_no_leader() {
    let three = LeaderlessGroups { known: 2, ungrouped_endpoints: SIZE, ..NONE };
    let due = |position: usize, now_ms: u64| {
        let mut candidacy = Candidacy::default();
        candidacy.is_due(three, position, 0);
        candidacy.is_due(three, position, now_ms)
    };
    assert!((0..3).all(|position| due(position, 0)));
    assert!((3..6).all(|position| !due(position, 119) && due(position, 120)));
}
