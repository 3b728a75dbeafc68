//! What both programs share: checked settings, log lines, clock, exit codes.

mod clock;
mod life;
mod logging;
mod settings;
mod stop;
mod usage;

pub use clock::Clock;
pub use life::new_life;
pub use logging::{LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET, LineBudget, Output, event_of, start_logging};
pub use settings::{FieldKind, FieldSpec, Settings, SettingsFault, SettingsFaults, reference};
pub use stop::{outlive_hangup, stop_signal};
pub use usage::{exit_for_usage, exit_for_version};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Starts collecting metrics; the handle renders them as text.
///
/// # Errors
///
/// When another recorder has been installed before.
pub fn start_metrics() -> Result<PrometheusHandle, String> {
    PrometheusBuilder::new().install_recorder().map_err(|error| error.to_string())
}
