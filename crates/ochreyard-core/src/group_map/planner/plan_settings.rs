//! Figures that a plan rests on.

/// Figures of a group and what its users weigh.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Experts that a rank can hold in a set.
    pub slots: usize,
    /// Experts that one change may bring to a rank in a set.
    pub spare_slots: usize,
    /// Time to copy one expert, in milliseconds.
    pub copy_ms: f64,
    /// Time of a change beside the copies, in milliseconds.
    pub switch_ms: f64,
    /// How much longer steps take while experts are copied, as a share.
    pub copy_slowdown: f64,
    /// What a millisecond of copying costs, in milliseconds of the group's time.
    pub copy_time_cost: f64,
    /// For how long a new map is expected to fit, in milliseconds.
    pub horizon_ms: f64,
    /// What one copy costs beside its time, as milliseconds of the group's time.
    pub copy_price_ms: f64,
    /// Saving over the horizon below which nothing is changed, in milliseconds.
    pub least_saving_ms: f64,
}
