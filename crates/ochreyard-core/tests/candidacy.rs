//! Which entry leads a group, and when it asks to.

use ochreyard_core::direct::{BoxList, BoxRecord, LeaderlessGroups};
use ochreyard_core::group_map::{Candidacy, LeaderGrant, LeaderId, candidate_position};

/// Ranks of a group.
const SIZE: usize = 12;
/// All groups are led, or one of them by nobody.
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

/// The places of these boxes, each as it sees the others.
fn places(service: &str, boxes: &[(&str, BoxRecord)]) -> Vec<usize> {
    let place = |own: &(&str, BoxRecord)| {
        let mut others = BoxList::default();
        for (name, record) in boxes.iter().filter(|other| other.0 != own.0) {
            others.insert(name, record.clone());
        }
        candidate_position(service, (own.0, &own.1), &others)
    };
    boxes.iter().map(place).collect()
}

#[test]
fn every_box_has_a_place_of_its_own_and_strong_ones_come_first() {
    let boxes = [
        ("a", record(1, 240, 40)),
        ("b", record(2, 500, 200)),
        ("c", record(3, 240, 200)),
        ("d", record(4, 500, 200)),
        ("e", record(5, 240, 40)),
    ];
    let places = places("tiles", &boxes);
    let mut sorted = places.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [0, 1, 2, 3, 4]);
    assert!(places[1].max(places[3]) < places[2], "more cores go first: {places:?}");
    assert!(places[2] < places[0].min(places[4]), "then the wider link: {places:?}");
}

#[test]
fn the_order_of_boxes_alike_differs_from_service_to_service() {
    let names: Vec<String> = (0..9).map(|at| format!("box-{at}")).collect();
    let boxes: Vec<(&str, BoxRecord)> =
        names.iter().enumerate().map(|(at, name)| (name.as_str(), record(at as u16, 250, 100))).collect();
    let firsts = ["s1", "s2", "s3", "s4"].map(|service| places(service, &boxes).iter().position(|place| *place == 0));
    assert!(firsts.iter().any(|first| *first != firsts[0]), "{firsts:?}");
}

#[test]
fn the_first_asks_at_once_and_the_next_ones_in_turn() {
    let is_due = |place: usize, now_ms: u64| {
        let mut candidacy = Candidacy::default();
        assert_eq!(candidacy.is_due(ONE, place, 1_000), place == 0);
        candidacy.is_due(ONE, place, now_ms)
    };
    assert!(is_due(0, 1_000));
    assert!(!is_due(2, 1_200));
    assert!(is_due(2, 1_240));
    assert!(is_due(15, 2_900), "fifteen boxes that are down cost less than two seconds");
}

#[test]
fn whoever_failed_waits_longer_each_time_until_somebody_leads() {
    let mut candidacy = Candidacy::default();
    let mut now_ms = 0;
    for wait_ms in [800, 1_600, 3_200, 6_400, 6_400] {
        assert!(candidacy.is_due(ONE, 0, now_ms));
        candidacy.on_attempt(now_ms);
        assert!(!candidacy.is_due(ONE, 0, now_ms + wait_ms - 1));
        now_ms += wait_ms;
    }
    assert!(!candidacy.is_due(NONE, 0, now_ms));
    assert!(candidacy.is_due(ONE, 0, now_ms), "a group that loses its leader later is asked for at once");
}

#[test]
fn an_agent_grants_nothing_for_longer_than_it_keeps_quiet_after_its_start() {
    let (first, second) = (LeaderId { life: 1 }, LeaderId { life: 2 });
    let mut grant = LeaderGrant::new(800, 0);
    assert!(!grant.try_grant(&first, 800, 799), "it may have granted another one in an earlier life");
    assert!(!grant.try_grant(&first, 801, 800));
    assert!(grant.try_grant(&first, 500, 800));
    assert!(!grant.try_grant(&second, 500, 1_299));
    assert!(grant.try_grant(&second, 500, 1_300), "the grant is as long as it was asked for");
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

/// When the first entry of the order asks where these groups are led by nobody, within ten seconds.
fn asks_at_ms(unled: LeaderlessGroups) -> Option<u64> {
    let mut candidacy = Candidacy::default();
    (0..10_000).find(|now_ms| candidacy.is_due(unled, 0, *now_ms))
}

/// Where all boxes have started anew nobody tells of a group, and a leader is wanted soon; a new
/// endpoint beside a group that is led is found by its leader.
#[test]
fn a_whole_group_of_which_nobody_tells_is_asked_for_sooner_than_one_endpoint() {
    let lease_ms = 800;
    let no_group_known =
        asks_at_ms(LeaderlessGroups { ungrouped_endpoints: 1, ..LeaderlessGroups::default() }).unwrap();
    assert!(no_group_known > lease_ms, "agents that have just started grant nobody for as long");
    assert!(no_group_known < 1_000);
    assert_eq!(asks_at_ms(LeaderlessGroups { ungrouped_endpoints: SIZE, ..NONE }), Some(no_group_known));
    assert!(asks_at_ms(LeaderlessGroups { ungrouped_endpoints: SIZE - 1, ..NONE }).unwrap() >= 2_000);
    assert_eq!(asks_at_ms(NONE), None);
}

#[test]
fn as_many_ask_together_as_groups_are_led_by_nobody() {
    let three = LeaderlessGroups { known: 2, ungrouped_endpoints: SIZE, ..NONE };
    let due = |place: usize, now_ms: u64| {
        let mut candidacy = Candidacy::default();
        candidacy.is_due(three, place, 0);
        candidacy.is_due(three, place, now_ms)
    };
    assert!((0..3).all(|place| due(place, 0)));
    assert!((3..6).all(|place| !due(place, 119) && due(place, 120)));
}
