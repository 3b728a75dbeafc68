//! Which route a request takes, and whose request it is.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What may be done again with requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each attempt of the caller.
    Once,
    /// A stream of events; a resumable one may go on at another endpoint.
    Stream {
        /// Whether another run may continue it.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }
}

/// One of the services that share a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share of the requests, against the sum over the route.
    pub weight: u64,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for log lines.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done again.
    pub kind: RouteKind,
    /// The longest time that a request is held.
    pub timeout_ms: u64,
    /// The time within which an answer is in time.
    pub aim_ms: u64,
    /// The longest pause between events that is still in time.
    pub gap_aim_ms: Option<u64>,
    /// 0 is the most urgent.
    pub priority: u64,
    /// The services that serve it.
    pub services: Vec<WeightedService>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u64,
    /// Whether it may be used without a key.
    pub public: bool,
}

impl Route {
    /// The service for a request; `draw` is any evenly spread number.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|entry| entry.weight).sum();
        let mut rest = draw.checked_rem(total)?;
        for entry in &self.services {
            if rest < entry.weight {
                return Some(&entry.service);
            }
            rest -= entry.weight;
        }
        None
    }
}

/// What the configuration tells of the engines of a model service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, Default)]
pub struct EngineFigures {
    /// Requests that one engine runs at once.
    pub slots: u64,
    /// Passes for each event of a stream.
    pub stride: u64,
    /// Time of a pass for one token, without the experts' skew, in milliseconds.
    pub step_ms: f64,
    /// More for each running request, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens read a second.
    pub read_per_s: f64,
    /// Layer sets that choose experts independently; 0 where there are no groups.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts that one rank can hold in a set.
    pub places: usize,
    /// Experts in a set that one change may bring to a rank.
    pub spare: usize,
    /// Size of one expert, in megabytes.
    pub expert_mb: f64,
    /// Rate at which experts are copied, in megabits a second.
    pub link_mbps: f64,
    /// Share of a pass that experts take.
    pub expert_share: f64,
}

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts from all boxes together.
    pub max_connections: u64,
    /// Figures of its engines, for model services.
    pub engine: Option<EngineFigures>,
}

/// A workspace and its standing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Goes before the priority of the route, if given.
    pub priority: Option<u64>,
}

/// What callers may send, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Until a configuration names its own: small heads, bodies up to 4 MiB, rests of 15 s.
    fn default() -> Self {
        Self { max_header_bytes: 16_384, max_body_bytes: 4 << 20, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Arc<ServiceSpec>>,
    keys: HashMap<String, Arc<Workspace>>,
    needs_key: bool,
    limits: CallerLimits,
}

impl RouteTable {
    /// An empty table of this version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        let of_host = self.routes.entry(route.host.to_ascii_lowercase()).or_default();
        of_host.insert(route.path_prefix.clone(), Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        self.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Adds a workspace with its keys; from then on requests need a key.
    #[must_use]
    pub fn with_workspace(mut self, workspace: Workspace, keys: impl IntoIterator<Item = String>) -> Self {
        self.needs_key = true;
        let workspace = Arc::new(workspace);
        self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
        self
    }

    /// Sets the limits for callers.
    #[must_use]
    pub const fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// The version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The limits for callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether requests need a key, except on public routes.
    #[must_use]
    pub const fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// The route with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let of_host = self.routes.get(&name)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| of_host.get(prefix))
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }
}
