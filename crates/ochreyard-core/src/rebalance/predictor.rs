//! Predicts the load of experts from what was counted.

/// Two exponential averages of each expert's share: a slow one against noise, a
/// fast one that takes over when it leaves the slow one's usual distance.
#[derive(Debug, Clone)]
pub struct Predictor {
    slow: Vec<f64>,
    fast: Vec<f64>,
    spread: Vec<f64>,
    seen: u64,
}

const SLOW: f64 = 0.08;
const FAST: f64 = 0.4;
const SPREAD: f64 = 0.05;
/// How many usual distances make a jump.
const JUMP: f64 = 4.0;

impl Predictor {
    /// A predictor for this many experts.
    #[must_use]
    pub fn new(experts: usize) -> Self {
        Self { slow: vec![0.0; experts], fast: vec![0.0; experts], spread: vec![0.0; experts], seen: 0 }
    }

    /// Takes the counts of one interval.
    pub fn observe(&mut self, counts: &[f64]) {
        let total: f64 = counts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let first = self.seen == 0;
        self.seen += 1;
        for (expert, count) in counts.iter().enumerate() {
            let share = count / total;
            if first {
                self.slow[expert] = share;
                self.fast[expert] = share;
                self.spread[expert] = share * 0.2;
                continue;
            }
            let distance = (share - self.slow[expert]).abs();
            self.fast[expert] += FAST * (share - self.fast[expert]);
            let jumped = (self.fast[expert] - self.slow[expert]).abs() > JUMP * self.spread[expert];
            self.spread[expert] += SPREAD * (distance - self.spread[expert]);
            if jumped {
                self.slow[expert] = self.fast[expert];
            } else {
                self.slow[expert] += SLOW * (share - self.slow[expert]);
            }
        }
    }

    /// The predicted share of each expert.
    #[must_use]
    pub fn shares(&self) -> &[f64] {
        &self.slow
    }
}
