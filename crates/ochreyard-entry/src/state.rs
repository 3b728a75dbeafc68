//! What an entry knows: configuration, agents, load, burn. All of it is soft.

mod pick;
mod report;
mod types;
mod writes;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use ochreyard_core::burn::BurnMeter;
use ochreyard_core::config::{ConfigFold, ConfigRecord, Configuration, FoldEvent, FoldStatus, LogPage, ServiceKind};
use ochreyard_core::error_kind::{ErrorKind, Refusal};
use ochreyard_core::ids::{EndpointId, Incarnation, ServiceId, WorkspaceId};
use ochreyard_core::membership::{AgentReport, Membership};
use ochreyard_core::retry::RetryBudget;
use ochreyard_peer::{AgentLink, Heartbeat, LocalThread};

pub use types::{Admitted, DueBeat, EntryIdentity, Lacking, Target, Wanted};

struct Peer {
    link: AgentLink,
    addr: SocketAddr,
    in_flight: Arc<AtomicU32>,
    /// `in_flight` when the last report came.
    at_report: u32,
}

/// An agent that the configuration no longer names, and that must still hear of it.
struct FormerHome {
    link: AgentLink,
    config_version: u64,
}

/// The last read of the log that came to its end.
#[derive(Debug, Clone, Copy)]
struct TailRead {
    started_ms: u64,
    version: u64,
}

/// The state of an entry.
pub struct EntryState {
    identity: EntryIdentity,
    thread: LocalThread,
    fold: ConfigFold,
    tail: Option<TailRead>,
    membership: Membership,
    peers: BTreeMap<EndpointId, Peer>,
    former_homes: BTreeMap<(EndpointId, SocketAddr), FormerHome>,
    tokens: HashMap<String, WorkspaceId>,
    prefixes: HashMap<u64, EndpointId>,
    prefix_order: VecDeque<u64>,
    budget: RetryBudget,
    requests: u64,
    burn: BTreeMap<(ServiceId, WorkspaceId), BurnMeter>,
    rounds_with_pending_acks: u64,
    snapshot_seen_ms: u64,
}

impl EntryState {
    /// An entry that knows nothing yet.
    #[must_use]
    pub fn new(identity: EntryIdentity, thread: LocalThread, now_ms: u64) -> Self {
        let membership = Membership::new(identity.silence);
        Self {
            identity,
            thread,
            fold: ConfigFold::new(),
            tail: None,
            membership,
            peers: BTreeMap::new(),
            former_homes: BTreeMap::new(),
            tokens: HashMap::new(),
            prefixes: HashMap::new(),
            prefix_order: VecDeque::new(),
            budget: RetryBudget::default(),
            requests: 0,
            burn: BTreeMap::new(),
            rounds_with_pending_acks: 0,
            snapshot_seen_ms: now_ms,
        }
    }

