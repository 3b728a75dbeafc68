//! Runs an entry process that calls endpoints directly, until its planned stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use miette::{Context, IntoDiagnostic, Result};
use ochreyard_core::direct::{BodyMemory, BoxRecord, LateReads, RetryBudgetLimits};
use ochreyard_process::{
    Accepting, Clock, ListenerGate, RuntimeLagDetector, Settings, SuspensionDetector, close_listeners, new_incarnation,
    run_metrics_upkeep, start_logging, start_metrics,
};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::draining_connection::DrainPhase;
use crate::entry::{Entry, Identity};
use crate::keyed_log::KeyedLog;
use crate::server::ListenerKind;
use crate::supervise::supervise;
use crate::{buffered_bytes, follow, meters, peers, server};

/// How often idle connections to endpoints are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often the process checks whether the machine was suspended, or its own tasks run late: a few times within the
/// shortest wait for another box.
const DELAY_CHECK_INTERVAL_MS: u64 = 100;
/// Least reported delay of the process's own tasks, in milliseconds; shorter ones are within a gap between events.
const MIN_REPORTED_LAG_MS: u64 = 50;
/// How long a stopping box accepts requests, in milliseconds: the load balancer checks readiness every second and drops
/// a box after two failed checks. Later requests are refused as not run, since they might not end within the grace
/// period.
const BALANCER_LAG_MS: u64 = 2_600;
/// Part of the grace period that is reserved, in milliseconds, so that the process exits by itself.
const SHUTDOWN_MARGIN_MS: u64 = 150;
/// Time before the end of the grace period from which no new connection is established, in milliseconds, so that the
/// requests on the last ones are answered.
const LISTENER_CLOSE_MS: u64 = 500;
/// Time before the end of the grace period at which requests that have no answer yet get a final one, in milliseconds.
const FINAL_ANSWERS_MS: u64 = 200;
/// How often a stopping box checks whether all connections have ended: a third of [`SHUTDOWN_MARGIN_MS`], so that the
/// last check is in time.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The same once the grace period is over: each check gives the connections a turn to read what has arrived.
const LATE_DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Thousandths per unit.
const PERMILLE: f64 = 1_000.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Runs the entry on one thread: a box with a quarter of a core in total gains nothing from more threads. `companion`
/// starts the other tasks of the process, on the same thread.
///
/// # Errors
///
/// When an address cannot be bound.
pub fn run<D: Dialect, L: KeyedLog>(
    settings: &Settings,
    dialect: D,
    log: L,
    companion: impl FnOnce(&Rc<Entry<D>>),
) -> Result<()> {
    start_logging(settings).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(settings, dialect, log, companion))
}

async fn serve<D: Dialect, L: KeyedLog>(
    settings: &Settings,
    dialect: D,
    log: L,
    companion: impl FnOnce(&Rc<Entry<D>>),
) -> Result<()> {
    let clock = Clock::start();
    let metrics = start_metrics().map_err(|error| miette::miette!("{error}"))?;
    let identity = read_identity(settings);
    log::info!(
        "event=entry_started entry={} data_centre={} life={} pid={}",
        identity.name,
        identity.data_centre,
        identity.incarnation,
        std::process::id()
    );
    let entry = Rc::new(Entry::new(
        dialect,
        identity,
        retry_budget_limits(settings),
        settings.fraction("leaving_known_ms") as u64,
        clock,
    ));

    let body_bytes = buffered_bytes::max_buffered(settings.fraction("memory_mb"));
    *entry.body_memory.borrow_mut() = BodyMemory::new(body_bytes);
    entry.state.borrow_mut().pool.set_regions(settings.pairs("regions"));
    entry.state.borrow_mut().pool.set_cold_overage(settings.fraction("cold_overage"));

    let callers = Rc::new(bind(settings, "callers_addr").await?);
    let mut internal = vec![
        (ListenerKind::Ready, bind(settings, "ready_addr").await?),
        (ListenerKind::Peers, bind(settings, "peer_addr").await?),
    ];
    internal
        .extend(meters::bind(settings.addr("metrics_addr")).await.map(|listener| (ListenerKind::Metrics, listener)));
    let mut connections = OpenConnections::new();
    connections.listeners.push(ListenerGate::new(Rc::clone(&callers)));
    let (served, phase) = (Rc::clone(&entry), connections.callers.clone());
    let accept = move || server::serve_callers(Rc::clone(&served), Rc::clone(&callers), phase.clone());
    tokio::task::spawn_local(supervise("serve_callers", accept));
    for (kind, listener) in internal {
        let listener = Rc::new(listener);
        connections.listeners.push(ListenerGate::new(Rc::clone(&listener)));
        let (served, phase, metrics) = (Rc::clone(&entry), connections.internal.clone(), metrics.clone());
        let accept = move || {
            server::serve_internal(Rc::clone(&served), Rc::clone(&listener), phase.clone(), kind, metrics.clone())
        };
        tokio::task::spawn_local(supervise("serve_internal", accept));
    }
    tokio::task::spawn_local(supervise("metrics_upkeep", move || run_metrics_upkeep(metrics.clone())));
    start_followers(settings, &entry, log);
    companion(&entry);

    wait_for_stop_signal().await?;
    drain(&entry, connections, (settings.fraction("drain_grace_s") * MS_PER_S) as u64).await;
    log::info!("event=entry_stopped");
    Ok(())
}

