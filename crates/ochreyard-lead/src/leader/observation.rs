//! Observes a group that this entry cannot lead, without any grant.

use futures::future::join_all;
use ochreyard_core::direct::ReporterRole;
use ochreyard_core::group_map::Round;
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;
use crate::rank_discovery::query_status;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Queries all known ranks once, and reports the result to the entries. Returns how many ranks were
    /// reached; `None` if another entry leads the group or no rank was reached.
    pub(super) async fn observe(&mut self) -> Option<usize> {
        let queries =
            self.members.iter().map(|(rank, member)| async move { (rank, query_status(&member.agent).await) });
        let mut views = vec![None; self.members.size];
        for (rank, status) in join_all(queries).await {
            let Some(status) = status else { continue };
            if status.holder.is_some() {
                return None;
            }
            if let Some(slot) = views.get_mut(rank) {
                *slot = status.view.filter(|view| self.members.matches_view(rank, view));
            }
        }
        self.last_round = Round { views, outcomes: Vec::new() };
        self.discover_missing_ranks();
        let reached = self.last_round.views.iter().flatten().count();
        if reached == 0 {
            return None;
        }
        self.report_if_due(ReporterRole::Observes);
        Some(reached)
    }
}
