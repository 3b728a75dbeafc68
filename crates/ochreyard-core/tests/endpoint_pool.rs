//! Which endpoint an entry picks, by what it knows of them and of their groups.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AllowedRegions, AttemptOutcome, EndpointChange, EndpointIncarnation, EndpointPool, EndpointRecord, GroupUpdate,
    Pick, PickError, RankUpdate, ReporterRole, Urgency,
};
use rstest::rstest;

/// The first life of an endpoint.
fn life(id: &str) -> EndpointIncarnation {
    EndpointIncarnation { id: id.to_owned(), started_ms: 0 }
}

/// An endpoint in its first life, as it would be picked.
fn picked(id: &str, urgency: Urgency) -> Pick {
    Pick { id: id.to_owned(), started_ms: 0, addr: endpoint(1).addr, in_flight: 0, urgency }
}

fn pool(ports: impl IntoIterator<Item = u16>) -> EndpointPool {
    let mut pool = EndpointPool::new();
    ports.into_iter().for_each(|port| pool.apply(EndpointChange::Updated(format!("e{port}"), endpoint(port))));
    pool
}

fn news(is_serving: bool, ports: &[u16], running: u64) -> GroupUpdate {
    let ranks = ports
        .iter()
        .map(|port| RankUpdate { endpoint: format!("e{port}"), running, waiting: 0, pace_permille: 1_000 })
        .collect();
    GroupUpdate {
        service: "tiles".into(),
        group: format!("g{}", ports[0]),
        reporter_role: ReporterRole::Leads,
        is_serving,
        step_ms: 0,
        ranks,
        loads: None,
    }
}

#[test]
fn the_endpoint_with_least_of_our_own_requests_is_picked() {
    let mut pool = pool([1, 2]);
    pool.on_attempt_start(&picked("e1", Urgency::OnTime));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 0).unwrap().id, "e2");
    assert_eq!(pool.pick("tiles", &[life("e2")], Urgency::OnTime, 0, 0).unwrap().id, "e1");
    assert_eq!(pool.pick("other", &[], Urgency::OnTime, 0, 0), Err(PickError::Nobody));
}

#[rstest]
#[case::of_2(2)]
#[case::of_12(12)]
#[case::of_99(99)]
fn whatever_is_drawn_the_only_endpoint_that_is_left_is_found(#[case] count: u16) {
    let pool = pool(1..=count);
    for left in 1..=count {
        let tried: Vec<EndpointIncarnation> =
            (1..=count).filter(|at| *at != left).map(|at| life(&format!("e{at}"))).collect();
        let picked = pool.pick("tiles", &tried, Urgency::OnTime, u64::from(left) * 7, 0).unwrap();
        assert_eq!(picked.id, format!("e{left}"));
    }
}

#[rstest]
#[case::of_3(3)]
#[case::of_12(12)]
#[case::of_96(96)]
fn endpoints_that_are_alike_are_picked_alike(#[case] count: u16) {
    let pool = pool(1..=count);
    let mut times = std::collections::BTreeMap::new();
    let draws = u64::from(count) * 1_000;
    for draw in 0..draws {
        *times.entry(pool.pick("tiles", &[], Urgency::OnTime, draw, 0).unwrap().id).or_insert(0) += 1;
    }
    assert_eq!(times.len(), usize::from(count));
    assert!(times.values().all(|times| (800..1_200).contains(times)), "each of about a thousand times: {times:?}");
}

/// What refuses runs nothing: by its load alone it would be the best of all.
#[test]
fn an_endpoint_that_refuses_is_passed_over_for_one_that_has_work() {
    let mut pool = pool([1, 2]);
    pool.on_attempt_start(&picked("e2", Urgency::OnTime));
    for _ in 0..2 {
        pool.on_attempt_start(&picked("e1", Urgency::OnTime));
        pool.on_attempt_end(&picked("e1", Urgency::OnTime), AttemptOutcome::Full, 0);
    }
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 0).unwrap().id, "e2");
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_more() {
    let mut pool = pool([1]);
    pool.apply(EndpointChange::Updated("e1".into(), EndpointRecord { is_leaving: true, ..endpoint(1) }));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 0), Err(PickError::Nobody));
}

