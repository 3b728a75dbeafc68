//! What endpoints ask for in their responses, and whether requests comply with it.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    DispatchDecision, EndpointChange, EndpointPool, EndpointRecord, EndpointSignals, PendingRequest, PermittedRegions,
    Pick, PickError, Priority, PriorityLevel, ReportedLimit, ServiceQueue, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

/// Enough slots that slow start needs several steps to fill them.
const SLOTS: u64 = 8;

fn record(port: u16) -> EndpointRecord {
    EndpointRecord { slots: SLOTS, ..endpoint(port) }
}

fn add_record(pool: &mut EndpointPool, id: &str, record: EndpointRecord) {
    pool.apply(EndpointChange::Updated(id.into(), record));
}

fn pool_of(ids: &[&str]) -> EndpointPool {
    let mut pool = EndpointPool::new();
    ids.iter().for_each(|id| add_record(&mut pool, id, record(1)));
    pool
}

fn pick(pool: &EndpointPool, now_ms: u64) -> Result<Pick, PickError> {
    pool.pick("tiles", &[], Urgency::OnTime, 0, now_ms)
}

const fn backoff(backoff_ms: u64) -> EndpointSignals {
    EndpointSignals { backoff_ms: Some(backoff_ms), is_leaving: false, load: None, limit: ReportedLimit::Unknown }
}

const LEAVING: EndpointSignals =
    EndpointSignals { backoff_ms: None, is_leaving: true, load: None, limit: ReportedLimit::Unknown };

/// Picks endpoints for as many requests as possible before any of them is answered.
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
fn an_endpoint_in_backoff_gets_no_requests_even_if_no_other_is_left() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &backoff(3_000), 0);
    assert_eq!(pick(&pool, 2_999), Err(PickError::Paused { until_ms: 3_000 }));
    assert!(pick(&pool, 3_000).is_ok());
}

#[test]
fn a_request_picked_before_a_notice_is_not_sent_after_it() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    assert!(pool.accepts_requests(&picked, 0));
    pool.on_signals(&picked, &backoff(3_000), 1);
    assert!(!pool.accepts_requests(&picked, 2));
    assert!(pool.accepts_requests(&picked, 3_001));
    pool.on_signals(&picked, &LEAVING, 3_002);
    assert!(!pool.accepts_requests(&picked, 3_003));
}

#[test]
fn a_picked_request_is_not_sent_once_the_record_is_gone() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.apply(EndpointChange::Removed("a".into()));
    assert!(!pool.accepts_requests(&picked, 1));
}

#[test]
fn a_longer_backoff_replaces_a_shorter_one_but_not_the_reverse() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &backoff(3_000), 0);
    pool.on_signals(&picked, &backoff(100), 10);
    assert_eq!(pick(&pool, 500), Err(PickError::Paused { until_ms: 3_000 }));
    pool.on_signals(&picked, &backoff(5_000), 20);
    assert_eq!(pick(&pool, 500), Err(PickError::Paused { until_ms: 5_020 }));
}

#[rstest]
#[case::in_backoff(backoff(60_000))]
#[case::leaving(LEAVING)]
fn a_notice_survives_the_expiry_and_return_of_the_record(#[case] signals: EndpointSignals) {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &signals, 0);
    pool.apply(EndpointChange::Removed("a".into()));
    add_record(&mut pool, "a", record(1));
    assert!(pick(&pool, 1).is_err(), "the same incarnation");
    add_record(&mut pool, "a", EndpointRecord { started_ms: 7, ..record(1) });
    assert!(pick(&pool, 2).is_ok(), "the next incarnation has not asked for anything");
}

#[test]
fn a_notice_received_without_a_record_counts_once_the_record_is_back() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.apply(EndpointChange::Removed("a".into()));
    pool.on_signals(&picked, &LEAVING, 1);
    add_record(&mut pool, "a", record(1));
    assert_eq!(pick(&pool, 2), Err(PickError::NoEndpoint));
}

#[test]
fn a_notice_of_an_earlier_incarnation_does_not_count_for_the_next() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    add_record(&mut pool, "a", EndpointRecord { started_ms: 7, ..record(1) });
    pool.on_signals(&picked, &LEAVING, 1);
    pool.on_signals(&picked, &backoff(60_000), 1);
    assert!(pick(&pool, 2).is_ok());
}

#[test]
fn after_a_backoff_the_request_limit_starts_at_one_and_doubles_with_each_accepted_request() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &backoff(1_000), 0);
    for allowed in [1, 2, 4] {
        let sent = admitted(&mut pool, 1_000);
        assert_eq!(sent.len(), allowed);
        sent.iter().for_each(|pick| pool.on_answered(pick));
        pool.on_accepted(&sent[0], 1_100);
    }
    assert!(admitted(&mut pool, 1_200).len() > 8, "slow start has ended");
}

