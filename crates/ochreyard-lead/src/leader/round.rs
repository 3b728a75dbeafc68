//! One round: all ranks are asked at once, and their answers taken.

use std::collections::BTreeSet;
use std::rc::Rc;

use futures::future::join_all;
use ochreyard_core::group_map::{LeaderId, Round, SentOrder};
use ochreyard_direct::Dialect;
use ochreyard_rank::{AgentResponse, EngineFactory, HeldExperts, LeaderRequest};

use super::Leader;
use super::hold_rank::split_direct;
use crate::questions::{Question, ask_member};

/// Most ranks whose counts are asked for. Requests are spread evenly, so the counts of
/// some ranks tell the demand on all, and each set of counts takes kilobytes and time.
const COUNTED_RANKS: usize = 12;

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Asks all ranks at once, with the orders that are due. Says who else is granted, if somebody is.
    pub(super) async fn round(&mut self) -> Option<LeaderId> {
        let asked_ms = self.now_ms();
        let (direct, orders) = split_direct(std::mem::take(&mut self.pending));
        let direct_outcomes = self.order_directly(direct).await;
        self.sent_maps.note(&orders);
        let asks_counts = self.asks_counts();
        let told = self.ask_all(&orders).await;
        if asks_counts {
            self.counts_asked_ms = asked_ms;
        }
        let holder = self.take(told, &orders, asked_ms);
        self.last_round.outcomes.extend(direct_outcomes);
        holder
    }

    /// Whether ranks whose agents are down are reached through their engines: a
    /// group that stands may be held at such a rank.
    fn reaches_engines(&self) -> bool {
        let is_needed = self.controller.must_reach_all() || !self.is_serving;
        is_needed && self.last_round.views.iter().any(Option::is_none)
    }

    /// The answers by rank, where they came.
    async fn ask_all(&self, orders: &[(usize, SentOrder)]) -> Vec<Option<AgentResponse>> {
        let reaches_engines = self.reaches_engines();
        let counted = if self.asks_counts() { self.members.counted(COUNTED_RANKS) } else { BTreeSet::new() };
        let asked = self.members.iter().map(|(rank, member)| {
            let ask = LeaderRequest { wants_counts: counted.contains(&rank), ..self.ask_for(rank, orders) };
            let short = self.sent_maps.shortened(&ask, member.known_map_version);
            let question = Question { ask: short, orders: ask.orders, asked_at_once: self.members.size };
            let engine = reaches_engines.then(|| self.engines.client_at(member.engine.addr));
            async move { (rank, ask_member(Rc::clone(&member.link), question, engine).await) }
        });
        let mut told: Vec<Option<AgentResponse>> = (0..self.members.size).map(|_| None).collect();
        for (rank, answer) in join_all(asked).await {
            if let Some(place) = told.get_mut(rank) {
                *place = answer;
            }
        }
        told
    }

    /// A question that only renews the grant.
    pub(super) const fn plain_ask(&self) -> LeaderRequest {
        LeaderRequest {
            leader: self.me,
            lease_ms: self.settings.lease_ms,
            orders: Vec::new(),
            map_delta: None,
            wants_counts: false,
            wants_held_experts: false,
            releases_grant: false,
        }
    }

    pub(super) fn ask_for(&self, rank: usize, orders: &[(usize, SentOrder)]) -> LeaderRequest {
        LeaderRequest {
            orders: orders.iter().filter(|(to, _)| *to == rank).map(|(_, order)| order.clone()).collect(),
            wants_held_experts: !self.knows_present(),
            ..self.plain_ask()
        }
    }

    /// While experts are copied, rounds come faster than counts are worth asking for. While
    /// a step is held, rounds should be short; what is chosen meanwhile is told after it.
    fn asks_counts(&self) -> bool {
        let are_due = self.now_ms() >= self.counts_asked_ms + self.settings.round_ms;
        !self.controller.is_busy() || (self.controller.is_copying() && are_due)
    }

    fn knows_present(&self) -> bool {
        let view = self.last_round.views.iter().flatten().next();
        view.is_some_and(|view| self.controller.knows_map_of(view))
    }

    /// Takes the answers. Says who else is granted, if an answer names somebody.
    fn take(
        &mut self,
        told: Vec<Option<AgentResponse>>,
        orders: &[(usize, SentOrder)],
        asked_ms: u64,
    ) -> Option<LeaderId> {
        let mut holder = None;
        let mut round = Round { views: vec![None; told.len()], outcomes: Vec::new() };
        let mut chosen: Vec<f64> = Vec::new();
        let mut lists: Vec<Option<HeldExperts>> = vec![None; told.len()];
        for (rank, told) in told.into_iter().enumerate() {
            let Some(told) = told else { continue };
            self.leadership.on_answer(rank, told.granted, asked_ms);
            holder = holder.or(told.holder);
            self.members.note_map(rank, told.known_map_version);
            round.views[rank] = told.view.filter(|view| self.members.fits(rank, view));
            let sent = orders.iter().filter(|(to, _)| *to == rank);
            round.outcomes.extend(sent.zip(told.outcomes).map(|((to, order), outcome)| (*to, order.clone(), outcome)));
            lists[rank] = told.held_experts;
            if told.selection_counts.is_some_and(|counts| !counts.add_to(&mut chosen)) {
                log::warn!("event=counts_unreadable group={} rank={rank}", self.members.group);
            }
        }
        self.take_lists(&lists);
        self.add_demand(&chosen);
        self.last_round = round;
        holder
    }
}
