//! Which route a request takes, and whose request it is.

mod caller_limits;
mod cold_limits;
mod engine_spec;
mod route;
mod route_kind;
mod service_spec;
mod weighted_service;
mod workspace;

use std::collections::HashMap;
use std::sync::Arc;

pub use self::caller_limits::CallerLimits;
pub use self::cold_limits::ColdLimits;
pub use self::engine_spec::EngineSpec;
pub use self::route::Route;
pub use self::route_kind::RouteKind;
pub use self::service_spec::ServiceSpec;
pub use self::weighted_service::WeightedService;
pub use self::workspace::Workspace;

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Arc<ServiceSpec>>,
    /// The shortest pause between events that a route of each service allows, in milliseconds.
    pause_aims_ms: HashMap<String, u64>,
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
        for weighted in &route.services {
            let Some(pause_aim_ms) = route.gap_aim_ms else { continue };
            let shortest_ms = self.pause_aims_ms.entry(weighted.service.clone()).or_insert(pause_aim_ms);
            *shortest_ms = pause_aim_ms.min(*shortest_ms);
        }
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

    /// The shortest pause between events that a route of a service allows, in milliseconds.
    #[must_use]
    pub fn target_gap_ms(&self, service: &str) -> Option<u64> {
        self.pause_aims_ms.get(service).copied()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }
}