fn read_identity(settings: &Settings) -> Identity {
    Identity {
        name: settings.text("entry").to_owned(),
        data_centre: settings.text("data_centre").to_owned(),
        incarnation: new_incarnation(settings.text("entry")),
        record: BoxRecord {
            addr: settings.addr("peer_addr"),
            data_centre: settings.text("data_centre").to_owned(),
            cores_permille: (settings.fraction("cores") * PERMILLE) as u64,
            link_mbps: settings.fraction("link_mbps") as u64,
        },
    }
}

fn retry_budget_limits(settings: &Settings) -> RetryBudgetLimits {
    RetryBudgetLimits {
        ratio: settings.fraction("repeat_ratio"),
        fixed: settings.fraction("repeat_fixed") as u64,
        window_ms: (settings.fraction("repeat_window_s") * MS_PER_S) as u64,
    }
}

/// Starts the tasks that keep the entry's state current: the log, other boxes, the sweep of connections.
fn start_followers<D: Dialect, L: KeyedLog>(settings: &Settings, entry: &Rc<Entry<D>>, log: L) {
    let seeds = seeds(settings);
    entry.set_seeds(&seeds);
    spawn_with_log("follow_config", entry, &log, follow::follow_config);
    spawn_with_log("follow_endpoints", entry, &log, follow::follow_endpoints);
    spawn_with_log("follow_boxes", entry, &log, follow::follow_boxes);
    spawn_with_log("sync_verdicts", entry, &log, follow::sync_verdicts);
    spawn("poll_peers", entry, move |entry| peers::poll_peers(entry, seeds.clone()));
    spawn("sweep", entry, sweep);
    spawn("watch_delays", entry, watch_delays);
}

/// Spawns a task that is started again if it panics.
fn spawn<D: Dialect, F: Future<Output = ()> + 'static>(
    name: &'static str,
    entry: &Rc<Entry<D>>,
    start: impl Fn(Rc<Entry<D>>) -> F + 'static,
) {
    let entry = Rc::clone(entry);
    tokio::task::spawn_local(supervise(name, move || start(Rc::clone(&entry))));
}

/// The same for a task that uses the platform's log.
fn spawn_with_log<D: Dialect, L: KeyedLog, F: Future<Output = ()> + 'static>(
    name: &'static str,
    entry: &Rc<Entry<D>>,
    log: &L,
    start: impl Fn(Rc<Entry<D>>, L) -> F + 'static,
) {
    let log = log.clone();
    spawn(name, entry, move |entry| start(entry, log.clone()));
}

/// Returns the peer addresses of the seed boxes. They use the same port as this box.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.addr("peer_addr").port();
    settings.addrs("seeds").iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

async fn bind(settings: &Settings, field: &str) -> Result<TcpListener> {
    let addr: SocketAddr = settings.addr(field);
    let problem = || format!("field `{field}`: {addr} cannot be bound; choose a free address");
    TcpListener::bind(addr).await.into_diagnostic().wrap_err_with(problem)
}

async fn sweep<D: Dialect>(entry: Rc<Entry<D>>) {
    let mut logged_retries = HashMap::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        log_retry_usage(&entry, &mut logged_retries);
        entry.expire_unconfirmed_evacuations();
        let now_ms = entry.clock.now_ms();
        let mut state = entry.state.borrow_mut();
        state.connections.sweep(now_ms);
        state.pool.remove_ended_limits(now_ms);
        state.budget.expire_held(now_ms);
        let is_any_suspected = !state.quarantine.is_empty();
        drop(state);
        if is_any_suspected {
            entry.expire_quarantine();
        }
    }
}

/// Logs how much of the retry budget of each service is used, if retries were sent since the last line.
/// `logged_retries` holds the number of retries at that time, by service.
fn log_retry_usage<D: Dialect>(entry: &Entry<D>, logged_retries: &mut HashMap<String, u64>) {
    let now_ms = entry.clock.now_ms();
    let state = entry.state.borrow();
    for service in state.budget.services() {
        let usage = state.budget.usage(service, now_ms);
        if logged_retries.get(service).copied().unwrap_or(0) == usage.total_retries {
            continue;
        }
        logged_retries.insert(service.to_owned(), usage.total_retries);
        log::info!(
            "event=retries_sent service={service} requests={} retries={} held={} total={} boxes={} process_age_ms={}",
            usage.requests,
            usage.retries,
            usage.held,
            usage.total_retries,
            usage.boxes,
            now_ms.saturating_sub(entry.started_ms)
        );
    }
}

