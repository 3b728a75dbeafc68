//! What one entry process knows and owns.

mod identity;
mod state;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use ochreyard_core::direct::{BoxRecord, EndpointChange, EngineFigures, GroupNews, Position, RepeatLimits};
use ochreyard_core::hash;
use ochreyard_process::Clock;
use tokio::sync::{Notify, watch};

pub use self::identity::Identity;
pub use self::state::{State, queue_of};
use crate::containment::Outbox;
use crate::crash_check::CrashChecks;
use crate::dialect::Dialect;
use crate::http_client::HttpClient;
use crate::peers::{FullSyncLimiter, PeerEndpoint, UnreachablePeers};
use crate::sync_cursor::SyncCursor;

/// How long a box that has just started waits for what others know, in milliseconds: a few tries at boxes that may be
/// gone. Those who come meanwhile are told to come back shortly.
const INITIAL_SYNC_TIMEOUT_MS: u64 = 1_000;

/// One entry process.
pub struct Entry<D> {
    /// The dialect of its surroundings.
    pub dialect: D,
    /// Who it is.
    pub identity: Identity,
    /// Time.
    pub clock: Clock,
    /// What changes. Never borrowed across an `await`.
    pub state: RefCell<State>,
    /// When it started.
    pub started_ms: u64,
    /// Whether another box has told what it knows, or there is none.
    pub has_initial_sync: Cell<bool>,
    /// Whether a planned stop has begun.
    pub is_stopping: Cell<bool>,
    /// Whether new requests are refused, because they might not end before the process.
    pub is_refusing: Cell<bool>,
    /// Endpoints that were looked at after they broke a connection.
    pub crash_checks: CrashChecks,
    /// What waits to be told of requests that crash endpoints.
    pub outbox: Outbox,
    /// Tells that the platform's log answers again after it had not.
    pub log_reachable_again: Notify,
    /// How often the platform's log has come back from an older copy since this box started.
    pub log_restores: watch::Sender<u64>,
    /// Whether the platform names this box to others, so that it reads the log at once.
    pub is_seed: Cell<bool>,
    /// Bytes of bodies that are held.
    pub buffered_bytes: Cell<usize>,
    /// The most bytes of bodies that may be held.
    pub max_buffered_bytes: Cell<usize>,
    /// Boxes that were told all of late.
    pub full_sync_limiter: RefCell<FullSyncLimiter>,
    /// Other boxes that took no news of late.
    pub passed_over: UnreachablePeers,
    random_counter: Cell<u64>,
    links: RefCell<BTreeMap<SocketAddr, Rc<HttpClient>>>,
    heard: RefCell<BTreeMap<SocketAddr, SyncCursor>>,
}

impl<D: Dialect> Entry<D> {
    /// An entry that knows nothing yet. An endpoint that leaves must get no more work
    /// after `leaving_known_ms`.
    #[must_use]
    pub fn new(dialect: D, identity: Identity, limits: RepeatLimits, leaving_known_ms: u64, clock: Clock) -> Self {
        let state = State::new(limits, leaving_known_ms);
        let random_counter = Cell::new(identity.incarnation);
        Self {
            dialect,
            identity,
            started_ms: clock.now_ms(),
            has_initial_sync: Cell::new(false),
            clock,
            state: RefCell::new(state),
            is_stopping: Cell::new(false),
            is_refusing: Cell::new(false),
            crash_checks: CrashChecks::default(),
            outbox: Outbox::default(),
            log_reachable_again: Notify::new(),
            log_restores: watch::Sender::new(0),
            is_seed: Cell::new(true),
            buffered_bytes: Cell::new(0),
            max_buffered_bytes: Cell::new(usize::MAX),
            full_sync_limiter: RefCell::default(),
            passed_over: UnreachablePeers::default(),
            random_counter,
            links: RefCell::default(),
            heard: RefCell::default(),
        }
    }

    /// Whether it knows what others know, as far as that can be had: one that has just started would send requests
    /// that crash endpoints, which all others refuse.
    pub fn is_initialized(&self) -> bool {
        self.has_initial_sync.get() || self.clock.now_ms() >= self.started_ms + INITIAL_SYNC_TIMEOUT_MS
    }

    /// An evenly spread number that differs from call to call and from box to box.
    pub fn next_random(&self) -> u64 {
        self.random_counter.set(self.random_counter.get().wrapping_add(1));
        hash::mix(self.random_counter.get())
    }

    /// The kept connection to another box.
    pub fn link(&self, addr: SocketAddr) -> Rc<HttpClient> {
        let mut links = self.links.borrow_mut();
        Rc::clone(links.entry(addr).or_insert_with(|| Rc::new(HttpClient::new(addr))))
    }

    /// Drops all kept connections, to endpoints and to other boxes.
    pub fn drop_connections(&self) {
        self.state.borrow_mut().connections.clear();
        self.links.borrow_mut().clear();
    }

    /// Names of the services whose engines form groups.
    pub fn grouped_services(&self) -> Vec<String> {
        let state = self.state.borrow();
        let services = state.table.iter().flat_map(|table| table.services());
        let is_grouped = |figures: EngineFigures| figures.sets > 0;
        services.filter(|service| service.engine.is_some_and(is_grouped)).map(|service| service.name.clone()).collect()
    }

