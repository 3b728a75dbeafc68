//! Who waits at an entry for an endpoint, and who goes next.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AllowedRegions, Arrival, DispatchDecision, EndpointChange, EndpointLimit, EndpointPool, GroupUpdate, LimitUpdate,
    Patience, PendingRequest, PickError, RankUpdate, RequestRate, ServiceQueue, ServiceTime, StallHandling,
    StallHistory, StallOutcomes, Urgency, WaitFacts, WaitQueue,
};
use rstest::rstest;

/// A request with 5 s left that takes 2 s, at a group that is expected to stand for 1.5 s more, of a caller that
/// has just asked and stays for 1.9 s.
fn facts() -> WaitFacts {
    WaitFacts {
        no_pick: PickError::Stands,
        left_ms: 5_000,
        needed_ms: 2_000,
        has_served: true,
        is_worth_it: true,
        stands_for_ms: 1_500,
        queue_ms: 0,
        silent_ms: 300,
        patience_ms: Some(1_900),
        has_come_back: false,
    }
}

/// The same request once it waits: it was let in by what was expected then.
fn waiting() -> WaitFacts {
    WaitFacts { stands_for_ms: 0, silent_ms: 1_800, ..facts() }
}

#[rstest]
#[case::served_in_time(facts(), true)]
#[case::stands_for_too_long(WaitFacts { stands_for_ms: 3_001, patience_ms: None, ..facts() }, false)]
#[case::too_little_time_left(WaitFacts { left_ms: 3_499, ..facts() }, false)]
#[case::its_group_has_never_served(WaitFacts { has_served: false, ..facts() }, false)]
#[case::a_full_group_that_has_yet_to_answer(WaitFacts { has_served: false, no_pick: PickError::Full, ..facts() }, true)]
#[case::holding_has_served_fewer_than_sending_back(WaitFacts { is_worth_it: false, ..facts() }, false)]
#[case::its_caller_would_leave_before(WaitFacts { silent_ms: 400, ..facts() }, false)]
#[case::its_caller_has_come_back_and_would_leave_before(
    WaitFacts { silent_ms: 400, has_come_back: true, ..facts() }, false)]
#[case::its_caller_is_still_there(waiting(), true)]
#[case::its_caller_is_about_to_leave(WaitFacts { silent_ms: 1_900, ..waiting() }, false)]
#[case::its_caller_has_come_back_and_is_about_to_leave(
    WaitFacts { silent_ms: 1_900, has_come_back: true, ..waiting() }, false)]
#[case::nobody_knows_when_callers_leave(WaitFacts { silent_ms: 1_900, patience_ms: None, ..facts() }, true)]
#[case::no_endpoint_at_all(WaitFacts { no_pick: PickError::Nobody, ..facts() }, false)]
fn a_request_waits_only_where_that_may_help(#[case] facts: WaitFacts, #[case] waits: bool) {
    assert_eq!(facts.may_wait(), waits);
}

#[test]
fn stands_that_recur_are_expected_to_last_as_long_as_before() {
    let mut stands = StallHistory::default();
    for began_ms in [10_000, 20_000] {
        stands.record(true, began_ms);
        assert_eq!(stands.expected_remaining_ms(began_ms + 400), 100, "one stand alone may have had another cause");
        stands.record(false, began_ms + 3_000);
    }
    stands.record(true, 30_000);
    assert_eq!((stands.expected_remaining_ms(30_000), stands.expected_remaining_ms(31_000)), (3_000, 2_000));
    assert_eq!(stands.expected_remaining_ms(38_000), 2_000, "this one is longer: a quarter of its age, as any");
    stands.record(false, 38_000);
    stands.record(true, 90_000);
    assert_eq!(stands.expected_remaining_ms(90_400), 100, "those before are long over");
}

#[test]
fn a_short_pause_belongs_to_the_stand_around_it() {
    let mut stands = StallHistory::default();
    stands.record(true, 1_000);
    stands.record(false, 2_000);
    stands.record(true, 2_200);
    stands.record(true, 5_000);
    assert_eq!(stands.expected_remaining_ms(5_000), 1_000, "it stands for 4 s");
}

#[test]
fn holding_stops_where_it_has_served_fewer_than_half_or_than_sending_back_and_is_tried_again_later() {
    let mut endings = StallOutcomes::default();
    assert!(endings.is_holding_worth_it(0), "nothing is known");
    (0..20).for_each(|n| endings.record(StallHandling::Held, n % 4 != 0, 1_000));
    assert!(endings.is_holding_worth_it(1_000), "three of four were served");
    (0..20).for_each(|n| endings.record(StallHandling::CallerRetried, n % 10 != 0, 1_000));
    assert!(!endings.is_holding_worth_it(1_000), "nine of ten that were sent back were");
    let mut endings = StallOutcomes::default();
    (0..20).for_each(|n| endings.record(StallHandling::Held, n % 4 == 0, 1_000));
    assert!(!endings.is_holding_worth_it(1_000), "one of four");
    assert!(endings.is_holding_worth_it(61_000), "that was a minute ago");
}

