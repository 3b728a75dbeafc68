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

/// Experts chosen at least this many times as often as the mean one tell how much of a
/// reading is old.
const LIKED_FACTOR: f64 = 2.0;
/// Share of the choices of liked experts that a shift moves at the least.
const MOVED_SHARE: f64 = 0.25;
/// Largest part of a reading that may be old for the rest to say what is in demand now.
const MOST_OLD: f64 = 0.6;

/// Shares of the demand by set and expert, with old counts fading.
#[derive(Debug, Clone)]
pub struct Demand {
    fade_ms: f64,
    rates: Vec<f64>,
    last_ms: u64,
    usual_distance: f64,
    is_mostly_stale: bool,
}

impl Demand {
    /// Demand over `length` experts (of all sets), where counts lose most of
    /// their weight after `fade_ms`.
    #[must_use]
    pub fn new(length: usize, fade_ms: f64) -> Self {
        Self { fade_ms, rates: vec![0.0; length], last_ms: 0, usual_distance: FIRST_USUAL, is_mostly_stale: false }
    }

    /// Adds what was chosen since the last call. Says whether the demand has shifted:
    /// then all earlier counts are dropped at once.
    pub fn observe(&mut self, chosen: &[f64], now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = now_ms;
        if !self.is_mostly_stale && self.notes_shift(chosen) {
            self.keep_only_new(chosen);
            return true;
        }
        let keep = if self.is_mostly_stale { 0.0 } else { (-age_ms / self.fade_ms).exp() };
        self.is_mostly_stale = false;
        for (rate, more) in self.rates.iter_mut().zip(chosen) {
            *rate = *rate * keep + more;
        }
        false
    }

    /// Takes the old choices out of the reading in which a shift came: waiting for the next
    /// one takes a round, in which steps are long.
    fn keep_only_new(&mut self, chosen: &[f64]) {
        let old_part = self.old_part(chosen);
        let scale = old_part * chosen.iter().sum::<f64>() / self.weight();
        for (rate, more) in self.rates.iter_mut().zip(chosen) {
            *rate = (more - *rate * scale).max(0.0);
        }
        self.is_mostly_stale = old_part > MOST_OLD;
    }

    /// How much of a reading came before the shift: experts that are no longer liked were
    /// chosen only then, as often as before.
    fn old_part(&self, chosen: &[f64]) -> f64 {
        let (known, newest) = (self.weight(), chosen.iter().sum::<f64>());
        let liked = LIKED_FACTOR * known / self.rates.len() as f64;
        let pairs = self.rates.iter().zip(chosen).filter(|(rate, _)| **rate >= liked);
        let mut kept: Vec<(f64, f64)> = pairs.map(|(rate, more)| (more / newest * known / rate, *rate)).collect();
        kept.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let moved = MOVED_SHARE * kept.iter().map(|(_, rate)| rate).sum::<f64>();
        let mut seen = 0.0;
        let at_moved = kept.iter().find(|(_, rate)| {
            seen += rate;
            seen >= moved
        });
        at_moved.map_or(0.0, |(part, _)| part.min(1.0))
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

    /// Whether the newest counts are those in which a shift came, and most of them are old.
    #[must_use]
    pub const fn is_mostly_stale(&self) -> bool {
        self.is_mostly_stale
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
pub fn selections_between(before: &[u64], now: &[u64]) -> Vec<u64> {
    let restarted = before.len() != now.len() || now.iter().zip(before).any(|(now, before)| now < before);
    if restarted {
        return now.to_vec();
    }
    now.iter().zip(before).map(|(now, before)| now - before).collect()
}
