//! Up to which share of a group's stream limit a request is admitted.

use crate::direct::priority_level::PriorityLevel;
use crate::direct::urgency::Urgency;
use crate::hash;

/// The shares between which the most urgent level is admitted with falling probability. They lie on both sides of the
/// limit, so that a group with enough requests of this level runs at its limit.
const MOST_URGENT: AdmissionShare = AdmissionShare { lower: 0.95, upper: 1.05 };
/// The same for the least urgent of several levels. With 0.75 to 0.85 a burst of the least urgent level left a sixth of
/// the limit unused while its requests waited; with 0.90 to 1.00 the most urgent level lost a tenth in an overload of two
/// times the limit (`stream_limit_model`).
const LEAST_URGENT: AdmissionShare = AdmissionShare { lower: 0.85, upper: 0.95 };
/// The same for requests of any level that are late already. They are worth less than any request that can be on time.
/// With 0.75 to 0.85, late requests kept a group at its limit for 10 s after a burst, and each shift of demand in that
/// time made all of its streams late.
const LATE: AdmissionShare = AdmissionShare { lower: 0.6, upper: 0.75 };

/// The bounds of the admission ramp of a request, as shares of the stream limit of a group. Below the lower bound each
/// request is admitted, above the upper one none is, and between them the probability falls linearly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionShare {
    /// The share below which each request is admitted.
    pub lower: f64,
    /// The share from which no request is admitted.
    pub upper: f64,
}

impl AdmissionShare {
    /// Returns the bounds for a request. Those of the levels between the most and the least urgent one are evenly
    /// spaced.
    #[must_use]
    pub fn new(urgency: Urgency, level: PriorityLevel) -> Self {
        if urgency == Urgency::Late {
            return LATE;
        }
        let last = level.count.saturating_sub(1).max(1);
        let position = level.index.min(last) as f64 / last as f64;
        let between = |most: f64, least: f64| most + position * (least - most);
        Self {
            lower: between(MOST_URGENT.lower, LEAST_URGENT.lower),
            upper: between(MOST_URGENT.upper, LEAST_URGENT.upper),
        }
    }

    /// Returns whether a request is admitted to a group that runs `running` requests; `draw` is a uniformly distributed
    /// random number.
    #[must_use]
    pub fn admits(self, running: u64, stream_limit: u64, draw: u64) -> bool {
        let share = running as f64 / stream_limit.max(1) as f64;
        let refused = (share - self.lower) / (self.upper - self.lower);
        // The draw is mixed since its bits also determine the order in which endpoints are sampled.
        let drawn = hash::mix(draw.rotate_left(32)) as f64 / u64::MAX as f64;
        refused < 1.0 && drawn >= refused
    }
}
