//! Admission of requests to groups with a stream limit.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    Admission, AdmissionShare, Arrival, AttemptOutcome, DispatchDecision, EndpointChange, EndpointPool, EndpointRecord,
    GroupRunning, GroupUpdate, PendingRequest, PermittedRegions, Pick, PickError, PickRequest, Priority, PriorityLevel,
    RankUpdate, ReporterRole, ServiceQueue, Urgency,
};
use rstest::rstest;

const SERVICE: &str = "tiles";
/// The limit of each group, of 20 slots at two ranks.
const LIMIT: u64 = 10;
/// Draws that stand for all random numbers.
const DRAWS: std::ops::Range<u64> = 0..400;

/// A pool with groups `g0`, `g1`, … of two ranks with ten slots each, and a report on each at time 0.
fn pool(running: &[u64], stream_limit: Option<u64>) -> EndpointPool {
    let mut pool = EndpointPool::new();
    for (group, running) in running.iter().enumerate() {
        for rank in 0..2 {
            let record = EndpointRecord { slots: 10, ..endpoint(1) };
            pool.apply(EndpointChange::Updated(endpoint_id(group, rank), record));
        }
        pool.apply_group_update(&update(group, *running, stream_limit), 0);
    }
    pool
}

fn endpoint_id(group: usize, rank: usize) -> String {
    format!("g{group}-{rank}")
}

fn update(group: usize, running: u64, stream_limit: Option<u64>) -> GroupUpdate {
    let rank_update = |rank: usize| RankUpdate {
        endpoint: endpoint_id(group, rank),
        running: if rank == 0 { running.div_ceil(2) } else { running / 2 },
        waiting: 0,
        pace_permille: 1_000,
    };
    GroupUpdate {
        service: SERVICE.to_owned(),
        group: format!("g{group}"),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        step_ms: 70,
        ranks: (0..2).map(rank_update).collect(),
        stream_limit,
        ..GroupUpdate::default()
    }
}

fn request(level: PriorityLevel, draw: u64) -> PickRequest<'static> {
    PickRequest {
        service: SERVICE,
        permitted_regions: &PermittedRegions::ANY,
        tried: &[],
        urgency: Urgency::OnTime,
        level,
        admission: Admission::Drawn(draw),
    }
}

const fn level(index: usize) -> PriorityLevel {
    PriorityLevel { index, count: 3 }
}

/// The share of draws with which a request is admitted.
fn admitted(pool: &EndpointPool, level: PriorityLevel, urgency: Urgency, now_ms: u64) -> f64 {
    let is_admitted = |draw: &u64| {
        let request = PickRequest { urgency, ..request(level, *draw) };
        pool.pick_for(&request, *draw, now_ms).is_ok()
    };
    DRAWS.filter(is_admitted).count() as f64 / DRAWS.end as f64
}

fn pending(level: PriorityLevel, may_have_run: bool) -> PendingRequest<'static> {
    PendingRequest {
        service: SERVICE,
        permitted_regions: &PermittedRegions::ANY,
        tried: &[],
        workspace: None,
        work_tokens: 1,
        may_have_run,
        priority: Priority::new(level.index as u64),
        level,
        arrival: Arrival { on_time_until_ms: 200, is_caller_retry: false },
        deadline_ms: 8_000,
        silent_since_ms: 0,
        target_latency_ms: 400,
        patience_ms: Some(2_000),
        ticket: None,
    }
}

/// Guards against a less urgent level that takes room while a more urgent one is refused.
#[test]
fn less_urgent_levels_are_stopped_first() {
    for running in 0..=12 {
        let pool = pool(&[running], Some(LIMIT));
        let shares: Vec<f64> = (0..3).map(|at| admitted(&pool, level(at), Urgency::OnTime, 0)).collect();
        assert!(shares.is_sorted_by(|more, less| more >= less), "{running} running: {shares:?}");
    }
}

