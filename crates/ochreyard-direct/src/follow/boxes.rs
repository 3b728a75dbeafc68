//! Registers this box in the platform's log, and reads the list of boxes from it.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{LogRetryBackoff, ReadRole};

use super::record_log_result;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, Topic};

/// Interval at which boxes that read for others read the list of boxes.
const READ_INTERVAL: Duration = Duration::from_secs(8);
/// Interval for relaying boxes: the reading boxes send them new boxes in between.
const RELAY_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Writes the record of this box into the log, and reads the records of the others. A box that others keep current does
/// neither: each box that it polls learns of it, and tells others.
pub async fn follow_boxes<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut log_restores = entry.log_restores.subscribe();
    let mut is_registered = false;
    let mut retry_backoff = LogRetryBackoff::default();
    entry.wait_for_start_delay().await;
    loop {
        entry.wait_while_updated_by_peers().await;
        if !is_registered {
            let record = serde_json::to_vec(&entry.identity.record).unwrap_or_default();
            let result = log.append(Topic::Boxes, &entry.identity.name, &record).await;
            is_registered = record_log_result(&entry, &log, result).is_some();
        }
        let page = record_log_result(&entry, &log, log.newest(Topic::Boxes).await);
        for record in page.iter().flat_map(|page| &page.records) {
            let Some(value) = &record.value else { continue };
            match serde_json::from_slice(value) {
                Ok(box_record) => entry.upsert_box(&record.key, box_record),
                Err(error) => log::warn!("event=box_unreadable box={} error=\"{error}\"", record.key),
            }
        }
        if page.is_some() {
            entry.mark_box_list_complete();
        }
        if page.is_some() && entry.state.borrow().boxes.is_empty() {
            entry.has_initial_sync.set(true);
        }
        if page.is_some() && is_registered {
            retry_backoff.reset();
        }
        let pause = match entry.read_role() {
            _ if page.is_none() || !is_registered => entry.retry_delay(&mut retry_backoff),
            ReadRole::Reader => READ_INTERVAL,
            ReadRole::Relay | ReadRole::Follower => RELAY_READ_INTERVAL,
        };
        if tokio::time::timeout(pause, log_restores.changed()).await.is_ok() {
            // The log was restored from an older copy, which may lack the record of this box.
            is_registered = false;
            entry.wait_restore_jitter().await;
        }
    }
}
