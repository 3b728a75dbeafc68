//! Tells all entries of a group.

use std::rc::Rc;

use ochreyard_core::direct::GroupNews;
use ochreyard_direct::{Dialect, Entry, tell_all};

/// How often entries are told while nothing changes: a few times within the time
/// for which they believe it. In milliseconds.
const TELL_EVERY_MS: u64 = 300;

/// Tells entries of one group.
pub struct Teller<D> {
    entry: Rc<Entry<D>>,
    told_ms: u64,
    told_serving: Option<bool>,
}

impl<D: Dialect> Teller<D> {
    /// A teller that has told nothing yet.
    pub const fn new(entry: Rc<Entry<D>>) -> Self {
        Self { entry, told_ms: 0, told_serving: None }
    }

    /// Whether entries should be told now.
    pub fn is_due(&self, is_serving: bool, now_ms: u64) -> bool {
        self.told_serving != Some(is_serving) || now_ms >= self.told_ms + TELL_EVERY_MS
    }

    /// Tells all entries, without waiting for them. Says whether it is news that
    /// the group goes on, or does not.
    pub fn tell(&mut self, news: &GroupNews) -> bool {
        self.told_ms = self.entry.clock.now_ms();
        let is_change = self.told_serving.replace(news.is_serving) != Some(news.is_serving);
        self.entry.take_group_news(news);
        tell_all(&self.entry, news);
        is_change
    }
}
