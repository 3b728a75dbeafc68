//! What endpoints ask for in their answers, and how requests are held to it.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AllowedRegions, DispatchDecision, EndpointChange, EndpointPool, EndpointRecord, EndpointSignals, PendingRequest,
    Pick, PickError, ReportedLimit, ServiceQueue, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

/// Slots of an endpoint that a slow start takes some steps to fill.
const SLOTS: u64 = 8;

fn record(port: u16) -> EndpointRecord {
    EndpointRecord { slots: SLOTS, ..endpoint(port) }
}

fn know(pool: &mut EndpointPool, id: &str, record: EndpointRecord) {
    pool.apply(EndpointChange::Updated(id.into(), record));
}

fn pool_of(ids: &[&str]) -> EndpointPool {
    let mut pool = EndpointPool::new();
    ids.iter().for_each(|id| know(&mut pool, id, record(1)));
    pool
}

fn pick(pool: &EndpointPool, now_ms: u64) -> Result<Pick, PickError> {
    pool.pick("tiles", &[], Urgency::OnTime, 0, now_ms)
}

const fn pause(backoff_ms: u64) -> EndpointSignals {
    EndpointSignals { backoff_ms: Some(backoff_ms), is_leaving: false, load: None, limit: ReportedLimit::Unknown }
}

const LEAVES: EndpointSignals =
    EndpointSignals { backoff_ms: None, is_leaving: true, load: None, limit: ReportedLimit::Unknown };

/// How many requests one after the other get an endpoint before any of them is answered.
fn admitted(pool: &mut EndpointPool, now_ms: u64) -> Vec<Pick> {
    std::iter::from_fn(|| {
        let pick = pick(pool, now_ms).ok()?;
        pool.on_attempt_start(&pick);
        Some(pick)
    })
    .take(100)
    .collect()
}

#[test]
fn an_endpoint_that_asked_for_a_pause_gets_nothing_even_where_no_other_is_left() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &pause(3_000), 0);
    assert_eq!(pick(&pool, 2_999), Err(PickError::Paused { until_ms: 3_000 }));
    assert!(pick(&pool, 3_000).is_ok());
}

#[test]
fn a_request_that_was_picked_before_the_word_came_is_not_sent_after_it() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    assert!(pool.accepts_requests(&picked, 0));
    pool.on_signals(&picked, &pause(3_000), 1);
    assert!(!pool.accepts_requests(&picked, 2));
    assert!(pool.accepts_requests(&picked, 3_001));
    pool.on_signals(&picked, &LEAVES, 3_002);
    assert!(!pool.accepts_requests(&picked, 3_003));
}

#[test]
fn a_request_that_was_picked_is_not_sent_once_the_record_has_gone() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.apply(EndpointChange::Removed("a".into()));
    assert!(!pool.accepts_requests(&picked, 1));
}

#[test]
fn a_shorter_pause_takes_nothing_back_and_a_longer_one_counts() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &pause(3_000), 0);
    pool.on_signals(&picked, &pause(100), 10);
    assert_eq!(pick(&pool, 500), Err(PickError::Paused { until_ms: 3_000 }));
    pool.on_signals(&picked, &pause(5_000), 20);
    assert_eq!(pick(&pool, 500), Err(PickError::Paused { until_ms: 5_020 }));
}

#[rstest]
#[case::paused(pause(60_000))]
#[case::leaving(LEAVES)]
fn a_record_that_lapses_and_comes_back_takes_no_word_back(#[case] word: EndpointSignals) {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &word, 0);
    pool.apply(EndpointChange::Removed("a".into()));
    know(&mut pool, "a", record(1));
    assert!(pick(&pool, 1).is_err(), "the same life");
    know(&mut pool, "a", EndpointRecord { started_ms: 7, ..record(1) });
    assert!(pick(&pool, 2).is_ok(), "the next life has asked for nothing");
}

#[test]
fn a_word_that_comes_while_the_record_is_away_counts_once_it_is_back() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.apply(EndpointChange::Removed("a".into()));
    pool.on_signals(&picked, &LEAVES, 1);
    know(&mut pool, "a", record(1));
    assert_eq!(pick(&pool, 2), Err(PickError::Nobody));
}

#[test]
fn a_word_of_a_life_before_says_nothing_of_the_next() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    know(&mut pool, "a", EndpointRecord { started_ms: 7, ..record(1) });
    pool.on_signals(&picked, &LEAVES, 1);
    pool.on_signals(&picked, &pause(60_000), 1);
    assert!(pick(&pool, 2).is_ok());
}

