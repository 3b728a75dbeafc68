//! Requests to the rank that places the holds, between rounds: one rank answers sooner than all of them.
//!
//! Holds and releases are sent directly to the engine instead of through its agent. A box that freezes right after
//! it sent such an order can then only be that of the leader, which another leader replaces within a second, and not the
//! box of the rank whose hold blocks the entire group.

use std::rc::Rc;

use ochreyard_core::group_map::{Order, OrderOutcome, SentOrder};
use ochreyard_direct::Dialect;
use ochreyard_rank::{EngineFactory, RankEngine};

use super::Leader;
use crate::rank_requests::send_to_agent;

/// Orders, each with the rank that it is for.
type RankOrders = Vec<(usize, SentOrder)>;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Reads the view of the hold rank again: a hold is placed a few steps after the newest known one, and a
    /// round over a large group takes about as long as a step.
    pub(super) async fn refresh_hold_rank(&mut self) {
        let rank = self.controller.hold_rank();
        let Some(member) = self.members.get(rank) else { return };
        let response = send_to_agent(Rc::clone(&member.agent), self.renewal_request(), 1).await;
        if let Some(slot) = self.last_round.views.get_mut(rank) {
            *slot = response.and_then(|response| response.view).filter(|view| self.members.matches_view(rank, view));
        }
    }

    /// Sends the order that places the hold, reads the hold rank's view again and decides what follows, without
    /// waiting for another round.
    pub(super) async fn place_hold(&mut self) {
        let orders = std::mem::take(&mut self.pending_orders);
        // A hold is placed at one rank; orders that go through agents would need a round.
        let (direct_orders, _) = split_direct_orders(orders);
        self.last_round.outcomes = self.send_direct_orders(direct_orders).await;
        self.refresh_hold_rank().await;
        self.decide().await;
    }

    /// Sends orders directly to the engines, and returns their outcomes.
    pub(super) async fn send_direct_orders(&self, orders: RankOrders) -> Vec<(usize, SentOrder, OrderOutcome)> {
        let mut outcomes = Vec::with_capacity(orders.len());
        for (rank, order) in orders {
            let Some(member) = self.members.get(rank) else { continue };
            let outcome = self.engine_factory.client_at(member.engine.addr).order(&order).await;
            outcomes.push((rank, order, outcome));
        }
        outcomes
    }
}

/// Splits orders into those that are sent directly to the engine and those that go through its agent.
pub(super) fn split_direct_orders(orders: RankOrders) -> (RankOrders, RankOrders) {
    orders.into_iter().partition(|(_, sent)| matches!(sent.order, Order::Hold { .. } | Order::Go { .. }))
}
