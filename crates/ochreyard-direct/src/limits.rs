//! Limits of endpoints that other boxes tell of.

use ochreyard_core::direct::{LimitNews, Pick, Sharers, ToldLimit};

use crate::dialect::Dialect;
use crate::entry::{Entry, State};

impl<D: Dialect> Entry<D> {
    /// Takes what another box tells of limits of endpoints.
    pub fn apply_limit_update(&self, news: &LimitNews) {
        if news.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let taken = self.state.borrow_mut().pool.take_limit_news(news, now_ms);
        self.log_limits(&taken, "box");
    }

    /// Writes what became known of limits, with the part of it that this box has.
    pub fn log_limits(&self, limits: &[ToldLimit], source: &str) {
        let state = self.state.borrow();
        for told in limits {
            let pick = state.pool.record(&told.endpoint).map(|record| Pick::of(&told.endpoint, record));
            let Some(limit) = pick.and_then(|pick| state.pool.limit(&pick)) else { continue };
            let share = limit.share().map(|share| format!("{} in {} ms", share.count, share.window_ms));
            log::info!(
                "event=endpoint_limit endpoint={} limit_per_s={} age_ms={} share=\"{}\" rank={} boxes={} source={source}",
                told.endpoint,
                told.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
                told.age_ms,
                share.as_deref().unwrap_or("all"),
                limit.place().rank,
                limit.place().boxes
            );
        }
    }

    /// The whole list of boxes was seen: what is shared may be dealt among those that are known.
    pub fn mark_box_list_complete(&self) {
        let mut state = self.state.borrow_mut();
        if !std::mem::replace(&mut state.knows_all_boxes, true) {
            self.redistribute_shares(&mut state);
            log::info!("event=all_boxes_known boxes={}", state.boxes.len() + 1);
        }
    }

    /// What is shared by all boxes is dealt anew: others became known.
    pub(crate) fn redistribute_shares(&self, state: &mut State) {
        let names = state.boxes.iter().map(|(name, _)| name);
        let sharers = Sharers::new(&self.identity.name, names, state.knows_all_boxes);
        state.budget.set_boxes(sharers.count());
        state.pool.set_sharers(sharers);
    }
}
