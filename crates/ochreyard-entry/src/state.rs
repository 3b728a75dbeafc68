//! The state of an entry: configuration, agents, load and burn rates. None of it has to survive a restart.

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

pub use types::{AdmittedRequest, ConfigUpdate, DueHeartbeat, EntryIdentity, PickRequest, Target};

/// The agent of an endpoint in the configuration.
struct AgentState {
    link: AgentLink,
    addr: SocketAddr,
    in_flight: Arc<AtomicU32>,
    /// `in_flight` when the last report arrived.
    in_flight_at_report: u32,
}

/// An agent that the configuration no longer names, but that may still run keys and so must receive the configuration.
struct FormerHome {
    link: AgentLink,
    config_version: u64,
}

/// The last read of the log that reached its end.
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
    last_tail_read: Option<TailRead>,
    membership: Membership,
    agents: BTreeMap<EndpointId, AgentState>,
    former_homes: BTreeMap<(EndpointId, SocketAddr), FormerHome>,
    tokens: HashMap<String, WorkspaceId>,
    prefixes: HashMap<u64, EndpointId>,
    prefix_order: VecDeque<u64>,
    retry_budget: RetryBudget,
    request_count: u64,
    burn_meters: BTreeMap<(ServiceId, WorkspaceId), BurnMeter>,
    rounds_with_pending_acks: u64,
    last_snapshot_ms: u64,
}

impl EntryState {
    /// Creates the state of an entry that has not read the log yet.
    #[must_use]
    pub fn new(identity: EntryIdentity, thread: LocalThread, now_ms: u64) -> Self {
        let membership = Membership::new(identity.heartbeat_timeouts);
        Self {
            identity,
            thread,
            fold: ConfigFold::new(),
            last_tail_read: None,
            membership,
            agents: BTreeMap::new(),
            former_homes: BTreeMap::new(),
            tokens: HashMap::new(),
            prefixes: HashMap::new(),
            prefix_order: VecDeque::new(),
            retry_budget: RetryBudget::default(),
            request_count: 0,
            burn_meters: BTreeMap::new(),
            rounds_with_pending_acks: 0,
            last_snapshot_ms: now_ms,
        }
    }

    /// Returns the fold of the configuration log.
    #[must_use]
    pub const fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Returns the retry budget.
    pub const fn retry_budget(&mut self) -> &mut RetryBudget {
        &mut self.retry_budget
    }

    /// Applies a page of the log that was requested at `started_ms`.
    pub fn apply_page(&mut self, page: &LogPage, started_ms: u64, now_ms: u64) -> Vec<FoldEvent> {
        let events = self.fold.fold_page(page);
        let has_snapshot = page.records.iter().any(|r| r.text.starts_with("{\"kind\":\"snapshot\""));
        if has_snapshot {
            self.last_snapshot_ms = now_ms;
        }
        let at_end = self.fold.cursor() == page.next_offset;
        if at_end && self.fold.status() == FoldStatus::Following {
            self.last_tail_read = Some(TailRead { started_ms, version: self.fold.version() });
        }
        if events.iter().any(|event| matches!(event, FoldEvent::VersionInForce(_))) {
            self.apply_configuration();
        }
        events
    }

    /// Adopts the configuration of another entry if it is newer. Returns whether it was adopted.
    pub fn adopt(&mut self, config: Arc<Configuration>) -> bool {
        let adopted = self.fold.adopt(config);
        if adopted {
            self.apply_configuration();
        }
        adopted
    }

    /// Returns whether other entries should be asked for their configuration, because the log has not been read or has
    /// lost records that this entry needs.
    #[must_use]
    pub const fn needs_peer_config(&self) -> bool {
        !matches!(self.fold.status(), FoldStatus::Following)
    }

    /// Returns the newest known state as a record for a log that has lost it.
    #[must_use]
    pub fn seed(&self) -> Option<ConfigRecord> {
        let FoldStatus::Gap { first_offset } = self.fold.status() else { return None };
        let state = self.fold.state().filter(|state| state.version() > 0)?;
        Some(ConfigRecord::Seed { first_offset, state: Box::new(Configuration::clone(state)) })
    }

    fn apply_configuration(&mut self) {
        let Some(config) = self.fold.state().cloned() else { return };
        self.tokens = config.workspaces().map(|ws| (ws.token_sha256.clone(), ws.workspace.clone())).collect();
        let is_same = |id: &EndpointId, addr| config.endpoint(id).is_some_and(|spec| spec.agent_addr == addr);
        self.agents.retain(|id, agent| is_same(id, agent.addr));
        self.membership.retain(|id| config.endpoint(id).is_some());
        self.update_former_homes(&config);
        for spec in config.endpoints() {
            let (thread, token) = (&self.thread, &self.identity.peer_token);
            self.agents.entry(spec.endpoint.clone()).or_insert_with(|| AgentState {
                link: AgentLink::new(thread, spec.agent_addr, token.clone()),
                addr: spec.agent_addr,
                in_flight: Arc::default(),
                in_flight_at_report: 0,
            });
        }
    }

