//! State and resources of one entry process.

mod identity;
mod state;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use ochreyard_core::direct::{
    BodyMemory, BoxRecord, EndpointChange, EngineSpec, GroupUpdate, Position, RetryBudgetLimits,
};
use ochreyard_core::hash;
use ochreyard_process::Clock;
use tokio::sync::{Notify, watch};

pub use self::identity::Identity;
pub use self::state::{State, queue_of};
use crate::containment::Outbox;
use crate::crash_check::CrashChecks;
use crate::dialect::Dialect;
use crate::http_client::HttpClient;
use crate::liveness_check::LivenessChecks;
use crate::peers::{FullSyncLimiter, HandoverHandler, PeerEndpoint, UnreachablePeers};
use crate::recent_lag::RecentLag;
use crate::sync_cursor::SyncCursor;
use crate::witness::Witnesses;

/// How long a box that has just started waits for the state of other boxes, in milliseconds: long enough to poll a few
/// boxes, some of which may be gone. Callers are told to retry shortly until then.
const INITIAL_SYNC_TIMEOUT_MS: u64 = 1_000;

/// One entry process.
pub struct Entry<D> {
    /// Header names and document formats of the platform.
    pub dialect: D,
    /// Name and incarnation of this process.
    pub identity: Identity,
    /// Clock of this process.
    pub clock: Clock,
    /// State that changes while the process runs. Never borrowed across an `await`.
    pub state: RefCell<State>,
    /// When the process started, in milliseconds of `clock`.
    pub started_ms: u64,
    /// Whether another box has sent its state, or there is no other box.
    pub has_initial_sync: Cell<bool>,
    /// Whether a planned stop has begun.
    pub is_stopping: Cell<bool>,
    /// Notified when a planned stop begins.
    pub stop_begun: Notify,
    /// Decides on handovers of the leadership of groups; `None` if this process leads none.
    pub handover_handler: RefCell<Option<HandoverHandler>>,
    /// Whether new requests are refused, because they might not end before the process.
    pub is_refusing: Cell<bool>,
    /// When requests without an answer are given up since the process exits, in milliseconds of `clock`; `None` before its
    /// planned stop.
    pub exit_ms: Cell<Option<u64>>,
    /// Set when the process is about to exit: requests that have no answer by then get a final one of its own.
    pub is_exiting: watch::Sender<bool>,
    /// Checks of endpoints that broke a connection.
    pub crash_checks: CrashChecks,
    /// Idle connections beside answers that end with their connections.
    pub witnesses: Witnesses,
    /// Checks of endpoints that have not responded to this process yet.
    pub liveness_checks: LivenessChecks,
    /// Crash reports and verdicts that are to be sent or written.
    pub outbox: Outbox,
    /// Notified when the platform's log answers again after an outage.
    pub log_reachable_again: Notify,
    /// Notified when this box has read the endpoint records although it is no reader.
    pub config_read_due: Notify,
    /// Number of times that the platform's log was restored from an older copy since this box started.
    pub log_restores: watch::Sender<u64>,
    /// Whether this box is a seed of the others, so that it reads the log at once.
    pub is_seed: Cell<bool>,
    /// Whether the settings name no other box, so that the log need not list any.
    pub has_no_seeds: Cell<bool>,
    /// Memory for bodies of requests and answers.
    pub body_memory: RefCell<BodyMemory>,
    /// Limits the boxes that get the full state at a time.
    pub full_sync_limiter: RefCell<FullSyncLimiter>,
    /// The latest delay of the runtime, for log lines.
    pub recent_lag: RecentLag,
    /// Other boxes that recently failed to accept an update.
    pub unreachable_peers: UnreachablePeers,
    random_counter: Cell<u64>,
    peer_clients: RefCell<BTreeMap<SocketAddr, Rc<HttpClient>>>,
    sync_cursors: RefCell<BTreeMap<SocketAddr, SyncCursor>>,
}

