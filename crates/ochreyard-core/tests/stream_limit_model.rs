//! Boxes that share the stream limit of a group: which requests they admit, how much of the limit they use, and by how
//! much they exceed it. All of it by their own decisions on virtual time.

#[path = "stream_limit_model/mod.rs"]
mod model;

use model::{Demand, LIMIT, Reports, Results, Run, play};
use rstest::rstest;

/// Requests per second of each level at one of three groups; together they use four fifths of the limit.
const PER_S: [f64; 3] = [31.0, 41.0, 14.0];
/// Virtual time of the burst, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 3_000..9_000;

/// A burst of all boxes with a factor on each level.
fn burst(boxes: usize, factors: [f64; 3]) -> Run {
    let demand = PER_S.into_iter().zip(factors).map(|(per_s, burst_factor)| Demand { per_s, burst_factor }).collect();
    Run {
        boxes,
        demand,
        burst_ms: BURST_MS,
        end_ms: BURST_MS.end,
        reports: Reports::default(),
        limit: Some(LIMIT),
        seed: 1,
    }
}

/// The mean of a measure over two seeds.
fn mean(run: &Run, measure: impl Fn(&Results) -> f64) -> f64 {
    (0..2).map(|seed| measure(&play(&Run { seed: seed << 32, ..run.clone() }))).sum::<f64>() / 2.0
}

/// Guards against a burst of the least urgent level that takes the running streams of the others: they would be sent
/// late, and the group would run more than it can keep on time.
#[rstest]
#[case::boxes_8(8)]
#[case::boxes_38(38)]
#[case::boxes_99(99)]
fn the_least_urgent_times_2_4_through_all_boxes_delays_no_other_level(#[case] boxes: usize) {
    let run = burst(boxes, [1.0, 1.0, 2.4]);
    assert!(mean(&run, |results| results.on_time_share(0)) >= 0.98);
    assert!(mean(&run, |results| results.on_time_share(1)) >= 0.95);
    assert!(mean(&run, |results| results.on_time_share(2)) >= 0.7, "no level is starved");
    assert!(mean(&run, Results::largest) <= 1.05);
}

/// Guards against a burst of the most urgent level that waits behind less urgent requests.
#[rstest]
#[case::boxes_8(8)]
#[case::boxes_38(38)]
#[case::boxes_99(99)]
fn the_most_urgent_times_1_8_is_sent_on_time(#[case] boxes: usize) {
    let run = burst(boxes, [1.8, 1.0, 1.0]);
    assert!(mean(&run, |results| results.on_time_share(0)) >= 0.97);
    assert!(mean(&run, Results::largest) <= 1.08);
}

/// Guards against a limit that boxes exceed together, or leave unused while requests wait: uneven arrivals of two times
/// the usual demand, reports of several intervals. Prints the table of the operator pages.
#[rstest]
#[case::every_100_ms(100, 1.12)]
#[case::every_200_ms(200, 1.2)]
#[case::every_300_ms(300, 1.3)]
fn boxes_use_the_limit_together_while_requests_wait(#[case] interval_ms: u64, #[case] max_largest: f64) {
    for boxes in [8, 38, 62, 99, 432] {
        for factor in [1.4, 2.0] {
            let run = Run { reports: Reports { interval_ms, ..Reports::default() }, ..burst(boxes, [factor; 3]) };
            let used = mean(&run, Results::used_while_waiting);
            let (largest, over) = (mean(&run, Results::largest), mean(&run, Results::time_over));
            println!("| {boxes} | {interval_ms} | {factor} | {used:.2} | {largest:.2} | {over:.2} |");
            assert!(used >= 0.92, "{boxes} boxes use {used:.2} of the limit");
            assert!(largest <= max_largest, "{boxes} boxes run {largest:.2} of the limit");
        }
    }
}

/// Guards against boxes that each fill the whole limit while they know of no report: what they exceed it by stays within
/// what arrives between two reports.
#[rstest]
#[case::half_of_the_reports_lost(Reports { lost: 0.5, ..Reports::default() }, 1.25, 0.9)]
#[case::a_second_old(Reports { age_ms: 1_000, ..Reports::default() }, 1.45, 0.7)]
fn late_and_lost_reports_let_few_requests_in_beyond_the_limit(
    #[case] reports: Reports,
    #[case] max_largest: f64,
    #[case] min_used: f64,
) {
    for boxes in [8, 99] {
        let run = Run { reports, ..burst(boxes, [1.4; 3]) };
        let largest = mean(&run, Results::largest);
        let used = mean(&run, Results::used_while_waiting);
        println!("{boxes} boxes, {reports:?}: largest {largest:.2}, used {used:.2} of the limit");
        assert!(largest <= max_largest, "{boxes} boxes run {largest:.2} of the limit");
        assert!(used >= min_used, "{boxes} boxes use {used:.2} of the limit");
    }
}

/// Guards against requests that wait for a leader that is gone, frozen or cut off: 1.5 s after its last report the boxes
/// admit as without a limit.
#[test]
fn without_reports_the_limit_ends() {
    let reports = Reports { sent_ms: (0, 3_000), ..Reports::default() };
    let run = Run { reports, ..burst(38, [1.4; 3]) };
    let results = play(&run);
    let of_time = |from: usize, until: usize| &results.running[from / 10..until / 10];
    assert!(of_time(2_500, 6_000).iter().all(|(_, is_waiting)| !is_waiting), "nothing waits without a limit");
}

/// Guards against requests that wait although the group runs less than every level may.
#[test]
fn nothing_waits_below_the_lower_bounds() {
    let run = burst(38, [0.9; 3]);
    let results = play(&run);
    let below = |(running, _): &&(u64, bool)| (*running as f64) < 0.7 * LIMIT as f64;
    let mut ticks_below = results.running.iter().filter(below).peekable();
    assert!(ticks_below.peek().is_some());
    assert!(ticks_below.all(|(_, is_waiting)| !is_waiting));
}
