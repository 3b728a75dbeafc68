//! Which requests wait at an entry for an endpoint, and which is sent next.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    Arrival, DispatchDecision, EndpointChange, EndpointLimit, EndpointPool, GroupUpdate, LimitUpdate, Patience,
    PendingRequest, PermittedRegions, PickError, Priority, PriorityLevel, RankUpdate, RequestRate, ServiceQueue,
    ServiceTime, StallHandling, StallHistory, StallOutcomes, Urgency, WaitFacts, WaitQueue,
};
use rstest::rstest;

/// A request with 5 s left that takes 2 s, for a group that is expected to be stalled for 1.5 s more. Its caller has
/// received nothing for 0.3 s, and disconnects after 1.9 s.
fn facts() -> WaitFacts {
    WaitFacts {
        pick_error: PickError::Stalled,
        left_ms: 5_000,
        needed_ms: 2_000,
        has_served: true,
        is_holding_worthwhile: true,
        expected_stall_ms: 1_500,
        queue_ms: 0,
        silent_ms: 300,
        patience_ms: Some(1_900),
        is_caller_retry: false,
    }
}

/// The same request once it waits: it was admitted by the estimate of that time.
fn waiting() -> WaitFacts {
    WaitFacts { expected_stall_ms: 0, silent_ms: 1_800, ..facts() }
}

#[rstest]
#[case::served_in_time(facts(), true)]
#[case::stalled_for_too_long(WaitFacts { expected_stall_ms: 3_001, patience_ms: None, ..facts() }, false)]
#[case::too_little_time_left(WaitFacts { left_ms: 3_499, ..facts() }, false)]
#[case::group_has_never_served(WaitFacts { has_served: false, ..facts() }, false)]
#[case::full_group_that_has_never_served(WaitFacts { has_served: false, pick_error: PickError::Full, ..facts() }, true)]
#[case::holding_serves_fewer_than_sending_back(WaitFacts { is_holding_worthwhile: false, ..facts() }, false)]
#[case::caller_would_disconnect_before(WaitFacts { silent_ms: 400, ..facts() }, false)]
#[case::retrying_caller_would_disconnect_before(
    WaitFacts { silent_ms: 400, is_caller_retry: true, ..facts() }, false)]
#[case::caller_is_still_connected(waiting(), true)]
#[case::caller_is_about_to_disconnect(WaitFacts { silent_ms: 1_900, ..waiting() }, false)]
#[case::retrying_caller_is_about_to_disconnect(
    WaitFacts { silent_ms: 1_900, is_caller_retry: true, ..waiting() }, false)]
#[case::patience_is_unknown(WaitFacts { silent_ms: 1_900, patience_ms: None, ..facts() }, true)]
#[case::no_endpoint_at_all(WaitFacts { pick_error: PickError::NoEndpoint, ..facts() }, false)]
fn a_request_waits_only_where_it_may_still_be_served(#[case] facts: WaitFacts, #[case] waits: bool) {
    assert_eq!(facts.may_wait(), waits);
}

#[test]
fn recurring_stalls_are_expected_to_last_as_long_as_before() {
    let mut stalls = StallHistory::default();
    for began_ms in [10_000, 20_000] {
        stalls.record(true, began_ms);
        assert_eq!(stalls.expected_remaining_ms(began_ms + 400), 100, "a single stall may have had another cause");
        stalls.record(false, began_ms + 3_000);
    }
    stalls.record(true, 30_000);
    assert_eq!((stalls.expected_remaining_ms(30_000), stalls.expected_remaining_ms(31_000)), (3_000, 2_000));
    assert_eq!(stalls.expected_remaining_ms(38_000), 2_000, "longer than the median: a quarter of its age");
    stalls.record(false, 38_000);
    stalls.record(true, 90_000);
    assert_eq!(stalls.expected_remaining_ms(90_400), 100, "the earlier stalls are too old");
}

