//! Keeps the list of boxes in the platform's log, and reads it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{BoxRecord, LogRetryBackoff, ReadRole};

use super::call_log;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedPage, KeyedRecord, Topic};
use crate::supervise::apply_record;

/// Interval at which boxes that read for others read the list of boxes.
const READ_INTERVAL: Duration = Duration::from_secs(8);
/// The same after the list lacked boxes, since others may be joining.
const GROWING_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Interval for relaying boxes: the reading boxes send them new boxes in between.
const RELAY_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Reads the records of all boxes from the log, and adds those that it lacks. A box that others keep current does
/// neither: each box that it polls learns of it and tells others, and a reader adds its record. So a box that starts while
/// it can reach no other one finds all of them in the log.
pub async fn follow_boxes<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut log_restores = entry.log_restores.subscribe();
    let mut retry_backoff = LogRetryBackoff::default();
    entry.wait_for_start_delay().await;
    loop {
        entry.wait_while_updated_by_peers().await;
        let pause = match update_list(&entry, &log).await {
            Some(was_complete) => {
                retry_backoff.reset();
                match entry.read_role() {
                    ReadRole::Reader if was_complete => READ_INTERVAL,
                    ReadRole::Reader => GROWING_READ_INTERVAL,
                    ReadRole::Relay | ReadRole::Follower => RELAY_READ_INTERVAL,
                }
            }
            None => entry.retry_delay(&mut retry_backoff),
        };
        if tokio::time::timeout(pause, log_restores.changed()).await.is_ok() {
            // The log was restored from an older copy, which may lack boxes.
            entry.wait_restore_jitter().await;
        }
    }
}

/// Reads the list of boxes, and adds those that it lacks. Returns whether it lacked none, or `None` if the log failed.
async fn update_list<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> Option<bool> {
    let page = read_list(entry, log).await?;
    let unlisted = unlisted_boxes(entry, &page);
    let is_complete = unlisted.is_empty();
    let lacked_own = unlisted.iter().any(|(name, _)| *name == entry.identity.name);
    let is_reader = entry.read_role() == ReadRole::Reader;
    let added: Vec<_> =
        unlisted.into_iter().filter(|(name, _)| is_reader || *name == entry.identity.name).map(encode).collect();
    if !added.is_empty() {
        call_log(entry, log, log.append_all(Topic::Boxes, &added)).await?;
        log::info!("event=boxes_listed count={}", added.len());
    }
    if lacked_own {
        // Of boxes that start at the same moment, at least the last one to be listed finds the others now.
        read_list(entry, log).await?;
    }
    // While a fleet starts for the first time, its list lacks the boxes that have not written their record yet.
    if is_complete || entry.has_no_seeds.get() {
        entry.mark_box_list_complete();
    }
    if entry.state.borrow().boxes.is_empty() {
        entry.has_initial_sync.set(true);
    }
    Some(is_complete)
}

/// Reads the list of boxes and applies it; `None` if the log failed.
async fn read_list<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> Option<KeyedPage> {
    let page = call_log(entry, log, log.newest(Topic::Boxes)).await?;
    for KeyedRecord { key, value, .. } in &page.records {
        let Some(value) = value else { continue };
        match serde_json::from_slice(value) {
            Ok(box_record) => apply_record(key, || entry.upsert_box(key, box_record)),
            Err(error) => log::warn!("event=box_unreadable box={key} error=\"{error}\""),
        }
    }
    Some(page)
}

/// Returns the known boxes that the list lacks, and this box if the list has an older record of it.
fn unlisted_boxes<D: Dialect>(entry: &Entry<D>, page: &KeyedPage) -> Vec<(String, BoxRecord)> {
    let own = &entry.identity;
    let is_own_record = |record: &KeyedRecord| {
        let value = record.value.as_deref().unwrap_or_default();
        record.key == own.name && serde_json::from_slice::<BoxRecord>(value).is_ok_and(|listed| listed == own.record)
    };
    let is_own_listed = page.records.iter().any(is_own_record);
    let listed: BTreeSet<&str> = page.records.iter().map(|record| record.key.as_str()).collect();
    let state = entry.state.borrow();
    let others = state.boxes.iter().filter(|(name, _)| !listed.contains(name));
    let own_box = (!is_own_listed).then_some((own.name.as_str(), &own.record));
    others.chain(own_box).map(|(name, record)| (name.to_owned(), record.clone())).collect()
}

fn encode((name, record): (String, BoxRecord)) -> (String, Vec<u8>) {
    let value = serde_json::to_vec(&record).unwrap_or_default();
    (name, value)
}
