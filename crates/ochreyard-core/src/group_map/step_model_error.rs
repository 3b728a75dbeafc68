//! By how much measured steps are longer than modelled ones.

/// Shortest period over which steps are measured, in milliseconds. Steps are counted once in a polling round of 100 ms,
/// so that a shorter period is off by more than a tenth.
const MIN_WINDOW_MS: u64 = 400;
/// Longest period, in milliseconds. A longer one shows that this box was suspended.
const MAX_WINDOW_MS: u64 = 1_200;
/// Weight of the newest difference: the last 6 s count, which usually include a change of the map.
const WEIGHT: f64 = 0.08;
/// Difference that is expected before one was measured, as a share of the target: the prompts of a usual load.
const FIRST_MEAN: f64 = 0.08;
/// Spread that is expected before one was measured, as a share of the target.
const FIRST_SPREAD: f64 = 0.05;
/// Least and largest difference that counts, as a share of the target. Where steps are far shorter than modelled, the
/// skew was estimated too high by chance; where they are longer than this, the cause is one that no limit removes.
const DIFFERENCE: (f64, f64) = (-0.1, 0.33);
/// Spreads above the mean difference that are kept free. A period covers five to ten steps, and a single one that
/// processes a long prompt differs more than their mean does.
const SPREADS: f64 = 1.5;
/// Least and largest share of the target that is kept free.
const HEADROOM: (f64, f64) = (0.06, 0.33);

/// A period over which steps are measured.
#[derive(Debug, Clone, Copy)]
struct Window {
    started_ms: u64,
    first_step: u64,
    modelled_ms: f64,
    rounds: f64,
}

/// The difference between measured and modelled steps, as shares of the gap target.
#[derive(Debug, Clone, Copy)]
pub struct StepModelError {
    window: Option<Window>,
    mean: f64,
    variance: f64,
}

impl Default for StepModelError {
    fn default() -> Self {
        Self { window: None, mean: FIRST_MEAN, variance: FIRST_SPREAD * FIRST_SPREAD }
    }
}

impl StepModelError {
    /// Adds a polling round in which `step` was the newest step and the model gave `modelled_ms`.
    pub fn observe(&mut self, step: u64, modelled_ms: f64, target_gap_ms: f64, now_ms: u64) {
        let new = Window { started_ms: now_ms, first_step: step, modelled_ms: 0.0, rounds: 0.0 };
        let window = self.window.get_or_insert(new);
        window.modelled_ms += modelled_ms;
        window.rounds += 1.0;
        let length_ms = now_ms.saturating_sub(window.started_ms);
        if length_ms < MIN_WINDOW_MS {
            return;
        }
        let (steps, mean_modelled_ms) = (step.saturating_sub(window.first_step), window.modelled_ms / window.rounds);
        self.window = Some(Window { modelled_ms, rounds: 1.0, ..new });
        if steps > 0 && length_ms <= MAX_WINDOW_MS {
            self.record((length_ms as f64 / steps as f64 - mean_modelled_ms) / target_gap_ms);
        }
    }

    /// Drops the current period, in which the state of the group changed.
    pub const fn drop_window(&mut self) {
        self.window = None;
    }

    fn record(&mut self, difference: f64) {
        let (least, largest) = DIFFERENCE;
        let deviation = difference.clamp(least, largest) - self.mean;
        self.mean += WEIGHT * deviation;
        self.variance = (1.0 - WEIGHT) * (self.variance + WEIGHT * deviation * deviation);
    }

    /// Returns the part of the gap target that modelled steps leave free, as a share of it.
    pub fn headroom(&self) -> f64 {
        let (least, largest) = HEADROOM;
        (self.mean + SPREADS * self.variance.sqrt()).clamp(least, largest)
    }
}