#[test]
fn an_address_that_passed_to_another_endpoint_keeps_no_history() {
    let mut pool = pool([1]);
    pool.on_attempt_start(&picked("e1", Urgency::OnTime));
    pool.on_attempt_end(&picked("e1", Urgency::OnTime), AttemptOutcome::Unreachable, 0);
    pool.apply(EndpointChange::Removed("e1".into()));
    pool.apply(EndpointChange::Updated("new".into(), endpoint(1)));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).unwrap().id, "new");
}

/// An endpoint that starts again under its identifier: its record tells when it did.
fn start_again(pool: &mut EndpointPool, started_ms: u64) {
    pool.apply(EndpointChange::Updated("e1".into(), EndpointRecord { started_ms, ..endpoint(1) }));
}

#[rstest]
#[case::later(1_000)]
#[case::by_a_clock_that_is_behind(10)]
fn an_endpoint_that_starts_again_keeps_no_history(#[case] born_ms: u64) {
    let mut pool = EndpointPool::new();
    start_again(&mut pool, 500);
    let first = pool.pick("tiles", &[], Urgency::OnTime, 0, 0).unwrap();
    pool.on_attempt_start(&first);
    pool.apply_group_update(&news(true, &[1], 9), 0);
    start_again(&mut pool, born_ms);
    let second =
        pool.pick("tiles", &[first.incarnation()], Urgency::OnTime, 0, 1).expect("it was not tried in this life");
    assert_eq!((second.started_ms, second.in_flight), (born_ms, 0));
}

#[test]
fn what_ends_late_of_a_life_before_says_nothing_of_the_next_one() {
    let mut pool = pool([2]);
    start_again(&mut pool, 500);
    let first = pool.pick("tiles", &[life("e2")], Urgency::OnTime, 0, 0).unwrap();
    pool.on_attempt_start(&first);
    start_again(&mut pool, 900);
    let second = pool.pick("tiles", &[life("e2")], Urgency::OnTime, 0, 1).unwrap();
    pool.on_attempt_start(&second);
    // Counted against the new life, this would set it aside, and forget its request.
    pool.on_attempt_end(&first, AttemptOutcome::Unreachable, 2);
    let again = pool.pick("tiles", &[life("e2")], Urgency::OnTime, 0, 3).unwrap();
    assert_eq!(again.in_flight, 1);
    (0..2).for_each(|_| pool.on_attempt_start(&picked("e2", Urgency::OnTime)));
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 4).unwrap().id == "e1"));
}

#[test]
fn one_that_cannot_be_reached_is_set_aside_but_used_where_no_other_is_left() {
    let mut pool = pool([1, 2]);
    pool.on_attempt_start(&picked("e1", Urgency::OnTime));
    pool.on_attempt_end(&picked("e1", Urgency::OnTime), AttemptOutcome::Unreachable, 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 100).unwrap().id == "e2"));
    assert_eq!(pool.pick("tiles", &[life("e2")], Urgency::OnTime, 0, 100).unwrap().id, "e1");
}

#[test]
fn a_group_that_stands_is_passed_over_until_its_leader_falls_silent() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&news(false, &[1], 0), 0);
    pool.apply_group_update(&news(true, &[2], 1), 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 100).unwrap().id == "e2"));
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 5_000).unwrap().id == "e1"));
}

#[test]
fn a_rank_at_fault_takes_its_group_out_for_a_while() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&news(true, &[1], 0), 0);
    pool.apply_group_update(&news(true, &[2], 1), 0);
    pool.on_group_fault("e1", 10);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 100).unwrap().id, "e2");
    pool.apply_group_update(&news(true, &[1], 0), 700);
    pool.apply_group_update(&news(true, &[2], 1), 700);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 800).unwrap().id, "e1");
}

#[test]
fn a_full_group_is_said_to_be_full() {
    let mut pool = pool([1]);
    pool.apply_group_update(&news(true, &[1], 3), 0);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1), Err(PickError::Full));
}

#[test]
fn a_slow_rank_gets_requests_only_where_no_other_is_left() {
    let mut pool = pool([1, 2]);
    let mut slow = news(true, &[1, 2], 0);
    slow.ranks[0].pace_permille = 4_000;
    pool.apply_group_update(&slow, 0);
    pool.on_attempt_start(&picked("e2", Urgency::OnTime));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).unwrap().id, "e2");
    assert_eq!(pool.pick("tiles", &[life("e2")], Urgency::OnTime, 0, 1).unwrap().id, "e1");
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 5_000).unwrap().id, "e1");
}