    /// What the configuration says of the engines of a service.
    pub fn engine_figures(&self, service: &str) -> Option<EngineFigures> {
        self.state.borrow().table.as_ref()?.service(service)?.engine
    }

    /// Takes what the leader of a group, or an observer, told of it.
    pub fn apply_group_update(&self, news: &GroupNews) {
        let now_ms = self.clock.now_ms();
        self.state.borrow_mut().pool.on_news(news, now_ms);
        log::debug!("event=group_told group={} teller={:?} serving={}", news.group, news.teller, news.is_serving);
    }

    /// The box to ask for records of endpoints; `None` where this one reads for the others.
    pub fn box_to_ask(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.reading.box_to_ask(self.identity.own(), &state.boxes, self.clock.now_ms())
    }

    /// Takes a configuration over if it is newer than the one in force: never an
    /// older one, wherever it comes from. Says whether it did.
    pub fn apply_config(&self, document: &Bytes, source: &str) -> bool {
        let table = match self.dialect.read_config(document) {
            Ok(table) => table,
            Err(error) => {
                log::error!("event=config_unreadable source={source} error=\"{error}\"");
                return false;
            }
        };
        let mut state = self.state.borrow_mut();
        let present = state.table.as_ref().map(|table| table.version());
        if present.is_some_and(|version| version >= table.version()) {
            return false;
        }
        log::info!("event=config_in_force version={} source={source}", table.version());
        state.pool.set_cold_bounds(&table);
        state.table = Some(Arc::new(table));
        state.config_document = document.clone();
        true
    }

    /// Takes the record of an endpoint; `None` says that its entry has gone.
    pub fn apply_endpoint_record(&self, id: &str, position: Position, document: Option<&Bytes>) {
        let record = match document.map(|document| self.dialect.read_endpoint(document)).transpose() {
            Ok(record) => record,
            Err(error) => {
                // Its newest entry names no endpoint to use, whoever wrote it.
                log::warn!("event=endpoint_unreadable endpoint={id} error=\"{error}\"");
                None
            }
        };
        let now_ms = self.clock.now_ms();
        let change = self.state.borrow_mut().catalog.take(id, position, record, now_ms);
        self.apply(change);
    }

    /// Takes what another box tells of endpoints.
    pub fn apply_peer_endpoints(&self, endpoints: Vec<PeerEndpoint>) {
        let now_ms = self.clock.now_ms();
        for PeerEndpoint { id, position, record } in endpoints {
            let change = self.state.borrow_mut().catalog.take(&id, position, record, now_ms);
            self.apply(change);
        }
    }

    /// The version of the configuration in force, if one is known.
    pub fn config_version(&self) -> Option<u64> {
        self.state.borrow().table.as_ref().map(|table| table.version())
    }

    /// Follows changes of the catalog.
    pub fn apply(&self, changes: impl IntoIterator<Item = EndpointChange>) {
        for change in changes {
            match &change {
                EndpointChange::Known(id, record) => log::info!(
                    "event=endpoint_known endpoint={id} service={} addr={} leaving={} cold_ms={}",
                    record.service,
                    record.addr,
                    record.is_leaving,
                    record.cold_ms
                ),
                EndpointChange::Gone(id) => log::info!("event=endpoint_gone endpoint={id}"),
            }
            let cold = match &change {
                EndpointChange::Known(id, record) if record.cold_ms > 0 => Some((id.clone(), record.cold_ms)),
                EndpointChange::Known(..) | EndpointChange::Gone(_) => None,
            };
            let now_ms = self.clock.now_ms();
            let mut state = self.state.borrow_mut();
            state.pool.apply(change);
            if let Some((id, cold_ms)) = cold {
                state.pool.on_cold(&id, cold_ms, now_ms);
            }
        }
    }

    /// Notes another box.
    pub fn upsert_box(&self, name: &str, record: BoxRecord) {
        if name == self.identity.name {
            return;
        }
        let mut state = self.state.borrow_mut();
        let addr = record.addr;
        if state.boxes.take(name, record) {
            self.redistribute_shares(&mut state);
            log::info!("event=box_known box={name} addr={addr} boxes={}", state.boxes.len() + 1);
        }
    }

    /// How much of what another box tells step by step is known here.
    pub fn heard(&self, addr: SocketAddr) -> SyncCursor {
        self.heard.borrow().get(&addr).copied().unwrap_or_default()
    }

    /// Notes how much of what another box tells is known here.
    pub fn set_sync_cursor(&self, addr: SocketAddr, heard: SyncCursor) {
        self.heard.borrow_mut().insert(addr, heard);
    }

    /// Notes whether the platform's log answers.
    pub fn set_log_reachable(&self, answers: bool, problem: &str) {
        let mut state = self.state.borrow_mut();
        let now_ms = self.clock.now_ms();
        if answers {
            state.catalog.on_log_read(now_ms);
        } else {
            state.catalog.on_log_away(now_ms);
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
