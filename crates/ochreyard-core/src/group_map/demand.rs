//! How often each expert is chosen, from running counts that may start anew.

/// Shares of the demand by set and expert, with old counts fading.
#[derive(Debug, Clone)]
pub struct Demand {
    fade_ms: f64,
    rates: Vec<f64>,
    last_ms: u64,
}

impl Demand {
    /// Demand over `length` experts (of all sets), where counts lose most of
    /// their weight after `fade_ms`.
    #[must_use]
    pub fn new(length: usize, fade_ms: f64) -> Self {
        Self { fade_ms, rates: vec![0.0; length], last_ms: 0 }
    }

    /// Adds what was chosen since the last call.
    pub fn add(&mut self, chosen: &[f64], now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = now_ms;
        let keep = (-age_ms / self.fade_ms).exp();
        for (rate, more) in self.rates.iter_mut().zip(chosen) {
            *rate = *rate * keep + more;
        }
    }

    /// The demand by set and expert; only its proportions mean anything.
    #[must_use]
    pub fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// How many choices it rests on.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.rates.iter().sum()
    }
}

/// What was chosen between two readings of a rank's running counts. After a
/// restart the counts begin anew, and all of them are news.
#[must_use]
pub fn chosen_between(before: &[u64], now: &[u64]) -> Vec<u64> {
    let restarted = before.len() != now.len() || now.iter().zip(before).any(|(now, before)| now < before);
    if restarted {
        return now.to_vec();
    }
    now.iter().zip(before).map(|(now, before)| now - before).collect()
}
