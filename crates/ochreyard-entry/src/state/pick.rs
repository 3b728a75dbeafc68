//! Picks the endpoint for a request.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ochreyard_core::config::{Configuration, EndpointSpec};
use ochreyard_core::error_kind::{ErrorKind, Refusal, RunStatus};
use ochreyard_core::hash;
use ochreyard_core::home::{KeyHome, key_hash};
use ochreyard_core::ids::EndpointId;
use ochreyard_core::membership::Health;
use ochreyard_core::routing::{Candidate, choose_by};

use super::{EntryState, PickRequest, Target};

/// Prompt prefixes that are remembered, each with the endpoint that last received it.
const MAX_PREFIXES: usize = 4096;
/// Share of a prompt that is assumed to be cached at the endpoint that received its prefix, in thousandths.
const CACHED_PREFIX_PERMILLE: u32 = 800;
/// Prefill time of a prompt for each unit of cost, in microseconds.
const PREFILL_US_PER_COST: u64 = 50;

impl EntryState {
    /// Picks the endpoint for a request: the home of its idempotency key, or the best one by the routing policy.
    pub fn pick(&mut self, request: &PickRequest, now_ms: u64) -> Result<Target, Refusal> {
        self.membership.on_running(now_ms);
        let config = self.fold.state().cloned().ok_or_else(|| Refusal::new(ErrorKind::Stale))?;
        match &request.key {
            Some(key) => self.pick_key_home(&config, request, key, now_ms),
            None => self.pick_without_key(&config, request, now_ms),
        }
    }

    fn pick_key_home(
        &self,
        config: &Configuration,
        request: &PickRequest,
        key: &str,
        now_ms: u64,
    ) -> Result<Target, Refusal> {
        // An earlier request with the same key may have run. Only the home of the key can tell, so a refusal without it
        // must not claim that nothing has run.
        let unproven = |kind: ErrorKind| Refusal::new(kind).with_run(RunStatus::MayHaveRun);
        let hash = key_hash(request.workspace.as_str(), request.service.as_str(), key);
        match config.home_view(&request.workspace, &request.service).home_of(hash) {
            KeyHome::At(home) if self.membership.health(&home, now_ms) < Health::Down => {
                self.target(&home).ok_or_else(|| unproven(ErrorKind::KeyHomeUnreachable))
            }
            KeyHome::At(_) => Err(unproven(ErrorKind::KeyHomeUnreachable)),
            KeyHome::Moving => Err(unproven(ErrorKind::KeyHomeMoving)),
            KeyHome::NoPermittedEndpoint => Err(unproven(ErrorKind::NoEndpoint)),
        }
    }

    fn pick_without_key(
        &mut self,
        config: &Configuration,
        request: &PickRequest,
        now_ms: u64,
    ) -> Result<Target, Refusal> {
        let no_endpoint = || Refusal::new(ErrorKind::NoEndpoint);
        let workspace = config.workspace(&request.workspace).ok_or_else(no_endpoint)?;
        let permitted: Vec<&EndpointSpec> = config
            .endpoints_of(&request.service)
            .filter(|spec| workspace.run_in.contains(&spec.data_centre))
            .filter(|spec| !request.tried.contains(&spec.endpoint))
            .filter(|spec| self.membership.accepts_work(&spec.endpoint, now_ms))
            .collect();
        let candidates: Vec<Candidate> = permitted.iter().map(|spec| self.candidate(spec, request, now_ms)).collect();
        let seed =
            hash::mix(self.identity.incarnation.0 ^ self.request_count.wrapping_mul(31) ^ request.tried.len() as u64);
        let spec = permitted
            [choose_by(self.identity.routing, &candidates, seed, self.request_count).ok_or_else(no_endpoint)?];
        let endpoint = spec.endpoint.clone();
        self.remember_prefix(request.prefix_hash, &endpoint);
        self.target(&endpoint).ok_or_else(no_endpoint)
    }

    fn candidate(&self, spec: &EndpointSpec, request: &PickRequest, now_ms: u64) -> Candidate {
        let Some(member) = self.membership.member(&spec.endpoint) else { return Candidate::default() };
        let agent = self.agents.get(&spec.endpoint);
        let is_cached = request.prefix_hash != 0 && self.prefixes.get(&request.prefix_hash) == Some(&spec.endpoint);
        Candidate {
            health: self.membership.health(&spec.endpoint, now_ms),
            own_in_flight: agent.map_or(0, |agent| agent.in_flight.load(Ordering::Relaxed)),
            own_in_flight_at_report: agent.map_or(0, |agent| agent.in_flight_at_report),
            reported_running: member.report.running,
            reported_waiting: member.report.waiting,
            report_age_ms: now_ms.saturating_sub(member.last_report_ms),
            slots: spec.slots,
            mean_run_ms: member.report.mean_run_ms,
            cached_permille: if is_cached { CACHED_PREFIX_PERMILLE } else { 0 },
            prefill_ms: request.cost * PREFILL_US_PER_COST / 1000,
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
        let agent = self.agents.get(endpoint)?;
        let incarnation = self.membership.member(endpoint)?.report.incarnation;
        Some(Target {
            endpoint: endpoint.clone(),
            incarnation,
            link: agent.link.clone(),
            in_flight: Arc::clone(&agent.in_flight),
        })
    }
}
