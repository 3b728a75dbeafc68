//! How a box in a data centre that is cut off finds the endpoints that it still reaches, without a real network.
//!
//! In a fleet of hundreds of endpoints, those across the cut fail at once, and a request that tried them one by one was
//! given up although endpoints in the same data centre were serving.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AttemptOutcome, EndpointChange, EndpointIncarnation, EndpointPool, EndpointRecord, GroupUpdate, Pick, PickError,
    RankUpdate, Urgency,
};
use rstest::rstest;

const DATA_CENTRES: usize = 5;
const ENDPOINTS: usize = 575;
/// Number of failed attempts after which a request is given up.
const MAX_TRIED: usize = 16;

fn data_centre(at: usize) -> usize {
    at % DATA_CENTRES
}

fn pool() -> EndpointPool {
    let mut pool = EndpointPool::new();
    for at in 0..ENDPOINTS {
        let record = EndpointRecord { data_centre: format!("hall-{}", data_centre(at)), ..endpoint(at as u16 + 1) };
        pool.apply(EndpointChange::Updated(format!("i-{at}"), record));
    }
    pool
}

fn number(pick: &Pick) -> usize {
    pick.id[2..].parse().unwrap()
}

/// Sends one request from data centre 0, from which no other one is reachable. Returns the endpoint that got the
/// request, and the number of failed attempts.
fn send(pool: &mut EndpointPool, draw: u64, now_ms: u64) -> (Result<usize, PickError>, usize) {
    let mut tried: Vec<EndpointIncarnation> = Vec::new();
    while tried.len() < MAX_TRIED {
        let pick = match pool.pick("tiles", &tried, Urgency::OnTime, draw + tried.len() as u64, now_ms) {
            Ok(pick) => pick,
            Err(pick_error) => return (Err(pick_error), tried.len()),
        };
        pool.on_attempt_start(&pick);
        if data_centre(number(&pick)) == 0 {
            pool.on_response_bytes(&pick.id, now_ms);
            pool.on_attempt_end(&pick, AttemptOutcome::Success, now_ms);
            return (Ok(number(&pick)), tried.len());
        }
        pool.on_attempt_end(&pick, AttemptOutcome::Unreachable, now_ms);
        tried.push(pick.incarnation());
    }
    (Err(PickError::NoEndpoint), tried.len())
}

#[test]
fn a_box_in_a_cut_off_data_centre_finds_the_endpoints_there() {
    let mut pool = pool();
    let mut max_tried = 0;
    for request in 0..200u64 {
        let now_ms = request * 20;
        let (got, tried) = send(&mut pool, request * 7_919, now_ms);
        assert!(got.is_ok_and(|at| data_centre(at) == 0), "request {request}");
        max_tried = max_tried.max(tried);
    }
    assert!(max_tried <= 2 * (DATA_CENTRES - 1), "{max_tried} failed attempts of one request");
}

#[test]
fn a_data_centre_that_is_reachable_again_is_used_again() {
    let mut pool = pool();
    for request in 0..20 {
        let _ = send(&mut pool, request * 7_919, 0);
    }
    let used = |pool: &EndpointPool, now_ms: u64| {
        (0..200).any(|draw| {
            pool.pick("tiles", &[], Urgency::OnTime, draw, now_ms).is_ok_and(|pick| data_centre(number(&pick)) != 0)
        })
    };
    assert!(!used(&pool, 100));
    assert!(used(&pool, 3_000), "the data centre is tried again after a while");
}

#[rstest]
#[case::one_endpoint_repeatedly(&[1, 1, 1], false)]
#[case::two_of_one_data_centre(&[1, 6], true)]
#[case::two_of_different_data_centres(&[1, 2], false)]
fn a_data_centre_is_avoided_only_after_two_of_its_endpoints_were_unreachable(
    #[case] unreachable: &[usize],
    #[case] expected: bool,
) {
    let mut pool = pool();
    for at in unreachable {
        let record = pool.record(&format!("i-{at}")).unwrap().clone();
        let pick = Pick::from_record(&format!("i-{at}"), &record);
        pool.on_attempt_start(&pick);
        pool.on_attempt_end(&pick, AttemptOutcome::Unreachable, 0);
    }
    let is_avoided = !(0..500).any(|draw| {
        pool.pick("tiles", &[], Urgency::OnTime, draw, 10).is_ok_and(|pick| data_centre(number(&pick)) == 1)
    });
    assert_eq!(is_avoided, expected);
}

/// Groups beyond the cut may be serving, but the box cannot reach them, so callers do not wait for them.
#[test]
fn the_service_is_stalled_where_the_groups_on_this_side_of_the_cut_are() {
    let mut pool = pool();
    let here = (0..ENDPOINTS).filter(|at| data_centre(*at) == 0);
    let ranks = here.map(|at| RankUpdate { endpoint: format!("i-{at}"), running: 0, waiting: 0, pace_permille: 1_000 });
    let update = GroupUpdate {
        service: "tiles".into(),
        group: "g".into(),
        is_serving: false,
        ranks: ranks.collect(),
        ..GroupUpdate::default()
    };
    pool.apply_group_update(&update, 0);
    let (got, _) = send(&mut pool, 3, 10);
    assert_eq!(got, Err(PickError::Stalled));
    assert!(pool.is_down("tiles", 10));
}

#[test]
fn where_no_endpoint_is_reachable_any_endpoint_is_tried() {
    let mut pool = EndpointPool::new();
    for at in 0..4usize {
        let record = EndpointRecord { data_centre: "far".to_owned(), ..endpoint(at as u16 + 1) };
        pool.apply(EndpointChange::Updated(format!("i-{at}"), record));
    }
    for at in 0..3 {
        let record = pool.record(&format!("i-{at}")).unwrap().clone();
        let pick = Pick::from_record(&format!("i-{at}"), &record);
        pool.on_attempt_start(&pick);
        pool.on_attempt_end(&pick, AttemptOutcome::Unreachable, 0);
    }
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 1).is_ok());
}
