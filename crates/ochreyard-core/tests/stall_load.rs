//! Simulates the load of a group that is stalled for seconds and then serves again, with the real
//! decisions of entries on virtual time. Callers keep sending at their usual rate, retry once when
//! they are told to, and the group takes the same time for each request.

mod stall_load_model;

use rstest::rstest;
use stall_load_model::{Callers, Group, simulate};

/// Load on six entries and twelve endpoints of ten slots: callers use three quarters of the slots.
const CALLERS: Callers = Callers {
    per_s: 50,
    timeout_ms: 8_000,
    target_latency_ms: 400,
    patience_ms: 2_000,
    sends_for_ms: 24_000,
    burst_ms: 0..0,
    burst_factor: 1,
};

#[test]
fn without_a_stall_all_requests_are_sent_on_time() {
    let results = simulate(CALLERS, Group { stall_ms: 10_000..10_000, ..Group::default() });
    assert_eq!(results.sent_on_time, results.arrivals);
}

/// A stall of up to half of the timeout of callers: requests are held and served late, and few
/// callers are refused twice.
#[rstest]
#[case::short(2_000)]
#[case::as_for_a_cut_data_centre(6_000)]
fn callers_of_a_stalled_group_are_served_late_rather_than_refused(#[case] length_ms: u64) {
    let results = simulate(CALLERS, Group { stall_ms: 10_000..10_000 + length_ms, ..Group::default() });
    let affected = CALLERS.per_s * length_ms / 1_000;
    assert!(results.sent_late >= affected * 4 / 10, "{results:?}");
    assert!(results.refused <= affected * 6 / 10, "{results:?}");
}

/// Callers disconnect after two seconds without an answer. Once that is known, they are told before
/// that when to retry, and most of them retry after the group has resumed.
#[test]
fn few_callers_disconnect_once_their_patience_is_known() {
    let results = simulate(CALLERS, Group { stall_ms: 10_000..16_000, ..Group::default() });
    let affected = CALLERS.per_s * 6;
    assert!(results.disconnected <= affected / 2, "{results:?}");
}

/// Late requests have a bounded share of the slots, so that new requests are sent on time.
#[test]
fn requests_that_arrive_as_a_stall_ends_are_sent_on_time() {
    let results = simulate(CALLERS, Group { stall_ms: 10_000..16_000, ..Group::default() });
    let first = results.on_time_share(16_000..17_000);
    assert!(first >= 0.97, "{first} of the requests that arrived within a second of the end were sent on time");
}

/// The same once refused callers have retried.
#[test]
fn soon_after_a_stall_requests_are_sent_on_time_again() {
    let results = simulate(CALLERS, Group { stall_ms: 10_000..16_000, ..Group::default() });
    let soon = results.on_time_share(18_000..22_000);
    assert!(soon >= 0.97, "{soon} of the requests that arrived soon after were sent on time");
}

#[test]
fn in_a_stall_that_does_not_end_no_request_waits_for_ever() {
    let callers = Callers { sends_for_ms: 50_000, ..CALLERS };
    let results = simulate(callers, Group { stall_ms: 10_000..90_000, ..Group::default() });
    // Callers have a timeout of 8 s, of which serving takes 2.1 s after a wait, and a stall is expected to last
    // a quarter of its age more: after 23.5 s no request can be served any more. Updates of the group arrive up to
    // 0.3 s late, and an entry notices with its next request, every 0.12 s.
    assert_eq!(
        results.held_after(10_000 + 23_500 + 500),
        0,
        "requests that arrive late in a long stall are refused at once"
    );
}

/// Four times the usual requests for six seconds, which is three times as many as can be served. Requests that cannot
/// be served are refused in place of being held until their callers disconnect, and as many are served as free slots
/// allow.
#[test]
fn in_an_overload_hardly_any_request_is_held_in_vain() {
    let callers = Callers { burst_ms: 5_000..11_000, burst_factor: 4, ..CALLERS };
    let results = simulate(callers, Group::default());
    // Callers accept less than three in a hundred in such a load.
    assert!(results.disconnected * 100 <= results.arrivals * 3, "too many callers disconnected unanswered: {results}");
}
