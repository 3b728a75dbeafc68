//! Tests the recent mean time that ranks take to arm a map.

use ochreyard_core::group_map::{ArmingTimes, ChangePhase};

const ARMING: ChangePhase = ChangePhase::Arming { version: 1, step: 2 };

fn arm_once(times: &mut ArmingTimes, from_ms: u64, took_ms: u64) {
    times.on_phase(&ARMING, from_ms);
    times.on_phase(&ChangePhase::Releasing, from_ms + took_ms);
}

#[test]
fn a_slow_change_raises_the_mean_and_its_weight_decays_quickly() {
    let mut times = ArmingTimes::default();
    assert!(times.mean_ms().abs() < f64::EPSILON);
    arm_once(&mut times, 1_000, 30);
    assert!((times.mean_ms() - 30.0).abs() < f64::EPSILON);
    arm_once(&mut times, 2_000, 210);
    assert!((times.mean_ms() - 120.0).abs() < f64::EPSILON);
    (3..6).for_each(|second| arm_once(&mut times, second * 1_000, 30));
    assert!(times.mean_ms() < 45.0, "{}", times.mean_ms());
}

#[test]
fn a_change_that_is_undone_while_arming_counts_as_well() {
    let mut times = ArmingTimes::default();
    times.on_phase(&ARMING, 0);
    times.on_phase(&ChangePhase::Undoing, 400);
    times.on_phase(&ChangePhase::Idle, 900);
    assert!((times.mean_ms() - 400.0).abs() < f64::EPSILON);
}
