//! Follows the records that operators write into the platform's log: the configuration, and evacuations of data
//! centres.

use std::rc::Rc;

use ochreyard_core::direct::{LogRetryBackoff, ReadRole};

use super::{call_log, record_log_result, resume_position};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedLogError, Topic};

/// How long a read of the configuration waits for new records in a box that reads for others. A read whose answer is
/// lost ends after this and the request timeout, and only then does the box learn of changes since.
const READER_LONG_POLL_MS: u64 = 1_500;
/// How long it waits in a relaying box. Each read is a call to the log, and the reading boxes send a newer
/// configuration in the meantime, several times a second.
const RELAY_LONG_POLL_MS: u64 = 25_000;

/// Follows the operators' records with long polls. A box that others keep current reads only if they send it too
/// little.
pub async fn follow_config<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut log_restores = entry.log_restores.subscribe();
    let mut retry_backoff = LogRetryBackoff::default();
    entry.wait_for_start_delay().await;
    'outage: loop {
        tokio::select! {
            () = entry.wait_while_updated_by_peers() => {}
            () = entry.config_read_due.notified() => {}
        }
        let Some(page) = call_log(&entry, &log, log.newest(Topic::Config)).await else {
            tokio::time::sleep(entry.retry_delay(&mut retry_backoff)).await;
            continue;
        };
        retry_backoff.reset();
        let version = entry.config_version();
        entry.apply_operator_listing(&page);
        entry.broadcast_operator_update(version);
        let mut from = resume_position(&page);
        loop {
            let wait_ms = match entry.read_role() {
                ReadRole::Reader => READER_LONG_POLL_MS,
                ReadRole::Relay => RELAY_LONG_POLL_MS,
                ReadRole::Follower => {
                    let delay = entry.retry_delay(&mut retry_backoff);
                    if tokio::time::timeout(delay, entry.config_read_due.notified()).await.is_ok() {
                        // The next wait would miss it.
                        entry.config_read_due.notify_one();
                    }
                    continue 'outage;
                }
            };
            // A read that began before an outage may never be answered, which is noticed only seconds after the log is
            // reachable again.
            let asked_ms = entry.clock.now_ms();
            let result = tokio::select! {
                result = log.read(Topic::Config, from, wait_ms) => result,
                () = entry.log_reachable_again.notified() => continue 'outage,
                _ = log_restores.changed() => {
                    entry.wait_restore_jitter().await;
                    continue 'outage;
                }
            };
            match result {
                Err(KeyedLogError::Gone { first }) if first.era == from.era && first > from => from = first,
                result => {
                    let Some(page) = record_log_result(&entry, &log, asked_ms, result) else { break };
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
        tokio::time::sleep(entry.retry_delay(&mut retry_backoff)).await;
    }
}
