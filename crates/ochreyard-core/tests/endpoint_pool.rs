//! Selection of endpoints by their load, their failures and the state of their groups.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AttemptOutcome, EndpointChange, EndpointIncarnation, EndpointPool, EndpointRecord, GroupUpdate, PermittedRegions,
    Pick, PickError, RankUpdate, ReporterRole, Urgency,
};
use rstest::rstest;

/// The first incarnation of an endpoint.
fn first_incarnation(id: &str) -> EndpointIncarnation {
    EndpointIncarnation { id: id.to_owned(), started_ms: 0 }
}

/// A pick of an endpoint's first incarnation.
fn pick_of(id: &str, urgency: Urgency) -> Pick {
    Pick { id: id.to_owned(), started_ms: 0, addr: endpoint(1).addr, in_flight: 0, urgency }
}

fn pool(ports: impl IntoIterator<Item = u16>) -> EndpointPool {
    let mut pool = EndpointPool::new();
    ports.into_iter().for_each(|port| pool.apply(EndpointChange::Updated(format!("e{port}"), endpoint(port))));
    pool
}

fn update(is_serving: bool, ports: &[u16], running: u64) -> GroupUpdate {
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
        ..GroupUpdate::default()
    }
}

#[test]
fn the_endpoint_with_the_fewest_own_requests_is_picked() {
    let mut pool = pool([1, 2]);
    pool.on_attempt_start(&pick_of("e1", Urgency::OnTime));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 0).unwrap().id, "e2");
    assert_eq!(pool.pick("tiles", &[first_incarnation("e2")], Urgency::OnTime, 0, 0).unwrap().id, "e1");
    assert_eq!(pool.pick("other", &[], Urgency::OnTime, 0, 0), Err(PickError::NoEndpoint));
}

/// Guards against requests of a new process that wait in buffers of an endpoint whose process is stopped.
#[test]
fn an_endpoint_needs_a_liveness_check_until_it_responds_and_once_it_is_left_as_silent() {
    let mut pool = pool([1, 2]);
    let pick = pick_of("e1", Urgency::OnTime);
    assert!(pool.needs_liveness_check(&pick));
    pool.on_response_bytes("e1", 10);
    assert!(!pool.needs_liveness_check(&pick));
    assert!(pool.needs_liveness_check(&pick_of("e2", Urgency::OnTime)));
    pool.on_left_silent(&pick, 500);
    assert!(pool.needs_liveness_check(&pick));
    pool.on_response_bytes("e1", 600);
    assert!(!pool.needs_liveness_check(&pick));
    pool.apply(EndpointChange::Updated("e1".to_owned(), EndpointRecord { started_ms: 700, ..endpoint(1) }));
    assert!(pool.needs_liveness_check(&Pick { started_ms: 700, ..pick }), "it has started again");
}

/// The leader of a group reports that its ranks run.
#[test]
fn a_rank_needs_no_liveness_check_once_its_leader_reports_it() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&update(true, &[1, 2], 0), 10);
    assert!(!pool.needs_liveness_check(&pick_of("e1", Urgency::OnTime)));
}

/// Guards against requests that are sent to a silent endpoint one after the other, each to wait there in vain.
#[test]
fn a_silent_endpoint_gets_one_request_after_each_backoff_until_it_goes_on() {
    let mut pool = pool([1, 2]);
    let picks_silent_one = |pool: &EndpointPool, now_ms| {
        (0..32).any(|random| pool.pick("tiles", &[], Urgency::OnTime, random, now_ms).is_ok_and(|pick| pick.id == "e1"))
    };
    // The other endpoint is loaded, so that the silent one would be the better choice.
    (0..4).for_each(|_| pool.on_attempt_start(&pick_of("e2", Urgency::OnTime)));
    let silent = pick_of("e1", Urgency::OnTime);
    pool.on_left_silent(&silent, 1_000);
    assert!(!picks_silent_one(&pool, 1_499));
    assert!(picks_silent_one(&pool, 1_500));
    pool.on_attempt_start(&silent);
    assert!(!picks_silent_one(&pool, 1_500));
    pool.on_left_silent(&silent, 2_250);
    pool.on_answered(&silent);
    pool.on_attempt_end(&silent, AttemptOutcome::Unknown, 2_250);
    assert!(!picks_silent_one(&pool, 3_249));
    pool.on_response_bytes("e1", 3_249);
    assert!(picks_silent_one(&pool, 3_249));
}

