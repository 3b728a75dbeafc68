//! Rate limits of endpoints, and the shares that this box has of them.

use ochreyard_core::direct::{EndpointLimit, LimitUpdate, Pick, SharingBoxes};

use crate::dialect::Dialect;
use crate::entry::{Entry, State};

impl<D: Dialect> Entry<D> {
    /// Applies endpoint limits from another box.
    pub fn apply_limit_update(&self, update: &LimitUpdate) {
        if update.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let changed = self.state.borrow_mut().pool.apply_limit_update(update, now_ms);
        self.log_limits(&changed, "box");
    }

    /// Logs limits that became known, with this box's share of each.
    pub fn log_limits(&self, limits: &[EndpointLimit], source: &str) {
        let state = self.state.borrow();
        for reported in limits {
            let pick =
                state.pool.record(&reported.endpoint).map(|record| Pick::from_record(&reported.endpoint, record));
            let Some(limit) = pick.and_then(|pick| state.pool.limit(&pick)) else { continue };
            let share = limit.share().map(|share| format!("{} in {} ms", share.count, share.window_ms));
            log::info!(
                "event=endpoint_limit endpoint={} limit_per_s={} age_ms={} share=\"{}\" rank={} boxes={} source={source}",
                reported.endpoint,
                reported.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
                reported.age_ms,
                share.as_deref().unwrap_or("all"),
                limit.share_rank().rank,
                limit.share_rank().boxes
            );
        }
    }

    /// Records that the complete list of boxes was seen, so that limits and budgets are divided among the known boxes.
    pub fn mark_box_list_complete(&self) {
        let mut state = self.state.borrow_mut();
        if !std::mem::replace(&mut state.knows_all_boxes, true) {
            self.redistribute_shares(&mut state);
            log::info!("event=all_boxes_known boxes={}", state.boxes.len() + 1);
        }
    }

    /// Divides limits and budgets among all boxes again, after the list of boxes changed.
    pub(crate) fn redistribute_shares(&self, state: &mut State) {
        let names = state.boxes.iter().map(|(name, _)| name);
        let sharing_boxes = SharingBoxes::new(&self.identity.name, names, state.knows_all_boxes);
        state.budget.set_boxes(sharing_boxes.count(), self.clock.now_ms());
        state.pool.set_sharing_boxes(sharing_boxes);
    }
}
