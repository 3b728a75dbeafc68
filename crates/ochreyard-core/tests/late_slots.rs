//! Which slots late requests get while a service recovers from a stall.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    Arrival, ArrivalRate, DispatchDecision, EndpointChange, EndpointIncarnation, EndpointPool, EndpointRecord,
    GroupUpdate, LateSlots, PendingRequest, PermittedRegions, Priority, PriorityLevel, RankUpdate, ServiceQueue,
    SlotDemand,
};
use proptest::prelude::*;
use rstest::rstest;

/// A box of 62 before 640 slots that gets 4 requests a second, each of which takes 1.5 s: 10.3 slots, of which a tenth
/// is left free and 6 are set aside.
const DEMAND: SlotDemand = SlotDemand { slots: 640, boxes: 62, arrivals_per_ms: Some(0.004), service_ms: Some(1_500) };

#[rstest]
#[case::usual_load(DEMAND, 3.29)]
#[case::arrivals_need_all_slots(SlotDemand { arrivals_per_ms: Some(0.008), ..DEMAND }, 0.0)]
#[case::hardly_any_arrivals(SlotDemand { arrivals_per_ms: Some(0.0), ..DEMAND }, 8.26)]
#[case::arrivals_are_unknown(SlotDemand { arrivals_per_ms: None, ..DEMAND }, 4.13)]
#[case::service_time_is_unknown(SlotDemand { service_ms: None, ..DEMAND }, 4.13)]
#[case::fewer_slots_than_boxes(SlotDemand { slots: 18, arrivals_per_ms: Some(0.0001), ..DEMAND }, 0.11)]
#[case::no_slot(SlotDemand { slots: 0, ..DEMAND }, 0.0)]
#[case::no_box_known(SlotDemand { boxes: 0, ..DEMAND }, 512.0)]
fn slots_for_expected_requests_are_set_aside(#[case] demand: SlotDemand, #[case] slots: f64) {
    let late_slots = demand.late_slots();
    assert!((late_slots - slots).abs() < 0.01, "{late_slots}");
}

proptest! {
    /// With one more slot at each box for its fraction, 62 boxes would take up to 62 slots from requests on time.
    #[test]
    fn fractions_of_a_slot_are_neither_lost_nor_rounded_up(arrivals_per_s in 1.0..6.0, seed: u64) {
        let demand = SlotDemand { arrivals_per_ms: Some(arrivals_per_s / 1_000.0), ..DEMAND };
        let counts = (0..1_000).map(|draw| LateSlots::new(seed.wrapping_add(draw)).count(&demand));
        let mean = counts.sum::<u64>() as f64 / 1_000.0;
        prop_assert!((mean - demand.late_slots()).abs() < 0.08, "{mean} of {}", demand.late_slots());
    }

    /// A new draw for each decision would give every waiting request the next whole slot within some milliseconds.
    #[test]
    fn the_rounding_stays_the_same_during_a_recovery(draw: u64) {
        let mut late_slots = LateSlots::new(draw);
        let count = late_slots.count(&DEMAND);
        late_slots.on_resumed(1_000);
        late_slots.on_sent(1_010);
        prop_assert_eq!(late_slots.count(&DEMAND), count);
    }
}

/// Three slots for late requests, taken 0, 100 and 200 ms after the return. A fourth one was taken before.
#[rstest]
#[case::a_slot_is_free(0, 0, 0)]
#[case::behind_those_that_take_the_free_slots(0, 3, 1_500)]
#[case::first_end(3, 0, 1_200)]
#[case::third_end(3, 2, 1_400)]
#[case::second_round(3, 3, 2_700)]
#[case::more_in_flight_than_slots(4, 0, 1_200)]
fn a_late_request_waits_for_the_end_of_earlier_ones(#[case] in_flight: u64, #[case] ahead: u64, #[case] wait_ms: u64) {
    let demand = SlotDemand { slots: 10, boxes: 1, arrivals_per_ms: Some(0.003_967), ..DEMAND };
    let mut late_slots = LateSlots::new(0);
    late_slots.on_resumed(1_000);
    (0..in_flight.min(3)).for_each(|n| late_slots.on_sent(1_000 + n * 100));
    assert_eq!((late_slots.count(&demand), late_slots.wait_ms(&demand, in_flight, ahead, 1_300)), (3, wait_ms));
}

