//! Who waits at an entry for an endpoint, and who goes next.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    Arrival, Choice, EndpointChange, EndpointPool, GroupNews, NoPick, Patience, RankNews, Seeker, ServiceQueue,
    ServiceTime, Stands, Urgency, WaitFacts, WaitingLine,
};
use rstest::rstest;

/// A request with 5 s left that takes 2 s, at a group that has stood for 2 s.
fn facts() -> WaitFacts {
    WaitFacts {
        no_pick: NoPick::Stands,
        left_ms: 5_000,
        needed_ms: 2_000,
        has_served: true,
        stands_for_ms: 2_000,
        waited_ms: 1_800,
        patience_ms: Some(1_900),
    }
}

#[rstest]
#[case::served_in_time(facts(), true)]
#[case::stands_for_too_long(WaitFacts { stands_for_ms: 3_001, ..facts() }, false)]
#[case::too_little_time_left(WaitFacts { left_ms: 3_999, ..facts() }, false)]
#[case::its_group_has_never_served(WaitFacts { has_served: false, ..facts() }, false)]
#[case::a_full_group_that_has_yet_to_answer(WaitFacts { has_served: false, no_pick: NoPick::Full, ..facts() }, true)]
#[case::its_caller_is_about_to_leave(WaitFacts { waited_ms: 1_900, ..facts() }, false)]
#[case::nobody_knows_when_callers_leave(WaitFacts { waited_ms: 1_900, patience_ms: None, ..facts() }, true)]
#[case::no_endpoint_at_all(WaitFacts { no_pick: NoPick::Nobody, ..facts() }, false)]
fn a_request_waits_only_where_that_may_help(#[case] facts: WaitFacts, #[case] waits: bool) {
    assert_eq!(facts.may_wait(), waits);
}

#[test]
fn those_in_their_aim_go_first_then_those_with_the_least_time_left() {
    let mut line = WaitingLine::default();
    let late = line.join(100, 9_000, 0);
    let later = line.join(100, 8_000, 0);
    let fresh = line.join(1_200, 9_500, 0);
    let order = [fresh, later, late];
    for ticket in order {
        assert!(order.iter().all(|other| line.is_next(*other, 1_000) == (*other == ticket)));
        line.leave(ticket);
    }
    assert!(line.is_empty());
}

#[test]
fn only_a_request_in_its_aim_overtakes_late_ones() {
    let mut line = WaitingLine::default();
    line.join(100, 9_000, 0);
    assert!(line.may_overtake(Urgency::InAim, 1_000));
    assert!(!line.may_overtake(Urgency::Late, 1_000));
    line.join(1_200, 9_500, 0);
    assert!(!line.may_overtake(Urgency::InAim, 1_000), "another one in its aim came before");
    assert!(line.may_overtake(Urgency::InAim, 1_300), "its aim has passed since");
}

#[test]
fn a_stand_is_expected_to_last_a_quarter_as_long_again_and_is_forgotten_once_it_is_over() {
    let mut stands = Stands::default();
    stands.note(true, 1_000);
    stands.note(true, 2_500);
    assert_eq!(stands.rest_ms(3_000), 500);
    stands.note(false, 3_000);
    assert_eq!(stands.rest_ms(9_000), 0);
    stands.note(true, 10_000);
    assert_eq!(stands.rest_ms(10_400), 100);
}

#[test]
fn a_caller_that_comes_back_with_less_time_is_late() {
    let mut queue = ServiceQueue::default();
    let first = |in_aim_until_ms| Arrival { in_aim_until_ms, has_come_back: false };
    assert_eq!(queue.on_arrival("brief", 400, 8_000, 0), first(200));
    let second = Arrival { in_aim_until_ms: 10_000, has_come_back: true };
    assert_eq!(queue.on_arrival("brief", 400, 5_300, 10_000), second);
    assert_eq!(queue.on_arrival("brief", 400, 7_900, 20_000), first(20_200), "a little less is no second try");
    assert_eq!(queue.on_arrival("notice", 400, 5_300, 30_000), first(30_200), "each route has callers of its own");
}

#[rstest]
#[case::many_slots(630, 38, 14)]
#[case::more_boxes_than_slots(18, 38, 2)]
#[case::no_box_known(100, 0, 80)]
fn each_box_has_its_share_of_the_late_ones(#[case] slots: u64, #[case] boxes: u64, #[case] running: u64) {
    assert_eq!(ServiceQueue::most_late(slots, boxes), running);
}

#[test]
fn the_time_of_serving_follows_what_it_took_of_late() {
    let mut time = ServiceTime::default();
    assert_eq!(time.after_wait_ms(), None);
    time.note(1_000);
    assert_eq!(time.after_wait_ms(), Some(1_250), "a full group takes longer");
    (0..20).for_each(|_| time.note(4_000));
    assert!(time.after_wait_ms().is_some_and(|needed_ms| needed_ms < 2_000), "a few slow answers say little");
    (0..500).for_each(|_| time.note(4_000));
    assert!(time.after_wait_ms().is_some_and(|needed_ms| needed_ms > 4_900));
}

#[test]
fn callers_are_answered_shortly_before_most_of_them_would_leave() {
    let mut patience = Patience::default();
    (0..5).for_each(|_| patience.note(2_000));
    assert_eq!(patience.limit_ms(), None, "a few callers say little");
    (0..20).for_each(|_| patience.note(100));
    assert_eq!(patience.limit_ms(), None, "who leaves at once does not leave for the wait");
    patience.note(600);
    assert!(patience.limit_ms().is_some_and(|limit_ms| (1_800..2_000).contains(&limit_ms)));
    (0..32).for_each(|_| patience.note(500));
    assert!(patience.limit_ms().is_some_and(|limit_ms| limit_ms < 500), "the last ones count");
}

#[test]
fn a_wait_counts_from_when_the_request_joined() {
    let mut line = WaitingLine::default();
    let ticket = line.join(100, 9_000, 1_000);
    assert_eq!(line.waited_ms(Some(ticket), 2_500), 1_500);
    assert_eq!(line.waited_ms(None, 2_500), 0);
}

#[test]
fn only_a_caller_that_would_come_back_is_told_early() {
    let mut queue = ServiceQueue::default();
    (0..10).for_each(|_| queue.patience.note(2_000));
    queue.time.note(1_000);
    let pool = standing_pool();
    for has_come_back in [false, true] {
        let arrival = Arrival { in_aim_until_ms: 0, has_come_back };
        let ticket = Some(queue.line.join(0, 8_000, 0));
        let seeker = Seeker { service: "tiles", tried: &[], arrival, deadline_ms: 8_000, aim_ms: 400, ticket };
        let choice = queue.choose(&pool, 1, &seeker, 0, 1_900);
        assert_eq!(matches!(choice, Choice::Wait(_)), has_come_back, "{choice:?}");
    }
}

/// One endpoint, whose group stands.
fn standing_pool() -> EndpointPool {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Known("e1".into(), endpoint(1)));
    let rank = RankNews { endpoint: "e1".into(), running: 0, waiting: 0, pace_permille: 1_000 };
    let news = GroupNews { service: "tiles".into(), group: "g".into(), ranks: vec![rank], ..GroupNews::default() };
    pool.on_news(&news, 1_000);
    pool
}
