//! Tells peers that are slow to read from peers that are cut off.
//!
//! Guards against two faults: a request that is lost since its endpoint reads nothing for a while, and one that stays for long
//! at an endpoint that is cut off.

use ochreyard_core::direct::{Observing, PeerWatch, TcpSample, Verifying};
use proptest::prelude::*;
use rstest::rstest;

const START_MS: u64 = 100_000;
/// Time in which a peer that is cut off has to be found.
const MAX_DETECTION_MS: u64 = 2_000;

const IDLE: TcpSample = TcpSample {
    unacked_segments: 0,
    unsent_bytes: 0,
    unanswered_probes: 0,
    last_ack_age_ms: 0,
    peer_window_bytes: Some(65_536),
};
const WINDOW_CLOSED: TcpSample = TcpSample { unsent_bytes: 4_096, peer_window_bytes: Some(0), ..IDLE };
const PROBED: TcpSample = TcpSample { unanswered_probes: 1, ..IDLE };
const IN_FLIGHT: TcpSample = TcpSample { unacked_segments: 3, ..IDLE };

/// The state of a connection whose peer has acknowledged something `age_ms` ago.
const fn acked(sample: TcpSample, age_ms: u64) -> TcpSample {
    TcpSample { last_ack_age_ms: age_ms, ..sample }
}

/// Takes samples from the start until it has to be verified that the peer is reachable; `None` if that does not happen within
/// a minute. `sample` returns the state some milliseconds after the start.
fn observe_until_verifying(sample: impl Fn(u64) -> TcpSample) -> Option<(u64, PeerWatch<Verifying>)> {
    let interval_ms = PeerWatch::SAMPLE_INTERVAL.as_millis() as u64;
    let mut watch = PeerWatch::start(START_MS);
    for elapsed_ms in (interval_ms..60_000).step_by(interval_ms as usize) {
        match watch.observe(&sample(elapsed_ms), START_MS + elapsed_ms) {
            Ok(next) => watch = next,
            Err(verifying) => return Some((elapsed_ms, verifying)),
        }
    }
    None
}

#[rstest]
#[case::waits_for_an_answer(IDLE, 60_000)]
#[case::acknowledges_probes(PROBED, 400)]
#[case::acknowledges_some_segments(IN_FLIGHT, 300)]
#[case::acknowledges_window_probes(WINDOW_CLOSED, 800)]
fn a_peer_that_acknowledges_is_not_verified(#[case] sample: TcpSample, #[case] max_ack_age_ms: u64) {
    assert!(observe_until_verifying(|elapsed_ms| acked(sample, elapsed_ms % max_ack_age_ms)).is_none());
}

#[rstest]
#[case::nothing_acknowledged(IN_FLIGHT)]
#[case::no_probe_acknowledged(PROBED)]
#[case::window_closed(WINDOW_CLOSED)]
fn a_peer_that_is_cut_off_is_found_in_time(#[case] sample: TcpSample) {
    let (elapsed_ms, verifying) = observe_until_verifying(|elapsed_ms| acked(sample, elapsed_ms)).unwrap();
    let timeout_ms = PeerWatch::TIMEOUT.as_millis() as u64;
    let found_ms = elapsed_ms + timeout_ms;
    assert!(found_ms <= MAX_DETECTION_MS, "{found_ms} ms");
    assert!(verifying.on_unreachable(&acked(sample, found_ms), START_MS + found_ms).is_none());
}

/// The idle time before a request was written is no silence of the peer.
#[test]
fn silence_counts_from_the_start_of_the_watch() {
    assert!(PeerWatch::start(START_MS).observe(&acked(IN_FLIGHT, 50_000), START_MS + 200).is_ok());
}

#[test]
fn a_peer_that_acknowledges_while_it_is_verified_is_not_cut_off() {
    let (elapsed_ms, verifying) = observe_until_verifying(|elapsed_ms| acked(WINDOW_CLOSED, elapsed_ms)).unwrap();
    let now_ms = START_MS + elapsed_ms + 650;
    assert!(verifying.on_unreachable(&acked(WINDOW_CLOSED, 100), now_ms).is_some());
}

/// After a check has shown that the peer is reachable, a cut is found in the same time as before.
#[test]
fn a_cut_after_a_closed_window_is_found_in_time() {
    let (elapsed_ms, verifying) = observe_until_verifying(|elapsed_ms| acked(WINDOW_CLOSED, elapsed_ms)).unwrap();
    let reachable_ms = START_MS + elapsed_ms + 10;
    let watch: PeerWatch<Observing> = verifying.on_reachable(reachable_ms);
    let next_ms = reachable_ms + MAX_DETECTION_MS - PeerWatch::TIMEOUT.as_millis() as u64;
    let verifying = watch.observe(&acked(WINDOW_CLOSED, 4_000), next_ms).expect_err("verified again");
    assert!(verifying.on_unreachable(&acked(WINDOW_CLOSED, 5_000), next_ms + 650).is_none());
}

proptest! {
    /// However long this process was stopped between two samples, only a check that has failed ends the connection, and not
    /// if the peer has acknowledged something since it began.
    #[test]
    fn no_stop_of_this_process_ends_a_connection(stopped_ms in 0_u64..100_000, ack_age_ms in 0_u64..100_000) {
        let stopped = START_MS + stopped_ms;
        if let Err(verifying) = PeerWatch::start(START_MS).observe(&acked(WINDOW_CLOSED, ack_age_ms), stopped) {
            let now_ms = stopped + stopped_ms;
            let is_cut_off = verifying.on_unreachable(&acked(WINDOW_CLOSED, ack_age_ms), now_ms).is_none();
            prop_assert_eq!(is_cut_off, ack_age_ms >= stopped_ms);
        }
    }
}