/// Slots are set aside after a stall only if requests that are sent then can be served before the next one.
#[test]
fn a_stall_recurs_where_the_service_ran_for_a_short_time_before_it() {
    let mut stalls = StallHistory::default();
    stalls.record(true, 1_000);
    assert!(!stalls.has_recurred_within(u64::MAX / 2), "there was no stall before");
    stalls.record(false, 3_000);
    assert!(!stalls.has_recurred_within(5_000), "the service is not stalled");
    stalls.record(true, 5_000);
    assert!(stalls.has_recurred_within(2_001) && !stalls.has_recurred_within(2_000));
}

#[test]
fn a_short_gap_is_part_of_the_stall() {
    let mut stalls = StallHistory::default();
    stalls.record(true, 1_000);
    stalls.record(false, 2_000);
    stalls.record(true, 2_200);
    stalls.record(true, 5_000);
    assert_eq!(stalls.expected_remaining_ms(5_000), 1_000, "the stall is 4 s old");
}

#[test]
fn holding_stops_where_it_serves_fewer_than_half_or_than_sending_back_and_resumes_later() {
    let mut outcomes = StallOutcomes::default();
    assert!(outcomes.is_holding_worthwhile(0), "no outcomes are known");
    (0..20).for_each(|n| outcomes.record(StallHandling::Held, n % 4 != 0, 1_000));
    assert!(outcomes.is_holding_worthwhile(1_000), "three of four held requests were served");
    (0..20).for_each(|n| outcomes.record(StallHandling::CallerRetried, n % 10 != 0, 1_000));
    assert!(!outcomes.is_holding_worthwhile(1_000), "nine of ten retries of callers were served");
    let mut outcomes = StallOutcomes::default();
    (0..20).for_each(|n| outcomes.record(StallHandling::Held, n % 4 == 0, 1_000));
    assert!(!outcomes.is_holding_worthwhile(1_000), "one of four held requests was served");
    assert!(outcomes.is_holding_worthwhile(61_000), "the outcomes are a minute old");
}

#[test]
fn requests_on_time_go_first_then_those_with_the_earliest_deadline() {
    let mut wait_queue = WaitQueue::default();
    let late = wait_queue.join(&arrived(100, 9_000));
    let later = wait_queue.join(&arrived(100, 8_000));
    let fresh = wait_queue.join(&arrived(1_200, 9_500));
    let order = [fresh, later, late];
    for ticket in order {
        assert!(order.iter().all(|other| wait_queue.is_next(*other, 1_000) == (*other == ticket)));
        wait_queue.leave(ticket);
    }
    assert!(wait_queue.is_empty());
}

#[test]
fn only_a_request_on_time_overtakes_late_ones() {
    let mut wait_queue = WaitQueue::default();
    wait_queue.join(&arrived(100, 9_000));
    assert!(wait_queue.may_overtake(Urgency::OnTime, Priority::LOWEST, 1_000));
    assert!(!wait_queue.may_overtake(Urgency::Late, Priority::LOWEST, 1_000));
    wait_queue.join(&arrived(1_200, 9_500));
    assert!(!wait_queue.may_overtake(Urgency::OnTime, Priority::LOWEST, 1_000), "another request on time came before");
    assert!(wait_queue.may_overtake(Urgency::OnTime, Priority::LOWEST, 1_300), "that request is late by now");
}

#[test]
fn a_stall_is_expected_to_last_a_quarter_of_its_age_more_and_is_reset_once_it_ends() {
    let mut stalls = StallHistory::default();
    stalls.record(true, 1_000);
    stalls.record(true, 2_500);
    assert_eq!(stalls.expected_remaining_ms(3_000), 500);
    stalls.record(false, 3_000);
    assert_eq!(stalls.expected_remaining_ms(9_000), 0);
    stalls.record(true, 10_000);
    assert_eq!(stalls.expected_remaining_ms(10_400), 100);
}

