//! Rate limits for all boxes together: how they are divided, which reports change them, and which requests count.

use std::net::SocketAddr;

use ochreyard_core::direct::{
    EndpointChange, EndpointLimit, EndpointPool, EndpointRecord, EndpointSignals, LimitUpdate, Pick, PickError, Quota,
    ReportedLimit, RequestRate, ShareRank, SharedLimit, SharingBoxes, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

const ONLY_BOX: ShareRank = ShareRank { rank: 0, boxes: 1 };

const fn milli(milli_per_s: u64) -> Option<RequestRate> {
    Some(RequestRate::from_milli(milli_per_s))
}

fn sharing_boxes(own: usize, boxes: usize) -> SharingBoxes {
    let names: Vec<String> = (0..boxes).filter(|other| *other != own).map(|at| format!("box-{at}")).collect();
    SharingBoxes::new(&format!("box-{own}"), names.iter().map(String::as_str), true)
}

proptest! {
    #[test]
    fn the_shares_of_all_boxes_add_up_to_the_quota(rate in 0u64..2_000_000, boxes in 1u64..400) {
        let quota = Quota::from_rate(RequestRate::from_milli(rate));
        let dealt: u64 = (0..boxes).map(|rank| quota.share(ShareRank { rank, boxes })).sum();
        prop_assert_eq!(dealt, quota.count);
        prop_assert!(quota.count as f64 <= rate as f64 * 4.0 / 1_000.0 + 1.0, "at most one request above the rate within 4 s");
    }

    #[test]
    fn all_boxes_compute_the_same_order(boxes in 1usize..40, key in "[a-z0-9-]{1,12}") {
        let mut ranks: Vec<u64> = (0..boxes).map(|own| sharing_boxes(own, boxes).share_rank(&key).rank).collect();
        ranks.sort_unstable();
        prop_assert_eq!(ranks, (0..boxes as u64).collect::<Vec<_>>());
    }
}

#[test]
fn a_box_with_an_incomplete_list_of_boxes_takes_a_smaller_share_than_any_other() {
    let knows_two = SharingBoxes::new("box-0", ["box-1"].into_iter(), false);
    let quota = Quota::from_rate(RequestRate::from_milli(5_000));
    assert_eq!(quota.share(knows_two.share_rank("i-0")), 0);
    assert!(quota.share(sharing_boxes(0, 2).share_rank("i-0")) >= 10);
    assert!(knows_two.count() >= 432, "at least the size of the largest fleet");
}

/// Guards against boxes that start behind a cut of a large fleet and know only the boxes on their side: each took the share
/// of one in 128 boxes.
#[test]
fn boxes_that_know_one_data_centre_of_a_large_fleet_take_no_more_than_their_share() {
    const BOXES: usize = 432;
    const CUT_OFF: usize = 87;
    let others: Vec<String> = (1..CUT_OFF).map(|at| format!("box-{at}")).collect();
    let cut_off = SharingBoxes::new("box-0", others.iter().map(String::as_str), false);
    let shares = CUT_OFF as f64 / cut_off.count() as f64 + (BOXES - CUT_OFF) as f64 / BOXES as f64;
    assert!(shares <= 1.0, "all boxes together take {shares:.2} of what they share");
}

#[rstest]
#[case::a_lower_limit_in_an_older_response_applies(milli(500), 5, milli(500))]
#[case::a_higher_limit_in_an_older_response_does_not(milli(9_000), 5, milli(1_000))]
#[case::no_limit_in_an_older_response_changes_nothing(None, 5, milli(1_000))]
#[case::a_higher_limit_for_a_later_request_applies(milli(9_000), 11, milli(9_000))]
#[case::no_limit_for_a_later_request_ends_it(None, 11, None)]
fn responses_out_of_order_do_not_raise_the_limit(
    #[case] rate: Option<RequestRate>,
    #[case] asked_ms: u64,
    #[case] expected: Option<RequestRate>,
) {
    let mut limit = SharedLimit::new(milli(1_000), ONLY_BOX, 10);
    let _ = limit.on_answer(rate, asked_ms, 20);
    assert_eq!(limit.rate(), expected);
}

#[rstest]
#[case::an_older_report_changes_nothing(milli(500), 5_000, milli(1_000))]
#[case::a_later_report_applies(milli(9_000), 12_000, milli(9_000))]
#[case::a_later_report_of_no_limit_ends_it(None, 12_000, None)]
#[case::the_lower_of_simultaneous_limits_applies(milli(500), 9_500, milli(500))]
#[case::the_higher_of_simultaneous_limits_does_not(milli(9_000), 10_500, milli(1_000))]
#[case::a_simultaneous_report_of_no_limit_does_not_end_it(None, 10_500, milli(1_000))]
fn reports_of_other_boxes_apply_by_the_time_of_the_response(
    #[case] rate: Option<RequestRate>,
    #[case] heard_ms: u64,
    #[case] expected: Option<RequestRate>,
) {
    let mut limit = SharedLimit::new(milli(1_000), ONLY_BOX, 10_000);
    let _ = limit.on_peer_report(rate, heard_ms);
    assert_eq!(limit.rate(), expected);
}

#[test]
fn a_request_that_never_reached_the_endpoint_does_not_count() {
    let mut limit = SharedLimit::new(milli(100), ONLY_BOX, 0);
    limit.on_sent(10);
    assert!(!limit.admits(0, 20));
    limit.undo_send(10);
    assert!(limit.admits(0, 20));
    assert!(!limit.admits(1, 20), "the request that is picked but unsent uses the share");
}

/// Guards against a limit that forgets abandoned requests: a stopped endpoint reads them at once when it goes on.
#[test]
fn abandoned_requests_count_until_a_window_after_the_endpoint_is_heard() {
    let mut limit = SharedLimit::new(milli(1_000), ONLY_BOX, 0);
    let Quota { count, window_ms } = limit.share().unwrap();
    let mut now_ms = 0;
    let mut send_all = |limit: &mut SharedLimit, until_ms: u64| {
        let mut sent = 0;
        while now_ms < until_ms {
            now_ms += 100;
            if limit.admits(0, now_ms) {
                limit.on_sent(now_ms);
                limit.on_abandoned(now_ms);
                sent += 1;
            }
        }
        sent
    };
    assert_eq!(send_all(&mut limit, window_ms), count);
    assert!(send_all(&mut limit, 5 * window_ms) <= 4, "one per window shows whether the endpoint goes on");
    limit.on_heard(5 * window_ms);
    assert!(!limit.admits(0, 6 * window_ms - 1));
    assert!(limit.admits(0, 6 * window_ms));
}

#[test]
fn an_endpoint_with_a_limit_of_zero_is_probed_periodically() {
    let limit = SharedLimit::new(milli(0), ONLY_BOX, 0);
    assert!(limit.admits(0, 10));
    let mut limit = limit;
    limit.on_sent(10);
    assert!(!limit.admits(0, 19_000));
    assert!(limit.admits(0, 20_010));
}

fn record() -> EndpointRecord {
    EndpointRecord {
        service: "tiles".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 8_280)),
        data_centre: "a".to_owned(),
        slots: 12,
        is_leaving: false,
        cold_ms: 0,
        started_ms: 1,
    }
}

