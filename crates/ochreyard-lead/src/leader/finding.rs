//! Finds ranks whose agents are not known, beside the rounds.

use std::cell::RefCell;
use std::rc::Rc;

use ochreyard_direct::Dialect;
use ochreyard_rank::Engines;

use super::Leader;
use crate::found_rank::{FoundRank, look_at};

/// Least pause between searches, in milliseconds: each asks every agent that may be the one.
const FIND_EVERY_MS: u64 = 2_000;

/// What a search has found, and when the last one began.
#[derive(Default)]
pub struct Finding {
    found: Rc<RefCell<Vec<FoundRank>>>,
    begun_ms: u64,
}

impl<D: Dialect, S: Engines> Leader<D, S> {
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
        let name = &self.members.group;
        let addrs = self.entry.state.borrow().pool.addrs_outside_other_groups(&self.service, name);
        let unknown: Vec<_> = addrs.into_iter().filter(|addr| !self.members.has_engine(*addr)).collect();
        if unknown.is_empty() {
            return;
        }
        let (entry, found) = (Rc::clone(&self.entry), Rc::clone(&self.finding.found));
        tokio::task::spawn_local(async move {
            let looked = look_at(&entry, unknown).await;
            found.borrow_mut().extend(looked);
        });
    }
}
