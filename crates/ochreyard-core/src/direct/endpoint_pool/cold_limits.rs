//! The rate limits of cold endpoints, by service.

use std::collections::HashMap;

use super::EndpointPool;
use super::cold_limit::ColdLimit;
use crate::direct::route_table::{ColdLimits, RouteTable};
use crate::direct::shared_limit::{Quota, ShareRank};

/// The window over which requests to a cold endpoint are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;

/// The quotas of cold endpoints, by service.
#[derive(Debug, Clone)]
pub(super) struct ColdQuotas {
    /// The factor by which the quota may exceed the rate that a cold endpoint can serve.
    overage: f64,
    by_service: HashMap<String, Quota>,
}

impl Default for ColdQuotas {
    fn default() -> Self {
        Self { overage: 1.0, by_service: HashMap::new() }
    }
}

impl ColdQuotas {
    fn for_service(&self, service: &str) -> Option<Quota> {
        self.by_service.get(service).copied()
    }

    fn quota_for(&self, figures: ColdLimits) -> Quota {
        let count = figures.requests_per_s * self.overage * SPAN_MS as f64 / MS_PER_S;
        Quota::for_span((count as u64).max(1), SPAN_MS)
    }
}

impl EndpointPool {
    /// Lets cold endpoints get `overage` times the rate that they can serve. What the platform allows beyond that is
    /// left for boxes that do not know yet that an endpoint is cold.
    pub const fn set_cold_overage(&mut self, overage: f64) {
        self.cold_quotas.overage = overage;
    }

    pub(super) fn new_cold_limit(&self, id: &str, service: &str) -> ColdLimit {
        let quota = self.cold_quotas.for_service(service);
        // Computing the rank iterates over all boxes.
        let share_rank =
            if quota.is_some() { self.sharing_boxes.share_rank(id) } else { ShareRank { rank: 0, boxes: 1 } };
        ColdLimit::new(quota, share_rank, self.process_started_ms.unwrap_or(0))
    }

    /// Applies the limits of a configuration.
    pub fn set_cold_limits(&mut self, table: &RouteTable) {
        let limited_services = table.services().filter_map(|service| Some((service, service.cold?)));
        let by_service = limited_services
            .map(|(service, figures)| (service.name.clone(), self.cold_quotas.quota_for(figures)))
            .collect();
        self.cold_quotas.by_service = by_service;
        for (id, member) in &mut self.members {
            let quota = self.cold_quotas.for_service(&member.record.service);
            if quota.is_some() && !member.cold.is_limited() {
                member.cold.set_share_rank(self.sharing_boxes.share_rank(id));
            }
            member.cold.set_quota(quota);
        }
    }

    /// Records that an endpoint stays cold for `cold_ms`.
    pub fn on_cold(&mut self, id: &str, cold_ms: u64, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.cold.on_cold(cold_ms, now_ms);
        }
    }

    /// Returns how many endpoints of a service are known to be cold.
    #[must_use]
    pub fn cold_endpoints(&self, service: &str, now_ms: u64) -> usize {
        self.members_of_service(service).filter(|(_, member)| member.cold.remaining_ms(now_ms) > 0).count()
    }
}
