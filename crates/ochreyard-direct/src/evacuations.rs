//! Evacuations of data centres, as read from the platform's log or sent by other boxes.

use std::collections::BTreeSet;

use ochreyard_core::direct::{EvacuationUpdate, Position};

use crate::dialect::{Dialect, OperatorKey};
use crate::entry::{Entry, State};
use crate::keyed_log::{KeyedPage, KeyedRecord};
use crate::supervise::apply_record;

impl<D: Dialect> Entry<D> {
    /// Applies a complete listing of the operators' records.
    pub fn apply_operator_listing(&self, page: &KeyedPage) {
        self.apply_operator_records(&page.records);
        let evacuated = page.records.iter().filter_map(|record| match self.dialect.operator_key(&record.key) {
            OperatorKey::Evacuation { data_centre } => Some(data_centre),
            OperatorKey::Config | OperatorKey::Unknown => None,
        });
        let listed: BTreeSet<&str> = evacuated.collect();
        let mut state = self.state.borrow_mut();
        state.evacuations.retain_listed(&listed, page.next);
        Self::update_pool_evacuations(&mut state, "listing");
    }

    /// Applies records that operators wrote.
    pub fn apply_operator_records(&self, records: &[KeyedRecord]) {
        records.iter().for_each(|record| apply_record(&record.key, || self.apply_operator_record(record)));
    }

    fn apply_operator_record(&self, record: &KeyedRecord) {
        match self.dialect.operator_key(&record.key) {
            OperatorKey::Config => {
                if let Some(document) = &record.value {
                    self.apply_config(document, "log");
                }
            }
            OperatorKey::Evacuation { data_centre } => {
                self.apply_evacuation_record(data_centre, record.position, record.value.is_some());
            }
            OperatorKey::Unknown => log::warn!("event=operator_record_unknown key={:?}", record.key),
        }
    }

    fn apply_evacuation_record(&self, data_centre: &str, position: Position, is_in_force: bool) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        if state.evacuations.apply(data_centre, position, is_in_force, now_ms) {
            Self::update_pool_evacuations(&mut state, "log");
        }
    }

    /// Applies evacuations that another box sent.
    pub fn apply_evacuation_updates(&self, updates: &[EvacuationUpdate]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let changed = updates
            .iter()
            .filter(|update| state.evacuations.apply(&update.data_centre, update.position, update.is_in_force, now_ms));
        if changed.count() > 0 {
            Self::update_pool_evacuations(&mut state, "box");
        }
    }

    /// Ends evacuations that are missing from the log since it was restored from an older copy, and that nobody wrote
    /// again.
    pub fn expire_unconfirmed_evacuations(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        if state.evacuations.expire_missing(now_ms) {
            Self::update_pool_evacuations(&mut state, "not_written_again");
        }
    }

    fn update_pool_evacuations(state: &mut State, source: &str) {
        let State { evacuations, pool, .. } = state;
        if !pool.evacuated_data_centres().eq(evacuations.in_force()) {
            pool.set_evacuated_data_centres(evacuations.in_force());
            let evacuated: Vec<&str> = evacuations.in_force().collect();
            log::info!("event=data_centres_evacuated data_centres=\"{}\" source={source}", evacuated.join(","));
        }
    }
}
