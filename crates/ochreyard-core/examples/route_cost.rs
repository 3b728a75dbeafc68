//! Prints the cost of one routing decision.
//!
//! `cargo run --release -p ochreyard-core --example route_cost`

use std::hint::black_box;
use std::time::Instant;

use ochreyard_core::hash;
use ochreyard_core::routing::{Candidate, choose};

const DECISIONS: u64 = 20_000;

fn candidate(number: u64) -> Candidate {
    let random = hash::mix(number);
    Candidate {
        own_in_flight: (random % 8) as u32,
        reported_running: (random >> 8) as u32 % 16,
        report_age_ms: random % 1000,
        slots: 16,
        mean_run_ms: 200,
        cached_permille: if number.is_multiple_of(100) { 800 } else { 0 },
        prefill_ms: 10,
        ..Candidate::default()
    }
}

fn main() {
    for count in [16u64, 172, 1_375] {
        let candidates: Vec<Candidate> = (0..count).map(candidate).collect();
        let started = Instant::now();
        for seed in 0..DECISIONS {
            black_box(choose(black_box(&candidates), seed));
        }
        let each_us = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
        println!("measure=route_cost candidates={count} decision_us={each_us:.2}");
    }
}
