//! Evacuations of data centres: from the platform's log, and from other boxes.

use std::collections::BTreeSet;

use ochreyard_core::direct::{EvacuationUpdate, Position};

use crate::dialect::{Dialect, OperatorKey};
use crate::entry::{Entry, State};
use crate::keyed_log::{KeyedPage, KeyedRecord};

impl<D: Dialect> Entry<D> {
    /// Takes a whole listing of what operators wrote.
    pub fn take_operator_listing(&self, page: &KeyedPage) {
        self.take_operator_records(&page.records);
        let evacuated = page.records.iter().filter_map(|record| match self.dialect.operator_key(&record.key) {
            OperatorKey::Evacuation { data_centre } => Some(data_centre),
            OperatorKey::Config | OperatorKey::Unknown => None,
        });
        let listed: BTreeSet<&str> = evacuated.collect();
        let mut state = self.state.borrow_mut();
        state.evacuations.retain_listed(&listed, page.next);
        Self::follow_evacuations(&mut state, "listing");
    }

    /// Takes records that operators wrote.
    pub fn take_operator_records(&self, records: &[KeyedRecord]) {
        for record in records {
            match self.dialect.operator_key(&record.key) {
                OperatorKey::Config => {
                    if let Some(document) = &record.value {
                        self.take_config(document, "log");
                    }
                }
                OperatorKey::Evacuation { data_centre } => {
                    self.take_evacuation(data_centre, record.position, record.value.is_some());
                }
                OperatorKey::Unknown => log::warn!("event=operator_record_unknown key={:?}", record.key),
            }
        }
    }

    fn take_evacuation(&self, data_centre: &str, position: Position, is_in_force: bool) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        if state.evacuations.apply(data_centre, position, is_in_force, now_ms) {
            Self::follow_evacuations(&mut state, "log");
        }
    }

    /// Takes what another box tells of evacuations.
    pub fn take_evacuation_news(&self, news: &[EvacuationUpdate]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let is_news = news
            .iter()
            .filter(|told| state.evacuations.apply(&told.data_centre, told.position, told.is_in_force, now_ms));
        if is_news.count() > 0 {
            Self::follow_evacuations(&mut state, "box");
        }
    }

    /// Ends evacuations that the log lacks since it came back from an older copy, and that nobody wrote again.
    pub fn settle_evacuations(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        if state.evacuations.expire_missing(now_ms) {
            Self::follow_evacuations(&mut state, "not_written_again");
        }
    }

    fn follow_evacuations(state: &mut State, source: &str) {
        let State { evacuations, pool, .. } = state;
        if !pool.evacuated_data_centres().eq(evacuations.in_force()) {
            pool.set_evacuated_data_centres(evacuations.in_force());
            let evacuated: Vec<&str> = evacuations.in_force().collect();
            log::info!("event=data_centres_evacuated data_centres=\"{}\" source={source}", evacuated.join(","));
        }
    }
}
