//! Runs the agent until its graceful shutdown.

use std::net::TcpListener;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use miette::{Context, IntoDiagnostic, Result};
use ochreyard_core::admission::{Admission, AdmissionSettings};
use ochreyard_core::ids::Incarnation;
use ochreyard_core::rebalance::RebalanceSettings;
use ochreyard_endpoint::EndpointClient;
use ochreyard_peer::LocalThread;
use ochreyard_platform::HttpPlatform;
use ochreyard_process::{
    Clock, ListenerGate, Settings, close_listeners, run_metrics_upkeep, start_logging, start_metrics, stop_signal,
};

use crate::admission_actor::{AdmissionActor, CountRunning, Leave, StepTime, Tick};
use crate::call::Agent;
use crate::fields::SAME_AS_AGENT_ADDR;
use crate::leases::LeaseClient;
use crate::ops;
use crate::rebalancer::Rebalancer;

/// Interval at which the deadlines of queued requests are checked.
const TICK: Duration = Duration::from_millis(50);
/// The stream of the platform's log that contains the leases.
const LEASE_STREAM: &str = "leases";
/// Timeout of requests to the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

/// Runs the agent.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a secret cannot be read.
pub fn run(settings: Settings) -> Result<()> {
    start_logging(&settings).into_diagnostic()?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    let clock = Clock::start();
    let metrics = start_metrics().map_err(|error| miette::miette!("{error}"))?;
    tokio::spawn(run_metrics_upkeep(metrics.clone()));
    let incarnation = Incarnation(clock.now_us());
    let admission = Admission::new(admission_settings(&settings), incarnation, clock.now_ms());
    let admission = AdmissionActor::spawn(AdmissionActor::new(admission, clock));
    let endpoint = EndpointClient::new(settings.text("endpoint_url")).into_diagnostic()?;
    let ready = Arc::new(AtomicBool::new(true));

    let thread = LocalThread::start("peer").into_diagnostic()?;
    let field = if settings.text("listen_addr") == SAME_AS_AGENT_ADDR { "agent_addr" } else { "listen_addr" };
    let peer_addr = settings.addr(field);
    let listener = TcpListener::bind(peer_addr)
        .into_diagnostic()
        .wrap_err_with(|| format!("field `{field}`: {peer_addr} cannot be bound; choose a free address"))?;
    let agent = Agent {
        data_centre: settings.text("data_centre").to_owned(),
        admission: admission.clone(),
        endpoint: endpoint.clone(),
        config: std::sync::RwLock::new(None),
    };
    let token = settings.secret("peer_token_file").into_diagnostic()?;
    // The duplicate shares its socket with the server that owns the listener.
    let peer_gate = ListenerGate::new(listener.as_fd().try_clone_to_owned().into_diagnostic()?);
    ochreyard_peer::serve(&thread, listener, token, Arc::new(agent));

    let ops_addr = settings.addr("ops_addr");
    let ops_listener = tokio::net::TcpListener::bind(ops_addr)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("field `ops_addr`: {ops_addr} cannot be bound; choose a free address"))?;
    let ops = ops::router(metrics, Arc::clone(&ready));
    tokio::spawn(async move { axum::serve(ops_listener, ops).await });
    tokio::spawn(tick(admission.clone()));
    tokio::spawn(poll_step_time(admission.clone(), endpoint.clone(), settings.number("load_poll_ms")));
    if let Some(rebalancer) = rebalancer(&settings, clock, incarnation, endpoint)? {
        tokio::spawn(rebalancer.run(settings.number("rebalance_every_ms")));
    }

    log::info!("event=agent_started endpoint={} addr={peer_addr}", settings.text("endpoint"));
    stop_signal().await.into_diagnostic()?;
    ready.store(false, Ordering::Relaxed);
    drain(&admission, settings.number("drain_grace_ms")).await;
    close_listeners([peer_gate]).await;
    log::info!("event=agent_stopped");
    Ok(())
}

fn admission_settings(settings: &Settings) -> AdmissionSettings {
    let count = |name: &str| usize::try_from(settings.number(name)).unwrap_or(usize::MAX);
    AdmissionSettings::new(settings.text("endpoint"), settings.text("data_centre"))
        .with_agent_addr(settings.addr("agent_addr"))
        .with_slots(u32::try_from(settings.number("slots")).unwrap_or(u32::MAX))
        .with_queue_limits(count("queue_limit"), count("queue_limit_per_workspace"))
        .with_keys(settings.number("key_window_ms"), count("max_keys"))
}

/// Creates the task that changes the group's expert map, if the settings enable it.
fn rebalancer(
    settings: &Settings,
    clock: Clock,
    incarnation: Incarnation,
    endpoint: EndpointClient,
) -> Result<Option<Rebalancer>> {
    let rebalance_settings = match settings.text("rebalance") {
        "weigh_skew" => RebalanceSettings::weigh_skew(),
        "weigh_moves" => RebalanceSettings::weigh_moves(),
        _ => return Ok(None),
    };
    let platform = HttpPlatform::new(settings.text("platform_url"), LEASE_STREAM, PLATFORM_TIMEOUT_MS);
    let platform = platform.into_diagnostic()?;
    Ok(Some(Rebalancer {
        endpoint,
        leases: LeaseClient::new(platform.clone(), clock, incarnation),
        store: platform,
        clock,
        lease: format!("map/{}", settings.text("endpoint")),
        lease_ttl_ms: settings.number("lease_ttl_ms"),
        settings: rebalance_settings,
    }))
}

async fn tick(admission: ActorRef<AdmissionActor>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        if admission.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn poll_step_time(admission: ActorRef<AdmissionActor>, endpoint: EndpointClient, poll_ms: u64) {
    let mut interval = tokio::time::interval(Duration::from_millis(poll_ms));
    loop {
        interval.tick().await;
        // Load reports are optional; the agent itself counts the running requests.
        let Ok(load) = endpoint.load().await else { continue };
        if admission.tell(StepTime(load.step_us)).await.is_err() {
            return;
        }
    }
}

/// Shuts down gracefully: refuses new work and waits until no request is running.
async fn drain(admission: &ActorRef<AdmissionActor>, grace_ms: u64) {
    log::info!("event=agent_leaving");
    let _ = admission.ask(Leave).await;
    while admission.ask(CountRunning).await.unwrap_or(0) > 0 {
        tokio::time::sleep(TICK).await;
    }
    tokio::time::sleep(Duration::from_millis(grace_ms)).await;
}
