//! Bounds on the calls to the platform's log, the polls, the bytes and the propagation time of a whole fleet.
//!
//! Guards against a fleet that overloads the log or learns of a leaving endpoint too late: hundreds of boxes that start at
//! once, an outage of the log, a log that refuses a third of the boxes, a log restored from an older copy, and data centres
//! that cannot reach each other. `cargo run --release
//! -p ochreyard-fleet-model -- --boxes 2000` prints the figures for another size.

use ochreyard_fleet_model::{Fault, Fleet, LEAVE_PROPAGATION_MS, RUN_MS, Sample};
use rstest::rstest;

const SIZES: [usize; 3] = [30, 100, 300];
const SEED: u64 = 1;
/// Limit on calls to the log in the startup phase, for any number of boxes. There are two readers, two relays in each of
/// five data centres, and three seed boxes.
const MAX_STARTUP_CALLS: u64 = 100;
/// Limit on calls to the log per minute after the startup phase, for any number of boxes.
const MAX_CALLS_PER_MINUTE: f64 = 600.0;
/// Limit on the answers of the median box without a fault, in bytes per second.
const MAX_MEDIAN_BYTES_PER_SECOND: f64 = 30_000.0;
/// Limit on the answers of the busiest box without a fault, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 300_000.0;

#[test]
fn calls_to_the_log_are_bounded_for_every_fleet_size() {
    for boxes in SIZES {
        let sample = Sample::run(boxes, Fault::None, SEED);
        assert!(sample.startup.calls() < MAX_STARTUP_CALLS, "{sample:?}");
        assert!(sample.calls_per_minute() < MAX_CALLS_PER_MINUTE, "{sample:?}");
    }
}

#[test]
fn the_busiest_box_answers_a_bounded_rate_of_polls() {
    for boxes in SIZES {
        let sample = Sample::run(boxes, Fault::None, SEED);
        let max_polls_per_second = sample.max_answered_polls as f64 * 1_000.0 / RUN_MS as f64;
        let expected_relay_polls = boxes as f64 / 5.0 / 2.0 * 2.5;
        assert!(
            max_polls_per_second < expected_relay_polls * 2.0 + 20.0,
            "{max_polls_per_second:.1} polls per second at one of {boxes} boxes"
        );
    }
}

#[test]
fn bytes_of_answers_are_bounded_at_the_median_and_the_busiest_box() {
    for boxes in SIZES {
        let sample = Sample::run(boxes, Fault::None, SEED);
        assert!(sample.median_bytes_per_second() < MAX_MEDIAN_BYTES_PER_SECOND, "{sample:?}");
        assert!(sample.max_bytes_per_second() < MAX_BYTES_PER_SECOND, "{sample:?}");
    }
}

#[rstest]
#[case::no_fault(Fault::None)]
#[case::data_centres_cannot_reach_each_other(Fault::CutOff)]
#[case::the_log_refuses_a_third_of_the_boxes(Fault::TurnsAway)]
#[case::half_of_the_boxes_restart(Fault::HalfRestart)]
#[case::all_boxes_restart(Fault::AllRestart)]
#[case::readers_and_relays_are_removed(Fault::FirstGone)]
#[case::a_reader_falsely_reports_a_recent_read(Fault::FalseReader)]
#[case::the_log_is_restored_from_an_older_copy(Fault::LogReturn)]
fn all_boxes_learn_of_a_leaving_endpoint_in_time(#[case] fault: Fault) {
    for boxes in SIZES {
        let sample = Sample::run(boxes, fault, SEED);
        assert!(sample.propagation_times.last_ms <= LEAVE_PROPAGATION_MS, "{sample:?}");
    }
}

#[test]
fn other_boxes_replace_removed_readers_and_relays() {
    for boxes in SIZES {
        let mut fleet = Fleet::new(boxes, Fault::FirstGone, SEED);
        fleet.run_until(RUN_MS);
        let before = fleet.traffic().calls();
        fleet.run_until(RUN_MS + 20_000);
        let calls_per_minute = (fleet.traffic().calls() - before) * 3;
        assert!(
            (calls_per_minute as f64) < MAX_CALLS_PER_MINUTE,
            "{calls_per_minute} calls per minute of {boxes} boxes"
        );
    }
}

#[test]
fn an_outage_causes_few_calls_per_box_and_all_boxes_learn_of_the_record_soon_after_it() {
    for boxes in SIZES {
        let sample = Sample::run(boxes, Fault::Outage, SEED);
        assert!(sample.total.calls() < boxes as u64 * 4 + 400, "{sample:?}");
        assert!(sample.propagation_times.last_ms <= LEAVE_PROPAGATION_MS, "{sample:?}");
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = || Sample::run(30, Fault::HalfRestart, SEED);
    assert_eq!(run(), run());
}
