//! Finds ranks whose agents are not known, beside the rounds.

use std::cell::RefCell;
use std::rc::Rc;

use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;
use crate::engine_at::EngineAt;
use crate::found_rank::{FoundRank, look_at};

/// Least pause between searches, in milliseconds: each asks every agent that may be the one.
/// A leader that began while a data centre was cut off knows none of the ranks there, and
/// until it has found them all it changes no map: the group runs with a skew of three to four.
const FIND_EVERY_MS: u64 = 500;

/// What a search has found, and when the last one began.
#[derive(Default)]
pub struct Finding {
    found: Rc<RefCell<Vec<FoundRank>>>,
    begun_ms: u64,
}

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Takes ranks that were found, and begins a search where one is missing.
    pub(super) fn find_missing(&mut self) {
        let found = std::mem::take(&mut *self.finding.found.borrow_mut());
        found.into_iter().for_each(|rank| self.members.note(rank));
        let now_ms = self.now_ms();
        let is_whole = self.last_round.views.iter().all(Option::is_some);
        if is_whole || now_ms < self.finding.begun_ms + FIND_EVERY_MS {
            return;
        }
        self.finding.begun_ms = now_ms;
        let unknown = self.unknown_engines();
        if unknown.is_empty() {
            return;
        }
        let (entry, found) = (Rc::clone(&self.entry), Rc::clone(&self.finding.found));
        tokio::task::spawn_local(async move {
            let looked = look_at(&entry, unknown).await;
            found.borrow_mut().extend(looked);
        });
    }

    /// Engines that may be ranks of this group, and are not known as such.
    fn unknown_engines(&self) -> Vec<EngineAt> {
        let state = self.entry.state.borrow();
        let records = state.pool.possible_group_members(&self.service, &self.members.group);
        let engines = records.map(|record| EngineAt::new(record, &self.entry.identity.data_centre));
        engines.filter(|engine| !self.members.has_engine(engine.addr)).collect()
    }
}