impl<D: Dialect> Entry<D> {
    /// Creates an entry without any state. An endpoint that leaves must get no more requests after `leaving_known_ms`.
    #[must_use]
    pub fn new(dialect: D, identity: Identity, limits: RetryBudgetLimits, leaving_known_ms: u64, clock: Clock) -> Self {
        let started_ms = clock.now_ms();
        let state = State::new(limits, leaving_known_ms, started_ms);
        let random_counter = Cell::new(identity.incarnation);
        Self {
            dialect,
            identity,
            started_ms,
            has_initial_sync: Cell::new(false),
            clock,
            state: RefCell::new(state),
            is_stopping: Cell::new(false),
            stop_begun: Notify::new(),
            handover_handler: RefCell::default(),
            is_refusing: Cell::new(false),
            exit_ms: Cell::new(None),
            is_exiting: watch::Sender::new(false),
            crash_checks: CrashChecks::default(),
            witnesses: Witnesses::default(),
            liveness_checks: LivenessChecks::default(),
            outbox: Outbox::default(),
            log_reachable_again: Notify::new(),
            config_read_due: Notify::new(),
            log_restores: watch::Sender::new(0),
            is_seed: Cell::new(true),
            has_no_seeds: Cell::new(true),
            body_memory: RefCell::new(BodyMemory::new(usize::MAX)),
            full_sync_limiter: RefCell::default(),
            recent_lag: RecentLag::default(),
            unreachable_peers: UnreachablePeers::default(),
            random_counter,
            peer_clients: RefCell::default(),
            sync_cursors: RefCell::default(),
        }
    }

    /// Returns whether the state of other boxes has been received, or waiting for it has timed out. Without that state,
    /// a box that has just started would send requests that crash endpoints, which all other boxes refuse.
    pub fn is_initialized(&self) -> bool {
        self.has_initial_sync.get() || self.clock.now_ms() >= self.started_ms + INITIAL_SYNC_TIMEOUT_MS
    }

    /// Waits until the process is about to exit.
    pub async fn exiting(&self) {
        // The sender lives as long as the entry.
        drop(self.is_exiting.subscribe().wait_for(|is_exiting| *is_exiting).await);
    }

    /// Returns an evenly distributed number that differs from call to call and from box to box.
    pub fn next_random(&self) -> u64 {
        self.random_counter.set(self.random_counter.get().wrapping_add(1));
        hash::mix(self.random_counter.get())
    }

    /// Returns the client that keeps a connection to another box.
    pub fn peer_client(&self, addr: SocketAddr) -> Rc<HttpClient> {
        let mut peer_clients = self.peer_clients.borrow_mut();
        Rc::clone(peer_clients.entry(addr).or_insert_with(|| Rc::new(HttpClient::new(addr))))
    }

    /// Drops all kept connections, to endpoints and to other boxes.
    pub fn drop_connections(&self) {
        self.state.borrow_mut().connections.clear();
        self.peer_clients.borrow_mut().clear();
    }

    /// Names of the services whose engines form groups.
    pub fn grouped_services(&self) -> Vec<String> {
        let state = self.state.borrow();
        let services = state.table.iter().flat_map(|table| table.services());
        let is_grouped = |figures: EngineSpec| figures.sets > 0;
        services.filter(|service| service.engine.is_some_and(is_grouped)).map(|service| service.name.clone()).collect()
    }

