//! What an operator sets for a leader.

use ochreyard_process::Settings;

/// What a leader weighs, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// How long a grant lasts, in milliseconds.
    pub lease_ms: u64,
    /// Pause between rounds while nothing changes, in milliseconds.
    pub round_ms: u64,
    /// After this time counts have lost most of their weight, in milliseconds.
    pub fade_ms: u64,
    /// For how long a map is expected to fit, in milliseconds.
    pub horizon_ms: u64,
    /// What a copy costs beside its time, in milliseconds of the group's time.
    pub copy_price_ms: f64,
    /// Saving over the horizon below which nothing is changed, in milliseconds.
    pub least_saving_ms: u64,
}

impl LeaderSettings {
    /// Takes them from the settings of an entry.
    pub fn read(settings: &Settings) -> Self {
        Self {
            lease_ms: settings.number("lease_ms"),
            round_ms: settings.number("round_ms"),
            fade_ms: settings.number("demand_fade_ms"),
            horizon_ms: settings.number("map_horizon_ms"),
            copy_price_ms: settings.fraction("copy_price_ms"),
            least_saving_ms: settings.number("least_saving_ms"),
        }
    }
}
