//! How often each expert is chosen, from running counts that may start anew, and
//! when that has shifted.

/// A distance of this many usual ones is a shift. Between readings of one demand the
/// distance spreads by about a third of its mean, so this lies more than four deviations
/// off; a shift moves a third of the choices and more.
const SHIFT_FACTOR: f64 = 2.5;
/// The usual distance before any was observed: what chance alone gives where a reading
/// holds ten choices of each expert.
const FIRST_USUAL: f64 = 0.1;
/// Share of one more distance in the usual one: about ten readings count.
const USUAL_SHARE: f64 = 0.1;
/// Least choices for each expert, on the mean, for which a distance says anything.
const LEAST_CHOICES_PER_EXPERT: f64 = 4.0;

/// Shares of the demand by set and expert, with old counts fading.
#[derive(Debug, Clone)]
pub struct Demand {
    fade_ms: f64,
    rates: Vec<f64>,
    last_ms: u64,
    usual_distance: f64,
    is_mixed: bool,
}

impl Demand {
    /// Demand over `length` experts (of all sets), where counts lose most of
    /// their weight after `fade_ms`.
    #[must_use]
    pub fn new(length: usize, fade_ms: f64) -> Self {
        Self { fade_ms, rates: vec![0.0; length], last_ms: 0, usual_distance: FIRST_USUAL, is_mixed: false }
    }

    /// Adds what was chosen since the last call. Says whether the demand has shifted:
    /// then all earlier counts are dropped at once.
    pub fn add(&mut self, chosen: &[f64], now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = now_ms;
        let has_shifted = !self.is_mixed && self.notes_shift(chosen);
        // Of the reading in which the shift came, nobody knows how much is old.
        let keep = if self.is_mixed || has_shifted { 0.0 } else { (-age_ms / self.fade_ms).exp() };
        self.is_mixed = has_shifted;
        for (rate, more) in self.rates.iter_mut().zip(chosen) {
            *rate = *rate * keep + more;
        }
        has_shifted
    }

    /// Whether the newest counts lie farther from the earlier ones than chance explains.
    fn notes_shift(&mut self, chosen: &[f64]) -> bool {
        let Some(distance) = self.distance(chosen) else { return false };
        if distance > self.usual_distance * SHIFT_FACTOR {
            return true;
        }
        self.usual_distance += USUAL_SHARE * (distance - self.usual_distance);
        false
    }

    /// The share of choices that differs between the demand and `chosen`; `None` where
    /// either rests on too few.
    fn distance(&self, chosen: &[f64]) -> Option<f64> {
        let least = LEAST_CHOICES_PER_EXPERT * self.rates.len() as f64;
        let (known, newest) = (self.weight(), chosen.iter().sum::<f64>());
        let apart = self.rates.iter().zip(chosen).map(|(rate, more)| (rate / known - more / newest).abs());
        (known >= least && newest >= least).then(|| apart.sum::<f64>() / 2.0)
    }

    /// Whether the newest counts are those in which a shift came: a part of them is old.
    #[must_use]
    pub const fn is_mixed(&self) -> bool {
        self.is_mixed
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
