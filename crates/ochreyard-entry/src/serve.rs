//! Runs an entry that routes through agents, until it is shut down.

use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use axum::serve::{Listener, ListenerExt};
use kameo::actor::{ActorRef, Spawn};
use miette::{Context, IntoDiagnostic, Result};
use ochreyard_caller::CallerLimits;
use ochreyard_core::config::Configuration;
use ochreyard_core::drain::{Drain, Serving};
use ochreyard_core::ids::Incarnation;
use ochreyard_core::membership::HeartbeatTimeouts;
use ochreyard_core::routing::Policy;
use ochreyard_peer::{ConfigurationSource, LocalThread};
use ochreyard_platform::HttpPlatform;
use ochreyard_process::{
    Clock, ListenerGate, Settings, close_listeners, run_metrics_upkeep, start_logging, start_metrics, stop_signal,
};
use tokio::net::TcpListener;

use crate::balancer::{Balancer, GetConfig};
use crate::control::EntryControl;
use crate::forward::Forwarder;
use crate::state::{EntryIdentity, EntryState};
use crate::upkeep::{self, Peers};

/// Name of the stream in the platform's log that holds the configuration.
const CONFIG_STREAM: &str = "config";
/// How long the first request on an accepted connection may take to arrive before an entry exits.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(100);
/// Interval at which a draining entry checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Runs the entry until it receives a stop signal and has drained.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a secret cannot be read.
pub fn run(settings: Settings) -> Result<()> {
    start_logging(&settings).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    let clock = Clock::start();
    let incarnation = Incarnation(clock.now_us());
    let metrics = start_metrics().map_err(|error| miette::miette!("{error}"))?;
    tokio::spawn(run_metrics_upkeep(metrics.clone()));
    let log = HttpPlatform::new(settings.text("platform_url"), CONFIG_STREAM, settings.number("platform_timeout_ms"))
        .into_diagnostic()?;
    let identity = EntryIdentity {
        entry: settings.text("entry").into(),
        incarnation,
        peer_token: settings.secret("peer_token_file").into_diagnostic()?,
        snapshot_every_ms: settings.number("snapshot_every_ms"),
        routing: match settings.text("routing") {
            "round_robin" => Policy::RoundRobin,
            "least_reported" => Policy::LeastReported,
            _ => Policy::Predicted,
        },
        heartbeat_timeouts: HeartbeatTimeouts {
            suspect_after_ms: settings.number("suspect_after_ms"),
            down_after_ms: settings.number("down_after_ms"),
            interval_ms: settings.number("heartbeat_ms"),
        },
    };
    let thread = LocalThread::start("peer").into_diagnostic()?;
    let balancer = Balancer::spawn(Balancer::new(EntryState::new(identity, thread.clone(), clock.now_ms()), clock));

    let callers = bind(&settings, "callers_addr").await?;
    let operators = bind(&settings, "operators_addr").await?;
    // Each duplicate shares its socket with the server that owns the listener.
    let listeners = [callers.as_fd().try_clone_to_owned(), operators.as_fd().try_clone_to_owned()];
    let listeners = listeners.into_iter().collect::<std::io::Result<Vec<_>>>().into_diagnostic()?;
    let peers = serve_peers(&settings, &thread, &balancer)?;
    let poll_ms = settings.number("log_poll_ms");
    tokio::spawn(upkeep::follow_log(log.clone(), balancer.clone(), clock, poll_ms, peers));
    tokio::spawn(upkeep::send_heartbeats(log.clone(), balancer.clone(), settings.number("heartbeat_ms")));
    tokio::spawn(upkeep::follow_box_list(log.clone(), balancer.clone()));

    let control =
        Arc::new(EntryControl { balancer: balancer.clone(), log, clock, incarnation, plan_count: AtomicU64::new(1) });
    let operator_router = ochreyard_operator::api::router(control, settings.text("operator_token_sha256").to_owned());
    tokio::spawn(async move { axum::serve(with_nodelay(operators), operator_router).await });

    let forwarder = Arc::new(Forwarder {
        balancer,
        incarnation,
        clock,
        metrics,
        ready: AtomicBool::new(true),
        refusing: AtomicBool::new(false),
        in_flight: Arc::default(),
    });
    let caller_router = ochreyard_caller::router(Arc::clone(&forwarder), caller_limits(&settings));
    let stopped = Arc::new(tokio::sync::Notify::new());
    let stop = Arc::clone(&stopped);
    let server =
        axum::serve(with_nodelay(callers), caller_router).with_graceful_shutdown(async move { stop.notified().await });
    let server = tokio::spawn(server.into_future());

    log::info!("event=entry_started entry={} incarnation={incarnation}", settings.text("entry"));
    stop_signal().await.into_diagnostic()?;
    drain(&forwarder, &clock, settings.number("drain_grace_ms")).await;
    close_listeners(listeners.into_iter().map(ListenerGate::new)).await;
    tokio::time::sleep(FIRST_REQUEST_TIME).await;
    stopped.notify_one();
    server.await.into_diagnostic()?.into_diagnostic()?;
    log::info!("event=entry_stopped");
    Ok(())
}