#[test]
fn requests_accepted_during_a_backoff_do_not_speed_up_slow_start() {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &backoff(1_000), 0);
    (0..9).for_each(|_| pool.on_accepted(&picked, 500));
    assert_eq!(admitted(&mut pool, 1_000).len(), 1);
}

/// A pending request with a latency target of 400 ms.
const fn pending_request(deadline_ms: u64) -> PendingRequest<'static> {
    let arrival = ochreyard_core::direct::Arrival { on_time_until_ms: 200, is_caller_retry: false };
    PendingRequest {
        service: "tiles",
        permitted_regions: &PermittedRegions::ANY,
        tried: &[],
        workspace: None,
        work_tokens: 1,
        may_have_run: false,
        priority: Priority::LOWEST,
        level: PriorityLevel::SINGLE,
        arrival,
        deadline_ms,
        silent_since_ms: 0,
        target_latency_ms: 400,
        patience_ms: None,
        ticket: None,
    }
}

#[rstest]
#[case::short_backoff(800, 8_000, true)]
#[case::longer_than_callers_wait(3_000, 8_000, false)]
#[case::longer_than_its_deadline(800, 1_000, false)]
fn if_all_endpoints_are_in_backoff_a_request_waits_only_if_it_can_be_served_when_the_first_ends(
    #[case] backoff_ms: u64,
    #[case] deadline_ms: u64,
    #[case] should_wait: bool,
) {
    let mut pool = pool_of(&["a"]);
    let picked = pick(&pool, 0).unwrap();
    pool.on_signals(&picked, &backoff(backoff_ms), 0);
    let choice = ServiceQueue::default().decide(&pool, 1, &pending_request(deadline_ms), 0, 0);
    assert_eq!(matches!(choice, DispatchDecision::Wait(_)), should_wait, "{choice:?}");
}

#[derive(Debug, Clone)]
enum Event {
    AsksForBackoff { endpoint: usize, backoff_ms: u64 },
    AnnouncesLeaving { endpoint: usize },
    RecordExpires { endpoint: usize },
    RecordReturns { endpoint: usize },
    SendsRequest,
    TimePasses { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let endpoint = || 0..ENDPOINTS;
    prop_oneof![
        2 => (endpoint(), 0..4_000_u64).prop_map(|(endpoint, backoff_ms)| Event::AsksForBackoff { endpoint, backoff_ms }),
        1 => endpoint().prop_map(|endpoint| Event::AnnouncesLeaving { endpoint }),
        2 => endpoint().prop_map(|endpoint| Event::RecordExpires { endpoint }),
        2 => endpoint().prop_map(|endpoint| Event::RecordReturns { endpoint }),
        6 => Just(Event::SendsRequest),
        4 => (0..1_500_u64).prop_map(|ms| Event::TimePasses { ms }),
    ]
}

const ENDPOINTS: usize = 4;

proptest! {
    /// No request is picked for, or written to, an endpoint that asked for a backoff or is leaving, whatever happens in
    /// between.
    #[test]
    fn no_request_is_sent_against_the_notice_of_an_endpoint(events in proptest::collection::vec(event(), 1..60)) {
        let ids: Vec<String> = (0..ENDPOINTS).map(|at| format!("e{at}")).collect();
        let mut pool = pool_of(&ids.iter().map(String::as_str).collect::<Vec<_>>());
        let picks: Vec<Pick> = ids
            .iter()
            .map(|id| Pick { id: id.clone(), started_ms: 0, addr: endpoint(1).addr, in_flight: 0, urgency: Urgency::OnTime })
            .collect();
        let mut backoff_until_ms = [0; ENDPOINTS];
        let mut is_leaving = [false; ENDPOINTS];
        let mut now_ms = 0;
        for event in events {
            match event {
                Event::AsksForBackoff { endpoint, backoff_ms } => {
                    pool.on_signals(&picks[endpoint], &backoff(backoff_ms), now_ms);
                    backoff_until_ms[endpoint] = backoff_until_ms[endpoint].max(now_ms + backoff_ms);
                }
                Event::AnnouncesLeaving { endpoint } => {
                    pool.on_signals(&picks[endpoint], &LEAVING, now_ms);
                    is_leaving[endpoint] = true;
                }
                Event::RecordExpires { endpoint } => pool.apply(EndpointChange::Removed(ids[endpoint].clone())),
                Event::RecordReturns { endpoint } => add_record(&mut pool, &ids[endpoint], record(1)),
                Event::TimePasses { ms } => now_ms += ms,
                Event::SendsRequest => {
                    let picked = pick(&pool, now_ms).ok();
                    let accepting = picks.iter().filter(|pick| pool.accepts_requests(pick, now_ms)).cloned();
                    for sent in picked.into_iter().chain(accepting) {
                        let at = ids.iter().position(|id| *id == sent.id).unwrap();
                        prop_assert!(!is_leaving[at], "{} is leaving", sent.id);
                        prop_assert!(backoff_until_ms[at] <= now_ms, "{} asked for a backoff", sent.id);
                    }
                }
            }
        }
    }
}