#[rstest]
#[case::of_2(2)]
#[case::of_12(12)]
#[case::of_99(99)]
fn the_only_untried_endpoint_is_found_for_any_random_number(#[case] count: u16) {
    let pool = pool(1..=count);
    for left in 1..=count {
        let tried: Vec<EndpointIncarnation> =
            (1..=count).filter(|port| *port != left).map(|port| first_incarnation(&format!("e{port}"))).collect();
        let pick = pool.pick("tiles", &tried, Urgency::OnTime, u64::from(left) * 7, 0).unwrap();
        assert_eq!(pick.id, format!("e{left}"));
    }
}

#[rstest]
#[case::of_3(3)]
#[case::of_12(12)]
#[case::of_96(96)]
fn equal_endpoints_are_picked_equally_often(#[case] count: u16) {
    let pool = pool(1..=count);
    let mut times = std::collections::BTreeMap::new();
    let draws = u64::from(count) * 1_000;
    for draw in 0..draws {
        *times.entry(pool.pick("tiles", &[], Urgency::OnTime, draw, 0).unwrap().id).or_insert(0) += 1;
    }
    assert_eq!(times.len(), usize::from(count));
    assert!(
        times.values().all(|times| (800..1_200).contains(times)),
        "each endpoint is picked about a thousand times: {times:?}"
    );
}

/// An endpoint that rejects requests has no load, so its load alone would make it the best choice.
#[test]
fn an_endpoint_that_rejects_requests_is_avoided_for_a_busier_one() {
    let mut pool = pool([1, 2]);
    pool.on_attempt_start(&pick_of("e2", Urgency::OnTime));
    for _ in 0..2 {
        pool.on_attempt_start(&pick_of("e1", Urgency::OnTime));
        pool.on_attempt_end(&pick_of("e1", Urgency::OnTime), AttemptOutcome::Full, 0);
    }
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 0).unwrap().id, "e2");
}

#[test]
fn a_leaving_endpoint_gets_no_more_requests() {
    let mut pool = pool([1]);
    pool.apply(EndpointChange::Updated("e1".into(), EndpointRecord { is_leaving: true, ..endpoint(1) }));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 0), Err(PickError::NoEndpoint));
}

#[test]
fn a_new_endpoint_at_a_known_address_has_no_history() {
    let mut pool = pool([1]);
    pool.on_attempt_start(&pick_of("e1", Urgency::OnTime));
    pool.on_attempt_end(&pick_of("e1", Urgency::OnTime), AttemptOutcome::Unreachable, 0);
    pool.apply(EndpointChange::Removed("e1".into()));
    pool.apply(EndpointChange::Updated("new".into(), endpoint(1)));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).unwrap().id, "new");
}

/// Applies the record of an endpoint that restarted under the same identifier at `started_ms`.
fn restart(pool: &mut EndpointPool, started_ms: u64) {
    pool.apply(EndpointChange::Updated("e1".into(), EndpointRecord { started_ms, ..endpoint(1) }));
}

#[rstest]
#[case::by_a_later_clock(1_000)]
#[case::by_a_lagging_clock(10)]
fn a_restarted_endpoint_has_no_history(#[case] started_ms: u64) {
    let mut pool = EndpointPool::new();
    restart(&mut pool, 500);
    let first = pool.pick("tiles", &[], Urgency::OnTime, 0, 0).unwrap();
    pool.on_attempt_start(&first);
    pool.apply_group_update(&update(true, &[1], 9), 0);
    restart(&mut pool, started_ms);
    let second =
        pool.pick("tiles", &[first.incarnation()], Urgency::OnTime, 0, 1).expect("this incarnation was not tried");
    assert_eq!((second.started_ms, second.in_flight), (started_ms, 0));
}

