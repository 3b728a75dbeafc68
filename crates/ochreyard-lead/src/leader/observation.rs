//! Watches a group that cannot be led from here, without any grant.

use futures::future::join_all;
use ochreyard_core::direct::ReporterRole;
use ochreyard_core::group_map::Round;
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;
use crate::found_rank::look;

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Looks at all known ranks once, and tells entries what they show. Gives how many were
    /// reached; `None` where somebody leads the group, or nobody was reached.
    pub(super) async fn observe(&mut self) -> Option<usize> {
        let asked = self.members.iter().map(|(rank, member)| async move { (rank, look(&member.link).await) });
        let mut views = vec![None; self.members.size];
        for (rank, looked) in join_all(asked).await {
            let Some(looked) = looked else { continue };
            if looked.holder.is_some() {
                return None;
            }
            if let Some(place) = views.get_mut(rank) {
                *place = looked.view.filter(|view| self.members.fits(rank, view));
            }
        }
        self.last_round = Round { views, outcomes: Vec::new() };
        self.find_missing();
        let reached = self.last_round.views.iter().flatten().count();
        if reached == 0 {
            return None;
        }
        self.tell_entries(ReporterRole::Observes);
        Some(reached)
    }
}
