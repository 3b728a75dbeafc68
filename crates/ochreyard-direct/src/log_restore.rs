//! What an entry does where the platform's log has come back from an older copy.

use std::time::Duration;

use ochreyard_core::direct::Duty;

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;

/// In which time all boxes read the platform's log again after it has come back from an older copy, in milliseconds: a few
/// hundred boxes with a handful of calls each stay within what it takes, and records have two seconds to come back.
const RESTORE_READ_JITTER_MS: u64 = 400;

impl<D: Dialect> Entry<D> {
    /// Notes the era that the platform's log names, or that another box has read in. A later one than is known says that the
    /// log has come back from an older copy: all that was read and written is to be read and written again.
    pub fn record_log_era(&self, era: u64, source: &str) {
        let mut state = self.state.borrow_mut();
        if state.era.is_some_and(|known| known >= era) {
            return;
        }
        let before = state.era.replace(era);
        let now_ms = self.clock.now_ms();
        state.catalog.on_return(era, before.map(|_| now_ms));
        state.evacuations.on_return(era, now_ms);
        let Some(before) = before else { return };
        let next = state.reading.next().unwrap_or_default();
        log::warn!("event=log_came_back era={era} before={before} read_up_to={next} source={source}");
        drop(state);
        meters::on_log_restored();
        self.log_restores.send_modify(|log_restores| *log_restores += 1);
    }

    /// Waits for a part of the time in which all boxes read the log again, a different one each time: it takes a bounded
    /// number of calls a second. Boxes that read for others do not wait.
    pub async fn spread(&self) {
        let is_reader = self.duty() == Duty::Reads;
        let pause_ms = if is_reader { 0 } else { self.next_random() % RESTORE_READ_JITTER_MS };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