/// The requests that run at a slow rank make every step of its group longer: they leave it, as
/// long as there is a better place for them.
#[test]
fn requests_leave_a_slow_rank_where_another_one_has_room() {
    let mut pool = pool([1, 2]);
    let with_paces = |paces: [u64; 2]| {
        let mut news = news(true, &[1, 2], 0);
        news.ranks.iter_mut().zip(paces).for_each(|(rank, pace)| rank.pace_permille = pace);
        news
    };
    pool.apply_group_update(&with_paces([1_000, 1_000]), 0);
    assert!(!pool.should_migrate("e1", &AllowedRegions::ANY, "tiles", &[], 1), "it is not slow");
    pool.apply_group_update(&with_paces([4_000, 1_000]), 100);
    assert!(pool.should_migrate("e1", &AllowedRegions::ANY, "tiles", &[], 101));
    assert!(!pool.should_migrate("e2", &AllowedRegions::ANY, "tiles", &[], 101));
    assert!(!pool.should_migrate("e1", &AllowedRegions::ANY, "tiles", &[life("e2")], 101), "the other one was tried");
    assert!(!pool.should_migrate("e1", &AllowedRegions::ANY, "tiles", &[], 5_000), "what was told is old");
    pool.apply_group_update(&with_paces([4_000, 4_000]), 5_000);
    assert!(!pool.should_migrate("e1", &AllowedRegions::ANY, "tiles", &[], 5_001), "the other one is as slow");
}

#[test]
fn an_endpoint_whose_leader_told_that_it_goes_on_is_not_silent() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&news(true, &[1], 3), 5_000);
    pool.apply_group_update(&news(false, &[2], 3), 5_000);
    assert!(!pool.is_silent("e1", 1_000, 5_500), "its leader saw its step go on just now");
    assert!(pool.is_silent("e2", 1_000, 5_500), "its group stands");
    assert!(pool.is_silent("e1", 1_000, 6_500), "its leader has fallen silent");
}

#[test]
fn boxes_that_know_the_same_old_load_do_not_all_pick_the_same_endpoint() {
    let ports: Vec<u16> = (1..=16).collect();
    let mut pool = pool(ports.iter().copied());
    let mut told = news(true, &ports, 2);
    told.ranks[7].running = 0;
    told.ranks[8].running = 3;
    pool.apply_group_update(&told, 0);
    let picks: Vec<String> =
        (0..400).map(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 10).unwrap().id).collect();
    let at = |id: &str| picks.iter().filter(|pick| *pick == id).count();
    assert!((40..160).contains(&at("e8")), "the least loaded is preferred, not flooded: {}", at("e8"));
    assert_eq!(at("e9"), 0, "the most loaded of a draw is never picked");
}

#[test]
fn of_two_groups_the_one_with_shorter_steps_gets_more() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&GroupUpdate { step_ms: 100, ..news(true, &[1], 0) }, 0);
    pool.apply_group_update(&GroupUpdate { step_ms: 40, ..news(true, &[2], 1) }, 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 1).unwrap().id == "e2"));
}

#[test]
fn a_service_is_down_only_while_none_of_its_groups_goes_on() {
    let mut pool = pool([1, 2]);
    assert!(!pool.is_down("tiles", 0), "nobody told of a group yet");
    pool.apply_group_update(&news(false, &[1], 0), 0);
    assert!(!pool.is_down("tiles", 1));
    pool.apply_group_update(&news(false, &[2], 0), 1);
    assert!(pool.is_down("tiles", 2));
    assert!(!pool.is_down("other", 2), "a service without endpoints is not known to be down");
    pool.apply_group_update(&news(true, &[2], 0), 3);
    assert!(!pool.is_down("tiles", 4));
}

#[test]
fn nothing_is_sent_to_a_service_whose_groups_all_stand() {
    let mut pool = pool([1, 2]);
    assert_eq!(pool.leaderless_groups("tiles", 0).min_group_size, None);
    pool.apply_group_update(&news(false, &[1, 2], 0), 0);
    assert_eq!(pool.leaderless_groups("tiles", 0).min_group_size, Some(2));
    for urgency in [Urgency::OnTime, Urgency::Late] {
        assert_eq!(pool.pick("tiles", &[], urgency, 0, 1), Err(PickError::Stands));
    }
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 2_000).is_ok(), "old news say nothing: somebody has to try");
    pool.apply_group_update(&news(true, &[1, 2], 0), 2_001);
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 2_002).is_ok());
}

