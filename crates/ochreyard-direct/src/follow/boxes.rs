//! Follows the list of our own boxes in the platform's log.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{Duty, RetryPauses};

use super::record_log_result;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, Topic};

/// How often the list of our own boxes is read by those boxes that read for others.
const READ_INTERVAL: Duration = Duration::from_secs(8);
/// How often those read it that relay: they are told of new boxes by those that read.
const RELAY_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Writes this box into the list of our own boxes, and reads who else is there. A box that is told by others does neither:
/// whomever it asks learns of it, and tells others.
pub async fn follow_boxes<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut log_restores = entry.log_restores.subscribe();
    let mut is_registered = false;
    let mut pauses = RetryPauses::default();
    entry.wait_for_start_delay().await;
    loop {
        entry.wait_while_updated_by_peers().await;
        if !is_registered {
            let record = serde_json::to_vec(&entry.identity.record).unwrap_or_default();
            let written = log.append(Topic::Boxes, &entry.identity.name, &record).await;
            is_registered = record_log_result(&entry, &log, written).is_some();
        }
        let page = record_log_result(&entry, &log, log.newest(Topic::Boxes).await);
        for record in page.iter().flat_map(|page| &page.records) {
            let Some(value) = &record.value else { continue };
            match serde_json::from_slice(value) {
                Ok(told) => entry.upsert_box(&record.key, told),
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
            pauses.reset();
        }
        let pause = match entry.duty() {
            _ if page.is_none() || !is_registered => entry.retry_delay(&mut pauses),
            Duty::Reads => READ_INTERVAL,
            Duty::Relays | Duty::Told => RELAY_READ_INTERVAL,
        };
        if tokio::time::timeout(pause, log_restores.changed()).await.is_ok() {
            // What the log had acknowledged is gone: this box may be in its list no more.
            is_registered = false;
            entry.spread().await;
        }
    }
}
