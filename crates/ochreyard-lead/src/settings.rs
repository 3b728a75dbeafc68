//! The settings of a leader.

use ochreyard_process::Settings;

/// The settings of a leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// Duration of a grant, in milliseconds.
    pub lease_ms: u64,
    /// Pause between polling rounds while no map change is in progress, in milliseconds.
    pub round_ms: u64,
    /// Time after which selection counts have lost most of their weight, in milliseconds.
    pub demand_decay_ms: u64,
    /// Time for which a new map is expected to fit the demand, in milliseconds.
    pub horizon_ms: u64,
    /// Cost of one copy in addition to its duration, in milliseconds of the group's time.
    pub copy_price_ms: f64,
    /// Saving over the horizon below which the map is not changed, in milliseconds.
    pub least_saving_ms: u64,
}

impl LeaderSettings {
    /// Reads them from the settings of an entry.
    pub fn read(settings: &Settings) -> Self {
        Self {
            lease_ms: settings.number("lease_ms"),
            round_ms: settings.number("round_ms"),
            demand_decay_ms: settings.number("demand_fade_ms"),
            horizon_ms: settings.number("map_horizon_ms"),
            copy_price_ms: settings.fraction("copy_price_ms"),
            least_saving_ms: settings.number("least_saving_ms"),
        }
    }
}