/// Serves the configuration to other entries, and returns how to ask them for theirs.
fn serve_peers(settings: &Settings, thread: &LocalThread, balancer: &ActorRef<Balancer>) -> Result<Peers> {
    let addr = settings.addr("peer_addr");
    let token = settings.secret("peer_token_file").into_diagnostic()?;
    let listener = std::net::TcpListener::bind(addr)
        .into_diagnostic()
        .wrap_err_with(|| format!("field `peer_addr`: {addr} cannot be bound; choose a free address"))?;
    let source = Arc::new(BalancerState(balancer.clone()));
    ochreyard_peer::serve_configuration(thread, listener, token.clone(), source);
    Ok(Peers { addrs: settings.addrs("peers"), token, thread: thread.clone() })
}

/// Serves the configuration of the balancer to other entries.
struct BalancerState(ActorRef<Balancer>);

impl ConfigurationSource for BalancerState {
    async fn configuration(&self) -> Option<Arc<Configuration>> {
        self.0.ask(GetConfig {}).await.ok().flatten()
    }
}

async fn bind(settings: &Settings, field: &str) -> Result<TcpListener> {
    let addr: SocketAddr = settings.addr(field);
    let problem = || format!("field `{field}`: {addr} cannot be bound; choose a free address");
    TcpListener::bind(addr).await.into_diagnostic().wrap_err_with(problem)
}

/// Sets `TCP_NODELAY` on accepted connections. Without it, the body of an answer waits for the delayed acknowledgement
/// of its head, 40 ms each time.
fn with_nodelay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay_refused error=\"{error}\"");
        }
    })
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    let bytes = |name: &str| usize::try_from(settings.number(name)).unwrap_or(usize::MAX);
    CallerLimits {
        max_head_bytes: bytes("max_head_bytes"),
        max_body_bytes: bytes("max_body_bytes"),
        default_deadline_ms: settings.number("default_deadline_ms"),
        ..CallerLimits::default()
    }
}

/// Shuts down gracefully: the readiness check fails at once, new requests are accepted for `grace_ms` and then refused,
/// and the function returns when all requests in flight have ended.
async fn drain(forwarder: &Forwarder, clock: &Clock, grace_ms: u64) {
    log::info!("event=entry_leaving grace_ms={grace_ms}");
    forwarder.ready.store(false, Ordering::Relaxed);
    let mut unready = Drain::<Serving>::new(grace_ms).stop(clock.now_ms());
    let refusing = loop {
        match unready.refuse(clock.now_ms()) {
            Ok(refusing) => break refusing,
            Err(still_unready) => unready = still_unready,
        }
        tokio::time::sleep(DRAIN_POLL).await;
    };
    forwarder.refusing.store(true, Ordering::Relaxed);
    while !refusing.is_drained(forwarder.in_flight.load(Ordering::Relaxed)) {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}
