//! Tells a stalled rank from a hot one: only a hot one is helped by moves.

/// Why a group's steps are slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlowStepCause {
    /// Nothing stands out.
    None,
    /// A rank has more work than the others: moves help.
    Hot(usize),
    /// A rank is slow for the work that it has: moves do not help.
    Stalled(usize),
}

/// How much longer than the median a rank must take to stand out.
const STANDS_OUT: f64 = 1.3;

/// Judges the slowest rank by its own compute time, in microseconds, and by its load.
#[must_use]
pub fn diagnose_slow_steps(rank_times_us: &[f64], rank_loads: &[f64]) -> SlowStepCause {
    let slowest = (0..rank_times_us.len()).max_by(|a, b| rank_times_us[*a].total_cmp(&rank_times_us[*b]));
    let Some(slowest) = slowest else { return SlowStepCause::None };
    let (time, load) = (median(rank_times_us), median(rank_loads));
    if time <= 0.0 || load <= 0.0 || rank_times_us[slowest] < STANDS_OUT * time {
        return SlowStepCause::None;
    }
    let by_load = rank_loads[slowest] / load;
    let by_time = rank_times_us[slowest] / time;
    if by_time > STANDS_OUT * by_load { SlowStepCause::Stalled(slowest) } else { SlowStepCause::Hot(slowest) }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
