//! How often each expert is selected, from cumulative counts that may restart at zero, and
//! when that demand has shifted.

use super::selection_counts::SelectionCounts;

/// A distance of this many times the usual distance counts as a shift. Under constant demand
/// the distance between readings has a standard deviation of about a third of its mean, so this
/// is more than four deviations from it; a shift moves a third of the selections or more.
const SHIFT_FACTOR: f64 = 2.5;
/// The usual distance before one was observed: the distance that chance alone causes where a
/// reading has ten selections of each expert.
const FIRST_USUAL: f64 = 0.1;
/// Weight of the newest distance in the usual distance: about the last ten readings count.
const USUAL_WEIGHT: f64 = 0.1;
/// Least mean number of selections per expert for which a distance is significant.
const MIN_SELECTIONS_PER_EXPERT: f64 = 4.0;

/// Experts that are selected at least this many times as often as the mean are popular: they
/// show how much of a reading predates a shift.
const POPULAR_FACTOR: f64 = 2.0;
/// Least share of the selections of popular experts that a shift moves to other experts.
const MIN_MOVED_SHARE: f64 = 0.25;
/// Largest share of a reading that may predate a shift if the rest is to show the new demand.
const MAX_STALE_SHARE: f64 = 0.6;

/// The demand by set and expert, where old counts decay exponentially.
#[derive(Debug, Clone)]
pub struct Demand {
    fade_ms: f64,
    rates: Vec<f64>,
    last_ms: u64,
    usual_distance: f64,
    is_mostly_stale: bool,
}

impl Demand {
    /// Creates the demand on `length` experts (of all sets), where counts lose most of
    /// their weight after `fade_ms`.
    #[must_use]
    pub fn new(length: usize, fade_ms: f64) -> Self {
        Self { fade_ms, rates: vec![0.0; length], last_ms: 0, usual_distance: FIRST_USUAL, is_mostly_stale: false }
    }

    /// Creates the demand from the recent selections that a former leader handed over.
    #[must_use]
    pub fn handed_over(selections: Vec<f64>, fade_ms: f64, now_ms: u64) -> Self {
        Self { rates: selections, last_ms: now_ms, ..Self::new(0, fade_ms) }
    }

    /// The recent selections, rounded so that they can be handed over.
    #[must_use]
    pub fn rounded(&self) -> SelectionCounts {
        let rounded: Vec<u64> = self.rates.iter().map(|rate| rate.round() as u64).collect();
        SelectionCounts::new(&rounded)
    }

    /// Adds the selections since the last call. Returns whether the demand has shifted, in
    /// which case all earlier counts are dropped at once.
    pub fn observe(&mut self, selections: &[f64], now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = now_ms;
        if !self.is_mostly_stale && self.detects_shift(selections) {
            self.drop_stale_selections(selections);
            return true;
        }
        let retained_weight = if self.is_mostly_stale { 0.0 } else { (-age_ms / self.fade_ms).exp() };
        self.is_mostly_stale = false;
        for (rate, count) in self.rates.iter_mut().zip(selections) {
            *rate = *rate * retained_weight + count;
        }
        false
    }

    /// Removes the selections from before the shift from the reading in which it was detected.
    /// Waiting for the next reading instead would cost a polling round with long steps.
    fn drop_stale_selections(&mut self, selections: &[f64]) {
        let stale_share = self.stale_share(selections);
        let scale = stale_share * selections.iter().sum::<f64>() / self.weight();
        for (rate, count) in self.rates.iter_mut().zip(selections) {
            *rate = (count - *rate * scale).max(0.0);
        }
        self.is_mostly_stale = stale_share > MAX_STALE_SHARE;
    }

    /// The share of a reading that predates the shift: experts that are no longer popular were
    /// selected only in that part, as often as before.
    fn stale_share(&self, selections: &[f64]) -> f64 {
        let (known_selections, new_selections) = (self.weight(), selections.iter().sum::<f64>());
        let popular_rate = POPULAR_FACTOR * known_selections / self.rates.len() as f64;
        let pairs = self.rates.iter().zip(selections).filter(|(rate, _)| **rate >= popular_rate);
        let mut retained: Vec<(f64, f64)> =
            pairs.map(|(rate, count)| (count / new_selections * known_selections / rate, *rate)).collect();
        retained.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let moved_selections = MIN_MOVED_SHARE * retained.iter().map(|(_, rate)| rate).sum::<f64>();
        let mut accumulated = 0.0;
        let at_threshold = retained.iter().find(|(_, rate)| {
            accumulated += rate;
            accumulated >= moved_selections
        });
        at_threshold.map_or(0.0, |(share, _)| share.min(1.0))
    }

    /// Whether the newest counts differ more from the earlier ones than chance explains.
    /// Updates the usual distance if they do not.
    fn detects_shift(&mut self, selections: &[f64]) -> bool {
        let Some(distance) = self.distance(selections) else { return false };
        if distance > self.usual_distance * SHIFT_FACTOR {
            return true;
        }
        self.usual_distance += USUAL_WEIGHT * (distance - self.usual_distance);
        false
    }

    /// The share of selections that differs between the demand and `selections`; `None` where
    /// either has too few selections.
    fn distance(&self, selections: &[f64]) -> Option<f64> {
        let min_selections = MIN_SELECTIONS_PER_EXPERT * self.rates.len() as f64;
        let (known_selections, new_selections) = (self.weight(), selections.iter().sum::<f64>());
        let differences = self
            .rates
            .iter()
            .zip(selections)
            .map(|(rate, count)| (rate / known_selections - count / new_selections).abs());
        (known_selections >= min_selections && new_selections >= min_selections).then(|| differences.sum::<f64>() / 2.0)
    }

    /// Whether a shift was detected in the newest reading and most of that reading predates it.
    #[must_use]
    pub const fn is_mostly_stale(&self) -> bool {
        self.is_mostly_stale
    }

    /// The demand by set and expert; only its proportions are meaningful.
    #[must_use]
    pub fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// The decayed number of selections that the demand is based on.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.rates.iter().sum()
    }
}

/// The selections between two readings of a rank's cumulative counts. After a restart the
/// counts begin at zero, so all of them are new.
#[must_use]
pub fn selections_between(before: &[u64], now: &[u64]) -> Vec<u64> {
    let restarted = before.len() != now.len() || now.iter().zip(before).any(|(now, before)| now < before);
    if restarted {
        return now.to_vec();
    }
    now.iter().zip(before).map(|(now, before)| now - before).collect()
}
