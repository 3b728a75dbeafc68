//! Routes, services and workspaces of one version of the configuration.

mod caller_limits;
mod cold_limits;
mod engine_spec;
mod route;
mod route_kind;
mod service_spec;
mod weighted_service;
mod workspace;

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};

pub use self::caller_limits::CallerLimits;
pub use self::cold_limits::ColdLimits;
pub use self::engine_spec::EngineSpec;
pub use self::route::Route;
pub use self::route_kind::RouteKind;
pub use self::service_spec::ServiceSpec;
pub use self::weighted_service::WeightedService;
pub use self::workspace::Workspace;
use super::priority::Priority;
use super::priority_set::PrioritySet;

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Arc<ServiceSpec>>,
    /// Shortest target for the gap between two stream events among the routes of each service, in milliseconds.
    target_gaps_ms: HashMap<String, u64>,
    /// Priorities of the requests of each service, computed when first needed.
    priorities: OnceLock<HashMap<String, PrioritySet>>,
    keys: HashMap<String, Arc<Workspace>>,
    needs_key: bool,
    limits: CallerLimits,
}

impl RouteTable {
    /// Creates an empty table of a configuration version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        for weighted in &route.services {
            let Some(target_gap_ms) = route.target_gap_ms else { continue };
            let shortest_ms = self.target_gaps_ms.entry(weighted.service.clone()).or_insert(target_gap_ms);
            *shortest_ms = target_gap_ms.min(*shortest_ms);
        }
        self.priorities.take();
        let host_routes = self.routes.entry(route.host.to_ascii_lowercase()).or_default();
        host_routes.insert(route.path_prefix.clone(), Arc::new(route));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        self.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Lets requests need a key, except on public routes. No request has one until a workspace is added.
    #[must_use]
    pub fn with_required_key(mut self) -> Self {
        self.needs_key = true;
        self.priorities.take();
        self
    }

    /// Adds a workspace with its API keys; requests then need a key, except on public routes.
    #[must_use]
    pub fn with_workspace(self, workspace: Workspace, keys: impl IntoIterator<Item = String>) -> Self {
        let mut table = self.with_required_key();
        let workspace = Arc::new(workspace);
        table.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
        table
    }

    /// Sets the limits for callers.
    #[must_use]
    pub const fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns whether requests need an API key, except on public routes.
    #[must_use]
    pub const fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the route of a host with the longest path prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let host_routes = self.routes.get(&name)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| host_routes.get(prefix))
    }

    /// Returns the workspace that an API key belongs to.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns the shortest target for the gap between two stream events among the routes of a service, in
    /// milliseconds.
    #[must_use]
    pub fn target_gap_ms(&self, service: &str) -> Option<u64> {
        self.target_gaps_ms.get(service).copied()
    }

    /// Returns the priority of a request: that of its workspace if set, else that of its route.
    #[must_use]
    pub fn priority(route: &Route, workspace: Option<&Workspace>) -> Priority {
        Priority::new(workspace.and_then(|workspace| workspace.priority).unwrap_or(route.priority))
    }

    /// Returns the different priorities that requests of a service can have.
    #[must_use]
    pub fn priorities(&self, service: &str) -> PrioritySet {
        self.priorities.get_or_init(|| self.compute_priorities()).get(service).copied().unwrap_or_default()
    }

    fn compute_priorities(&self) -> HashMap<String, PrioritySet> {
        let of_workspaces: PrioritySet =
            self.keys.values().filter_map(|workspace| workspace.priority).map(Priority::new).collect();
        let any_workspace_without = self.keys.values().any(|workspace| workspace.priority.is_none());
        let mut by_service: HashMap<String, PrioritySet> = HashMap::new();
        for route in self.routes.values().flat_map(HashMap::values) {
            let mut priorities = of_workspaces;
            // Where all workspaces have a priority of their own, only requests without a workspace have the route's.
            if any_workspace_without || route.public || !self.needs_key {
                priorities.insert(Self::priority(route, None));
            }
            for weighted in route.services.iter().filter(|weighted| weighted.weight > 0) {
                let known = by_service.entry(weighted.service.clone()).or_default();
                *known = known.union(priorities);
            }
        }
        by_service
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }
}