/// Guards against a level that is starved below its lower bound, or admitted over its upper one.
#[rstest]
#[case::most_urgent(level(0))]
#[case::between(level(1))]
#[case::least_urgent(level(2))]
#[case::single_level(PriorityLevel::SINGLE)]
fn each_level_is_admitted_below_its_lower_bound_and_not_above_its_upper_one(#[case] level: PriorityLevel) {
    let share = AdmissionShare::new(Urgency::OnTime, level);
    let limit = 1_000;
    let admitted = |running: f64| {
        let running = (running * limit as f64) as u64;
        DRAWS.filter(|draw| share.admits(running, limit, *draw)).count() as f64 / DRAWS.end as f64
    };
    assert_eq!(admitted(share.lower - 0.001), 1.0);
    assert_eq!(admitted(share.upper), 0.0);
    let halfway = admitted((share.lower + share.upper) / 2.0);
    assert!((0.4..0.6).contains(&halfway), "{halfway}");
}

/// Guards against a service with one priority that is treated as the least urgent level.
#[test]
fn a_single_level_has_the_bounds_of_the_most_urgent_one() {
    assert_eq!(
        AdmissionShare::new(Urgency::OnTime, PriorityLevel::SINGLE),
        AdmissionShare::new(Urgency::OnTime, level(0))
    );
}

/// Guards against late requests that take the room of those that can be on time.
#[test]
fn late_requests_get_what_the_limit_leaves() {
    let pool = pool(&[9], Some(LIMIT));
    assert_eq!(admitted(&pool, level(0), Urgency::Late, 0), 0.0);
    assert_eq!(admitted(&pool, level(0), Urgency::OnTime, 0), 1.0);
}

/// Guards against a request that waits although another group of the service has room.
#[test]
fn a_request_that_one_group_does_not_admit_goes_to_another_one() {
    let pool = pool(&[12, 3], Some(LIMIT));
    for draw in DRAWS {
        let pick = pool.pick_for(&request(level(2), draw), draw, 0).unwrap();
        assert!(pick.id.starts_with("g1-"), "{}", pick.id);
    }
}

/// Guards against a full service that is taken for a stalled one, whose requests wait or are refused by other rules.
#[test]
fn a_service_with_all_groups_at_their_limit_is_full_and_not_down() {
    let pool = pool(&[12, 12], Some(LIMIT));
    assert_eq!(pool.pick_for(&request(level(0), 0), 0, 0), Err(PickError::Full));
    assert!(!pool.is_down(SERVICE, 0));
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_600);
    let decision = queue.decide(&pool, 1, &pending(level(0), false), 0, 0);
    assert!(matches!(decision, DispatchDecision::Wait(facts) if facts.pick_error == PickError::Full), "{decision:?}");
}

/// Guards against a box that sends until the next report as if it had sent nothing since the last one.
#[test]
fn what_this_box_sent_and_finished_since_the_report_counts() {
    let mut pool = pool(&[8], Some(LIMIT));
    let sent: Vec<Pick> = (0..20).map_while(|draw| send(&mut pool, draw)).collect();
    assert!((2..=3).contains(&sent.len()), "{}", sent.len());
    for pick in &sent {
        pool.on_attempt_end(pick, AttemptOutcome::Success, 10);
    }
    assert_eq!(running(&pool, 10), GroupRunning { running: 8, stream_limit: Some(LIMIT) });
    assert!(send(&mut pool, 0).is_some());
    // A new report contains what was sent before it.
    pool.apply_group_update(&update(0, 9, Some(LIMIT)), 20);
    assert_eq!(running(&pool, 20).running, 9);
}

fn send(pool: &mut EndpointPool, draw: u64) -> Option<Pick> {
    let pick = pool.pick_for(&request(PriorityLevel::SINGLE, draw), draw, 0).ok()?;
    pool.on_attempt_start(&pick);
    Some(pick)
}

fn running(pool: &EndpointPool, now_ms: u64) -> GroupRunning {
    let (name, running) = pool.group_running(SERVICE, now_ms).next().expect("there is a group");
    assert_eq!(name, "g0");
    running
}