#[test]
fn after_a_pause_one_request_goes_first_and_twice_as_many_after_each_that_was_taken() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &pause(1_000), 0);
    for allowed in [1, 2, 4] {
        let sent = admitted(&mut pool, 1_000);
        assert_eq!(sent.len(), allowed);
        sent.iter().for_each(|pick| pool.on_answered(pick));
        pool.on_accepted(&sent[0], 1_100);
    }
    assert!(admitted(&mut pool, 1_200).len() > 8, "as many as any other");
}

#[test]
fn what_was_taken_before_a_pause_opens_nothing_after_it() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &pause(1_000), 0);
    (0..9).for_each(|_| pool.on_accepted(&picked, 500));
    assert_eq!(admitted(&mut pool, 1_000).len(), 1);
}

/// A request with 8 s to go, whose aim is 400 ms.
const fn seeker(deadline_ms: u64) -> PendingRequest<'static> {
    let arrival = ochreyard_core::direct::Arrival { on_time_until_ms: 200, is_caller_retry: false };
    PendingRequest {
        service: "tiles",
        allowed_regions: &AllowedRegions::ANY,
        tried: &[],
        arrival,
        deadline_ms,
        silent_since_ms: 0,
        aim_ms: 400,
        patience_ms: None,
        ticket: None,
    }
}

#[rstest]
#[case::short_pause(800, 8_000, true)]
#[case::longer_than_callers_may_stay(3_000, 8_000, false)]
#[case::longer_than_its_time(800, 1_000, false)]
fn where_all_endpoints_pause_a_request_waits_only_if_it_can_be_served_at_the_first_end(
    #[case] pause_ms: u64,
    #[case] deadline_ms: u64,
    #[case] waits: bool,
) {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &pause(pause_ms), 0);
    let choice = ServiceQueue::default().decide(&pool, 1, &seeker(deadline_ms), 0, 0);
    assert_eq!(matches!(choice, DispatchDecision::Wait(_)), waits, "{choice:?}");
}

#[derive(Debug, Clone)]
enum Event {
    Asks { endpoint: usize, pause_ms: u64 },
    Leaves { endpoint: usize },
    Lapses { endpoint: usize },
    ComesBack { endpoint: usize },
    Sends,
    Passes { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let endpoint = || 0..ENDPOINTS;
    prop_oneof![
        2 => (endpoint(), 0..4_000_u64).prop_map(|(endpoint, pause_ms)| Event::Asks { endpoint, pause_ms }),
        1 => endpoint().prop_map(|endpoint| Event::Leaves { endpoint }),
        2 => endpoint().prop_map(|endpoint| Event::Lapses { endpoint }),
        2 => endpoint().prop_map(|endpoint| Event::ComesBack { endpoint }),
        6 => Just(Event::Sends),
        4 => (0..1_500_u64).prop_map(|ms| Event::Passes { ms }),
    ]
}

const ENDPOINTS: usize = 4;

proptest! {
    /// Whatever comes between: no request is picked for, or written to, an endpoint that asked for a pause or leaves.
    #[test]
    fn nothing_is_sent_against_the_word_of_an_endpoint(events in proptest::collection::vec(event(), 1..60)) {
        let ids: Vec<String> = (0..ENDPOINTS).map(|number| format!("e{number}")).collect();
        let mut pool = pool_of(&ids.iter().map(String::as_str).collect::<Vec<_>>());
        let lives: Vec<Pick> = ids
            .iter()
            .map(|id| Pick { id: id.clone(), started_ms: 0, addr: endpoint(1).addr, in_flight: 0, urgency: Urgency::OnTime })
            .collect();
        let mut paused_until_ms = [0; ENDPOINTS];
        let mut leaves = [false; ENDPOINTS];
        let mut now_ms = 0;
        for event in events {
            match event {
                Event::Asks { endpoint, pause_ms } => {
                    pool.on_signals(&lives[endpoint], &pause(pause_ms), now_ms);
                    paused_until_ms[endpoint] = paused_until_ms[endpoint].max(now_ms + pause_ms);
                }
                Event::Leaves { endpoint } => {
                    pool.on_signals(&lives[endpoint], &LEAVES, now_ms);
                    leaves[endpoint] = true;
                }
                Event::Lapses { endpoint } => pool.apply(EndpointChange::Removed(ids[endpoint].clone())),
                Event::ComesBack { endpoint } => know(&mut pool, &ids[endpoint], record(1)),
                Event::Passes { ms } => now_ms += ms,
                Event::Sends => {
                    let picked = pick(&pool, now_ms).ok();
                    let welcome = lives.iter().filter(|life| pool.accepts_requests(life, now_ms)).cloned();
                    for sent in picked.into_iter().chain(welcome) {
                        let number = ids.iter().position(|id| *id == sent.id).unwrap();
                        prop_assert!(!leaves[number], "{} leaves", sent.id);
                        prop_assert!(paused_until_ms[number] <= now_ms, "{} asked for a pause", sent.id);
                    }
                }
            }
        }
    }
}
