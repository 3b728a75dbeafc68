//! What the entries are told of a group.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochreyard_core::direct::{GroupUpdate, RankUpdate, ReporterRole};
use ochreyard_core::group_map::RankView;
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Tells entries of the group: at once when it stops or goes on, else now and then.
    pub(super) fn tell_entries(&mut self, role: ReporterRole) {
        let now_ms = self.now_ms();
        self.is_serving = self.progress.note(&self.last_round.views, now_ms);
        if self.teller.is_due(self.is_serving, now_ms) {
            self.tell(role);
        }
    }

    /// Tells entries of the group.
    pub(super) fn tell(&mut self, reporter_role: ReporterRole) {
        let news = self.news(reporter_role);
        if self.teller.tell(&news) {
            log::info!("event=group_state group={} serving={} teller={reporter_role:?}", news.group, news.is_serving);
        }
    }

    /// The group as the last round showed it: every rank whose view and endpoint are known.
    fn news(&self, reporter_role: ReporterRole) -> GroupUpdate {
        let endpoints = self.endpoints_by_addr();
        let rank_news = |(rank, view): (usize, &Option<RankView>)| {
            let view = view.as_ref()?;
            let endpoint = endpoints.get(&self.members.get(rank)?.engine.addr)?.clone();
            let (running, waiting, pace_permille) = (view.running, view.waiting, view.pace_permille);
            Some(RankUpdate { endpoint, running, waiting, pace_permille })
        };
        let ranks = self.last_round.views.iter().enumerate().filter_map(rank_news).collect();
        GroupUpdate {
            service: self.service.clone(),
            group: self.members.group.clone(),
            reporter_role,
            is_serving: self.is_serving,
            step_ms: self.progress.step_ms(),
            ranks,
            loads: None,
        }
    }

    /// Identifiers of the endpoints by where they listen. One that leaves gives way to the
    /// one that follows it there.
    fn endpoints_by_addr(&self) -> HashMap<SocketAddr, String> {
        let state = self.entry.state.borrow();
        let mut ids = HashMap::new();
        for (id, record) in state.pool.endpoints(&self.service) {
            if record.is_leaving {
                ids.entry(record.addr).or_insert_with(|| id.to_owned());
            } else {
                ids.insert(record.addr, id.to_owned());
            }
        }
        ids
    }
}
