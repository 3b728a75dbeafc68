//! Tells all entries of a group.
//!
//! A leader that told hundreds of boxes itself, several times a second, would spend
//! most of its link on it. So it tells about the square root of them, and each of
//! those passes the news on to as many others.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use ochreyard_core::direct::GroupNews;
use ochreyard_direct::{Dialect, Entry, ToldNews};

/// How often entries are told while nothing changes: a few times within the time
/// for which they believe it. In milliseconds.
const TELL_EVERY_MS: u64 = 300;
/// Up to this many boxes are told directly: passing on would save little.
const TOLD_DIRECTLY: usize = 12;
/// How long a box that took no news is not asked to pass them on, in milliseconds.
const PASSED_OVER_MS: u64 = 2_000;
/// Boxes of one share that are tried one after the other.
const TRIED_IN_TURN: usize = 3;

/// Tells entries of one group.
pub struct Teller<D> {
    entry: Rc<Entry<D>>,
    /// Until when boxes that took no news are passed over.
    passed_over_until_ms: Rc<RefCell<BTreeMap<SocketAddr, u64>>>,
    told_ms: u64,
    told_serving: Option<bool>,
}

impl<D: Dialect> Teller<D> {
    /// A teller that has told nothing yet.
    pub fn new(entry: Rc<Entry<D>>) -> Self {
        Self { entry, passed_over_until_ms: Rc::default(), told_ms: 0, told_serving: None }
    }

    /// Whether entries should be told now.
    pub fn is_due(&self, is_serving: bool, now_ms: u64) -> bool {
        self.told_serving != Some(is_serving) || now_ms >= self.told_ms + TELL_EVERY_MS
    }

    /// Tells all entries, without waiting for them. Says whether it is news that
    /// the group goes on, or does not.
    pub fn tell(&mut self, news: &GroupNews) -> bool {
        let now_ms = self.entry.clock.now_ms();
        self.told_ms = now_ms;
        let is_change = self.told_serving.replace(news.is_serving) != Some(news.is_serving);
        self.entry.take_group_news(news);
        let mut boxes: Vec<SocketAddr> = self.entry.state.borrow().boxes.addrs().collect();
        // Boxes of one data centre have addresses alike, so most news are passed on within it.
        boxes.sort_unstable();
        boxes.dedup();
        for share in boxes.chunks(share_size(boxes.len())) {
            self.tell_share(self.in_order(share, now_ms), news.clone());
        }
        is_change
    }

    /// The boxes of a share, those first that take news.
    fn in_order(&self, share: &[SocketAddr], now_ms: u64) -> Vec<SocketAddr> {
        let passed_over = self.passed_over_until_ms.borrow();
        let is_passed_over = |addr: &SocketAddr| passed_over.get(addr).is_some_and(|until_ms| now_ms < *until_ms);
        let mut share = share.to_vec();
        share.sort_by_key(is_passed_over);
        share
    }

    /// Tells the first box of a share that takes the news, and lets it tell the others.
    fn tell_share(&self, share: Vec<SocketAddr>, news: GroupNews) {
        let (entry, passed_over) = (Rc::clone(&self.entry), Rc::clone(&self.passed_over_until_ms));
        tokio::task::spawn_local(async move {
            let mut told = ToldNews { news, pass_on: share };
            for _ in 0..TRIED_IN_TURN.min(told.pass_on.len()) {
                let first = told.pass_on.remove(0);
                let Err(error) = told.tell(&entry.link(first)).await else {
                    passed_over.borrow_mut().remove(&first);
                    return;
                };
                log::debug!("event=box_not_told addr={first} error=\"{error}\"");
                passed_over.borrow_mut().insert(first, entry.clock.now_ms() + PASSED_OVER_MS);
            }
        });
    }
}

/// Boxes that are told by one of them: the root of all, so that the leader tells no more
/// boxes than each of those passes news on to.
const fn share_size(boxes: usize) -> usize {
    if boxes <= TOLD_DIRECTLY { 1 } else { boxes.isqrt() }
}
