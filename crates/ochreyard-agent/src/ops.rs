//! Health and metrics of the agent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;

/// Returns the routes for health and metrics. `ready` is whether new work is accepted.
pub fn router(metrics: PrometheusHandle, ready: Arc<AtomicBool>) -> Router {
    let readiness = move || async move {
        if ready.load(Ordering::Relaxed) {
            (StatusCode::OK, "ready\n")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
        }
    };
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness))
        .route("/metrics", get(move || async move { metrics.render() }))
}
