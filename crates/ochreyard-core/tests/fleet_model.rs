//! Who reads the platform's log and who is told, in a model without network: calls, questions and the time until all know.
//!
//! Answers the load of a whole fleet at the log: hundreds of boxes that start at once, a log that is away, one that turns a
//! third of the boxes away, and a data centre that is cut off. `OCHREYARD_FLEET_BOXES=2000 cargo test --release -p
//! ochreyard-core --test fleet_model -- --nocapture` prints the figures at another size.

mod fleet_model {
    pub mod fleet;
}
#[path = "limit_model/draws.rs"]
mod draws;

use fleet_model::fleet::{Fleet, Trouble};
use rstest::rstest;

/// Calls at the start, and a minute once all are up, whatever the number of boxes: for two that read, two that relay in each
/// of five data centres, and three that the platform names.
const MOST_START_CALLS: usize = 100;
const MOST_CALLS_A_MINUTE: f64 = 600.0;
/// The time in which an endpoint that leaves must get no more work, in milliseconds.
const LEAVING_KNOWN_MS: u64 = 5_000;
const START_MS: u64 = 6_000;
const LENGTH_MS: u64 = 30_000;

fn sizes() -> Vec<usize> {
    let wanted = std::env::var("OCHREYARD_FLEET_BOXES").ok().and_then(|boxes| boxes.parse().ok());
    wanted.map_or_else(|| vec![30, 100, 300], |boxes| vec![boxes])
}

#[test]
fn calls_of_the_start_and_of_calm_hardly_grow_with_the_boxes() {
    for boxes in sizes() {
        let mut fleet = Fleet::new(boxes, Trouble::None);
        fleet.run_until(START_MS);
        let start = fleet.calls();
        fleet.run_until(LENGTH_MS);
        let calm = fleet.calls() - start;
        println!("boxes={boxes} start_calls={start} calm_calls={calm} most_questions={}", fleet.most_questions());
        assert!(start < MOST_START_CALLS, "{start} calls at the start of {boxes} boxes");
        let a_minute = calm as f64 * 60_000.0 / (LENGTH_MS - START_MS) as f64;
        assert!(a_minute < MOST_CALLS_A_MINUTE, "{a_minute:.0} calls a minute of {boxes} boxes");
    }
}

#[test]
fn no_box_answers_many_times_more_questions_than_most() {
    for boxes in sizes() {
        let mut fleet = Fleet::new(boxes, Trouble::None);
        fleet.run_until(LENGTH_MS);
        let most_a_second = fleet.most_questions() as f64 * 1_000.0 / LENGTH_MS as f64;
        let relayed = boxes as f64 / 5.0 / 2.0 * 2.5;
        assert!(most_a_second < relayed * 2.0 + 20.0, "{most_a_second:.1} questions a second at one of {boxes} boxes");
    }
}

#[rstest]
#[case::calm(Trouble::None)]
#[case::a_data_centre_is_cut_off_from_the_others(Trouble::CutOff)]
#[case::the_log_turns_a_third_away(Trouble::TurnsAway)]
#[case::half_of_the_boxes_start_again(Trouble::HalfRestart)]
#[case::those_that_read_and_relay_are_gone(Trouble::FirstGone)]
fn all_boxes_that_reach_the_log_or_others_know_of_a_leaving_in_time(#[case] trouble: Trouble) {
    for boxes in sizes() {
        let mut fleet = Fleet::new(boxes, trouble);
        fleet.run_until(LENGTH_MS);
        let (middle_ms, last_ms) = fleet.known_after_ms();
        println!("boxes={boxes} trouble={trouble:?} known_after_ms={middle_ms} last={last_ms} calls={}", fleet.calls());
        assert!(last_ms <= LEAVING_KNOWN_MS, "{last_ms} ms at the last of {boxes} boxes");
    }
}

#[test]
fn others_take_the_place_of_boxes_that_are_gone_for_good() {
    for boxes in sizes() {
        let mut fleet = Fleet::new(boxes, Trouble::FirstGone);
        fleet.run_until(LENGTH_MS);
        let before = fleet.calls();
        fleet.run_until(LENGTH_MS + 20_000);
        let a_minute = (fleet.calls() - before) * 3;
        println!("boxes={boxes} first gone: calls a minute={a_minute}");
        assert!((a_minute as f64) < MOST_CALLS_A_MINUTE, "{a_minute} calls a minute of {boxes} boxes");
    }
}

#[test]
fn an_outage_costs_a_few_calls_a_box_and_all_know_soon_after() {
    for boxes in sizes() {
        let mut fleet = Fleet::new(boxes, Trouble::Outage);
        fleet.run_until(LENGTH_MS);
        let (_, last_ms) = fleet.known_after_ms();
        println!("boxes={boxes} outage calls={} last_known_ms={last_ms}", fleet.calls());
        assert!(fleet.calls() < boxes * 4 + 400, "{} calls of {boxes} boxes", fleet.calls());
        assert!(last_ms <= LEAVING_KNOWN_MS, "{last_ms} ms after the log's return");
    }
}
