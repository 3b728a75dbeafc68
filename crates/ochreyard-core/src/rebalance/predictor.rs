//! Predicts the load of experts from their selection counts.

/// Two exponential moving averages of each expert's share of the load: a slow one that filters
/// noise, and a fast one that replaces it after a jump of the load.
#[derive(Debug, Clone)]
pub struct Predictor {
    slow_mean: Vec<f64>,
    fast_mean: Vec<f64>,
    /// The mean distance of a share from the slow average.
    deviation: Vec<f64>,
    observed_intervals: u64,
}

/// Weight of the newest share in the slow average.
const SLOW_WEIGHT: f64 = 0.08;
/// Weight of the newest share in the fast average.
const FAST_WEIGHT: f64 = 0.4;
/// Weight of the newest distance in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.05;
/// Factor by which the distance between the two averages must exceed the mean deviation to count as a jump.
const JUMP_FACTOR: f64 = 4.0;

impl Predictor {
    /// Creates a predictor for this number of experts.
    #[must_use]
    pub fn new(experts: usize) -> Self {
        Self {
            slow_mean: vec![0.0; experts],
            fast_mean: vec![0.0; experts],
            deviation: vec![0.0; experts],
            observed_intervals: 0,
        }
    }

    /// Adds the selection counts of one interval.
    pub fn observe(&mut self, counts: &[f64]) {
        let total: f64 = counts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let is_first = self.observed_intervals == 0;
        self.observed_intervals += 1;
        for (expert, count) in counts.iter().enumerate() {
            let share = count / total;
            if is_first {
                self.slow_mean[expert] = share;
                self.fast_mean[expert] = share;
                self.deviation[expert] = share * 0.2;
                continue;
            }
            let distance = (share - self.slow_mean[expert]).abs();
            self.fast_mean[expert] += FAST_WEIGHT * (share - self.fast_mean[expert]);
            let has_jumped =
                (self.fast_mean[expert] - self.slow_mean[expert]).abs() > JUMP_FACTOR * self.deviation[expert];
            self.deviation[expert] += DEVIATION_WEIGHT * (distance - self.deviation[expert]);
            if has_jumped {
                self.slow_mean[expert] = self.fast_mean[expert];
            } else {
                self.slow_mean[expert] += SLOW_WEIGHT * (share - self.slow_mean[expert]);
            }
        }
    }

    /// The predicted share of the load of each expert.
    #[must_use]
    pub fn shares(&self) -> &[f64] {
        &self.slow_mean
    }
}
