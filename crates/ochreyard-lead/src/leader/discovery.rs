//! Discovers ranks whose agents are not known, concurrently with the rounds.

use std::cell::RefCell;
use std::rc::Rc;

use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;
use crate::engine_location::EngineLocation;
use crate::rank_discovery::{DiscoveredRank, discover_ranks};

/// Least interval between the starts of searches, in milliseconds: each search queries every agent that may
/// belong to a missing rank. A leader that started while a data centre was partitioned knows none of
/// the ranks there. Until it has discovered all of them it changes no map, and the group runs with a
/// skew of three to four.
const MIN_SEARCH_INTERVAL_MS: u64 = 500;

/// The ranks that searches have discovered and the leader has not added yet, and the start of the last search.
#[derive(Default)]
pub struct Discovery {
    discovered: Rc<RefCell<Vec<DiscoveredRank>>>,
    search_started_ms: u64,
}

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Adds the discovered ranks to the members, and starts a search if the last round missed a rank.
    pub(super) fn discover_missing_ranks(&mut self) {
        let discovered = std::mem::take(&mut *self.discovery.discovered.borrow_mut());
        discovered.into_iter().for_each(|rank| self.members.add(rank));
        let now_ms = self.now_ms();
        let is_complete = self.last_round.views.iter().all(Option::is_some);
        if is_complete || now_ms < self.discovery.search_started_ms + MIN_SEARCH_INTERVAL_MS {
            return;
        }
        self.discovery.search_started_ms = now_ms;
        let engines = self.unknown_engines();
        if engines.is_empty() {
            return;
        }
        let (entry, discovered) = (Rc::clone(&self.entry), Rc::clone(&self.discovery.discovered));
        tokio::task::spawn_local(async move {
            let ranks = discover_ranks(&entry, engines).await;
            discovered.borrow_mut().extend(ranks);
        });
    }

    /// Engines that may be ranks of this group but are not known to be.
    fn unknown_engines(&self) -> Vec<EngineLocation> {
        let state = self.entry.state.borrow();
        let records = state.pool.possible_group_members(&self.service, &self.members.group);
        let engines = records.map(|record| EngineLocation::new(record, &self.entry.identity.data_centre));
        engines.filter(|engine| !self.members.has_engine(engine.addr)).collect()
    }
}
