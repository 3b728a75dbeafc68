//! Measures the time of one search for a map on random demand, by the size of the group.
//!
//! `cargo run --release -p ochreyard-core --example plan_cost [COPY_MS]`

use std::time::Instant;

use ochreyard_core::group_map::{GroupPlacement, PlanSettings, Planner};
use ochreyard_core::hash;

/// Searches that are timed for each size.
const SEARCHES: u64 = 20;
/// Exponent of the demand: an expert's demand is its random position, counted from 1, to this power.
const DEMAND_EXPONENT: f64 = -0.53;

/// Groups as the numbers of ranks, sets, experts per set, and slots per rank and set.
const GROUPS: [(usize, usize, usize, usize); 3] = [(8, 6, 64, 11), (24, 16, 96, 5), (96, 16, 192, 3)];

/// Default time to copy one expert, in milliseconds.
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
        let mut shuffled: Vec<(u64, usize)> =
            (0..experts).map(|expert| (hash::mix(seed ^ (set * experts + expert) as u64), expert)).collect();
        shuffled.sort_unstable();
        let mut set_rates = vec![0.0; experts];
        for (position, (_, expert)) in shuffled.into_iter().enumerate() {
            set_rates[expert] = ((position + 1) as f64).powf(DEMAND_EXPONENT);
        }
        rates.extend(set_rates);
    }
    rates
}

fn main() {
    let copy_ms = std::env::args().nth(1).and_then(|given| given.parse().ok()).unwrap_or(COPY_MS);
    for (ranks, sets, experts, slots) in GROUPS {
        let planner = Planner::new(settings(slots, copy_ms));
        let current = GroupPlacement::round_robin(sets, experts, ranks);
        let slowdowns = vec![1.0; ranks];
        let mut after = 0.0;
        let started = Instant::now();
        for seed in 0..SEARCHES {
            let planned = planner.plan(&current, &demand(seed, sets, experts), &slowdowns);
            after += planned.map_or(0.0, |planned| planned.skew.1);
        }
        let each_ms = started.elapsed().as_secs_f64() * 1_000.0 / SEARCHES as f64;
        println!(
            "measure=plan_cost ranks={ranks} sets={sets} experts={experts} search_ms={each_ms:.2} skew_after={:.3}",
            after / SEARCHES as f64
        );
    }
}
