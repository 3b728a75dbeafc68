//! Which endpoint gets a request.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ochreyard_core::config::{Configuration, EndpointSpec};
use ochreyard_core::error_kind::{ErrorKind, Refusal, RunStatus};
use ochreyard_core::hash;
use ochreyard_core::home::{KeyHome, key_hash};
use ochreyard_core::ids::EndpointId;
use ochreyard_core::membership::Health;
use ochreyard_core::routing::{Candidate, choose_by};

use super::{EntryState, Target, Wanted};

/// How many starts of prompts are remembered with the endpoint that has seen them.
const MAX_PREFIXES: usize = 4096;
/// Share of a prompt that is taken for cached where its start was seen, in thousandths.
const CACHED_PERMILLE: u32 = 800;
/// Work of a prompt, in microseconds for each unit of cost.
const PREFILL_US_PER_COST: u64 = 50;

impl EntryState {
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
        let unproved = |kind: ErrorKind| Refusal::new(kind).with_run(RunStatus::MayHaveRun);
        let hash = key_hash(wanted.workspace.as_str(), wanted.service.as_str(), key);
        match config.home_view(&wanted.workspace, &wanted.service).home_of(hash) {
            KeyHome::At(home) if self.membership.health(&home, now_ms) < Health::Down => {
                self.target(&home).ok_or_else(|| unproved(ErrorKind::KeyHomeUnreachable))
            }
            KeyHome::At(_) => Err(unproved(ErrorKind::KeyHomeUnreachable)),
            KeyHome::Moving => Err(unproved(ErrorKind::KeyHomeMoving)),
            KeyHome::NoPermittedEndpoint => Err(unproved(ErrorKind::NoEndpoint)),
        }
    }

    fn pick_any(&mut self, config: &Configuration, wanted: &Wanted, now_ms: u64) -> Result<Target, Refusal> {
        let none = || Refusal::new(ErrorKind::NoEndpoint);
        let workspace = config.workspace(&wanted.workspace).ok_or_else(none)?;
        let permitted: Vec<&EndpointSpec> = config
            .endpoints_of(&wanted.service)
            .filter(|spec| workspace.run_in.contains(&spec.data_centre))
            .filter(|spec| !wanted.tried.contains(&spec.endpoint))
            .filter(|spec| self.membership.accepts_work(&spec.endpoint, now_ms))
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
            own_in_flight_at_report: peer.map_or(0, |peer| peer.at_report),
            reported_running: member.report.running,
            reported_waiting: member.report.waiting,
            report_age_ms: now_ms.saturating_sub(member.last_report_ms),
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
}
