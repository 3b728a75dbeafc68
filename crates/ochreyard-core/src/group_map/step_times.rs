//! Whether shorter steps of a group would benefit its callers.

/// Share of the gap target from which the mean step counts as near the target. Below it, a small
/// improvement shortens steps by a few milliseconds, brings hardly any stream within the target, and
/// costs longer steps while experts are copied. With 0.6, five or six such changes followed each shift.
const NEAR_TARGET_SHARE: f64 = 0.8;
/// The same share for the step time expected under the current skew, where a change improves the
/// skew by a large factor: steps are about to grow, and the change itself takes time.
const EXPECTED_NEAR_TARGET_SHARE: f64 = 0.45;
/// Factor by which a change must improve the skew to count as a large improvement. In a busy group
/// such a change is worthwhile however short steps are, since waiting requests get a slot sooner.
const LARGE_IMPROVEMENT: f64 = 1.25;
/// Skew from which a large improvement is worthwhile in any group: a few requests are enough to
/// make single steps long, and they arrive faster than a map is changed.
const HIGH_SKEW: f64 = 1.75;
/// Share of a group's request slots in use from which the group counts as busy.
const BUSY_UTILIZATION: f64 = 0.35;

/// How long the steps of a group take, compared with the target of its callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepTimes {
    /// The recent mean step time, in milliseconds; 0 if it is not known.
    pub step_ms: u64,
    /// The mean skew during those steps, if it is known.
    pub mean_skew: Option<f64>,
    /// The longest gap between events of a stream that counts as on time, in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Running requests as a share of the group's request slots.
    pub utilization: f64,
}

impl StepTimes {
    /// Whether a change of the skew from the first value to the second may bring streams within the gap target.
    ///
    /// While steps are well below the target, and stay there under the current skew, a change benefits no caller:
    /// it copies experts to follow a momentary demand, and where its orders get lost it holds the group until
    /// every running stream is late.
    #[must_use]
    pub fn would_benefit(&self, (before, after): (f64, f64)) -> bool {
        let Some(target_gap_ms) = self.target_gap_ms else { return true };
        if self.step_ms == 0 {
            return true;
        }
        let is_large_improvement = before >= after * LARGE_IMPROVEMENT;
        let near_target_ms = target_gap_ms as f64 * NEAR_TARGET_SHARE;
        let expected_near_target_ms = target_gap_ms as f64 * EXPECTED_NEAR_TARGET_SHARE;
        let step_ms = self.step_ms as f64;
        // Step times grow about as the load of the most loaded rank: a shift affects the skew before the step times.
        let expected_ms = self.mean_skew.map(|mean| step_ms * before / mean.max(1.0));
        let is_expected_near_target = expected_ms.is_none_or(|expected_ms| expected_ms >= expected_near_target_ms);
        let is_at_risk = before >= HIGH_SKEW || self.utilization >= BUSY_UTILIZATION;
        step_ms >= near_target_ms || (is_large_improvement && (is_expected_near_target || is_at_risk))
    }
}
