//! One route of the configuration.

use serde::{Deserialize, Serialize};

use super::route_kind::RouteKind;
use super::weighted_service::WeightedService;
use crate::direct::allowed_regions::AllowedRegions;

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
    /// How long its callers hear nothing before they go away, where that is stated.
    pub patience_ms: Option<u64>,
    /// 0 is the most urgent.
    pub priority: u64,
    /// The services that serve it.
    pub services: Vec<WeightedService>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u64,
    /// Whether it may be used without a key.
    pub public: bool,
    /// Where its requests may run.
    #[serde(default, rename = "homes")]
    pub allowed_regions: AllowedRegions,
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