#[test]
fn a_retry_of_a_caller_with_less_time_is_late() {
    let mut queue = ServiceQueue::default();
    let first = |on_time_until_ms| Arrival { on_time_until_ms, is_caller_retry: false };
    assert_eq!(queue.on_arrival("brief", 400, 8_000, 0), first(200));
    let second = Arrival { on_time_until_ms: 10_000, is_caller_retry: true };
    assert_eq!(queue.on_arrival("brief", 400, 5_300, 10_000), second);
    assert_eq!(queue.on_arrival("brief", 400, 7_900, 20_000), first(20_200), "a slightly shorter timeout is no retry");
    assert_eq!(queue.on_arrival("notice", 400, 5_300, 30_000), first(30_200), "timeouts are compared within a route");
}

#[rstest]
#[case::many_slots(630, 38, 14)]
#[case::more_boxes_than_slots(18, 38, 2)]
#[case::no_box_known(100, 0, 80)]
fn each_box_has_its_share_of_late_requests(#[case] slots: u64, #[case] boxes: u64, #[case] running: u64) {
    assert_eq!(ServiceQueue::max_late_in_flight(slots, boxes), running);
}

#[test]
fn the_service_time_follows_recent_answers() {
    let mut time = ServiceTime::default();
    assert_eq!(time.estimate_after_wait_ms(), None);
    time.record(1_000);
    assert_eq!(time.estimate_after_wait_ms(), Some(1_250), "a full group takes longer");
    (0..20).for_each(|_| time.record(4_000));
    assert!(
        time.estimate_after_wait_ms().is_some_and(|needed_ms| needed_ms < 2_000),
        "a few slow answers hardly change the mean"
    );
    (0..500).for_each(|_| time.record(4_000));
    assert!(time.estimate_after_wait_ms().is_some_and(|needed_ms| needed_ms > 4_900));
}

#[test]
fn callers_are_answered_shortly_before_most_of_them_would_disconnect() {
    let mut patience = Patience::default();
    (0..5).for_each(|_| patience.record_abandonment(2_000));
    assert_eq!(patience.hold_limit_ms(), None, "too few callers are known");
    (0..20).for_each(|_| patience.record_abandonment(100));
    assert_eq!(patience.hold_limit_ms(), None, "callers that disconnect at once are ignored");
    patience.record_abandonment(600);
    assert!(patience.hold_limit_ms().is_some_and(|limit_ms| (1_800..2_000).contains(&limit_ms)));
    (0..32).for_each(|_| patience.record_abandonment(500));
    assert!(patience.hold_limit_ms().is_some_and(|limit_ms| limit_ms < 500), "the most recent callers count");
}

/// Where a stream had been stalled for 1.5 s before its endpoint was lost, the caller stays for half a second more, not
/// for two.
#[rstest]
#[case::recent_event(1_400, true)]
#[case::long_silence(0, false)]
fn patience_counts_from_the_last_event_of_the_caller(#[case] silent_since_ms: u64, #[case] waits: bool) {
    let mut queue = ServiceQueue::default();
    (0..10).for_each(|_| queue.patience.record_abandonment(2_000));
    queue.service_time.record(1_000);
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry: false };
    let ticket = Some(queue.wait_queue.join(&pending_request()));
    let request = PendingRequest { arrival, silent_since_ms, ticket, ..pending_request() };
    let decision = queue.decide(&stalled_pool(), 1, &request, 0, 1_900);
    assert_eq!(matches!(decision, DispatchDecision::Wait(_)), waits, "{decision:?}");
}

fn pending_request() -> PendingRequest<'static> {
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry: false };
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
        deadline_ms: 8_000,
        silent_since_ms: 0,
        target_latency_ms: 400,
        patience_ms: None,
        ticket: None,
    }
}

/// A request that can be on time until `on_time_until_ms`.
fn arrived(on_time_until_ms: u64, deadline_ms: u64) -> PendingRequest<'static> {
    let arrival = Arrival { on_time_until_ms, is_caller_retry: false };
    PendingRequest { arrival, deadline_ms, ..pending_request() }
}