#[test]
fn an_attempt_at_an_earlier_incarnation_does_not_count_for_the_next() {
    let mut pool = pool([2]);
    restart(&mut pool, 500);
    let first = pool.pick("tiles", &[first_incarnation("e2")], Urgency::OnTime, 0, 0).unwrap();
    pool.on_attempt_start(&first);
    restart(&mut pool, 900);
    let second = pool.pick("tiles", &[first_incarnation("e2")], Urgency::OnTime, 0, 1).unwrap();
    pool.on_attempt_start(&second);
    // If this counted for the new incarnation, it would be ejected and its request would be lost from the count.
    pool.on_attempt_end(&first, AttemptOutcome::Unreachable, 2);
    let again = pool.pick("tiles", &[first_incarnation("e2")], Urgency::OnTime, 0, 3).unwrap();
    assert_eq!(again.in_flight, 1);
    (0..2).for_each(|_| pool.on_attempt_start(&pick_of("e2", Urgency::OnTime)));
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 4).unwrap().id == "e1"));
}

#[test]
fn an_unreachable_endpoint_is_used_only_if_no_other_is_left() {
    let mut pool = pool([1, 2]);
    pool.on_attempt_start(&pick_of("e1", Urgency::OnTime));
    pool.on_attempt_end(&pick_of("e1", Urgency::OnTime), AttemptOutcome::Unreachable, 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 100).unwrap().id == "e2"));
    assert_eq!(pool.pick("tiles", &[first_incarnation("e2")], Urgency::OnTime, 0, 100).unwrap().id, "e1");
}

#[test]
fn a_stalled_group_is_avoided_until_its_leader_is_silent() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&update(false, &[1], 0), 0);
    pool.apply_group_update(&update(true, &[2], 1), 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 100).unwrap().id == "e2"));
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 5_000).unwrap().id == "e1"));
}

#[test]
fn a_group_with_a_faulty_rank_is_avoided_for_a_while() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&update(true, &[1], 0), 0);
    pool.apply_group_update(&update(true, &[2], 1), 0);
    pool.on_group_fault("e1", 10);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 100).unwrap().id, "e2");
    pool.apply_group_update(&update(true, &[1], 0), 700);
    pool.apply_group_update(&update(true, &[2], 1), 700);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 800).unwrap().id, "e1");
}

#[test]
fn a_full_group_is_reported_as_full() {
    let mut pool = pool([1]);
    pool.apply_group_update(&update(true, &[1], 3), 0);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1), Err(PickError::Full));
}

#[test]
fn a_slow_rank_is_used_only_if_no_other_is_left() {
    let mut pool = pool([1, 2]);
    let mut slow = update(true, &[1, 2], 0);
    slow.ranks[0].pace_permille = 4_000;
    pool.apply_group_update(&slow, 0);
    pool.on_attempt_start(&pick_of("e2", Urgency::OnTime));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).unwrap().id, "e2");
    assert_eq!(pool.pick("tiles", &[first_incarnation("e2")], Urgency::OnTime, 0, 1).unwrap().id, "e1");
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 5_000).unwrap().id, "e1");
}

/// Requests that run at a slow rank lengthen every step of its group, so they move away if another rank has capacity.
#[test]
fn requests_move_from_a_slow_rank_to_one_with_capacity() {
    let mut pool = pool([1, 2]);
    let with_paces = |paces: [u64; 2]| {
        let mut update = update(true, &[1, 2], 0);
        update.ranks.iter_mut().zip(paces).for_each(|(rank, pace)| rank.pace_permille = pace);
        update
    };
    pool.apply_group_update(&with_paces([1_000, 1_000]), 0);
    assert!(!pool.should_migrate("e1", &PermittedRegions::ANY, "tiles", &[], 1), "it is not slow");
    pool.apply_group_update(&with_paces([4_000, 1_000]), 100);
    assert!(pool.should_migrate("e1", &PermittedRegions::ANY, "tiles", &[], 101));
    assert!(!pool.should_migrate("e2", &PermittedRegions::ANY, "tiles", &[], 101));
    assert!(
        !pool.should_migrate("e1", &PermittedRegions::ANY, "tiles", &[first_incarnation("e2")], 101),
        "the other one was tried"
    );
    assert!(!pool.should_migrate("e1", &PermittedRegions::ANY, "tiles", &[], 5_000), "the report is too old");
    pool.apply_group_update(&with_paces([4_000, 4_000]), 5_000);
    assert!(!pool.should_migrate("e1", &PermittedRegions::ANY, "tiles", &[], 5_001), "the other one is as slow");
}

