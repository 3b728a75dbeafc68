//! One route of the configuration.

use serde::{Deserialize, Serialize};

use super::route_kind::RouteKind;
use super::weighted_service::WeightedService;
use crate::direct::permitted_regions::PermittedRegions;

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for log lines.
    pub name: String,
    /// Host name in the requests of callers.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests of the route may be retried.
    pub kind: RouteKind,
    /// Longest time until a request is answered, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target of an answer, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: u64,
    /// Target for the longest gap between two events of a stream, in milliseconds.
    #[serde(rename = "gap_aim_ms")]
    pub target_gap_ms: Option<u64>,
    /// How long callers of the route wait without receiving anything before they disconnect, in milliseconds, where
    /// that is configured.
    pub patience_ms: Option<u64>,
    /// Priority of the route; 0 is the highest.
    pub priority: u64,
    /// Services that share the requests of the route.
    pub services: Vec<WeightedService>,
    /// Largest number of endpoints that one request may be sent to.
    pub max_attempts: u64,
    /// Whether the route may be used without an API key.
    pub public: bool,
    /// Regions in which requests of the route may run.
    #[serde(default, rename = "homes")]
    pub permitted_regions: PermittedRegions,
}

impl Route {
    /// Picks the service for a request by weight; `draw` is a uniformly distributed random number.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        let total = self.services.iter().map(|share| share.weight).fold(0, u64::saturating_add);
        let mut remaining = draw.checked_rem(total)?;
        for share in &self.services {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        None
    }
}
