//! Time of one search for a map, by the size of the group, on drawn demand.
//!
//! `cargo run --release -p ochreyard-core --example plan_cost [COPY_MS]`

use std::time::Instant;

use ochreyard_core::group_map::{GroupPlacement, PlanSettings, Planner};
use ochreyard_core::hash;

/// Searches that are timed for each size.
const SEARCHES: u64 = 20;
/// How unequal the demand is: an expert is chosen in proportion to its drawn place to this power.
const SKEW: f64 = -0.53;

/// A group: ranks, sets, experts of a set, places of a rank in a set.
const GROUPS: [(usize, usize, usize, usize); 3] = [(8, 6, 64, 11), (24, 16, 96, 5), (96, 16, 192, 3)];

/// Time to copy one expert unless one is given, in milliseconds.
const COPY_MS: f64 = 18.0;

fn settings(slots: usize, copy_ms: f64) -> PlanSettings {
    PlanSettings {
        slots,
        spare_slots: slots - 1,
        copy_ms,
        switch_ms: 250.0,
        copy_slowdown: 0.15,
        copy_time_cost: 1.0,
        horizon_ms: 2_500.0,
        copy_price_ms: 0.2,
        least_saving_ms: 60.0,
    }
}

fn demand(seed: u64, sets: usize, experts: usize) -> Vec<f64> {
    let mut rates = Vec::with_capacity(sets * experts);
    for set in 0..sets {
        let mut drawn: Vec<(u64, usize)> =
            (0..experts).map(|expert| (hash::mix(seed ^ (set * experts + expert) as u64), expert)).collect();
        drawn.sort_unstable();
        let mut of_set = vec![0.0; experts];
        for (place, (_, expert)) in drawn.into_iter().enumerate() {
            of_set[expert] = ((place + 1) as f64).powf(SKEW);
        }
        rates.extend(of_set);
    }
    rates
}

fn main() {
    let copy_ms = std::env::args().nth(1).and_then(|given| given.parse().ok()).unwrap_or(COPY_MS);
    for (ranks, sets, experts, slots) in GROUPS {
        let planner = Planner::new(settings(slots, copy_ms));
        let present = GroupPlacement::round_robin(sets, experts, ranks);
        let paces = vec![1.0; ranks];
        let mut after = 0.0;
        let started = Instant::now();
        for seed in 0..SEARCHES {
            let planned = planner.plan(&present, &demand(seed, sets, experts), &paces);
            after += planned.map_or(0.0, |planned| planned.skew.1);
        }
        let each_ms = started.elapsed().as_secs_f64() * 1_000.0 / SEARCHES as f64;
        println!(
            "measure=plan_cost ranks={ranks} sets={sets} experts={experts} search_ms={each_ms:.2} skew_after={:.3}",
            after / SEARCHES as f64
        );
    }
}
