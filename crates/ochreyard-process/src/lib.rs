//! What both programs share: checked settings, log lines, clock, exit codes.

mod clock;
mod incarnation;
mod logging;
mod settings;
mod stop;
mod suspension;
mod usage;

pub use clock::{Clock, TimeSource, monotonic_time, time_since_boot};
pub use incarnation::new_incarnation;
pub use logging::{LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET, LogOutput, LogRateLimiter, event_name, start_logging};
pub use settings::{FieldError, FieldKind, FieldSpec, Settings, SettingsError, settings_reference};
pub use stop::{ignore_hangup, stop_signal};
pub use suspension::SuspensionDetector;
pub use usage::{exit_for_usage, exit_for_version};

use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper ends of the histograms' buckets, in seconds: from a tenth of the shortest aims of
/// the users' sheets to the longest time that they give a request.
const LATENCY_BUCKETS_S: [f64; 10] = [0.015, 0.03, 0.06, 0.12, 0.2, 0.4, 0.8, 1.6, 4.0, 8.0];

/// How often the recorder puts what was measured in order.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// Starts collecting metrics; the handle renders them as text, and its upkeep must run now
/// and then.
///
/// # Errors
///
/// When another recorder has been installed before.
pub fn start_metrics() -> Result<PrometheusHandle, String> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
    builder.and_then(PrometheusBuilder::install_recorder).map_err(|error| error.to_string())
}

/// Keeps the recorder's memory bounded until the process ends: without it, what is
/// measured between two scrapes piles up.
pub async fn run_metrics_upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_EVERY).await;
        handle.run_upkeep();
    }
}
