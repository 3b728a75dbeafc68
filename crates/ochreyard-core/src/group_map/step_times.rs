//! Whether shorter steps of a group would help its callers.

/// Share of the pause aim from which the mean step counts as near it: single steps take up to
/// half as long again, since a rank that reads a long prompt holds up all others.
const NEAR_AIM_SHARE: f64 = 0.6;
/// The same for the step that the present skew leads to, where a change lowers it by much: steps are about to grow, and the
/// change takes its time.
const COMING_NEAR_SHARE: f64 = 0.45;
/// Improvement of the skew that counts as much. In a busy group it is worth a change however short steps are: requests that
/// wait for a place get it sooner.
const LARGE_GAIN: f64 = 1.25;
/// Skew from which such a change is worth it in any group: few requests are enough to make single steps long, and they come
/// faster than a map is changed.
const HIGH_SKEW: f64 = 1.75;
/// Share of a group's places from which it counts as busy.
const BUSY_SHARE: f64 = 0.35;

/// How long the steps of a group take, beside how long they may.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepTimes {
    /// The mean step of late, in milliseconds; 0 where it is not known.
    pub step_ms: u64,
    /// The mean skew during those steps, where it is known.
    pub mean_skew: Option<f64>,
    /// The longest pause between events that callers take as in time, in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Requests that run, as a share of the group's places.
    pub utilization: f64,
}

impl StepTimes {
    /// Whether a change from the first skew to the second one may bring callers into their aim.
    ///
    /// While steps are well under the aim, and stay there under the present skew, a change gains nobody anything: it copies
    /// experts after what is in demand for a moment, and where its orders get lost it holds the group until every running
    /// stream is late.
    #[must_use]
    pub fn would_benefit(&self, (before, after): (f64, f64)) -> bool {
        let Some(target_gap_ms) = self.target_gap_ms else { return true };
        if self.step_ms == 0 {
            return true;
        }
        let is_large = before >= after * LARGE_GAIN;
        let near_aim_ms = target_gap_ms as f64 * NEAR_AIM_SHARE;
        let coming_near_ms = target_gap_ms as f64 * COMING_NEAR_SHARE;
        let step_ms = self.step_ms as f64;
        // Steps grow about as their most loaded rank does: a shift shows in the skew before it shows in the steps.
        let expected_ms = self.mean_skew.map(|mean| step_ms * before / mean.max(1.0));
        let is_coming_near = expected_ms.is_none_or(|expected_ms| expected_ms >= coming_near_ms);
        let is_exposed = before >= HIGH_SKEW || self.utilization >= BUSY_SHARE;
        step_ms >= near_aim_ms || (is_large && (is_coming_near || is_exposed))
    }
}
