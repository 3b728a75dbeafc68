//! The settings of a plan.

/// Capacities and times of a group, and the weights of costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Experts that a rank can hold in a set.
    pub slots: usize,
    /// Experts that one change may add to a rank in a set.
    pub spare_slots: usize,
    /// Time to copy one expert, in milliseconds.
    pub copy_ms: f64,
    /// Time of a change in addition to the copies, in milliseconds.
    pub switch_ms: f64,
    /// Share by which steps take longer while experts are copied.
    pub copy_slowdown: f64,
    /// Cost of a millisecond of copying, in milliseconds of the group's time.
    pub copy_time_cost: f64,
    /// Time for which a new map is expected to fit the demand, in milliseconds.
    pub horizon_ms: f64,
    /// Cost of one copy in addition to its duration, in milliseconds of the group's time.
    pub copy_price_ms: f64,
    /// Saving over the horizon below which the map is not changed, in milliseconds.
    pub least_saving_ms: f64,
}
