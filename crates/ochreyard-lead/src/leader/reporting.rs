//! Reports the state of the group to all entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochreyard_core::direct::{GroupUpdate, RankUpdate, ReporterRole};
use ochreyard_core::group_map::RankView;
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Reports the group to all entries: immediately when it stalls or resumes, otherwise at intervals.
    pub(super) fn report_if_due(&mut self, role: ReporterRole) {
        let now_ms = self.now_ms();
        self.is_serving = self.progress.observe(&self.last_round.views, now_ms);
        if self.reporter.is_due(self.report_facts(), now_ms) {
            self.report(role);
        }
    }

    /// Reports the group to all entries.
    pub(super) fn report(&mut self, reporter_role: ReporterRole) {
        let update = self.group_update(reporter_role);
        if self.reporter.report(&update) {
            log::info!(
                "event=group_state group={} serving={} teller={reporter_role:?}",
                update.group,
                update.is_serving
            );
        }
    }

    /// The state of the group according to the last round, with every rank whose view and endpoint are known.
    fn group_update(&self, reporter_role: ReporterRole) -> GroupUpdate {
        let endpoints = self.endpoints_by_addr();
        let rank_update = |(rank, view): (usize, &Option<RankView>)| {
            let view = view.as_ref()?;
            let endpoint = endpoints.get(&self.members.get(rank)?.engine.addr)?.clone();
            let (running, waiting, pace_permille) = (view.running, view.waiting, view.pace_permille);
            Some(RankUpdate { endpoint, running, waiting, pace_permille })
        };
        let ranks: Vec<RankUpdate> = self.last_round.views.iter().enumerate().filter_map(rank_update).collect();
        GroupUpdate {
            service: self.service.clone(),
            group: self.members.group.clone(),
            reporter_role,
            leader_tag: Some(self.id.tag()),
            is_serving: self.is_serving,
            step_ms: self.progress.step_ms(),
            stream_limit: self.stream_limit.requests_of(ranks.len()),
            ranks,
            loads: None,
        }
    }

    /// Identifiers of the endpoints by address. If several have the same address, one that is not leaving takes
    /// precedence over one that is.
    fn endpoints_by_addr(&self) -> HashMap<SocketAddr, String> {
        let state = self.entry.state.borrow();
        let mut endpoint_ids = HashMap::new();
        for (id, record) in state.pool.endpoints(&self.service) {
            if record.is_leaving {
                endpoint_ids.entry(record.addr).or_insert_with(|| id.to_owned());
            } else {
                endpoint_ids.insert(record.addr, id.to_owned());
            }
        }
        endpoint_ids
    }
}