#[test]
fn those_in_their_aim_go_first_then_those_with_the_least_time_left() {
    let mut line = WaitQueue::default();
    let late = line.join(100, 9_000);
    let later = line.join(100, 8_000);
    let fresh = line.join(1_200, 9_500);
    let order = [fresh, later, late];
    for ticket in order {
        assert!(order.iter().all(|other| line.is_next(*other, 1_000) == (*other == ticket)));
        line.leave(ticket);
    }
    assert!(line.is_empty());
}

#[test]
fn only_a_request_in_its_aim_overtakes_late_ones() {
    let mut line = WaitQueue::default();
    line.join(100, 9_000);
    assert!(line.may_overtake(Urgency::OnTime, 1_000));
    assert!(!line.may_overtake(Urgency::Late, 1_000));
    line.join(1_200, 9_500);
    assert!(!line.may_overtake(Urgency::OnTime, 1_000), "another one in its aim came before");
    assert!(line.may_overtake(Urgency::OnTime, 1_300), "its aim has passed since");
}

#[test]
fn a_stand_is_expected_to_last_a_quarter_as_long_again_and_is_forgotten_once_it_is_over() {
    let mut stands = StallHistory::default();
    stands.record(true, 1_000);
    stands.record(true, 2_500);
    assert_eq!(stands.expected_remaining_ms(3_000), 500);
    stands.record(false, 3_000);
    assert_eq!(stands.expected_remaining_ms(9_000), 0);
    stands.record(true, 10_000);
    assert_eq!(stands.expected_remaining_ms(10_400), 100);
}

#[test]
fn a_caller_that_comes_back_with_less_time_is_late() {
    let mut queue = ServiceQueue::default();
    let first = |on_time_until_ms| Arrival { on_time_until_ms, is_caller_retry: false };
    assert_eq!(queue.on_arrival("brief", 400, 8_000, 0), first(200));
    let second = Arrival { on_time_until_ms: 10_000, is_caller_retry: true };
    assert_eq!(queue.on_arrival("brief", 400, 5_300, 10_000), second);
    assert_eq!(queue.on_arrival("brief", 400, 7_900, 20_000), first(20_200), "a little less is no second try");
    assert_eq!(queue.on_arrival("notice", 400, 5_300, 30_000), first(30_200), "each route has callers of its own");
}

#[rstest]
#[case::many_slots(630, 38, 14)]
#[case::more_boxes_than_slots(18, 38, 2)]
#[case::no_box_known(100, 0, 80)]
fn each_box_has_its_share_of_the_late_ones(#[case] slots: u64, #[case] boxes: u64, #[case] running: u64) {
    assert_eq!(ServiceQueue::max_late_in_flight(slots, boxes), running);
}

#[test]
fn the_time_of_serving_follows_what_it_took_of_late() {
    let mut time = ServiceTime::default();
    assert_eq!(time.estimate_after_wait_ms(), None);
    time.record(1_000);
    assert_eq!(time.estimate_after_wait_ms(), Some(1_250), "a full group takes longer");
    (0..20).for_each(|_| time.record(4_000));
    assert!(time.estimate_after_wait_ms().is_some_and(|needed_ms| needed_ms < 2_000), "a few slow answers say little");
    (0..500).for_each(|_| time.record(4_000));
    assert!(time.estimate_after_wait_ms().is_some_and(|needed_ms| needed_ms > 4_900));
}

#[test]
fn callers_are_answered_shortly_before_most_of_them_would_leave() {
    let mut patience = Patience::default();
    (0..5).for_each(|_| patience.record_abandonment(2_000));
    assert_eq!(patience.hold_limit_ms(), None, "a few callers say little");
    (0..20).for_each(|_| patience.record_abandonment(100));
    assert_eq!(patience.hold_limit_ms(), None, "who leaves at once does not leave for the wait");
    patience.record_abandonment(600);
    assert!(patience.hold_limit_ms().is_some_and(|limit_ms| (1_800..2_000).contains(&limit_ms)));
    (0..32).for_each(|_| patience.record_abandonment(500));
    assert!(patience.hold_limit_ms().is_some_and(|limit_ms| limit_ms < 500), "the last ones count");
}