#[test]
fn an_endpoint_whose_leader_reports_progress_is_not_silent() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&update(true, &[1], 3), 5_000);
    pool.apply_group_update(&update(false, &[2], 3), 5_000);
    assert!(!pool.is_silent("e1", 1_000, 5_500), "its leader just reported progress");
    assert!(pool.is_silent("e2", 1_000, 5_500), "its group is stalled");
    assert!(pool.is_silent("e1", 1_000, 6_500), "its leader is silent");
}

#[test]
fn boxes_with_the_same_stale_load_pick_different_endpoints() {
    let ports: Vec<u16> = (1..=16).collect();
    let mut pool = pool(ports.iter().copied());
    let mut stale = update(true, &ports, 2);
    stale.ranks[7].running = 0;
    stale.ranks[8].running = 3;
    pool.apply_group_update(&stale, 0);
    let picks: Vec<String> =
        (0..400).map(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 10).unwrap().id).collect();
    let pick_count = |id: &str| picks.iter().filter(|pick| *pick == id).count();
    assert!(
        (40..160).contains(&pick_count("e8")),
        "the least loaded endpoint is preferred, but does not get all requests: {}",
        pick_count("e8")
    );
    assert_eq!(pick_count("e9"), 0, "the most loaded endpoint of a sample is never picked");
}

#[test]
fn the_group_with_shorter_steps_gets_more_requests() {
    let mut pool = pool([1, 2]);
    pool.apply_group_update(&GroupUpdate { step_ms: 100, ..update(true, &[1], 0) }, 0);
    pool.apply_group_update(&GroupUpdate { step_ms: 40, ..update(true, &[2], 1) }, 0);
    let picks = (0..400).map(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 1).unwrap().id);
    let to_faster = picks.filter(|id| id == "e2").count();
    assert!((240..320).contains(&to_faster), "more, but not all, since all boxes see the same report: {to_faster}");
}

#[test]
fn a_service_is_down_only_while_all_its_groups_are_stalled() {
    let mut pool = pool([1, 2]);
    assert!(!pool.is_down("tiles", 0), "no group has been reported yet");
    pool.apply_group_update(&update(false, &[1], 0), 0);
    assert!(!pool.is_down("tiles", 1));
    pool.apply_group_update(&update(false, &[2], 0), 1);
    assert!(pool.is_down("tiles", 2));
    assert!(!pool.is_down("other", 2), "a service without endpoints is not known to be down");
    pool.apply_group_update(&update(true, &[2], 0), 3);
    assert!(!pool.is_down("tiles", 4));
}

#[test]
fn no_endpoint_is_picked_while_all_groups_are_stalled() {
    let mut pool = pool([1, 2]);
    assert_eq!(pool.leaderless_groups("tiles", 0).min_group_size, None);
    pool.apply_group_update(&update(false, &[1, 2], 0), 0);
    assert_eq!(pool.leaderless_groups("tiles", 0).min_group_size, Some(2));
    for urgency in [Urgency::OnTime, Urgency::Late] {
        assert_eq!(pool.pick("tiles", &[], urgency, 0, 1), Err(PickError::Stalled));
    }
    assert!(
        pool.pick("tiles", &[], Urgency::OnTime, 0, 2_000).is_ok(),
        "an old report is ignored, since some request has to probe the group"
    );
    pool.apply_group_update(&update(true, &[1, 2], 0), 2_001);
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 2_002).is_ok());
}

