//! What a leader does at its own rank between rounds: that takes no way to other boxes.

use ochreyard_core::group_map::RankView;
use ochreyard_direct::{Dialect, KeyedLog};

use super::Leader;
use crate::engine::Engines;

impl<D: Dialect, L: KeyedLog, S: Engines> Leader<D, L, S> {
    /// Reads the own rank once more: a hold is placed a few steps ahead of the newest
    /// one known, and the answers of a large group take about as long as a step.
    pub(super) async fn look_at_own_rank(&mut self, view: &RankView) {
        let own = self.agent.look().await;
        if let Some(place) = self.last_round.views.get_mut(view.rank) {
            *place = own;
        }
    }

    /// Places the hold at the own rank, and goes on with its confirmation: that takes a
    /// call on the own box, where a round takes the way to all others.
    pub(super) async fn hold_own_rank(&mut self, view: &RankView) {
        let mut orders = std::mem::take(&mut self.pending);
        // A hold is placed at one rank; an order for another one would need a round.
        orders.retain(|(rank, _)| *rank == view.rank);
        let told = self.agent.answer(&self.ask_for(view.rank, view, &orders)).await;
        let size = self.last_round.views.len();
        if let Some(place) = self.last_round.views.get_mut(view.rank) {
            *place = told.view.filter(|own| own.rank == view.rank && own.size == size);
        }
        let sent = orders.into_iter().zip(told.outcomes);
        self.last_round.outcomes = sent.map(|((rank, order), outcome)| (rank, order, outcome)).collect();
        self.decide();
    }
}
