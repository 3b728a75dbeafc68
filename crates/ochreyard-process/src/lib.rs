//! Common parts of the programs: settings, logging, metrics, the clock, signals and exit codes.

mod clock;
mod incarnation;
mod listener_gate;
mod logging;
mod runtime_lag;
mod settings;
mod stop;
mod suspension;
mod usage;

pub use clock::{Clock, TimeSource, deadline_ms, monotonic_time, time_since_boot};
pub use incarnation::new_incarnation;
pub use listener_gate::{Accepting, Closing, ListenerGate, close_listeners};
pub use logging::{LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET, LogOutput, LogRateLimiter, event_name, start_logging};
pub use runtime_lag::{RuntimeLag, RuntimeLagDetector, ThreadTimes};
pub use settings::{FieldError, FieldKind, FieldSpec, Settings, SettingsError, settings_reference};
pub use stop::{ignore_hangup, stop_signal};
pub use suspension::SuspensionDetector;
pub use usage::{exit_for_usage, exit_for_version};

use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the histogram buckets, in seconds: from a tenth of the shortest latency target in the users'
/// requirements to the longest timeout that they give a request.
const LATENCY_BUCKETS_S: [f64; 10] = [0.015, 0.03, 0.06, 0.12, 0.2, 0.4, 0.8, 1.6, 4.0, 8.0];

/// Interval between two runs of the recorder's upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder. The returned handle renders the metrics as text, and needs
/// [`run_metrics_upkeep`] to run.
///
/// # Errors
///
/// Fails if a recorder is already installed.
pub fn start_metrics() -> Result<PrometheusHandle, String> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
    builder.and_then(PrometheusBuilder::install_recorder).map_err(|error| error.to_string())
}

/// Runs the recorder's upkeep until the process ends. This bounds the recorder's memory: without it, the samples taken
/// between two scrapes accumulate.
pub async fn run_metrics_upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}
