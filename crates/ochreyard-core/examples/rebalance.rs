//! Compares policies for the expert map on popularity traces that drift.
//!
//! `cargo run --release -p ochreyard-core --example rebalance`
//!
//! Each line is the result of one policy, user and shape of group. Seeds 1 to 3 are for
//! tuning; 101 and 102 are for validation. A decision for an interval sees only earlier
//! intervals. `stalls_per_hour` counts intervals in which a policy copies more
//! replicas than the weight store delivers in one.

use std::time::{Duration, Instant};

use ochreyard_core::hash;
use ochreyard_core::rebalance::{BudgetedRebalancer, Placement, Predictor, RebalanceSettings, skew};

const INTERVALS: usize = 24 * 60;
const TOKENS: f64 = 200_000.0;
const STORE_COPIES: usize = 8;

/// A seeded random number generator.
struct Random(u64);

impl Random {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        (hash::mix(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        let (u, v) = (self.uniform().max(1e-12), self.uniform());
        (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }
}

/// The selection count of each expert in each interval.
fn trace(seed: u64, experts: usize) -> Vec<Vec<f64>> {
    let mut random = Random(hash::mix(seed));
    let mut drift: Vec<f64> = (0..experts).map(|_| 0.5 * random.normal()).collect();
    let is_in_storm: Vec<bool> = (0..experts).map(|_| random.uniform() < 0.1).collect();
    let is_in_survey: Vec<bool> = (0..experts).map(|_| random.uniform() < 0.1).collect();
    let storm_start = 300 + (random.uniform() * 200.0) as usize;
    let survey_start = 800 + (random.uniform() * 100.0) as usize;
    let mut intervals = Vec::with_capacity(INTERVALS);
    for minute in 0..INTERVALS {
        let storm_factor = if (storm_start..storm_start + 120).contains(&minute) { 4.0 } else { 1.0 };
        let ramp = (minute as f64 - survey_start as f64) / 180.0;
        let survey_factor = if (0.0..1.0).contains(&ramp) { 1.0 + 3.0 * ramp } else { 1.0 };
        let mut weights: Vec<f64> = Vec::with_capacity(experts);
        for expert in 0..experts {
            // A slow mean-reverting random walk.
            drift[expert] = drift[expert] * 0.9995 + 0.016 * random.normal();
            let hot = if is_in_storm[expert] { storm_factor } else { 1.0 }
                * if is_in_survey[expert] { survey_factor } else { 1.0 };
            weights.push(drift[expert].exp() * hot);
        }
        let sum: f64 = weights.iter().sum();
        let counts = weights.iter().map(|weight| {
            let mean = TOKENS * weight / sum;
            (mean + 3.0 * mean.sqrt() * random.normal()).max(0.0)
        });
        intervals.push(counts.collect());
    }
    intervals
}

struct Shape {
    ranks: usize,
    experts: usize,
    slots: usize,
}

#[derive(Default)]
struct Score {
    skews: Vec<f64>,
    moves: usize,
    stalls: usize,
    slowest: Duration,
}

enum Policy {
    Never,
    Full(Predictor),
    Budgeted(BudgetedRebalancer),
}

fn run(mut policy: Policy, shape: &Shape, trace: &[Vec<f64>]) -> Score {
    let mut placement = Placement::even(shape.experts, shape.ranks, shape.slots);
    let mut score = Score::default();
    for counts in trace {
        score.skews.push(skew(&placement.rank_loads(counts)));
        let started = Instant::now();
        let (next, moves) = match &mut policy {
            Policy::Never => continue,
            Policy::Full(predictor) => {
                predictor.observe(counts);
                let next =
                    Placement::greedy(predictor.shares(), shape.ranks, shape.slots).relabeled_to_match(&placement);
                let moves = placement.copies_to_reach(&next);
                (next, moves)
            }
            Policy::Budgeted(budgeted) => {
                budgeted.observe(counts);
                budgeted.decide(&placement)
            }
        };
        score.slowest = score.slowest.max(started.elapsed());
        score.moves += moves;
        score.stalls += usize::from(moves > STORE_COPIES);
        placement = next;
    }
    score
}

/// The seeds to run: all, or only those for tuning if `tune` is given as an argument.
fn seeds() -> &'static [u64] {
    let tuning = std::env::args().any(|arg| arg == "tune");
    if tuning { &[1, 2, 3] } else { &[1, 2, 3, 101, 102] }
}

fn main() {
    let shapes = [Shape { ranks: 16, experts: 128, slots: 9 }, Shape { ranks: 64, experts: 128, slots: 3 }];
    let hours = INTERVALS as f64 / 60.0;
    for shape in &shapes {
        for seed in seeds() {
            let trace = trace(*seed, shape.experts);
            for (user, settings) in
                [("ski", RebalanceSettings::weigh_skew()), ("kalahari", RebalanceSettings::weigh_moves())]
            {
                let policies = [
                    ("never", Policy::Never),
                    ("full", Policy::Full(Predictor::new(shape.experts))),
                    ("budgeted", Policy::Budgeted(BudgetedRebalancer::new(settings, shape.experts))),
                ];
                for (name, policy) in policies {
                    let score = run(policy, shape, &trace);
                    let mut sorted = score.skews.clone();
                    sorted.sort_by(f64::total_cmp);
                    let mean = sorted.iter().sum::<f64>() / sorted.len() as f64;
                    println!(
                        "policy={name} user={user} ranks={} experts={} seed={seed} skew_mean={mean:.4} skew_p99={:.4} \
                         moves_per_hour={:.1} stalls_per_hour={:.2} slowest_decision_us={}",
                        shape.ranks,
                        shape.experts,
                        sorted[sorted.len() * 99 / 100],
                        score.moves as f64 / hours,
                        score.stalls as f64 / hours,
                        score.slowest.as_micros()
                    );
                }
            }
        }
    }
}
