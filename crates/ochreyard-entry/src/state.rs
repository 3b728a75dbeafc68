//! What an entry knows: configuration, agents, load, burn. All of it is soft.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use ochreyard_core::burn::{BurnMeter, burn_rate};
use ochreyard_core::config::{
    ConfigFold, ConfigRecord, Configuration, EndpointSpec, FoldEvent, FoldStatus, HomeAck, LogPage, ServiceKind,
};
use ochreyard_core::error_kind::{ErrorKind, Refusal, Run};
use ochreyard_core::hash;
use ochreyard_core::home::{HomeAnswer, key_hash};
use ochreyard_core::ids::{BoxId, EndpointId, Incarnation, ServiceId, WorkspaceId};
use ochreyard_core::membership::{AgentReport, Health, Membership, SilenceLimits};
use ochreyard_core::retry::RetryBudget;
use ochreyard_core::routing::{Candidate, Policy, choose_by};
use ochreyard_operator::{BurnRow, EndpointRow, Status};
use ochreyard_peer::{AgentLink, Heartbeat, LocalThread};

/// How many starts of prompts are remembered with the endpoint that has seen them.
const MAX_PREFIXES: usize = 4096;
/// Share of a prompt that is taken for cached where its start was seen, in thousandths.
const CACHED_PERMILLE: u32 = 800;
/// Work of a prompt, in microseconds for each unit of cost.
const PREFILL_US_PER_COST: u64 = 50;
/// Heartbeat rounds over which entries spread what any one of them may write.
const WRITE_SPREAD_ROUNDS: u64 = 3;

/// Who this entry is.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Its box.
    pub entry: BoxId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Token to show to agents.
    pub peer_token: String,
    /// How often a snapshot is written, in milliseconds.
    pub snapshot_every_ms: u64,
    /// How an endpoint is picked.
    pub routing: Policy,
    /// How long silence lasts until an agent is suspected or taken for down.
    pub silence: SilenceLimits,
}

/// A caller's request that may be routed.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Its running number.
    pub request: u64,
    /// Objective for the first byte, in milliseconds.
    pub first_byte_ms: u64,
}

/// What is needed to pick an endpoint.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// The service that is meant.
    pub service: ServiceId,
    /// The caller's key.
    pub key: Option<String>,
    /// Endpoints that have been tried.
    pub tried: Vec<EndpointId>,
    /// Hash of the start of the prompt; 0 for none.
    pub prefix_hash: u64,
    /// Predicted work.
    pub cost: u64,
}

/// The endpoint that was picked.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// The link to its agent.
    pub link: AgentLink,
    /// Requests of this entry that are under way there.
    pub in_flight: Arc<AtomicU32>,
}

/// One heartbeat that is due.
pub struct DueBeat {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The link to its agent.
    pub link: AgentLink,
    /// What to say.
    pub beat: Heartbeat,
}

