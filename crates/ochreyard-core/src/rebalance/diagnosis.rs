//! Distinguishes a stalled rank from a hot rank: moves help only a hot rank.

/// The cause of slow steps of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlowStepCause {
    /// No rank is much slower than the others.
    None,
    /// This rank has more work than the others: moves help.
    Hot(usize),
    /// This rank is slower than its work explains: moves do not help.
    Stalled(usize),
}

/// Factor by which a rank's time must exceed the median, or the time that its load explains, to count as slow.
const SLOW_FACTOR: f64 = 1.3;

/// Diagnoses the slowest rank from the compute times of the ranks, in microseconds, and their loads.
#[must_use]
pub fn diagnose_slow_steps(rank_times_us: &[f64], rank_loads: &[f64]) -> SlowStepCause {
    let slowest = (0..rank_times_us.len()).max_by(|a, b| rank_times_us[*a].total_cmp(&rank_times_us[*b]));
    let Some(slowest) = slowest else { return SlowStepCause::None };
    let (median_time, median_load) = (median(rank_times_us), median(rank_loads));
    if median_time <= 0.0 || median_load <= 0.0 || rank_times_us[slowest] < SLOW_FACTOR * median_time {
        return SlowStepCause::None;
    }
    let load_ratio = rank_loads[slowest] / median_load;
    let time_ratio = rank_times_us[slowest] / median_time;
    if time_ratio > SLOW_FACTOR * load_ratio { SlowStepCause::Stalled(slowest) } else { SlowStepCause::Hot(slowest) }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