/// Guards against a limit that outlives its leader: one that is gone, frozen or cut off sends no reports.
#[test]
fn without_reports_the_limit_ends_with_the_life_of_the_last_one() {
    let pool = pool(&[12], Some(LIMIT));
    assert_eq!(admitted(&pool, level(2), Urgency::OnTime, 1_499), 0.0);
    assert_eq!(admitted(&pool, level(2), Urgency::OnTime, 1_500), 1.0);
}

/// Guards against a limit that stays after the leader has none any more: a new epoch, a leader of the version before,
/// a malformed limit.
#[rstest]
#[case::none(None)]
#[case::zero(Some(0))]
fn a_report_without_a_limit_ends_it_at_once(#[case] stream_limit: Option<u64>) {
    let mut pool = pool(&[12], Some(LIMIT));
    pool.apply_group_update(&update(0, 12, stream_limit), 100);
    assert_eq!(admitted(&pool, level(2), Urgency::OnTime, 100), 1.0);
}

/// Guards against an observer or a leader that stands down and thereby ends the limit of a group that is led.
#[rstest]
#[case::observer(ReporterRole::Observes)]
#[case::stood_down(ReporterRole::StoodDown)]
fn reports_that_do_not_count_leave_the_limit(#[case] reporter_role: ReporterRole) {
    let mut pool = pool(&[12], Some(LIMIT));
    pool.apply_group_update(&GroupUpdate { reporter_role, ..update(0, 0, None) }, 100);
    assert_eq!(admitted(&pool, level(2), Urgency::OnTime, 100), 0.0);
}

/// Guards against a plain service that is limited by the groups of another one.
#[test]
fn a_plain_service_beside_a_group_at_its_limit_is_unaffected() {
    let mut pool = pool(&[12], Some(1));
    pool.apply(EndpointChange::Updated("plain".to_owned(), EndpointRecord { service: "ledger".into(), ..endpoint(2) }));
    for draw in DRAWS {
        assert!(pool.pick("ledger", &[], Urgency::OnTime, draw, 0).is_ok());
    }
}

/// Guards against a stream that broke off and then waits behind the limit, although it is one of the running ones.
#[test]
fn a_request_that_may_have_run_is_placed_above_the_limit() {
    let pool = pool(&[12], Some(LIMIT));
    let mut queue = ServiceQueue::default();
    let decision = queue.decide(&pool, 1, &pending(level(2), true), 0, 0);
    assert!(matches!(decision, DispatchDecision::Send(_)), "{decision:?}");
    let decision = queue.decide(&pool, 1, &pending(level(2), false), 0, 0);
    assert!(!matches!(decision, DispatchDecision::Send(_)), "{decision:?}");
}

/// Guards against requests that stay at a slow rank since the group is at its limit: there they lengthen its steps more.
#[test]
fn requests_move_off_a_slow_rank_above_the_limit() {
    let mut pool = pool(&[12], Some(LIMIT));
    let mut slow = update(0, 12, Some(LIMIT));
    slow.ranks[0].pace_permille = 4_000;
    pool.apply_group_update(&slow, 100);
    assert!(pool.should_migrate(&endpoint_id(0, 0), &PermittedRegions::ANY, SERVICE, &[], 100));
}

/// Guards against requests that wait while their group runs fewer than the lower bound of their level.
#[test]
fn nothing_waits_below_the_lower_bound() {
    for index in 0..3 {
        let lower = AdmissionShare::new(Urgency::OnTime, level(index)).lower;
        let running = (lower * LIMIT as f64).ceil() as u64 - 1;
        let pool = pool(&[running], Some(LIMIT));
        for draw in DRAWS {
            let decision = ServiceQueue::default().decide(&pool, 99, &pending(level(index), false), draw, 0);
            assert!(matches!(decision, DispatchDecision::Send(_)), "level {index}: {decision:?}");
        }
    }
}