#[test]
fn late_requests_leave_capacity_for_those_that_are_on_time() {
    let mut pool = pool([1]);
    let slots = pool.slots("tiles");
    let max_late = (0..).find(|_| {
        let is_full = pool.pick("tiles", &[], Urgency::Late, 0, 1) == Err(PickError::Full);
        if !is_full {
            pool.on_attempt_start(&pick_of("e1", Urgency::Late));
        }
        is_full
    });
    assert_eq!(max_late, Some(pool.late_in_flight("tiles")));
    assert!(pool.late_in_flight("tiles") >= slots / 2);
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).is_ok());
    pool.on_attempt_end(&pick_of("e1", Urgency::Late), AttemptOutcome::Success, 2);
    assert!(pool.pick("tiles", &[], Urgency::Late, 0, 2).is_ok());
}

#[test]
fn a_group_is_leaderless_once_its_leader_is_silent_or_has_stepped_down() {
    let mut pool = pool([1, 2]);
    assert_eq!(pool.leaderless_groups("tiles", 0).ungrouped_endpoints, 2);
    pool.apply_group_update(&update(true, &[1, 2], 0), 0);
    assert_eq!(pool.leaderless_groups("tiles", 0).ungrouped_endpoints, 0);
    assert!(pool.leaderless_groups("tiles", 899).known == 0);
    assert!(pool.leaderless_groups("tiles", 900).known == 1, "no report for longer than a lease");
    pool.apply_group_update(&update(true, &[1, 2], 0), 1_000);
    pool.apply_group_update(&GroupUpdate { reporter_role: ReporterRole::StoodDown, ..update(true, &[1], 0) }, 1_001);
    assert!(pool.is_group_leaderless("tiles", "g1", 1_001));
}

#[test]
fn an_observer_counts_only_without_a_leader() {
    let mut pool = pool([1]);
    let observed = GroupUpdate { reporter_role: ReporterRole::Observes, ..update(false, &[1], 0) };
    pool.apply_group_update(&update(true, &[1], 0), 0);
    pool.apply_group_update(&observed, 500);
    assert!(!pool.is_down("tiles", 500), "the leader has a better view of the group");
    pool.apply_group_update(&observed, 1_000);
    assert!(pool.is_down("tiles", 1_000));
    assert!(pool.leaderless_groups("tiles", 1_500).known == 0, "an observer checks whether the group can be led");
    assert!(pool.leaderless_groups("tiles", 1_900).known == 1);
}

#[test]
fn a_group_without_reports_is_used() {
    let pool = pool([1, 2]);
    assert!(!pool.is_down("tiles", 60_000));
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 1, 60_000).is_ok());
}

/// A rank that restarts under a new identifier belongs to no group until its leader reports it. Until its group has
/// formed it rejects all requests, and it looks idle, so all waiting requests would be sent to it.
#[test]
fn an_ungrouped_endpoint_that_appears_while_a_group_is_stalled_is_not_used_until_the_group_resumes() {
    let mut pool = pool([1]);
    pool.apply_group_update(&update(true, &[1], 3), 0);
    pool.apply_group_update(&update(false, &[1], 3), 10);
    pool.apply(EndpointChange::Updated("e2".into(), endpoint(2)));
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 20), Err(PickError::Stalled));
    pool.apply_group_update(&update(true, &[1], 1), 30);
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 40).unwrap().id == "e2"));
    pool.apply_group_update(&update(false, &[1], 3), 50);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 60).unwrap().id, "e2", "it was known before this stall");
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 5_000).is_ok(), "its leader is silent");
}

/// The leader of a group reports the stall more than half a second after a crash. An entry that saw a connection break
/// knows at once.
#[test]
fn a_group_is_avoided_immediately_after_a_rank_crashes() {
    let mut pool = pool([1, 2, 3]);
    pool.apply_group_update(&update(true, &[1, 2], 0), 0);
    pool.on_crash("e1", 100);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 101).unwrap().id == "e3"));
    pool.apply_group_update(&update(true, &[1, 2], 0), 300);
    assert!(
        (0..20).all(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 301).unwrap().id == "e3"),
        "the report was made before the crash was known"
    );
    pool.apply_group_update(&update(true, &[1, 2], 0), 1_200);
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, 1_201).unwrap().id == "e2"));
}