#[test]
fn requests_that_are_late_leave_places_to_those_in_their_aim() {
    let mut pool = pool([1]);
    let slots = pool.slots("tiles");
    let most = (0..).find(|_| {
        let is_full = pool.pick("tiles", &[], Urgency::Late, 0, 1) == Err(PickError::Full);
        if !is_full {
            pool.on_attempt_start(&picked("e1", Urgency::Late));
        }
        is_full
    });
    assert_eq!(most, Some(pool.late_in_flight("tiles")));
    assert!(pool.late_in_flight("tiles") >= slots / 2);
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).is_ok());
    pool.on_attempt_end(&picked("e1", Urgency::Late), AttemptOutcome::Success, 2);
    assert!(pool.pick("tiles", &[], Urgency::Late, 0, 2).is_ok());
}

#[test]
fn a_group_is_unled_once_its_leader_is_silent_or_has_stood_down() {
    let mut pool = pool([1, 2]);
    assert_eq!(pool.leaderless_groups("tiles", 0).ungrouped_endpoints, 2);
    pool.apply_group_update(&news(true, &[1, 2], 0), 0);
    assert_eq!(pool.leaderless_groups("tiles", 0).ungrouped_endpoints, 0);
    assert!(pool.leaderless_groups("tiles", 899).known == 0);
    assert!(pool.leaderless_groups("tiles", 900).known == 1, "well after a lease without a word");
    pool.apply_group_update(&news(true, &[1, 2], 0), 1_000);
    pool.apply_group_update(&GroupUpdate { reporter_role: ReporterRole::StoodDown, ..news(true, &[1], 0) }, 1_001);
    assert!(pool.is_group_leaderless("tiles", "g1", 1_001));
}

#[test]
fn an_observer_counts_only_where_nobody_leads() {
    let mut pool = pool([1]);
    let observed = GroupUpdate { reporter_role: ReporterRole::Observes, ..news(false, &[1], 0) };
    pool.apply_group_update(&news(true, &[1], 0), 0);
    pool.apply_group_update(&observed, 500);
    assert!(!pool.is_down("tiles", 500), "the leader sees more of the group");
    pool.apply_group_update(&observed, 1_000);
    assert!(pool.is_down("tiles", 1_000));
    assert!(pool.leaderless_groups("tiles", 1_500).known == 0, "one entry watches whether it can be led");
    assert!(pool.leaderless_groups("tiles", 1_900).known == 1);
}

#[test]
fn a_group_that_nobody_tells_of_is_served() {
    let pool = pool([1, 2]);
    assert!(!pool.is_down("tiles", 60_000));
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 1, 60_000).is_ok());
}

/// A rank that starts again under a new identifier is in no group until its leader tells of it. Before its group has
/// formed it rejects whatever it is sent, and it looks idle, so all that waits would be sent there.
#[test]
fn an_endpoint_without_a_group_that_came_while_a_group_stands_is_not_used_until_that_goes_on() {
    let mut pool = pool([1]);
    pool.apply_group_update(&news(true, &[1], 3), 0);
    pool.apply_group_update(&news(false, &[1], 3), 10);
    pool.apply(EndpointChange::Updated("e2".into(), endpoint(2)));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 20), Err(PickError::Stands));
    pool.apply_group_update(&news(true, &[1], 1), 30);
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 40).unwrap().id == "e2"));
    pool.apply_group_update(&news(false, &[1], 3), 50);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 60).unwrap().id, "e2", "it was there before this stand");
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 5_000).is_ok(), "its leader has fallen silent");
}

/// The leader of a group tells more than half a second after a crash that it stands; an entry that saw a
/// connection break knows at once.
#[test]
fn a_group_one_of_whose_ranks_crashed_is_passed_over_at_once() {
    let mut pool = pool([1, 2, 3]);
    pool.apply_group_update(&news(true, &[1, 2], 0), 0);
    pool.on_crash("e1", 100);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 101).unwrap().id == "e3"));
    pool.apply_group_update(&news(true, &[1, 2], 0), 300);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 301).unwrap().id == "e3"), "old word");
    pool.apply_group_update(&news(true, &[1, 2], 0), 1_200);
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 1_201).unwrap().id == "e2"));
}