#[test]
fn a_box_without_slots_for_late_requests_lets_none_wait() {
    let demand = SlotDemand { slots: 0, ..DEMAND };
    assert_eq!(LateSlots::new(0).wait_ms(&demand, 0, 0, 0), u64::MAX);
}

#[test]
fn the_arrival_rate_follows_recent_arrivals() {
    let mut rate = ArrivalRate::default();
    (0..4).for_each(|n| rate.record(n * 250));
    assert_eq!(rate.per_ms(900), None, "arrivals have been counted for less than a second");
    (4..40).for_each(|n| rate.record(n * 250));
    let per_s = rate.per_ms(9_800).unwrap() * 1_000.0;
    assert!((3.5..4.5).contains(&per_s), "{per_s}");
    assert!(rate.per_ms(15_000).is_some_and(|per_ms| per_ms * 1_000.0 < 0.5), "no request has arrived for 5 s");
}

/// Retries follow first attempts that were counted, and are late.
#[test]
fn retries_of_callers_do_not_count_as_expected_requests() {
    let mut queue = ServiceQueue::default();
    for n in 0..8 {
        queue.on_arrival("brief", 400, 8_000, n * 250);
    }
    let before = queue.arrival_rate.per_ms(2_000);
    for _ in 0..8 {
        queue.on_arrival("brief", 400, 4_000, 2_000);
    }
    assert_eq!(queue.arrival_rate.per_ms(2_000), before);
}

const GROUPS: [&str; 2] = ["g1", "g2"];

/// A service of two groups of one endpoint with ten slots each.
fn pool_of_two_groups() -> EndpointPool {
    let mut pool = EndpointPool::new();
    for port in [1, 2] {
        let record = EndpointRecord { slots: 10, ..endpoint(port) };
        pool.apply(EndpointChange::Updated(format!("e{port}"), record));
    }
    pool
}

fn report(pool: &mut EndpointPool, serving: [bool; 2], now_ms: u64) {
    for ((group, is_serving), endpoint) in GROUPS.into_iter().zip(serving).zip(["e1", "e2"]) {
        let rank = RankUpdate { endpoint: endpoint.into(), running: 0, waiting: 0, pace_permille: 1_000 };
        let update = GroupUpdate {
            service: "tiles".into(),
            group: group.into(),
            is_serving,
            ranks: vec![rank],
            ..GroupUpdate::default()
        };
        pool.apply_group_update(&update, now_ms);
    }
}

/// A box whose service stalled at 1 s, with the retry of a caller that arrived then.
fn stalled_box(pool: &mut EndpointPool) -> ServiceQueue {
    report(pool, [false, false], 1_000);
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_000);
    let arrival = queue.on_arrival("brief", 400, 8_000, 1_000);
    let first = PendingRequest { arrival, deadline_ms: 9_000, silent_since_ms: 1_000, ..retry() };
    let decision = queue.decide(pool, 1, &first, 0, 1_010);
    assert!(matches!(decision, DispatchDecision::Wait(_)), "{decision:?}");
    queue
}

fn retry() -> PendingRequest<'static> {
    PendingRequest {
        service: "tiles",
        permitted_regions: &PermittedRegions::ANY,
        tried: &[],
        workspace: None,
        work_tokens: 1,
        may_have_run: false,
        priority: Priority::LOWEST,
        level: PriorityLevel::SINGLE,
        arrival: Arrival { on_time_until_ms: 0, is_caller_retry: true },
        deadline_ms: 6_000,
        silent_since_ms: 1_100,
        target_latency_ms: 400,
        patience_ms: Some(2_000),
        ticket: None,
    }
}