fn pool() -> EndpointPool {
    let mut pool = EndpointPool::new();
    pool.set_sharing_boxes(sharing_boxes(0, 1));
    pool.apply(EndpointChange::Updated("i-0".to_owned(), record()));
    pool
}

fn pick(pool: &EndpointPool, now_ms: u64) -> Result<Pick, PickError> {
    pool.pick("tiles", &[], Urgency::OnTime, 0, now_ms)
}

const ALMOST_NONE: ReportedLimit = ReportedLimit::Limited(RequestRate::from_milli(50));

#[test]
fn a_backoff_takes_precedence_over_a_limit() {
    let mut pool = pool();
    let picked = pick(&pool, 0).unwrap();
    let _ = pool.on_reported_limit(&picked, ReportedLimit::Limited(RequestRate::from_milli(100_000)), 0, 1);
    pool.on_signals(&picked, &EndpointSignals { backoff_ms: Some(3_000), ..EndpointSignals::default() }, 1);
    assert_eq!(pick(&pool, 2), Err(PickError::Paused { until_ms: 3_001 }));
    assert!(!pool.try_record_send(&picked, None, 2));
}

#[test]
fn if_all_endpoints_are_limited_the_next_send_time_is_known() {
    let mut pool = pool();
    let picked = pick(&pool, 0).unwrap();
    pool.on_attempt_start(&picked);
    assert!(pool.try_record_send(&picked, None, 0));
    let _ = pool.on_reported_limit(&picked, ALMOST_NONE, 0, 10);
    let next = pick(&pool, 20).unwrap();
    pool.on_attempt_start(&next);
    assert!(pool.try_record_send(&next, None, 20));
    assert_eq!(pick(&pool, 30), Err(PickError::Limited { until_ms: 20_020 }));
}

