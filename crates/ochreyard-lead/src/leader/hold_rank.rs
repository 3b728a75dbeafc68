//! What a leader does at the rank of its holds between rounds: one agent answers sooner
//! than all.

use std::rc::Rc;

use ochreyard_core::group_map::SentOrder;
use ochreyard_direct::Dialect;
use ochreyard_rank::{Engines, Told};

use super::Leader;
use crate::questions::ask_agent;

impl<D: Dialect, S: Engines> Leader<D, S> {
    /// Reads that rank once more: a hold is placed a few steps ahead of the newest one
    /// known, and the answers of a large group take about as long as a step.
    pub(super) async fn look_at_hold_rank(&mut self) {
        self.ask_hold_rank(&[]).await;
    }

    /// Places the hold, and goes on with its confirmation.
    pub(super) async fn place_hold(&mut self) {
        let rank = self.controller.hold_rank();
        let mut orders = std::mem::take(&mut self.pending);
        // A hold is placed at one rank; an order for another one would need a round.
        orders.retain(|(to, _)| *to == rank);
        let told = self.ask_hold_rank(&orders).await;
        let sent = orders.into_iter().zip(told.outcomes);
        self.last_round.outcomes = sent.map(|((rank, order), outcome)| (rank, order, outcome)).collect();
        self.decide().await;
    }

    /// Asks that rank alone, and takes its view.
    async fn ask_hold_rank(&mut self, orders: &[(usize, SentOrder)]) -> Told {
        let rank = self.controller.hold_rank();
        let Some(member) = self.members.get(rank) else { return Told::default() };
        let ask = self.ask_for(rank, orders);
        let told = ask_agent(Rc::clone(&member.link), ask, 1).await.unwrap_or_default();
        if let Some(place) = self.last_round.views.get_mut(rank) {
            *place = told.view.clone().filter(|view| self.members.fits(rank, view));
        }
        told
    }
}