    /// Returns what the configuration states about the engines of a service.
    pub fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        self.state.borrow().table.as_ref()?.service(service)?.engine
    }

    /// Returns the path at which the endpoints of a service answer checks, if it has one.
    pub fn health_path(&self, service: &str) -> Option<String> {
        self.state.borrow().table.as_ref()?.service(service)?.health_path.clone()
    }

    /// Applies an update about a group from its leader or from an observer.
    pub fn apply_group_update(&self, update: &GroupUpdate) {
        let now_ms = self.clock.now_ms();
        self.state.borrow_mut().pool.apply_group_update(update, now_ms);
        log::debug!(
            "event=group_update_applied group={} teller={:?} serving={}",
            update.group,
            update.reporter_role,
            update.is_serving
        );
    }

    /// Returns the box to poll for endpoint records; `None` if this box reads the log for others.
    pub fn poll_source(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.log_progress.source(self.identity.local_box(), &state.boxes, self.clock.now_ms())
    }

    /// Applies a configuration if it is newer than the one in force, whatever its source, and returns whether it did.
    pub fn apply_config(&self, document: &Bytes, source: &str) -> bool {
        let table = match self.dialect.read_config(document) {
            Ok(table) => table,
            Err(error) => {
                log::error!("event=config_unreadable source={source} error=\"{error}\"");
                return false;
            }
        };
        let mut state = self.state.borrow_mut();
        let current = state.table.as_ref().map(|table| table.version());
        if current.is_some_and(|version| version >= table.version()) {
            return false;
        }
        log::info!("event=config_in_force version={} source={source}", table.version());
        state.pool.set_cold_limits(&table);
        state.table = Some(Arc::new(table));
        state.config_document = document.clone();
        true
    }

    /// Applies the record of an endpoint; `None` means that the record was removed.
    pub fn apply_endpoint_record(&self, id: &str, position: Position, document: Option<&Bytes>) {
        let record = match document.map(|document| self.dialect.read_endpoint(document)).transpose() {
            Ok(record) => record,
            Err(error) => {
                // The newest record names no usable endpoint, whoever wrote it.
                log::warn!("event=endpoint_unreadable endpoint={id} error=\"{error}\"");
                None
            }
        };
        let now_ms = self.clock.now_ms();
        let change = self.state.borrow_mut().catalog.apply(id, position, record, now_ms);
        self.apply_endpoint_changes(change);
    }

    /// Applies endpoint records from another box.
    pub fn apply_peer_endpoints(&self, endpoints: Vec<PeerEndpoint>) {
        let now_ms = self.clock.now_ms();
        for PeerEndpoint { id, position, record } in endpoints {
            let change = self.state.borrow_mut().catalog.apply(&id, position, record, now_ms);
            self.apply_endpoint_changes(change);
        }
    }

    /// The version of the configuration in force, if one is known.
    pub fn config_version(&self) -> Option<u64> {
        self.state.borrow().table.as_ref().map(|table| table.version())
    }

    /// Applies changes of the catalog to the endpoint pool.
    pub fn apply_endpoint_changes(&self, changes: impl IntoIterator<Item = EndpointChange>) {
        for change in changes {
            match &change {
                EndpointChange::Updated(id, record) => log::info!(
                    "event=endpoint_known endpoint={id} service={} addr={} leaving={} cold_ms={}",
                    record.service,
                    record.addr,
                    record.is_leaving,
                    record.cold_ms
                ),
                EndpointChange::Removed(id) => log::info!("event=endpoint_gone endpoint={id}"),
            }
            let cold = match &change {
                EndpointChange::Updated(id, record) if record.cold_ms > 0 => Some((id.clone(), record.cold_ms)),
                EndpointChange::Updated(..) | EndpointChange::Removed(_) => None,
            };
            let now_ms = self.clock.now_ms();
            let mut state = self.state.borrow_mut();
            match &change {
                EndpointChange::Updated(id, record) => {
                    state.budget.on_restarted(&record.service, id, record.started_ms, now_ms);
                }
                EndpointChange::Removed(id) => state.pool.on_removal(id, now_ms),
            }
            state.pool.apply(change);
            if let Some((id, cold_ms)) = cold {
                state.pool.on_cold(&id, cold_ms, now_ms);
            }
        }
    }

    /// Adds another box, or updates its record.
    pub fn upsert_box(&self, name: &str, record: BoxRecord) {
        if name == self.identity.name {
            return;
        }
        let mut state = self.state.borrow_mut();
        let addr = record.addr;
        if state.boxes.insert(name, record) {
            self.redistribute_shares(&mut state);
            log::info!("event=box_known box={name} addr={addr} boxes={}", state.boxes.len() + 1);
        }
    }

    /// Returns how much of the incrementally sent state of another box was applied here.
    pub fn sync_cursor(&self, addr: SocketAddr) -> SyncCursor {
        self.sync_cursors.borrow().get(&addr).copied().unwrap_or_default()
    }

    /// Records how much of the incrementally sent state of another box was applied here.
    pub fn set_sync_cursor(&self, addr: SocketAddr, cursor: SyncCursor) {
        self.sync_cursors.borrow_mut().insert(addr, cursor);
    }

    /// Records that a call to the platform's log, which began at `asked_ms`, has failed. If another call was answered since,
    /// the failure is from an outage that is over.
    pub fn record_log_failure(&self, asked_ms: u64, problem: &str) {
        if self.state.borrow().last_log_answer_ms > asked_ms {
            log::info!("event=late_log_failure_ignored problem=\"{problem}\"");
            return;
        }
        self.set_log_reachable(false, problem);
    }

    /// Records whether the platform's log answers.
    pub fn set_log_reachable(&self, answers: bool, problem: &str) {
        let mut state = self.state.borrow_mut();
        let now_ms = self.clock.now_ms();
        if answers {
            state.last_log_answer_ms = now_ms;
            state.catalog.on_log_read(now_ms);
        } else {
            state.catalog.on_log_unreachable(now_ms);
        }
        if state.log_answers != answers {
            state.log_answers = answers;
            log::warn!("event=log_reachability answers={answers} problem=\"{problem}\"");
            if answers {
                self.log_reachable_again.notify_waiters();
            }
        }
    }
}
