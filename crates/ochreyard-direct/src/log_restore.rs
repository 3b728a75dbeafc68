//! What an entry does when the platform's log has been restored from an older copy.

use std::time::Duration;

use ochreyard_core::direct::ReadRole;

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;

/// Time over which all boxes spread their reads of the log after it was restored, in milliseconds. A few hundred boxes
/// with a handful of calls each stay within the capacity of the log, and records have two seconds to return.
const RESTORE_READ_JITTER_MS: u64 = 400;

impl<D: Dialect> Entry<D> {
    /// Records the era of the platform's log, as named by the log or by another box. A later era than the known one
    /// means that the log was restored from an older copy: everything that was read and written has to be read and
    /// written again.
    pub fn record_log_era(&self, era: u64, source: &str) {
        let mut state = self.state.borrow_mut();
        if state.era.is_some_and(|known| known >= era) {
            return;
        }
        let before = state.era.replace(era);
        let now_ms = self.clock.now_ms();
        state.catalog.on_log_restored(era, before.map(|_| now_ms));
        state.evacuations.on_log_restored(era, now_ms);
        let Some(before) = before else { return };
        let next = state.log_progress.next_position().unwrap_or_default();
        log::warn!("event=log_came_back era={era} before={before} read_up_to={next} source={source}");
        drop(state);
        meters::on_log_restored();
        self.log_restores.send_modify(|log_restores| *log_restores += 1);
    }

    /// Waits for a random part of the time over which all boxes read the log again, which bounds the calls per second.
    /// Boxes that read for others do not wait.
    pub async fn wait_restore_jitter(&self) {
        let is_reader = self.read_role() == ReadRole::Reader;
        let pause_ms = if is_reader { 0 } else { self.next_random() % RESTORE_READ_JITTER_MS };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
