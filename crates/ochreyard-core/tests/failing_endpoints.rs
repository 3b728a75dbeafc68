//! Endpoints that answer, but fail each request.
//!
//! Guards against an endpoint that goes on getting half of the requests because it fails at once and so has no load.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AttemptOutcome, EndpointChange, EndpointPool, GroupUpdate, Pick, RankUpdate, ReporterRole, Urgency,
};
use rstest::rstest;

/// Failures in a row after which an endpoint is ejected.
const FAILURES: u64 = 5;
/// Draws per check: enough that each endpoint that may be picked is.
const DRAWS: u64 = 64;
const ENDPOINTS: u16 = 3;
/// Requests at each of the other endpoints: nearly as many as they take.
const OTHER_LOAD: usize = 5;

fn pool(endpoints: u16) -> EndpointPool {
    let mut pool = EndpointPool::new();
    (1..=endpoints).for_each(|port| pool.apply(EndpointChange::Updated(format!("e{port}"), endpoint(port))));
    pool
}

fn pick_of(port: u16) -> Pick {
    Pick { id: format!("e{port}"), started_ms: 0, addr: endpoint(port).addr, in_flight: 0, urgency: Urgency::OnTime }
}

/// Starts an attempt, and ends it at `now_ms`. Returns whether the endpoint is ejected for it.
fn attempt(pool: &mut EndpointPool, port: u16, outcome: AttemptOutcome, sent_ms: u64, now_ms: u64) -> bool {
    let pick = pick_of(port);
    pool.on_attempt_start(&pick);
    pool.on_answered(&pick);
    pool.on_attempt_end(&pick, outcome, now_ms);
    pool.on_failed_attempt(&pick, outcome, sent_ms, now_ms)
}

fn fail(pool: &mut EndpointPool, port: u16, now_ms: u64) -> bool {
    attempt(pool, port, AttemptOutcome::Failed, now_ms, now_ms)
}

/// Whether requests are sent to the endpoint. The others are loaded, so that it is the better choice if it is used.
fn gets_requests(pool: &EndpointPool, port: u16, now_ms: u64) -> bool {
    let id = format!("e{port}");
    let mut pool = pool.clone();
    for other in (1..=ENDPOINTS).filter(|other| *other != port) {
        (0..OTHER_LOAD).for_each(|_| pool.on_attempt_start(&pick_of(other)));
    }
    (0..DRAWS).any(|draw| pool.pick("tiles", &[], Urgency::OnTime, draw, now_ms).is_ok_and(|pick| pick.id == id))
}

#[test]
fn an_endpoint_that_fails_each_request_is_ejected_for_longer_and_longer() {
    let mut pool = pool(ENDPOINTS);
    assert!((1..FAILURES).all(|now_ms| !fail(&mut pool, 1, now_ms)));
    assert!(gets_requests(&pool, 1, FAILURES));
    assert!(fail(&mut pool, 1, FAILURES));
    assert!(!gets_requests(&pool, 1, FAILURES + 499));
    assert!(gets_requests(&pool, 1, FAILURES + 500));
    assert!(fail(&mut pool, 1, 1_000), "one more failure is enough now");
    assert!(!gets_requests(&pool, 1, 1_999));
    assert!(gets_requests(&pool, 1, 2_000));
}

#[test]
fn a_single_request_shows_whether_an_ejected_endpoint_has_recovered() {
    let mut pool = pool(ENDPOINTS);
    assert!((1..=FAILURES).any(|now_ms| fail(&mut pool, 1, now_ms)));
    let others = [pick_of(2).incarnation(), pick_of(3).incarnation()];
    let takes_one_more = |pool: &EndpointPool, now_ms| pool.pick("tiles", &others, Urgency::OnTime, 0, now_ms).is_ok();
    assert!(takes_one_more(&pool, 1_000));
    pool.on_attempt_start(&pick_of(1));
    assert!(!takes_one_more(&pool, 1_000), "one is under way");
    pool.on_attempt_end(&pick_of(1), AttemptOutcome::Success, 1_010);
    pool.on_attempt_start(&pick_of(1));
    assert!(takes_one_more(&pool, 1_010), "it has succeeded");
    assert!((0..FAILURES - 1).all(|at| !fail(&mut pool, 1, 1_020 + at)), "its failures count anew");
}

#[test]
fn an_endpoint_that_fails_part_of_its_requests_is_kept() {
    let mut pool = pool(ENDPOINTS);
    for now_ms in 0..100 {
        let outcome = if now_ms % FAILURES == 0 { AttemptOutcome::Success } else { AttemptOutcome::Failed };
        assert!(!attempt(&mut pool, 1, outcome, now_ms, now_ms));
    }
}

#[test]
fn connections_that_break_together_count_as_one_failure() {
    let mut pool = pool(ENDPOINTS);
    assert!((0..20).all(|at| !attempt(&mut pool, 1, AttemptOutcome::BrokenOff, at, 100 + at)));
    let breaks_again =
        |pool: &mut EndpointPool, now_ms| attempt(pool, 1, AttemptOutcome::BrokenOff, now_ms - 10, now_ms);
    assert!((1..FAILURES - 1).all(|at| !breaks_again(&mut pool, 100 + 20 * at)));
    assert!(breaks_again(&mut pool, 300));
}

/// Guards against sound ranks that are ejected since the ranks beside them crash, so that no trial can run there.
#[rstest]
#[case::a_rank_crashed(true)]
#[case::the_leader_says_that_the_group_stands(false)]
fn attempts_that_break_off_since_their_group_stands_do_not_count(#[case] is_crash_known: bool) {
    let mut pool = pool(4);
    let rank = |port| RankUpdate { endpoint: format!("e{port}"), running: 0, waiting: 0, pace_permille: 1_000 };
    let update = |is_serving| GroupUpdate {
        service: "tiles".into(),
        group: "g".into(),
        reporter_role: ReporterRole::Leads,
        is_serving,
        ranks: (1..=4).map(rank).collect(),
        ..GroupUpdate::default()
    };
    for wave in 0..2 * FAILURES {
        let crashed_ms = 1_000 + 5_000 * wave;
        pool.apply_group_update(&update(true), crashed_ms - 100);
        if is_crash_known {
            pool.on_crash("e4", crashed_ms);
        }
        pool.apply_group_update(&update(false), crashed_ms + 700);
        let is_ejected = attempt(&mut pool, 1, AttemptOutcome::BrokenOff, crashed_ms - 50, crashed_ms + 1_500);
        assert!(!is_ejected, "wave {wave}");
    }
    // Later failures count as ever.
    let now_ms = 1_000 + 10_000 * FAILURES;
    pool.apply_group_update(&update(true), now_ms);
    assert!((1..FAILURES).all(|at| !fail(&mut pool, 1, now_ms + at)));
    assert!(fail(&mut pool, 1, now_ms + FAILURES));
}

#[rstest]
#[case::one_of_one(1, 0)]
#[case::one_of_two(2, 1)]
#[case::two_of_five(5, 2)]
fn at_least_half_of_the_endpoints_of_a_service_are_kept(#[case] endpoints: u16, #[case] most_ejected: usize) {
    let mut pool = pool(endpoints);
    let mut ejected = 0;
    for now_ms in 1..=FAILURES {
        ejected += (1..=endpoints).filter(|port| fail(&mut pool, *port, now_ms)).count();
    }
    assert_eq!(ejected, most_ejected);
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, FAILURES).is_ok());
}