struct Peer {
    link: AgentLink,
    addr: std::net::SocketAddr,
    in_flight: Arc<AtomicU32>,
    /// `in_flight` when the last report came.
    at_report: u32,
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
        let events = self.fold.read(page);
        let has_snapshot = page.records.iter().any(|r| r.text.starts_with("{\"kind\":\"snapshot\""));
        if has_snapshot {
            self.snapshot_seen_ms = now_ms;
        }
        let at_end = self.fold.cursor() == page.next_offset;
        if at_end && self.fold.status() == FoldStatus::Following {
            self.tail = Some(TailRead { started_ms, version: self.fold.version() });
        }
        if events.iter().any(|event| matches!(event, FoldEvent::Version(_))) {
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

    /// Takes an agent's report. The configuration is returned if the agent lacks it.
    pub fn take_report(
        &mut self,
        endpoint: &EndpointId,
        report: AgentReport,
        now_ms: u64,
    ) -> Option<Arc<Configuration>> {
        let version = report.config_version;
        let is_news = self.membership.on_report(endpoint, report, now_ms);
        if let Some(peer) = self.peers.get_mut(endpoint).filter(|_| is_news) {
            peer.at_report = peer.in_flight.load(Ordering::Relaxed);
        }
        self.fold.state().filter(|config| version < config.version()).cloned()
    }

    /// Notes that the link to an agent broke.
    pub fn link_broke(&mut self, endpoint: &EndpointId) {
        self.membership.on_broken(endpoint);
    }

    /// Notes what a refusal tells about its endpoint.
    pub fn learn_from(&mut self, endpoint: &EndpointId, refusal: &Refusal) {
        match refusal.kind {
            ErrorKind::Leaving => self.membership.on_leaving(endpoint),
            ErrorKind::ConnectionLost => self.membership.on_broken(endpoint),
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
            let silent = now_ms.saturating_sub(member.heard_ms) >= limits.down_after_ms;
            if let Some(peer) = self.peers.get(endpoint).filter(|_| silent) {
                peer.link.reset();
            }
        }
        let beat = |(endpoint, peer): (&EndpointId, &Peer)| DueBeat {
            endpoint: endpoint.clone(),
            link: peer.link.clone(),
            beat: self.beat_for(endpoint),
        };
        self.peers.iter().map(beat).collect()
    }

    /// Vouches for the log's end only if it was read after this life of the agent was met.
    fn beat_for(&self, endpoint: &EndpointId) -> Heartbeat {
        let entry = self.identity.entry.to_string();
        let member = self.membership.member(endpoint);
        let fresh = member.zip(self.tail).filter(|(member, tail)| tail.started_ms > member.met_ms);
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

    /// Picks the endpoint for a request.
    pub fn pick(&mut self, wanted: &Wanted, now_ms: u64) -> Result<Target, Refusal> {
        let config = self.fold.state().cloned().ok_or_else(|| Refusal::new(ErrorKind::Stale))?;
        match &wanted.key {
            Some(key) => self.pick_home(&config, wanted, key, now_ms),
            None => self.pick_any(&config, wanted, now_ms),
        }
    }

    fn pick_home(&self, config: &Configuration, wanted: &Wanted, key: &str, now_ms: u64) -> Result<Target, Refusal> {
        // A key's earlier call may have run, so without its home nothing better can be claimed.
        let unproved = |kind: ErrorKind| Refusal::new(kind).with_run(Run::MayHaveRun);
        let hash = key_hash(wanted.workspace.as_str(), wanted.service.as_str(), key);
        match config.home_view(&wanted.workspace, &wanted.service).home_of(hash) {
            HomeAnswer::At(home) if self.membership.health(&home, now_ms) < Health::Down => {
                self.target(&home).ok_or_else(|| unproved(ErrorKind::KeyHomeUnreachable))
            }
            HomeAnswer::At(_) => Err(unproved(ErrorKind::KeyHomeUnreachable)),
            HomeAnswer::Moving => Err(unproved(ErrorKind::KeyHomeMoving)),
            HomeAnswer::Nowhere => Err(unproved(ErrorKind::NoEndpoint)),
        }
    }

    fn pick_any(&mut self, config: &Configuration, wanted: &Wanted, now_ms: u64) -> Result<Target, Refusal> {
        let none = || Refusal::new(ErrorKind::NoEndpoint);
        let workspace = config.workspace(&wanted.workspace).ok_or_else(none)?;
        let permitted: Vec<&EndpointSpec> = config
            .endpoints_of(&wanted.service)
            .filter(|spec| workspace.run_in.contains(&spec.data_centre))
            .filter(|spec| !wanted.tried.contains(&spec.endpoint))
            .filter(|spec| self.membership.takes_work(&spec.endpoint, now_ms))
            .collect();
        let candidates: Vec<Candidate> = permitted.iter().map(|spec| self.candidate(spec, wanted, now_ms)).collect();
        let seed = hash::mix(self.identity.incarnation.0 ^ self.requests.wrapping_mul(31) ^ wanted.tried.len() as u64);
        let spec = permitted[choose_by(self.identity.routing, &candidates, seed, self.requests).ok_or_else(none)?];
        let endpoint = spec.endpoint.clone();
        self.remember_prefix(wanted.prefix_hash, &endpoint);
        self.target(&endpoint).ok_or_else(none)
    }

    fn candidate(&self, spec: &EndpointSpec, wanted: &Wanted, now_ms: u64) -> Candidate {
        let Some(member) = self.membership.member(&spec.endpoint) else { return Candidate::default() };
        let peer = self.peers.get(&spec.endpoint);
        let holds = wanted.prefix_hash != 0 && self.prefixes.get(&wanted.prefix_hash) == Some(&spec.endpoint);
        Candidate {
            health: self.membership.health(&spec.endpoint, now_ms),
            own_in_flight: peer.map_or(0, |peer| peer.in_flight.load(Ordering::Relaxed)),
            own_at_report: peer.map_or(0, |peer| peer.at_report),
            reported_running: member.report.running,
            reported_waiting: member.report.waiting,
            report_age_ms: now_ms.saturating_sub(member.heard_ms),
            slots: spec.slots,
            mean_run_ms: member.report.mean_run_ms,
            cached_permille: if holds { CACHED_PERMILLE } else { 0 },
            prefill_ms: wanted.cost * PREFILL_US_PER_COST / 1000,
        }
    }

    fn remember_prefix(&mut self, prefix_hash: u64, endpoint: &EndpointId) {
        if prefix_hash == 0 {
            return;
        }
        if self.prefixes.insert(prefix_hash, endpoint.clone()).is_none() {
            self.prefix_order.push_back(prefix_hash);
        }
        if self.prefix_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.prefix_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    fn target(&self, endpoint: &EndpointId) -> Option<Target> {
        let peer = self.peers.get(endpoint)?;
        let incarnation = self.membership.member(endpoint)?.report.incarnation;
        Some(Target {
            endpoint: endpoint.clone(),
            incarnation,
            link: peer.link.clone(),
            in_flight: Arc::clone(&peer.in_flight),
        })
    }

    /// Counts a request that has come to its end.
    pub fn count(
        &mut self,
        service: ServiceId,
        workspace: WorkspaceId,
        failure: Option<ErrorKind>,
        late: bool,
        now_ms: u64,
    ) {
        self.burn.entry((service, workspace)).or_default().count(failure, late, now_ms);
    }

    /// What agents have said that lets keys move, once it is this entry's turn to write it.
    pub fn due_acks(&mut self) -> Option<ConfigRecord> {
        let config = self.fold.state()?;
        let word = |(endpoint, peer): (&EndpointId, &Peer)| {
            let version = self.membership.member(endpoint)?.report.config_version;
            let needed = config.needs_ack(endpoint, peer.addr, version);
            needed.then(|| HomeAck { endpoint: endpoint.clone(), agent_addr: peer.addr, version })
        };
        let acks: Vec<HomeAck> = self.peers.iter().filter_map(word).collect();
        if acks.is_empty() {
            self.rounds_with_pending_acks = 0;
            return None;
        }
        self.rounds_with_pending_acks += 1;
        let own_turn = 1 + self.rank(WRITE_SPREAD_ROUNDS);
        (self.rounds_with_pending_acks >= own_turn).then_some(ConfigRecord::HomeAcks { acks })
    }

    /// A snapshot, once it is this entry's turn to write one.
    pub fn due_snapshot(&mut self, now_ms: u64) -> Option<ConfigRecord> {
        const SPREAD: u64 = 16;
        let every_ms = self.identity.snapshot_every_ms;
        let due_ms = self.snapshot_seen_ms + every_ms + every_ms / SPREAD * self.rank(SPREAD) / 2;
        let state = self.fold.state().filter(|_| self.fold.status() == FoldStatus::Following)?;
        if now_ms < due_ms || state.version() == 0 {
            return None;
        }
        self.snapshot_seen_ms = now_ms;
        Some(ConfigRecord::Snapshot { as_of: state.folded_to(), state: Box::new(Configuration::clone(state)) })
    }

    /// A small number that differs between entries, so that they do not write all at once.
    fn rank(&self, of: u64) -> u64 {
        hash::mix(hash::fnv1a(self.identity.entry.as_str().as_bytes())) % of
    }

    /// The system as this entry sees it.
    #[must_use]
    pub fn status(&self, now_ms: u64) -> Status {
        let log = match self.fold.status() {
            FoldStatus::Empty => "empty",
            FoldStatus::Following => "following",
            FoldStatus::Gap { .. } => "gap",
        };
        let config = self.fold.state();
        let endpoints = config.map(|c| c.endpoints().map(|spec| self.row(spec, now_ms)).collect()).unwrap_or_default();
        Status {
            entry: self.identity.entry.to_string(),
            config_version: self.fold.version(),
            log: log.into(),
            log_read_age_ms: self.tail.map(|tail| now_ms.saturating_sub(tail.started_ms)),
            endpoints,
        }
    }

    fn row(&self, spec: &EndpointSpec, now_ms: u64) -> EndpointRow {
        let member = self.membership.member(&spec.endpoint);
        let report = member.map(|m| m.report.clone()).unwrap_or_default();
        let health = match self.membership.health(&spec.endpoint, now_ms) {
            Health::Alive if !self.membership.takes_work(&spec.endpoint, now_ms) => "leaving",
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Down => "down",
        };
        EndpointRow {
            endpoint: spec.endpoint.to_string(),
            service: spec.service.to_string(),
            data_centre: spec.data_centre.to_string(),
            health: health.into(),
            config_version: report.config_version,
            running: report.running,
            waiting: report.waiting,
        }
    }

    /// This entry's part of the report on burn.
    pub fn burn_rows(&mut self, now_ms: u64) -> Vec<BurnRow> {
        let config = self.fold.state().cloned().unwrap_or_default();
        let objective = |service: &ServiceId| config.service(service).map_or(0, |spec| spec.objective_permille);
        let row = |((service, workspace), meter): (&(ServiceId, WorkspaceId), &mut BurnMeter)| {
            let objective_permille = objective(service);
            let (short, long) = (meter.short(now_ms), meter.long(now_ms));
            BurnRow {
                service: service.to_string(),
                workspace: workspace.to_string(),
                objective_permille,
                requests: u64::from(long.requests),
                met: u64::from(long.requests - long.missed),
                burn_short: burn_rate(short, objective_permille),
                burn_long: burn_rate(long, objective_permille),
                spent_by: meter.spent_by(),
            }
        };
        self.burn.iter_mut().map(row).collect()
    }
}