#[test]
fn a_limit_reported_while_a_connection_opens_is_respected() {
    let mut pool = pool();
    let waiting: Vec<Pick> = (0..3)
        .map(|_| {
            let picked = pick(&pool, 0).unwrap();
            pool.on_attempt_start(&picked);
            picked
        })
        .collect();
    let _ = pool.on_reported_limit(&waiting[0], ALMOST_NONE, 0, 10);
    let sent = waiting.iter().filter(|picked| pool.try_record_send(picked, None, 20)).count();
    assert_eq!(sent, 1);
}

#[test]
fn a_request_rewritten_over_a_new_connection_counts_once() {
    let mut pool = pool();
    let picked = pick(&pool, 0).unwrap();
    let _ = pool.on_reported_limit(&picked, ALMOST_NONE, 0, 1);
    pool.on_attempt_start(&picked);
    assert!(pool.try_record_send(&picked, None, 10));
    assert!(pool.try_record_send(&picked, Some(10), 60), "the first connection had closed before a byte was written");
    assert!(matches!(pick(&pool, 70), Err(PickError::Limited { until_ms: 20_060 })));
}

#[test]
fn a_limit_and_its_use_survive_the_expiry_and_return_of_the_record() {
    let mut pool = pool();
    let picked = pick(&pool, 0).unwrap();
    let _ = pool.on_reported_limit(&picked, ALMOST_NONE, 0, 1);
    pool.on_attempt_start(&picked);
    assert!(pool.try_record_send(&picked, None, 10));
    pool.apply(EndpointChange::Removed("i-0".to_owned()));
    pool.apply(EndpointChange::Updated("i-0".to_owned(), record()));
    assert!(matches!(pick(&pool, 20), Err(PickError::Limited { .. })));
}

#[test]
fn the_limit_of_an_earlier_incarnation_does_not_apply_to_the_next() {
    let mut pool = pool();
    let picked = pick(&pool, 0).unwrap();
    pool.apply(EndpointChange::Updated("i-0".to_owned(), EndpointRecord { started_ms: 2, ..record() }));
    let _ = pool.on_reported_limit(&picked, ALMOST_NONE, 0, 1);
    for _ in 0..3 {
        let next = pick(&pool, 10).unwrap();
        pool.on_attempt_start(&next);
        assert!(pool.try_record_send(&next, None, 10));
    }
}

#[test]
fn a_limit_is_announced_once_and_again_when_it_is_confirmed() {
    let mut pool = pool();
    pool.set_sharing_boxes(sharing_boxes(0, 99));
    let picked = Pick::from_record("i-0", &record());
    assert!(pool.on_reported_limit(&picked, ALMOST_NONE, 0, 1));
    assert!(!pool.on_reported_limit(&picked, ALMOST_NONE, 2, 3), "it is already known");
    let first = pool.limit_version();
    assert_eq!(pool.limit_update_since(0, 5).limits.len(), 1);
    assert!(pool.limit_update_since(first, 5).is_empty());
    let _ = pool.on_reported_limit(&picked, ALMOST_NONE, 6_000, 6_100);
    assert_eq!(pool.limit_update_since(first, 6_200).limits[0].age_ms, 100);
}

#[test]
fn a_limit_reported_by_another_box_applies() {
    let mut pool = pool();
    pool.set_sharing_boxes(sharing_boxes(0, 99));
    let reported = EndpointLimit { endpoint: "i-0".to_owned(), started_ms: 1, rate: milli(50), age_ms: 5 };
    assert_eq!(pool.apply_limit_update(&LimitUpdate { limits: vec![reported.clone()] }, 10).len(), 1);
    assert!(pool.apply_limit_update(&LimitUpdate { limits: vec![reported] }, 11).is_empty(), "it is already known");
    let is_mine = sharing_boxes(0, 99).share_rank("i-0").rank == 0;
    assert_eq!(pick(&pool, 20).is_ok(), is_mine, "only one box has a share");
}
