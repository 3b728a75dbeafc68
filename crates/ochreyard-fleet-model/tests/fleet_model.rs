//! Who reads the platform's log and who is told: calls, questions, bytes and the time until all know.
//!
//! Answers the load of a whole fleet at the log: hundreds of boxes that start at once, a log that is away, one that turns a
//! third of the boxes away, one that comes back from an older copy, and a data centre that is cut off. `cargo run --release
//! -p ochreyard-fleet-model -- --boxes 2000` prints the figures at another size.

use ochreyard_fleet_model::{Fleet, LEAVING_KNOWN_MS, LENGTH_MS, Sample, Trouble};
use rstest::rstest;

const SIZES: [usize; 3] = [30, 100, 300];
const SEED: u64 = 1;
/// Calls at the start, and a minute once all are up, whatever the number of boxes: for two that read, two that relay in each
/// of five data centres, and three that the platform names.
const MOST_START_CALLS: u64 = 100;
const MOST_CALLS_A_MINUTE: f64 = 600.0;
/// What the middle box may send in calm, and the busiest one, in bytes a second.
const MOST_MIDDLE_BYTES: f64 = 30_000.0;
const MOST_BYTES: f64 = 300_000.0;

#[test]
fn calls_of_the_start_and_of_calm_hardly_grow_with_the_boxes() {
    for boxes in SIZES {
        let sample = Sample::play(boxes, Trouble::None, SEED);
        assert!(sample.start.calls() < MOST_START_CALLS, "{sample:?}");
        assert!(sample.calls_a_minute() < MOST_CALLS_A_MINUTE, "{sample:?}");
    }
}

#[test]
fn no_box_answers_many_times_more_questions_than_most() {
    for boxes in SIZES {
        let sample = Sample::play(boxes, Trouble::None, SEED);
        let most_a_second = sample.most_questions as f64 * 1_000.0 / LENGTH_MS as f64;
        let relayed = boxes as f64 / 5.0 / 2.0 * 2.5;
        assert!(most_a_second < relayed * 2.0 + 20.0, "{most_a_second:.1} questions a second at one of {boxes} boxes");
    }
}

#[test]
fn answers_in_calm_take_few_bytes_at_the_middle_box_and_at_the_busiest() {
    for boxes in SIZES {
        let sample = Sample::play(boxes, Trouble::None, SEED);
        assert!(sample.middle_bytes_a_second() < MOST_MIDDLE_BYTES, "{sample:?}");
        assert!(sample.most_bytes_a_second() < MOST_BYTES, "{sample:?}");
    }
}

#[rstest]
#[case::calm(Trouble::None)]
#[case::a_data_centre_is_cut_off_from_the_others(Trouble::CutOff)]
#[case::the_log_turns_a_third_away(Trouble::TurnsAway)]
#[case::half_of_the_boxes_start_again(Trouble::HalfRestart)]
#[case::all_boxes_start_again(Trouble::AllRestart)]
#[case::those_that_read_and_relay_are_gone(Trouble::FirstGone)]
#[case::one_that_reads_says_so_and_does_not(Trouble::FalseReader)]
#[case::the_log_comes_back_from_an_older_copy(Trouble::LogReturn)]
fn all_boxes_that_reach_the_log_or_others_know_of_a_leaving_in_time(#[case] trouble: Trouble) {
    for boxes in SIZES {
        let sample = Sample::play(boxes, trouble, SEED);
        assert!(sample.known_after.last_ms <= LEAVING_KNOWN_MS, "{sample:?}");
    }
}

#[test]
fn others_take_the_place_of_boxes_that_are_gone_for_good() {
    for boxes in SIZES {
        let mut fleet = Fleet::new(boxes, Trouble::FirstGone, SEED);
        fleet.run_until(LENGTH_MS);
        let before = fleet.traffic().calls();
        fleet.run_until(LENGTH_MS + 20_000);
        let a_minute = (fleet.traffic().calls() - before) * 3;
        assert!((a_minute as f64) < MOST_CALLS_A_MINUTE, "{a_minute} calls a minute of {boxes} boxes");
    }
}

#[test]
fn an_outage_costs_a_few_calls_a_box_and_all_know_soon_after() {
    for boxes in SIZES {
        let sample = Sample::play(boxes, Trouble::Outage, SEED);
        assert!(sample.whole.calls() < boxes as u64 * 4 + 400, "{sample:?}");
        assert!(sample.known_after.last_ms <= LEAVING_KNOWN_MS, "{sample:?}");
    }
}

#[test]
fn a_run_is_the_same_whenever_it_is_played_with_its_seed() {
    let play = || Sample::play(30, Trouble::HalfRestart, SEED);
    assert_eq!(play(), play());
}