/// Sends late requests until the box has no slot for another one.
fn send_late(queue: &mut ServiceQueue, pool: &mut EndpointPool, now_ms: u64) -> usize {
    let mut sent = 0;
    while let DispatchDecision::Send(pick) = queue.decide(pool, 1, &retry(), sent as u64, now_ms) {
        pool.on_attempt_start(&pick);
        sent += 1;
    }
    sent
}

/// Half of the slots is set aside, since the arrivals are not known yet. Where one group resumes before the other, the
/// slots of the other one must not count: late requests would take all slots of the first.
#[rstest]
#[case::both_groups([true, true], 8..=9)]
#[case::one_group([true, false], 4..=5)]
fn late_requests_get_slots_of_groups_that_serve(
    #[case] serving: [bool; 2],
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut pool = pool_of_two_groups();
    let mut queue = stalled_box(&mut pool);
    report(&mut pool, serving, 1_200);
    let sent = send_late(&mut queue, &mut pool, 1_210);
    assert!(expected.contains(&sent), "{sent}");
}

/// Runs that end after the deadline took slots for 2 s, and their callers got nothing. A stream that is resumed needs
/// less time than a whole one.
#[rstest]
#[case::enough_time(&[], 6_000, true)]
#[case::too_little_time(&[], 2_400, false)]
#[case::resumed_stream(&[EndpointIncarnation { id: String::new(), started_ms: 1 }], 2_400, true)]
fn a_late_request_gets_no_slot_where_it_cannot_be_served_in_time(
    #[case] tried: &[EndpointIncarnation],
    #[case] deadline_ms: u64,
    #[case] is_sent: bool,
) {
    let mut pool = pool_of_two_groups();
    let mut queue = stalled_box(&mut pool);
    report(&mut pool, [true, true], 1_200);
    let decision = queue.decide(&pool, 1, &PendingRequest { tried, deadline_ms, ..retry() }, 0, 1_210);
    assert_eq!(matches!(decision, DispatchDecision::Send(_)), is_sent, "{decision:?}");
}

/// A retry whose turn comes after its caller's patience even if the service resumed now is refused at once. A first
/// attempt is held: its caller retries.
#[rstest]
#[case::retry_with_a_turn(true, 4, true)]
#[case::retry_without_a_turn(true, 20, false)]
#[case::first_attempt_without_a_turn(false, 20, true)]
fn in_a_stall_only_retries_that_can_be_served_are_held(
    #[case] is_caller_retry: bool,
    #[case] ahead: usize,
    #[case] waits: bool,
) {
    let mut pool = pool_of_two_groups();
    let mut queue = stalled_box(&mut pool);
    for _ in 0..ahead {
        queue.wait_queue.join(&PendingRequest { deadline_ms: 5_000, ..retry() });
    }
    let arrival = Arrival { on_time_until_ms: 0, is_caller_retry };
    let decision = queue.decide(&pool, 1, &PendingRequest { arrival, ..retry() }, 0, 2_000);
    assert_eq!(matches!(decision, DispatchDecision::Wait(_)), waits, "{decision:?}");
}

/// The slots are those of before once no caller is left that sent its request in the stall.
#[test]
fn a_recovery_ends_after_the_longest_time_of_a_request() {
    let mut pool = pool_of_two_groups();
    let mut queue = stalled_box(&mut pool);
    report(&mut pool, [true, true], 1_200);
    assert!(send_late(&mut queue, &mut pool, 1_210) < 10);
    report(&mut pool, [true, true], 9_300);
    let late = PendingRequest { deadline_ms: 17_000, ..retry() };
    let decision = queue.decide(&pool, 1, &late, 0, 9_310);
    assert!(matches!(decision, DispatchDecision::Send(_)), "{decision:?}");
}
