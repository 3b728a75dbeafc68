//! One round: all ranks are asked at once, and their answers taken.

use futures::future::join_all;
use ochreyard_core::group_map::{LeaderId, RankView, Round, SentOrder};
use ochreyard_direct::{Dialect, KeyedLog};

use super::Leader;
use super::questions::ask_member;
use crate::engine::{Engines, Lists};
use crate::message::{Ask, Told};

impl<D: Dialect, L: KeyedLog, S: Engines> Leader<D, L, S> {
    /// Asks all ranks at once, with the orders that are due. Says who else is granted, if somebody is.
    pub(super) async fn round(&mut self, view: &RankView) -> Option<LeaderId> {
        let reaches_engines = self.reaches_engines();
        if reaches_engines {
            self.find_endpoints(view).await;
        }
        let asked_ms = self.agent.clock.now_ms();
        let orders = std::mem::take(&mut self.pending);
        self.sent_maps.note(&orders);
        let asks_counts = self.wants_counts();
        let told = self.ask_all(view, &orders, reaches_engines).await;
        if asks_counts {
            self.counts_asked_ms = asked_ms;
        }
        self.take(told, &orders, asked_ms)
    }

    /// Whether ranks whose agents are down are reached through their engines: a
    /// group that stands may be held at such a rank.
    fn reaches_engines(&self) -> bool {
        let is_needed = self.controller.must_reach_all() || !self.is_serving;
        is_needed && self.last_round.views.iter().any(Option::is_none)
    }

    /// Looks which endpoint is which rank, unless that is known for this epoch.
    pub(super) async fn find_endpoints(&mut self, view: &RankView) {
        let (epoch, now_ms) = (self.epoch(), self.agent.clock.now_ms());
        self.endpoints.find(&self.log, &self.dialect, &self.service, view, epoch, now_ms).await;
    }

    fn epoch(&self) -> u64 {
        self.last_round.views.iter().flatten().map(|view| view.epoch).max().unwrap_or(0)
    }

    /// The answers by rank, where they came.
    async fn ask_all(
        &self,
        view: &RankView,
        orders: &[(usize, SentOrder)],
        reaches_engines: bool,
    ) -> Vec<Option<Told>> {
        let own_ask = self.ask_for(view.rank, view, orders);
        let own = self.agent.answer(&own_ask);
        let others = self.members.iter().map(|(rank, member)| {
            let ask = self.ask_for(rank, view, orders);
            let engine = self.endpoints.engine(rank).filter(|_| reaches_engines);
            let short = self.sent_maps.shortened(&ask, member.knows_map);
            async move { (rank, ask_member(member, short, &ask.orders, engine, view.size).await) }
        });
        let (own, others) = futures::join!(own, join_all(others));
        let mut told: Vec<Option<Told>> = (0..view.size).map(|_| None).collect();
        for (rank, answer) in [(view.rank, Some(own))].into_iter().chain(others) {
            if let Some(place) = told.get_mut(rank) {
                *place = answer;
            }
        }
        told
    }

    pub(super) fn ask_for(&self, rank: usize, view: &RankView, orders: &[(usize, SentOrder)]) -> Ask {
        Ask {
            leader: self.me(view),
            group: view.group.clone(),
            orders: orders.iter().filter(|(to, _)| *to == rank).map(|(_, order)| order.clone()).collect(),
            wants_counts: self.wants_counts(),
            wants_lists: !self.knows_present(),
            map_change: None,
            releases: false,
        }
    }

    /// While experts are copied, rounds come faster than counts are worth asking for. While
    /// a step is held, rounds should be short; what is chosen meanwhile is told after it.
    fn wants_counts(&self) -> bool {
        let are_due = self.agent.clock.now_ms() >= self.counts_asked_ms + self.settings.round_ms;
        !self.controller.is_busy() || (self.controller.is_copying() && are_due)
    }

    fn knows_present(&self) -> bool {
        let view = self.last_round.views.iter().flatten().next();
        view.is_some_and(|view| self.controller.knows_map_of(view))
    }

    /// Takes the answers. Says who else is granted, if an answer names somebody.
    fn take(&mut self, told: Vec<Option<Told>>, orders: &[(usize, SentOrder)], asked_ms: u64) -> Option<LeaderId> {
        let mut holder = None;
        let mut round = Round { views: vec![None; told.len()], outcomes: Vec::new() };
        let mut chosen: Vec<f64> = Vec::new();
        let mut lists: Vec<Option<Lists>> = vec![None; told.len()];
        for (rank, told) in told.into_iter().enumerate() {
            let Some(told) = told else { continue };
            self.leadership.on_answer(rank, told.granted, asked_ms);
            holder = holder.or(told.holder);
            self.members.note_map(rank, told.knows_map);
            round.views[rank] = told.view.filter(|view| view.rank == rank && view.size == round.views.len());
            let sent = orders.iter().filter(|(to, _)| *to == rank);
            round.outcomes.extend(sent.zip(told.outcomes).map(|((to, order), outcome)| (*to, order.clone(), outcome)));
            lists[rank] = told.lists;
            if told.chosen.is_some_and(|counts| !counts.add_to(&mut chosen)) {
                log::warn!("event=counts_unreadable group={} rank={rank}", self.service);
            }
        }
        self.take_lists(&lists);
        self.add_demand(&chosen);
        self.last_round = round;
        holder
    }
}
