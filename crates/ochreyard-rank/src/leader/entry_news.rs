//! What the entries are told of a group.

use ochreyard_core::direct::{GroupNews, RankNews};
use ochreyard_core::group_map::RankView;
use ochreyard_direct::{Dialect, KeyedLog};

use super::Leader;
use crate::engine::Engines;

impl<D: Dialect, L: KeyedLog, S: Engines> Leader<D, L, S> {
    /// Tells entries of the group: at once when it stops or goes on, else now and then.
    pub(super) async fn tell_entries(&mut self, view: &RankView) {
        let now_ms = self.agent.clock.now_ms();
        let is_serving = self.progress.note(&self.last_round.views, now_ms);
        self.is_serving = is_serving;
        if !self.entries.is_due(is_serving, now_ms) {
            return;
        }
        self.find_endpoints(view).await;
        self.entries.read(&self.log, now_ms).await;
        let news = self.news(view, is_serving);
        if self.entries.tell(&news) {
            log::info!("event=group_state group={} serving={is_serving}", view.group);
        }
    }

    /// The group as the last round showed it: every rank whose view and endpoint are known.
    fn news(&self, view: &RankView, is_serving: bool) -> GroupNews {
        let rank_news = |(rank, view): (usize, &Option<RankView>)| {
            let view = view.as_ref()?;
            let endpoint = self.endpoints.id(rank)?.to_owned();
            let (running, waiting, pace_permille) = (view.running, view.waiting, view.pace_permille);
            Some(RankNews { endpoint, running, waiting, pace_permille })
        };
        let ranks = self.last_round.views.iter().enumerate().filter_map(rank_news).collect();
        GroupNews {
            service: self.service.clone(),
            group: view.group.clone(),
            is_serving,
            step_ms: self.progress.step_ms(),
            ranks,
        }
    }
}
