//! One polling round: sends a request to all ranks at once and processes their responses.

use std::collections::BTreeSet;
use std::rc::Rc;

use futures::future::join_all;
use ochreyard_core::group_map::{LeaderId, Round, SentOrder};
use ochreyard_direct::Dialect;
use ochreyard_rank::{AgentResponse, EngineFactory, HeldExperts, LeaderRequest};

use super::Leader;
use super::hold_rank::split_direct_orders;
use crate::rank_requests::{RankRequest, send_to_rank};

/// Most ranks whose selection counts are requested. Requests are spread evenly, so that a sample of the ranks
/// shows the demand on all of them, and the counts of each rank take kilobytes and time.
const MAX_SAMPLED_RANKS: usize = 12;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Sends requests with the pending orders to all ranks at once. Returns the leader that holds a grant in
    /// place of this one, if there is one.
    pub(super) async fn run_round(&mut self) -> Option<LeaderId> {
        let sent_ms = self.now_ms();
        let (direct_orders, orders) = split_direct_orders(std::mem::take(&mut self.pending_orders));
        let direct_outcomes = self.send_direct_orders(direct_orders).await;
        self.sent_map.record(&orders);
        let is_sampling = self.is_sampling_due();
        let responses = self.request_all(&orders).await;
        if is_sampling {
            self.counts_requested_ms = sent_ms;
        }
        let holder = self.process_responses(responses, &orders, sent_ms);
        self.last_round.outcomes.extend(direct_outcomes);
        holder
    }

    /// Whether ranks whose agents are down are reached through their engines: a stalled
    /// group may be held at such a rank.
    fn reaches_engines(&self) -> bool {
        let is_needed = self.controller.must_reach_all() || !self.is_serving;
        is_needed && self.last_round.views.iter().any(Option::is_none)
    }

    /// Sends a request to each known rank. Returns the responses by rank, `None` where none arrived.
    async fn request_all(&self, orders: &[(usize, SentOrder)]) -> Vec<Option<AgentResponse>> {
        let reaches_engines = self.reaches_engines();
        let sampled =
            if self.is_sampling_due() { self.members.sampled_ranks(MAX_SAMPLED_RANKS) } else { BTreeSet::new() };
        let requests = self.members.iter().map(|(rank, member)| {
            let request = LeaderRequest { wants_counts: sampled.contains(&rank), ..self.request_for(rank, orders) };
            let message = self.sent_map.with_delta(&request, member.known_map_version);
            let rank_request = RankRequest { message, orders: request.orders, concurrent_requests: self.members.size };
            let engine = reaches_engines.then(|| self.engine_factory.client_at(member.engine.addr));
            async move { (rank, send_to_rank(Rc::clone(&member.agent), rank_request, engine).await) }
        });
        let mut responses: Vec<Option<AgentResponse>> = (0..self.members.size).map(|_| None).collect();
        for (rank, response) in join_all(requests).await {
            if let Some(slot) = responses.get_mut(rank) {
                *slot = response;
            }
        }
        responses
    }

    /// A request that only renews the grant.
    pub(super) const fn renewal_request(&self) -> LeaderRequest {
        LeaderRequest {
            leader: self.id,
            lease_ms: self.settings.lease_ms,
            orders: Vec::new(),
            map_delta: None,
            wants_counts: false,
            wants_held_experts: false,
            releases_grant: false,
        }
    }

    /// The request to one rank, with those of `orders` that are for this rank.
    pub(super) fn request_for(&self, rank: usize, orders: &[(usize, SentOrder)]) -> LeaderRequest {
        LeaderRequest {
            orders: orders.iter().filter(|(to, _)| *to == rank).map(|(_, order)| order.clone()).collect(),
            wants_held_experts: !self.knows_current_map(),
            ..self.renewal_request()
        }
    }

    /// Whether to request selection counts in this round. While experts are copied, rounds are more frequent than
    /// counts are useful. In the other phases of a change, such as while a step is held, rounds
    /// should be short; the counts from that time are read afterwards.
    fn is_sampling_due(&self) -> bool {
        let is_due = self.now_ms() >= self.counts_requested_ms + self.settings.round_ms;
        !self.controller.is_busy() || (self.controller.is_copying() && is_due)
    }

    fn knows_current_map(&self) -> bool {
        let view = self.last_round.views.iter().flatten().next();
        view.is_some_and(|view| self.controller.knows_map_of(view))
    }

    /// Processes the responses. Returns the leader that holds a grant in place of this one, if a response
    /// names one.
    fn process_responses(
        &mut self,
        responses: Vec<Option<AgentResponse>>,
        orders: &[(usize, SentOrder)],
        sent_ms: u64,
    ) -> Option<LeaderId> {
        self.other_holders.clear();
        let mut round = Round { views: vec![None; responses.len()], outcomes: Vec::new() };
        let mut selections: Vec<f64> = Vec::new();
        let mut held_experts: Vec<Option<HeldExperts>> = vec![None; responses.len()];
        for (rank, response) in responses.into_iter().enumerate() {
            let Some(response) = response else { continue };
            self.leadership.on_answer(rank, response.granted, sent_ms);
            self.other_holders.extend(response.holder);
            self.members.record_known_map(rank, response.known_map_version);
            round.views[rank] = response.view.filter(|view| self.members.matches_view(rank, view));
            let sent = orders.iter().filter(|(to, _)| *to == rank);
            round
                .outcomes
                .extend(sent.zip(response.outcomes).map(|((to, order), outcome)| (*to, order.clone(), outcome)));
            held_experts[rank] = response.held_experts;
            if response.selection_counts.is_some_and(|counts| !counts.add_to(&mut selections)) {
                log::warn!("event=selection_counts_invalid group={} rank={rank}", self.members.group);
            }
        }
        self.apply_held_experts(&held_experts);
        self.record_demand(&selections);
        self.last_round = round;
        self.other_holders.first().copied()
    }
}