/// When a data centre was cut off for 6 s, each of 38 boxes let half a dozen callers disconnect unanswered before it
/// had measured their patience.
#[rstest]
#[case::is_connected(1_800, true)]
#[case::is_about_to_disconnect(1_900, false)]
fn a_caller_with_configured_patience_is_answered_before_it_disconnects(#[case] now_ms: u64, #[case] waits: bool) {
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    let ticket = Some(queue.wait_queue.join(&pending_request()));
    let request = PendingRequest { patience_ms: Some(2_000), ticket, ..pending_request() };
    let decision = queue.decide(&stalled_pool(), 1, &request, 0, now_ms);
    assert_eq!(matches!(decision, DispatchDecision::Wait(_)), waits, "{decision:?}");
}

/// During a first stall, requests that were held in vain at its start do not predict those that arrive near its end.
#[rstest]
#[case::first_stall(false, true)]
#[case::stalls_recur(true, false)]
fn holding_depends_on_its_outcomes_where_stalls_recur(#[case] has_recent_stall: bool, #[case] waits: bool) {
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    (0..20).for_each(|_| queue.stall_outcomes.record(StallHandling::Held, false, 900));
    if has_recent_stall {
        queue.stalls.record(true, 100);
        queue.stalls.record(false, 400);
    }
    let decision =
        queue.decide(&stalled_pool(), 1, &PendingRequest { silent_since_ms: 1_000, ..pending_request() }, 0, 1_000);
    assert_eq!(matches!(decision, DispatchDecision::Wait(_)), waits, "{decision:?}");
}

/// A caller that retries and has no further attempt is answered too, in place of disconnecting unanswered.
#[rstest]
#[case::first_attempt(false)]
#[case::retry(true)]
fn a_caller_is_answered_before_it_disconnects(#[case] is_caller_retry: bool) {
    let mut queue = ServiceQueue::default();
    (0..10).for_each(|_| queue.patience.record_abandonment(2_000));
    queue.service_time.record(1_000);
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry };
    let ticket = Some(queue.wait_queue.join(&pending_request()));
    let decision = queue.decide(&stalled_pool(), 1, &PendingRequest { arrival, ticket, ..pending_request() }, 0, 1_900);
    assert!(matches!(decision, DispatchDecision::GiveUp(_)), "{decision:?}");
}

/// A pool of one endpoint whose group is stalled.
fn stalled_pool() -> EndpointPool {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("e1".into(), endpoint(1)));
    let rank = RankUpdate { endpoint: "e1".into(), running: 0, waiting: 0, pace_permille: 1_000 };
    let update =
        GroupUpdate { service: "tiles".into(), group: "g".into(), ranks: vec![rank], ..GroupUpdate::default() };
    pool.apply_group_update(&update, 1_000);
    pool
}

/// All endpoints state a limit of which this box has no share, so the time of the turn of the second request in the
/// queue is not known.
#[test]
fn a_request_without_a_turn_in_the_queue_is_given_up_at_once() {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("e1".into(), endpoint(1)));
    let limit =
        EndpointLimit { endpoint: "e1".into(), started_ms: 0, rate: Some(RequestRate::from_milli(200)), age_ms: 0 };
    // A box that has not seen the complete list of boxes has no share of so low a limit.
    assert_eq!(pool.apply_limit_update(&LimitUpdate { limits: vec![limit] }, 1_000).len(), 1);
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    let first = queue.wait_queue.join(&pending_request());
    let ahead = queue.decide(&pool, 1, &PendingRequest { ticket: Some(first), ..pending_request() }, 0, 1_010);
    assert!(matches!(ahead, DispatchDecision::GiveUp(_)), "its turn comes after its deadline: {ahead:?}");
    let behind = queue.decide(&pool, 1, &pending_request(), 0, 1_015);
    assert!(matches!(behind, DispatchDecision::GiveUp(_)), "{behind:?}");
}
