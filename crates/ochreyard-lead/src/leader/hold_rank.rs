//! What a leader does at the rank of its holds between rounds: one rank answers sooner
//! than all.
//!
//! Holds and releases go to the engine itself, not through its agent: a box that freezes
//! right after it gave an order can then be that of the leader, whom another one
//! follows within a second, and not that of the rank which holds up the whole group.

use std::rc::Rc;

use ochreyard_core::group_map::{Order, OrderOutcome, SentOrder};
use ochreyard_direct::Dialect;
use ochreyard_rank::{EngineFactory, RankEngine};

use super::Leader;
use crate::questions::ask_agent;

/// Orders by the rank that they are for.
type RankOrders = Vec<(usize, SentOrder)>;

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Reads that rank once more: a hold is placed a few steps ahead of the newest one
    /// known, and the answers of a large group take about as long as a step.
    pub(super) async fn look_at_hold_rank(&mut self) {
        let rank = self.controller.hold_rank();
        let Some(member) = self.members.get(rank) else { return };
        let told = ask_agent(Rc::clone(&member.link), self.plain_ask(), 1).await;
        if let Some(place) = self.last_round.views.get_mut(rank) {
            *place = told.and_then(|told| told.view).filter(|view| self.members.fits(rank, view));
        }
    }

    /// Places the hold, and goes on with its confirmation.
    pub(super) async fn place_hold(&mut self) {
        let orders = std::mem::take(&mut self.pending);
        // A hold is placed at one rank; an order for another one would need a round.
        let (direct, _) = split_direct(orders);
        self.last_round.outcomes = self.order_directly(direct).await;
        self.look_at_hold_rank().await;
        self.decide().await;
    }

    /// Gives orders to engines themselves, and says what became of them.
    pub(super) async fn order_directly(&self, orders: RankOrders) -> Vec<(usize, SentOrder, OrderOutcome)> {
        let mut outcomes = Vec::with_capacity(orders.len());
        for (rank, order) in orders {
            let Some(member) = self.members.get(rank) else { continue };
            let outcome = self.engines.client_at(member.engine.addr).order(&order).await;
            outcomes.push((rank, order, outcome));
        }
        outcomes
    }
}

/// Parts orders into those that go to the engine itself, and those that go through its agent.
pub(super) fn split_direct(orders: RankOrders) -> (RankOrders, RankOrders) {
    orders.into_iter().partition(|(_, sent)| matches!(sent.order, Order::Hold { .. } | Order::Go { .. }))
}
