//! When an agent asks to lead, and how it gives the lead back.

use futures::future::join_all;
use ochreyard_direct::{Dialect, KeyedLog, Topic};

use super::Leader;
use super::questions::ask_agent;
use crate::engine::Engines;
use crate::message::Ask;

/// How much longer each rank waits before it asks to lead, in milliseconds: the lowest
/// goes first, and its questions should arrive before the next one asks.
const RANK_STAGGER_MS: u64 = 60;

impl<D: Dialect, L: KeyedLog, S: Engines> Leader<D, L, S> {
    /// Whether nobody leads, and it is this rank's turn to ask.
    pub(super) async fn may_lead(&mut self) -> bool {
        let Some(view) = self.agent.last_view() else {
            self.agent.look().await;
            return false;
        };
        if self.agent.is_led_by_other(&self.me(&view)) {
            self.leaderless_since_ms = None;
            return false;
        }
        let now_ms = self.agent.clock.now_ms();
        if now_ms < self.waits_until_ms {
            return false;
        }
        let since_ms = *self.leaderless_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + view.rank as u64 * RANK_STAGGER_MS {
            return false;
        }
        self.read_figures().await;
        self.figures.is_some()
    }

    async fn read_figures(&mut self) {
        let page = match self.log.newest(Topic::Config).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=figures_unread error=\"{error}\"");
                return;
            }
        };
        for document in page.records.iter().filter_map(|record| record.value.as_ref()) {
            let Ok(table) = self.dialect.read_config(document) else { continue };
            let figures = table.service(&self.service).and_then(|service| service.engine);
            self.figures = figures.filter(|figures| figures.sets > 0).or(self.figures);
        }
    }

    pub(super) async fn stand_down(&mut self) {
        self.leadership.clear();
        self.pending.clear();
        self.leaderless_since_ms = None;
        // Leaves the others a lease to agree on one of them.
        self.waits_until_ms = self.agent.clock.now_ms() + self.settings.lease_ms;
        let Some(view) = self.agent.last_view() else { return };
        // Whoever is granted more than we are should not wait for our grants to run out.
        let ask = Ask {
            leader: self.me(&view),
            group: view.group,
            orders: Vec::new(),
            map_change: None,
            wants_counts: false,
            wants_lists: false,
            releases: true,
        };
        self.agent.answer(&ask).await;
        join_all(self.members.links().into_iter().map(|link| ask_agent(link, ask.clone(), 1))).await;
    }
}