/// A stream that had stood for 1.5 s before its endpoint was lost leaves its caller half a second, not two.
#[rstest]
#[case::asked_just_now(1_400, true)]
#[case::heard_nothing_for_long(0, false)]
fn patience_counts_from_what_the_caller_heard_last(#[case] silent_since_ms: u64, #[case] waits: bool) {
    let mut queue = ServiceQueue::default();
    (0..10).for_each(|_| queue.patience.record_abandonment(2_000));
    queue.service_time.record(1_000);
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry: false };
    let ticket = Some(queue.wait_queue.join(0, 8_000));
    let seeker = PendingRequest { arrival, silent_since_ms, ticket, ..seeker() };
    let choice = queue.decide(&standing_pool(), 1, &seeker, 0, 1_900);
    assert_eq!(matches!(choice, DispatchDecision::Wait(_)), waits, "{choice:?}");
}

fn seeker() -> PendingRequest<'static> {
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry: false };
    PendingRequest {
        service: "tiles",
        allowed_regions: &AllowedRegions::ANY,
        tried: &[],
        arrival,
        deadline_ms: 8_000,
        silent_since_ms: 0,
        aim_ms: 400,
        patience_ms: None,
        ticket: None,
    }
}

/// Seen: a data centre cut off for 6 s, and each of 38 boxes let half a dozen callers leave unanswered before it knew how
/// long they stay.
#[rstest]
#[case::is_there(1_800, true)]
#[case::is_about_to_leave(1_900, false)]
fn a_caller_whose_patience_is_stated_is_answered_before_it_leaves(#[case] now_ms: u64, #[case] waits: bool) {
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    let ticket = Some(queue.wait_queue.join(0, 8_000));
    let seeker = PendingRequest { patience_ms: Some(2_000), ticket, ..seeker() };
    let choice = queue.decide(&standing_pool(), 1, &seeker, 0, now_ms);
    assert_eq!(matches!(choice, DispatchDecision::Wait(_)), waits, "{choice:?}");
}

/// While a first stand lasts, those that were held in vain at its start say nothing of those that come near its end.
#[rstest]
#[case::first_stand(false, true)]
#[case::stands_recur(true, false)]
fn holding_goes_by_what_it_has_brought_where_stands_recur(#[case] recur: bool, #[case] waits: bool) {
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    (0..20).for_each(|_| queue.stall_outcomes.record(StallHandling::Held, false, 900));
    if recur {
        queue.stalls.record(true, 100);
        queue.stalls.record(false, 400);
    }
    let choice = queue.decide(&standing_pool(), 1, &PendingRequest { silent_since_ms: 1_000, ..seeker() }, 0, 1_000);
    assert_eq!(matches!(choice, DispatchDecision::Wait(_)), waits, "{choice:?}");
}

/// Also one that has come back, and has no further try: it learns that nothing can be done, in place of leaving unanswered.
#[rstest]
#[case::first_time(false)]
#[case::second_time(true)]
fn a_caller_is_answered_before_it_leaves(#[case] is_caller_retry: bool) {
    let mut queue = ServiceQueue::default();
    (0..10).for_each(|_| queue.patience.record_abandonment(2_000));
    queue.service_time.record(1_000);
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry };
    let ticket = Some(queue.wait_queue.join(0, 8_000));
    let choice = queue.decide(&standing_pool(), 1, &PendingRequest { arrival, ticket, ..seeker() }, 0, 1_900);
    assert!(matches!(choice, DispatchDecision::GiveUp(_)), "{choice:?}");
}

/// One endpoint, whose group stands.
fn standing_pool() -> EndpointPool {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("e1".into(), endpoint(1)));
    let rank = RankUpdate { endpoint: "e1".into(), running: 0, waiting: 0, pace_permille: 1_000 };
    let news = GroupUpdate { service: "tiles".into(), group: "g".into(), ranks: vec![rank], ..GroupUpdate::default() };
    pool.apply_group_update(&news, 1_000);
    pool
}

/// All endpoints name a limit of which this box has no part: nobody can say when the second in line gets its turn.
#[test]
fn one_behind_others_for_whom_there_is_no_turn_is_told_at_once() {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("e1".into(), endpoint(1)));
    let told =
        EndpointLimit { endpoint: "e1".into(), started_ms: 0, rate: Some(RequestRate::from_milli(200)), age_ms: 0 };
    // A box that has not seen the whole list of boxes has no part of so low a limit.
    assert_eq!(pool.apply_limit_update(&LimitUpdate { limits: vec![told] }, 1_000).len(), 1);
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    let first = queue.wait_queue.join(0, 8_000);
    let ahead = queue.decide(&pool, 1, &PendingRequest { ticket: Some(first), ..seeker() }, 0, 1_010);
    assert!(matches!(ahead, DispatchDecision::GiveUp(_)), "its turn comes after its time: {ahead:?}");
    let behind = queue.decide(&pool, 1, &seeker(), 0, 1_015);
    assert!(matches!(behind, DispatchDecision::GiveUp(_)), "{behind:?}");
}