/// Guards against a waiting request that is admitted by the number of its attempts: it looks for an endpoint every 10 ms,
/// and draws once for each report.
#[test]
fn a_waiting_request_draws_once_for_each_report() {
    let mut decisions_differ = 0;
    for draw in DRAWS {
        let mut pool = pool(&[10], Some(LIMIT));
        let mut queue = ServiceQueue::default();
        queue.service_time.record(1_600);
        let ticket = Some(queue.wait_queue.join(&pending(level(0), false)));
        let waiting = PendingRequest { ticket, ..pending(level(0), false) };
        let mut is_sent = |pool: &EndpointPool, attempt: u64| {
            matches!(queue.decide(pool, 1, &waiting, draw * 100 + attempt, 0), DispatchDecision::Send(_))
        };
        let first = is_sent(&pool, 0);
        assert!((1..10).all(|attempt| is_sent(&pool, attempt) == first), "the same for all attempts");
        pool.apply_group_update(&update(0, 10, Some(LIMIT)), 0);
        decisions_differ += u64::from(is_sent(&pool, 10) != first);
    }
    assert!((DRAWS.end / 4..DRAWS.end * 3 / 4).contains(&decisions_differ), "{decisions_differ}");
}

/// Guards against updates that a box of the version before cannot read, or that this box cannot read from one, or from a
/// box of the next version.
#[test]
fn updates_are_read_by_and_from_boxes_of_the_versions_before_and_after() {
    /// The fields of an update before there was a stream limit.
    #[derive(serde::Serialize, serde::Deserialize)]
    struct EarlierUpdate {
        service: String,
        group: String,
        teller: ReporterRole,
        is_serving: bool,
        step_ms: u64,
        ranks: Vec<RankUpdate>,
    }
    let now = serde_json::to_string(&update(0, 12, Some(LIMIT))).unwrap();
    let earlier: EarlierUpdate = serde_json::from_str(&now).unwrap();
    assert_eq!(earlier.ranks, update(0, 12, None).ranks);
    let from_earlier: GroupUpdate = serde_json::from_str(&serde_json::to_string(&earlier).unwrap()).unwrap();
    assert_eq!(from_earlier, update(0, 12, None));
    assert_eq!(serde_json::from_str::<GroupUpdate>(&now).unwrap(), update(0, 12, Some(LIMIT)));
    let next = now.replacen('{', "{\"added_later\":7,", 1);
    assert_eq!(serde_json::from_str::<GroupUpdate>(&next).unwrap(), update(0, 12, Some(LIMIT)));
    let without = serde_json::to_string(&update(0, 12, None)).unwrap();
    assert!(!without.contains("stream_limit"), "a group without a limit sends what it sent before");
}

/// Guards against most reports lacking the limit and the running requests: names are sent every 3 s.
#[test]
fn an_update_without_names_has_the_limit_and_the_running_requests() {
    let unnamed = update(0, 13, Some(LIMIT)).without_names();
    assert_eq!(unnamed.stream_limit, Some(LIMIT));
    assert_eq!(unnamed.requests(), 13);
    let mut pool = pool(&[0], None);
    pool.apply_group_update(&unnamed, 100);
    assert_eq!(running(&pool, 100), GroupRunning { running: 13, stream_limit: Some(LIMIT) });
    assert_eq!(admitted(&pool, level(0), Urgency::OnTime, 100), 0.0);
}

/// Guards against groups that take turns: when all boxes sent to the group with the least load by the last report, it
/// got all requests until the next one.
#[test]
fn requests_are_spread_over_groups_in_proportion_to_their_free_shares() {
    let pool = pool(&[4, 8, 14], Some(16));
    let group_of = |draw: u64| {
        let request = request(PriorityLevel::SINGLE, draw);
        pool.pick_for(&request, draw, 0).unwrap().id[..2].to_owned()
    };
    let share = |group: &str| (0..20_000).filter(|draw| group_of(*draw) == group).count() as f64 / 20_000.0;
    let free = [12.0, 8.0, 2.0].map(|free: f64| free / 22.0);
    for (group, free_share) in ["g0", "g1", "g2"].into_iter().zip(free) {
        let share = share(group);
        // Endpoints are sampled without replacement, so that the shares differ a little less than the room.
        assert!((share - free_share).abs() < 0.07, "{group} gets {share}, {free_share} of the room is there");
    }
}
