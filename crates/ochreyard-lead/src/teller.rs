//! Tells all entries of a group.

use std::rc::Rc;

use ochreyard_core::direct::{GroupUpdate, RosterLoads};
use ochreyard_direct::{Dialect, Entry, broadcast};

/// How often entries are told while nothing changes: a few times within the time
/// for which they believe it. In milliseconds.
const TELL_EVERY_MS: u64 = 300;
/// How often they are told the names of the ranks, too: some may have missed them. In milliseconds.
const NAME_EVERY_MS: u64 = 3_000;

/// Tells entries of one group.
pub struct Teller<D> {
    entry: Rc<Entry<D>>,
    told_ms: u64,
    told_serving: Option<bool>,
    named: Option<Named>,
}

/// When the names of the ranks were last told, which, and to how many boxes.
struct Named {
    at_ms: u64,
    roster: u64,
    boxes: usize,
}

impl<D: Dialect> Teller<D> {
    /// A teller that has told nothing yet.
    pub const fn new(entry: Rc<Entry<D>>) -> Self {
        Self { entry, told_ms: 0, told_serving: None, named: None }
    }

    /// Whether entries should be told now.
    pub fn is_due(&self, is_serving: bool, now_ms: u64) -> bool {
        self.told_serving != Some(is_serving) || now_ms >= self.told_ms + TELL_EVERY_MS
    }

    /// Tells all entries, without waiting for them. Says whether it is news that
    /// the group goes on, or does not.
    pub fn tell(&mut self, news: &GroupUpdate) -> bool {
        self.told_ms = self.entry.clock.now_ms();
        let is_change = self.told_serving.replace(news.is_serving) != Some(news.is_serving);
        self.entry.apply_group_update(news);
        if is_change || self.must_name(news) {
            broadcast(&self.entry, news);
        } else {
            broadcast(&self.entry, &news.without_names());
        }
        is_change
    }

    /// Whether entries must be told the names of the ranks; they then count as told.
    fn must_name(&mut self, news: &GroupUpdate) -> bool {
        let at_ms = self.told_ms;
        let roster = RosterLoads::of(&news.ranks).roster;
        let boxes = self.entry.state.borrow().boxes.learned_count();
        let is_known =
            |named: &Named| named.roster == roster && named.boxes == boxes && at_ms < named.at_ms + NAME_EVERY_MS;
        if self.named.as_ref().is_some_and(is_known) {
            return false;
        }
        self.named = Some(Named { at_ms, roster, boxes });
        true
    }
}