    /// The fold of the configuration.
    #[must_use]
    pub const fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// The retry budget.
    pub const fn budget(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Folds a page of the log that was asked for at `started_ms`.
    pub fn read_page(&mut self, page: &LogPage, started_ms: u64, now_ms: u64) -> Vec<FoldEvent> {
        let events = self.fold.fold_page(page);
        let has_snapshot = page.records.iter().any(|r| r.text.starts_with("{\"kind\":\"snapshot\""));
        if has_snapshot {
            self.snapshot_seen_ms = now_ms;
        }
        let at_end = self.fold.cursor() == page.next_offset;
        if at_end && self.fold.status() == FoldStatus::Following {
            self.tail = Some(TailRead { started_ms, version: self.fold.version() });
        }
        if events.iter().any(|event| matches!(event, FoldEvent::VersionInForce(_))) {
            self.follow_configuration();
        }
        events
    }

    /// Takes over a peer's configuration, if it is newer.
    pub fn adopt(&mut self, config: Arc<Configuration>) -> bool {
        let adopted = self.fold.adopt(config);
        if adopted {
            self.follow_configuration();
        }
        adopted
    }

    /// Whether peers should be asked for their configuration: the log has not
    /// been read, or has lost records that this entry needs.
    #[must_use]
    pub const fn needs_peers(&self) -> bool {
        !matches!(self.fold.status(), FoldStatus::Following)
    }

    /// The newest state known, as a record for a log that lost everything.
    #[must_use]
    pub fn seed(&self) -> Option<ConfigRecord> {
        let FoldStatus::Gap { first_offset } = self.fold.status() else { return None };
        let state = self.fold.state().filter(|state| state.version() > 0)?;
        Some(ConfigRecord::Seed { first_offset, state: Box::new(Configuration::clone(state)) })
    }

    fn follow_configuration(&mut self) {
        let Some(config) = self.fold.state().cloned() else { return };
        self.tokens = config.workspaces().map(|ws| (ws.token_sha256.clone(), ws.workspace.clone())).collect();
        let is_same = |id: &EndpointId, addr| config.endpoint(id).is_some_and(|spec| spec.agent_addr == addr);
        self.peers.retain(|id, peer| is_same(id, peer.addr));
        self.membership.retain(|id| config.endpoint(id).is_some());
        self.follow_former_homes(&config);
        for spec in config.endpoints() {
            let (thread, token) = (&self.thread, &self.identity.peer_token);
            self.peers.entry(spec.endpoint.clone()).or_insert_with(|| Peer {
                link: AgentLink::new(thread, spec.agent_addr, token.clone()),
                addr: spec.agent_addr,
                in_flight: Arc::default(),
                at_report: 0,
            });
        }
    }

    /// Keeps telling the configuration to agents that it no longer names, until
    /// no key can be left with them.
    fn follow_former_homes(&mut self, config: &Configuration) {
        let wanted = config.former_homes();
        self.former_homes.retain(|key, _| wanted.contains(key));
        for (endpoint, addr) in wanted {
            let (thread, token) = (&self.thread, &self.identity.peer_token);
            self.former_homes
                .entry((endpoint, addr))
                .or_insert_with(|| FormerHome { link: AgentLink::new(thread, addr, token.clone()), config_version: 0 });
        }
    }

    /// Takes the report of an agent that the configuration no longer names.
    pub fn take_former_report(&mut self, home: (EndpointId, SocketAddr), version: u64) -> Option<Lacking> {
        self.former_homes.get_mut(&home)?.config_version = version;
        self.lacking(version)
    }

    fn lacking(&self, version: u64) -> Option<Lacking> {
        let config = self.fold.state().filter(|config| version < config.version()).cloned()?;
        Some(Lacking { config, delta: self.fold.delta_since(version) })
    }

    /// Takes an agent's report. What the agent lacks of the configuration is returned.
    pub fn take_report(&mut self, endpoint: &EndpointId, report: AgentReport, now_ms: u64) -> Option<Lacking> {
        let version = report.config_version;
        let is_news = self.membership.on_report(endpoint, report, now_ms);
        if let Some(peer) = self.peers.get_mut(endpoint).filter(|_| is_news) {
            peer.at_report = peer.in_flight.load(Ordering::Relaxed);
        }
        self.lacking(version)
    }

    /// Notes that the link to an agent broke.
    pub fn link_broke(&mut self, endpoint: &EndpointId) {
        self.membership.on_connection_lost(endpoint);
    }

    /// Notes what a refusal tells about its endpoint.
    pub fn learn_from(&mut self, endpoint: &EndpointId, refusal: &Refusal) {
        match refusal.kind {
            ErrorKind::Leaving => self.membership.on_leaving(endpoint),
            ErrorKind::ConnectionLost => self.membership.on_connection_lost(endpoint),
            _ => {}
        }
    }

    /// Takes the platform's lagging list.
    pub fn take_box_list(&mut self, leaving: &[EndpointId]) {
        self.membership.on_listed_leaving(leaving);
    }

    /// The heartbeats that are due now; silent agents have their links dropped.
    pub fn due_beats(&mut self, now_ms: u64) -> Vec<DueBeat> {
        let limits = self.identity.silence;
        for (endpoint, member) in self.membership.members() {
            let silent = now_ms.saturating_sub(member.last_report_ms) >= limits.down_after_ms;
            if let Some(peer) = self.peers.get(endpoint).filter(|_| silent) {
                peer.link.reset();
            }
        }
        let beat = |(endpoint, peer): (&EndpointId, &Peer)| DueBeat {
            endpoint: endpoint.clone(),
            former_addr: None,
            link: peer.link.clone(),
            beat: self.beat_for(endpoint),
        };
        let entry = self.identity.entry.to_string();
        let former = |((endpoint, addr), home): (&(EndpointId, SocketAddr), &FormerHome)| DueBeat {
            endpoint: endpoint.clone(),
            former_addr: Some(*addr),
            link: home.link.clone(),
            beat: Heartbeat { entry: entry.clone(), verified_for: Incarnation(0), tail_version: 0 },
        };
        self.peers.iter().map(beat).chain(self.former_homes.iter().map(former)).collect()
    }

    /// Vouches for the log's end only if it was read after this life of the agent was met.
    fn beat_for(&self, endpoint: &EndpointId) -> Heartbeat {
        let entry = self.identity.entry.to_string();
        let member = self.membership.member(endpoint);
        let fresh = member.zip(self.tail).filter(|(member, tail)| tail.started_ms > member.first_seen_ms);
        let (verified_for, tail_version) =
            fresh.map_or((Incarnation(0), 0), |(member, tail)| (member.report.incarnation, tail.version));
        Heartbeat { entry, verified_for, tail_version }
    }

    /// Says whose request this is, and whether the service may be used.
    pub fn admit(&mut self, token_sha256: &str, service: &ServiceId, is_model: bool) -> Result<Admitted, Refusal> {
        let config = self.fold.state().ok_or_else(|| Refusal::new(ErrorKind::Stale))?;
        let workspace = self.tokens.get(token_sha256).ok_or_else(|| Refusal::new(ErrorKind::Unauthenticated))?;
        let wanted = if is_model { ServiceKind::Model } else { ServiceKind::Plain };
        let spec = config.service(service).filter(|spec| spec.kind == wanted);
        let spec = spec.ok_or_else(|| Refusal::new(ErrorKind::UnknownService))?;
        let permitted = config.workspace(workspace).is_some_and(|ws| ws.services.contains(service));
        if !permitted {
            return Err(Refusal::new(ErrorKind::NotPermitted));
        }
        self.requests += 1;
        self.budget.on_request();
        Ok(Admitted { workspace: workspace.clone(), request: self.requests, first_byte_ms: spec.first_byte_ms })
    }
}
