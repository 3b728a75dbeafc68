//! What endpoints bear while they are cold, as this box keeps to it.

use std::collections::HashMap;

use super::EndpointPool;
use super::cold_limit::ColdLimit;
use crate::direct::route_table::{ColdLimits, RouteTable};
use crate::direct::shared_limit::{Quota, ShareRank};

/// The span over which the arrivals at a cold endpoint are summed, in milliseconds.
const SPAN_MS: u64 = 1_000;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Bounds for cold endpoints, by service.
#[derive(Debug, Clone)]
pub(super) struct ColdQuotas {
    /// How much more than they bear cold endpoints may get, as a factor.
    overage: f64,
    /// When this process started.
    started_ms: u64,
    by_service: HashMap<String, Quota>,
}

impl Default for ColdQuotas {
    fn default() -> Self {
        Self { overage: 1.0, started_ms: 0, by_service: HashMap::new() }
    }
}

impl ColdQuotas {
    fn of(&self, service: &str) -> Option<Quota> {
        self.by_service.get(service).copied()
    }

    fn quota(&self, figures: ColdLimits) -> Quota {
        let count = figures.requests_per_s * self.overage * SPAN_MS as f64 / MS_PER_S;
        Quota::for_span((count as u64).max(1), SPAN_MS)
    }
}

impl EndpointPool {
    /// Cold endpoints may get `overage` times what they bear. What the platform allows beyond that is left to boxes that do
    /// not know yet that an endpoint is cold. This process started at `started_ms`.
    pub const fn set_cold_overage(&mut self, overage: f64, started_ms: u64) {
        self.cold_quotas.overage = overage;
        self.cold_quotas.started_ms = started_ms;
    }

    pub(super) fn cold_bound(&self, id: &str, service: &str) -> ColdLimit {
        let quota = self.cold_quotas.of(service);
        // Finding the place takes a look at all boxes.
        let place = if quota.is_some() { self.sharers.share_rank(id) } else { ShareRank { rank: 0, boxes: 1 } };
        ColdLimit::new(quota, place, self.cold_quotas.started_ms)
    }

    /// Follows the bounds that a configuration names.
    pub fn set_cold_limits(&mut self, table: &RouteTable) {
        let bounded = table.services().filter_map(|service| Some((service, service.cold?)));
        let by_service =
            bounded.map(|(service, figures)| (service.name.clone(), self.cold_quotas.quota(figures))).collect();
        self.cold_quotas.by_service = by_service;
        for (id, member) in &mut self.members {
            let quota = self.cold_quotas.of(&member.record.service);
            if quota.is_some() && !member.cold.is_bounded() {
                member.cold.set_share_rank(self.sharers.share_rank(id));
            }
            member.cold.set_quota(quota);
        }
    }

    /// An endpoint said that it stays cold for so long.
    pub fn on_cold(&mut self, id: &str, cold_ms: u64, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.cold.on_cold(cold_ms, now_ms);
        }
    }

    /// How many endpoints of a service are cold, as far as known.
    #[must_use]
    pub fn cold_endpoints(&self, service: &str, now_ms: u64) -> usize {
        self.of_service(service).filter(|(_, member)| member.cold.left_ms(now_ms) > 0).count()
    }
}