    /// Updates which agents still receive the configuration though it no longer names them: those at which keys may be
    /// left.
    fn update_former_homes(&mut self, config: &Configuration) {
        let former_homes = config.former_homes();
        self.former_homes.retain(|key, _| former_homes.contains(key));
        for (endpoint, addr) in former_homes {
            let (thread, token) = (&self.thread, &self.identity.peer_token);
            self.former_homes
                .entry((endpoint, addr))
                .or_insert_with(|| FormerHome { link: AgentLink::new(thread, addr, token.clone()), config_version: 0 });
        }
    }

    /// Applies the report of an agent that the configuration no longer names. Returns the configuration update that it
    /// needs, if any.
    pub fn apply_former_report(&mut self, home: (EndpointId, SocketAddr), version: u64) -> Option<ConfigUpdate> {
        self.former_homes.get_mut(&home)?.config_version = version;
        self.update_since(version)
    }

    fn update_since(&self, version: u64) -> Option<ConfigUpdate> {
        let config = self.fold.state().filter(|config| version < config.version()).cloned()?;
        Some(ConfigUpdate { config, delta: self.fold.delta_since(version) })
    }

    /// Applies the report of an agent. Returns the configuration update that it needs, if any.
    pub fn apply_report(&mut self, endpoint: &EndpointId, report: AgentReport, now_ms: u64) -> Option<ConfigUpdate> {
        let version = report.config_version;
        let is_newer = self.membership.on_report(endpoint, report, now_ms);
        if let Some(agent) = self.agents.get_mut(endpoint).filter(|_| is_newer) {
            agent.in_flight_at_report = agent.in_flight.load(Ordering::Relaxed);
        }
        self.update_since(version)
    }

    /// Records that the link to an agent was lost.
    pub fn on_link_lost(&mut self, endpoint: &EndpointId) {
        self.membership.on_connection_lost(endpoint);
    }

    /// Updates the membership by what a refusal implies about its endpoint.
    pub fn on_refusal(&mut self, endpoint: &EndpointId, refusal: &Refusal) {
        match refusal.kind {
            ErrorKind::Leaving => self.membership.on_leaving(endpoint),
            ErrorKind::ConnectionLost => self.membership.on_connection_lost(endpoint),
            _ => {}
        }
    }

    /// Records which endpoints the platform's list, which may lag, marks as leaving.
    pub fn apply_box_list(&mut self, leaving: &[EndpointId]) {
        self.membership.on_listed_leaving(leaving);
    }

    /// Returns the heartbeats to send in this round, and resets the links to agents that have been silent for too long.
    pub fn due_heartbeats(&mut self, now_ms: u64) -> Vec<DueHeartbeat> {
        let timeouts = self.identity.heartbeat_timeouts;
        self.membership.on_running(now_ms);
        for (endpoint, member) in self.membership.members() {
            let is_silent = member.silence_ms(now_ms) >= timeouts.down_after_ms;
            if let Some(agent) = self.agents.get(endpoint).filter(|_| is_silent) {
                agent.link.reset();
            }
        }
        let current = |(endpoint, agent): (&EndpointId, &AgentState)| DueHeartbeat {
            endpoint: endpoint.clone(),
            former_addr: None,
            link: agent.link.clone(),
            heartbeat: self.heartbeat_for(endpoint),
        };
        let entry = self.identity.entry.to_string();
        let former = |((endpoint, addr), home): (&(EndpointId, SocketAddr), &FormerHome)| DueHeartbeat {
            endpoint: endpoint.clone(),
            former_addr: Some(*addr),
            link: home.link.clone(),
            heartbeat: Heartbeat { entry: entry.clone(), verified_for: Incarnation(0), tail_version: 0 },
        };
        self.agents.iter().map(current).chain(self.former_homes.iter().map(former)).collect()
    }

    /// Returns the heartbeat for an agent. It confirms that the log was read to its end only if that read began after
    /// the first report of the agent's current incarnation.
    fn heartbeat_for(&self, endpoint: &EndpointId) -> Heartbeat {
        let entry = self.identity.entry.to_string();
        let member = self.membership.member(endpoint);
        let verified = member.zip(self.last_tail_read).filter(|(member, tail)| tail.started_ms > member.first_seen_ms);
        let (verified_for, tail_version) =
            verified.map_or((Incarnation(0), 0), |(member, tail)| (member.report.incarnation, tail.version));
        Heartbeat { entry, verified_for, tail_version }
    }

    /// Returns the workspace that a request belongs to, if that workspace may use the service.
    pub fn admit(
        &mut self,
        token_sha256: &str,
        service: &ServiceId,
        is_model: bool,
    ) -> Result<AdmittedRequest, Refusal> {
        let config = self.fold.state().ok_or_else(|| Refusal::new(ErrorKind::Stale))?;
        let workspace = self.tokens.get(token_sha256).ok_or_else(|| Refusal::new(ErrorKind::Unauthenticated))?;
        let kind = if is_model { ServiceKind::Model } else { ServiceKind::Plain };
        let spec = config.service(service).filter(|spec| spec.kind == kind);
        let spec = spec.ok_or_else(|| Refusal::new(ErrorKind::UnknownService))?;
        let permitted = config.workspace(workspace).is_some_and(|ws| ws.services.contains(service));
        if !permitted {
            return Err(Refusal::new(ErrorKind::NotPermitted));
        }
        self.request_count += 1;
        self.retry_budget.on_request();
        Ok(AdmittedRequest {
            workspace: workspace.clone(),
            request_number: self.request_count,
            first_byte_ms: spec.first_byte_ms,
        })
    }
}
