//! Follows what operators write into the platform's log: the configuration, and evacuations of data centres.

use std::rc::Rc;

use ochreyard_core::direct::{Duty, RetryPauses};

use super::{record_log_result, resume_position};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedLogError, Topic};

/// How long a reading of the configuration waits for news in a box that reads for others. A
/// reading whose answer is lost ends after this and the time-out.
const READER_LONG_POLL_MS: u64 = 5_000;
/// How long it waits in a box that relays: each reading is a call to the log, and those that read tell of a newer
/// configuration meanwhile, several times a second.
const RELAY_LONG_POLL_MS: u64 = 25_000;

/// Follows what operators write; each reading waits for the next record. A box that is told by others does not read, but
/// where they tell it too little.
pub async fn follow_config<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut log_restores = entry.log_restores.subscribe();
    let mut pauses = RetryPauses::default();
    entry.wait_for_start_delay().await;
    'outage: loop {
        entry.wait_while_updated_by_peers().await;
        let start = log.newest(Topic::Config).await;
        let Some(page) = record_log_result(&entry, &log, start) else {
            tokio::time::sleep(entry.retry_delay(&mut pauses)).await;
            continue;
        };
        pauses.reset();
        let version = entry.config_version();
        entry.apply_operator_listing(&page);
        entry.broadcast_operator_update(version);
        let mut from = resume_position(&page);
        loop {
            let wait_ms = match entry.duty() {
                Duty::Reads => READER_LONG_POLL_MS,
                Duty::Relays => RELAY_LONG_POLL_MS,
                Duty::Told => {
                    tokio::time::sleep(entry.retry_delay(&mut pauses)).await;
                    continue 'outage;
                }
            };
            // A reading that began before an outage may never be answered, and is noticed seconds after the return.
            let reading = tokio::select! {
                reading = log.read(Topic::Config, from, wait_ms) => reading,
                () = entry.log_reachable_again.notified() => continue 'outage,
                _ = log_restores.changed() => {
                    entry.spread().await;
                    continue 'outage;
                }
            };
            match reading {
                Err(KeyedLogError::Gone { first }) if first.era == from.era && first > from => from = first,
                result => {
                    let Some(page) = record_log_result(&entry, &log, result) else { break };
                    if page.next.era != from.era {
                        continue 'outage;
                    }
                    let version = entry.config_version();
                    entry.apply_operator_records(&page.records);
                    if !page.records.is_empty() {
                        entry.broadcast_operator_update(version);
                    }
                    from = page.next;
                }
            }
        }
        tokio::time::sleep(entry.retry_delay(&mut pauses)).await;
    }
}
