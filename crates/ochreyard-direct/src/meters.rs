//! Counters and latency histograms of an entry.

use std::net::SocketAddr;

use metrics_exporter_prometheus::PrometheusHandle;
use ochreyard_core::direct::{GroupRunning, PrioritySet};
use ochreyard_process::RuntimeLag;
use tokio::net::TcpListener;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Milliseconds in a second: exported metrics are in seconds.
const MS_PER_S: f64 = 1_000.0;

/// Records that a caller got its final answer.
pub fn on_answer(service: &str, outcome: &'static str, elapsed_ms: u64) {
    let service = service.to_owned();
    metrics::counter!("ochreyard_direct_answers_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    metrics::histogram!("ochreyard_direct_answer_seconds", "service" => service).record(elapsed_ms as f64 / MS_PER_S);
}

/// Records that the first part of a stream goes to its caller.
pub fn on_stream_start(service: &str, elapsed_ms: u64) {
    let service = service.to_owned();
    metrics::histogram!("ochreyard_direct_stream_start_seconds", "service" => service)
        .record(elapsed_ms as f64 / MS_PER_S);
}

/// Records how long a request waited for an endpoint, and how the wait ended.
pub fn on_waited(service: &str, outcome: &'static str, waited_ms: u64) {
    let service = service.to_owned();
    metrics::histogram!("ochreyard_direct_waited_seconds", "service" => service, "outcome" => outcome)
        .record(waited_ms as f64 / MS_PER_S);
}

/// Records a failed attempt at an endpoint.
pub fn on_failed_attempt(service: &str) {
    metrics::counter!("ochreyard_direct_failed_attempts_total", "service" => service.to_owned()).increment(1);
}

/// Records that an endpoint gets no requests for a while because it failed too often in a row.
pub fn on_ejected(service: &str) {
    metrics::counter!("ochreyard_direct_ejections_total", "service" => service.to_owned()).increment(1);
}

/// Records an attempt that this process ended before its endpoint sent anything.
pub fn on_abandoned_attempt() {
    metrics::counter!("ochreyard_direct_abandoned_attempts_total").increment(1);
}

/// Records a liveness check of an endpoint.
pub fn on_liveness_check(has_responded: bool) {
    let result = if has_responded { "responding" } else { "silent" };
    metrics::counter!("ochreyard_direct_liveness_checks_total", "result" => result).increment(1);
}

/// Records that it was verified whether the peer of a connection is reachable.
pub fn on_peer_verified(is_reachable: bool) {
    let result = if is_reachable { "reachable" } else { "silent" };
    metrics::counter!("ochreyard_direct_peers_verified_total", "result" => result).increment(1);
}

/// Records that an endpoint did not run a request that reached it; `asks_backoff` tells whether it also asked for a
/// backoff.
pub fn on_refused_arrival(service: &str, asks_backoff: bool) {
    let asked = if asks_backoff { "pause" } else { "nothing" };
    metrics::counter!("ochreyard_direct_refused_arrivals_total", "service" => service.to_owned(), "asked" => asked)
        .increment(1);
}

/// Records that a request was not sent to its picked endpoint, because of the endpoint's limit, or because the endpoint
/// has asked for a backoff or left since.
pub fn on_withheld(service: &str, is_limited: bool) {
    let cause = if is_limited { "limit" } else { "pause_or_leaving" };
    metrics::counter!("ochreyard_direct_withheld_total", "service" => service.to_owned(), "cause" => cause)
        .increment(1);
}

/// Records that a request is sent again.
pub fn on_retry(service: &str) {
    metrics::counter!("ochreyard_direct_repeats_total", "service" => service.to_owned()).increment(1);
}

/// Records that a request that had reached an endpoint before has reached one again.
pub fn on_repeated_arrival(service: &str) {
    metrics::counter!("ochreyard_direct_repeated_arrivals_total", "service" => service.to_owned()).increment(1);
}

/// Records that the tasks of this process ran late.
pub fn on_runtime_lag(lag: &RuntimeLag) {
    metrics::histogram!("ochreyard_direct_runtime_late_seconds").record(lag.late_ms as f64 / MS_PER_S);
}

/// Records that the platform's log was restored from an older copy.
pub fn on_log_restored() {
    metrics::counter!("ochreyard_direct_log_returns_total").increment(1);
}

/// Records that a suspected request is sent to an endpoint.
pub fn on_trial() {
    metrics::counter!("ochreyard_direct_suspects_tried_total").increment(1);
}

/// Records that a request was found to crash endpoints.
pub fn on_quarantined() {
    metrics::counter!("ochreyard_direct_requests_quarantined_total").increment(1);
}

/// Renders all metrics as text. Gauges are read from the state first.
pub fn render<D: Dialect>(entry: &Entry<D>, handle: &PrometheusHandle) -> String {
    let state = entry.state.borrow();
    let now_ms = entry.clock.now_ms();
    let version = state.table.as_ref().map_or(0, |table| table.version());
    metrics::gauge!("ochreyard_direct_config_version").set(version as f64);
    metrics::gauge!("ochreyard_direct_endpoint_records_age_seconds")
        .set(state.log_progress.age_ms(now_ms) as f64 / MS_PER_S);
    metrics::gauge!("ochreyard_direct_log_era").set(state.era.unwrap_or(0) as f64);
    metrics::gauge!("ochreyard_direct_log_answers").set(f64::from(u8::from(state.log_answers)));
    metrics::gauge!("ochreyard_direct_known_boxes").set(state.boxes.len() as f64);
    metrics::gauge!("ochreyard_direct_quarantined").set(state.quarantine.quarantined_count(now_ms) as f64);
    for service in state.budget.services() {
        let usage = state.budget.usage(service, now_ms);
        let gauge = |name: &'static str| metrics::gauge!(name, "service" => service.to_owned());
        gauge("ochreyard_direct_recent_requests").set(usage.requests as f64);
        gauge("ochreyard_direct_recent_repeats").set(usage.retries as f64);
        gauge("ochreyard_direct_held_repeats").set(usage.held as f64);
        gauge("ochreyard_direct_budget_boxes").set(usage.boxes as f64);
    }
    for (service, queue) in &state.queues {
        let unavailable = state.pool.unavailable_counts(service, now_ms);
        metrics::gauge!("ochreyard_direct_paused_endpoints", "service" => service.clone())
            .set(unavailable.paused as f64);
        metrics::gauge!("ochreyard_direct_leaving_endpoints", "service" => service.clone())
            .set(unavailable.leaving as f64);
        let limits = state.pool.limit_usage(service, now_ms);
        let gauge = |name: &'static str| metrics::gauge!(name, "service" => service.clone());
        gauge("ochreyard_direct_limited_endpoints").set(limits.endpoints as f64);
        gauge("ochreyard_direct_limit_per_second").set(limits.limit_per_s);
        gauge("ochreyard_direct_limit_share_per_second").set(limits.share_per_s);
        gauge("ochreyard_direct_limit_sent_per_second").set(limits.sent_per_s);
        let configured = state.table.as_ref().map_or_else(PrioritySet::default, |table| table.priorities(service));
        // Includes priorities that are no longer configured, so that their gauges return to 0.
        for priority in configured.union(queue.wait_queue.past_priorities()).iter() {
            let labels = [("service", service.clone()), ("priority", priority.to_string())];
            metrics::gauge!("ochreyard_direct_waiting", &labels).set(queue.wait_queue.waiting_at(priority) as f64);
        }
        for (group, GroupRunning { running, stream_limit }) in state.pool.group_running(service, now_ms) {
            let gauge =
                |name: &'static str| metrics::gauge!(name, "service" => service.clone(), "group" => group.to_owned());
            gauge("ochreyard_direct_group_running").set(running as f64);
            // A gauge can't be absent once it was set; a group without a limit shows 0.
            gauge("ochreyard_direct_group_stream_limit").set(stream_limit.unwrap_or(0) as f64);
        }
    }
    handle.render()
}

/// Binds the metrics address. If that fails, the process serves without this listener.
pub async fn bind(addr: SocketAddr) -> Option<TcpListener> {
    if addr.port() == 0 {
        return None;
    }
    match TcpListener::bind(addr).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::warn!("event=metrics_not_served addr={addr} error=\"{error}\"");
            None
        }
    }
}

/// Counts a task of the process that panicked and is started again.
pub fn on_task_restart(task: &str) {
    metrics::counter!("ochreyard_direct_task_restarts_total", "task" => task.to_owned()).increment(1);
}
