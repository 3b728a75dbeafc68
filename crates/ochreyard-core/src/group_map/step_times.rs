//! Whether shorter steps of a group would help its callers.

/// Share of the pause aim from which the mean step counts as near it: single steps take up to
/// half as long again, since a rank that reads a long prompt holds up all others.
const NEAR_AIM_SHARE: f64 = 0.6;
/// Improvement of the skew from which a map is changed however short steps are: it is what
/// a shift of demand leaves behind, and steps are about to be longer than they were.
const LARGE_GAIN: f64 = 1.25;

/// How long the steps of a group take, beside how long they may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepTimes {
    /// The mean step of late, in milliseconds; 0 where it is not known.
    pub step_ms: u64,
    /// The longest pause between events that callers take as in time, in milliseconds.
    pub pause_aim_ms: Option<u64>,
}

impl StepTimes {
    /// Whether a change from the first skew to the second one may bring callers into their
    /// aim. While steps are well under the aim, a change gains nobody anything, and where
    /// its orders get lost it holds the group until every running stream is late.
    #[must_use]
    pub fn gain_from(&self, (before, after): (f64, f64)) -> bool {
        let Some(pause_aim_ms) = self.pause_aim_ms else { return true };
        let is_near_aim = self.step_ms == 0 || self.step_ms as f64 >= pause_aim_ms as f64 * NEAR_AIM_SHARE;
        is_near_aim || before >= after * LARGE_GAIN
    }
}