/// Detects that the tasks of the process ran late, which is logged, and that the machine was suspended. State with an age
/// has grown older by the time of a suspension and is judged accordingly. Connections have no age and are dropped, since
/// their peers may have closed them.
async fn watch_delays<D: Dialect>(entry: Rc<Entry<D>>) {
    let mut detector = SuspensionDetector::start();
    let mut lag_detector = RuntimeLagDetector::start(DELAY_CHECK_INTERVAL_MS, MIN_REPORTED_LAG_MS);
    loop {
        entry.recent_lag.expect_wake_up(entry.clock.now_ms() + DELAY_CHECK_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(DELAY_CHECK_INTERVAL_MS)).await;
        if let Some(lag) = lag_detector.poll() {
            entry.recent_lag.record(lag.late_ms, entry.clock.now_ms());
            meters::on_runtime_lag(&lag);
            log::warn!(
                "event=runtime_late late_ms={} on_processor_ms={} runnable_ms={}",
                lag.late_ms,
                lag.on_processor_ms,
                lag.runnable_ms
            );
        }
        if let Some(suspended) = detector.poll() {
            log::warn!("event=suspended for_ms={}", suspended.as_millis());
            entry.drop_connections();
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP is logged and changes nothing while the process runs.
async fn wait_for_stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            // Addresses stay bound while the process runs, and changed settings of the platform are read at the next
            // start.
            _ = hangup.recv() => log::info!("event=reload_ignored"),
        }
    }
}

/// The listeners of the process, and the connections that they have accepted: each of these holds a receiver of its
/// phase.
struct OpenConnections {
    listeners: Vec<ListenerGate<Rc<TcpListener>, Accepting>>,
    callers: watch::Sender<DrainPhase>,
    /// Of other boxes, readiness checks and metrics.
    internal: watch::Sender<DrainPhase>,
}

impl OpenConnections {
    fn new() -> Self {
        let open = || watch::Sender::new(DrainPhase::Open);
        Self { listeners: Vec::new(), callers: open(), internal: open() }
    }
}

/// Runs the planned stop: readiness fails at once, requests are accepted until the load balancer has noticed, then idle
/// connections close, and the others end with their answers. At last no new connections are established, and those that
/// are get their answers: the process gives up what its endpoints have not answered by then.
async fn drain<D: Dialect>(entry: &Entry<D>, connections: OpenConnections, grace_ms: u64) {
    let OpenConnections { listeners, callers, internal } = connections;
    let started_ms = entry.clock.now_ms();
    log::info!("event=entry_leaving grace_ms={grace_ms}");
    entry.is_stopping.set(true);
    entry.stop_begun.notify_waiters();
    let end_ms = started_ms + grace_ms.saturating_sub(SHUTDOWN_MARGIN_MS);
    let final_ms = end_ms.saturating_sub(FINAL_ANSWERS_MS);
    entry.exit_ms.set(Some(final_ms));
    // The signal may have come while the process did not run.
    let noticed_late_ms = entry.recent_lag.late_ms(started_ms);
    let accept_ms = BALANCER_LAG_MS.min(grace_ms / 2).saturating_sub(noticed_late_ms);
    tokio::time::sleep(Duration::from_millis(accept_ms)).await;
    entry.is_refusing.set(true);
    callers.send_replace(DrainPhase::Closing);
    while callers.receiver_count() > 0 && entry.clock.now_ms() + LISTENER_CLOSE_MS < end_ms {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    let left = Duration::from_millis(end_ms.saturating_sub(entry.clock.now_ms()));
    let are_drained = tokio::time::timeout(left, close_listeners(listeners)).await.is_ok();
    log::info!("event=listeners_closed drained={are_drained}");
    internal.send_replace(DrainPhase::Closing);
    let open_count = || callers.receiver_count() + internal.receiver_count();
    while open_count() > 0 && entry.clock.now_ms() < final_ms {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    entry.is_exiting.send_replace(true);
    let in_time = wait_until_connections_end(entry, open_count, end_ms).await;
    log::info!("event=entry_drained in_time={in_time} connections={}", callers.receiver_count());
}

/// Waits until all connections have ended, until `end_ms` at most. Returns whether they have. A process that did not run
/// until then still reads what has arrived and passes it on.
async fn wait_until_connections_end<D: Dialect>(entry: &Entry<D>, open_count: impl Fn() -> usize, end_ms: u64) -> bool {
    let mut late_reads = None;
    while open_count() > 0 {
        let now_ms = entry.clock.now_ms();
        if now_ms >= end_ms && !late_reads.get_or_insert(LateReads::start(now_ms)).may_read(now_ms) {
            return false;
        }
        let is_late = late_reads.is_some();
        tokio::time::sleep(if is_late { LATE_DRAIN_CHECK_INTERVAL } else { DRAIN_CHECK_INTERVAL }).await;
    }
    true
}
