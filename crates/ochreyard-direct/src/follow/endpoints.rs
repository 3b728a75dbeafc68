//! Follows the endpoint records in the platform's log, for this box or for all others.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{LogRetryBackoff, ReadRole};

use super::{call_log, resume_position};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedRecord, Topic};
use crate::peers::PeerEndpoint;
use crate::supervise::apply_record;

/// How often, within a pause between reads, a box that others keep current checks whether its state has become too old.
const CHECKS_PER_PAUSE: u32 = 4;

/// Reads the endpoint records periodically, unless another box has sent them in the meantime. All endpoints together
/// write several times a second, so a long poll for the next record would return at once.
pub async fn follow_endpoints<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut log_restores = entry.log_restores.subscribe();
    let mut retry_backoff = LogRetryBackoff::default();
    entry.wait_for_start_delay().await;
    // Endpoints that another box sent at the start need not be listed.
    let mut is_listed = entry.is_updated_by_peers() && !entry.is_seed.get();
    loop {
        log_restores.mark_unchanged();
        let was_restored = || log_restores.has_changed().unwrap_or(false);
        if is_listed || read_newest(&entry, &log).await {
            retry_backoff.reset();
            while !was_restored() && refresh(&entry, &log).await {}
            is_listed = false;
            if was_restored() {
                entry.wait_restore_jitter().await;
                continue;
            }
        }
        tokio::time::sleep(entry.retry_delay(&mut retry_backoff)).await;
        is_listed = entry.is_updated_by_peers();
    }
}

/// Reads the newest record of every endpoint; `false` if the log failed.
async fn read_newest<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> bool {
    let asked_ms = entry.clock.now_ms();
    let Some(page) = call_log(entry, log, log.newest(Topic::Endpoints)).await else { return false };
    let listed: BTreeSet<String> = page.records.iter().map(|record| record.key.clone()).collect();
    let from = resume_position(&page);
    entry.state.borrow_mut().catalog.on_listing_end(page.next);
    apply_endpoint_records(entry, &page.records);
    let now_ms = entry.clock.now_ms();
    let missing = entry.state.borrow_mut().catalog.retain_listed(&listed, from, now_ms);
    entry.apply_endpoint_changes(missing);
    entry.state.borrow_mut().log_progress.advance(from, asked_ms);
    true
}

/// Keeps the endpoint records fresh for one pause; `false` if the log failed.
async fn refresh<D: Dialect, L: KeyedLog>(entry: &Rc<Entry<D>>, log: &L) -> bool {
    if wait_until_read_due(entry).await {
        if !read_changes(entry, log).await {
            return false;
        }
        // Other boxes take these records over and tell them to others, this box included, as fresh. So a box that reads
        // them must know the configuration as well.
        if entry.read_role() != ReadRole::Reader {
            entry.config_read_due.notify_one();
        }
    }
    expire_overdue(entry);
    true
}

/// Waits for one pause, and returns whether this box has to read by then. Others may have sent it enough.
async fn wait_until_read_due<D: Dialect>(entry: &Entry<D>) -> bool {
    let pause = Duration::from_millis(entry.state.borrow().log_progress.pause_ms());
    if entry.read_role() == ReadRole::Reader {
        tokio::time::sleep(pause).await;
        return true;
    }
    tokio::time::sleep(pause / CHECKS_PER_PAUSE).await;
    if entry.has_fresh_endpoints() {
        return false;
    }
    // Boxes that were kept current by the same box all lose their updates at once.
    let jitter_ms = entry.next_random() % (entry.state.borrow().log_progress.pause_ms() + 1);
    tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
    !entry.has_fresh_endpoints()
}

/// Reads the records since the last read; `false` if the log failed.
async fn read_changes<D: Dialect, L: KeyedLog>(entry: &Rc<Entry<D>>, log: &L) -> bool {
    let asked_ms = entry.clock.now_ms();
    let Some(from) = entry.state.borrow().log_progress.next_position() else { return false };
    let Some(page) = call_log(entry, log, log.read(Topic::Endpoints, from, 0)).await else { return false };
    if page.next.era != from.era {
        return false;
    }
    let known_before = known_active(entry, &page.records);
    apply_endpoint_records(entry, &page.records);
    entry.state.borrow_mut().log_progress.advance(page.next, asked_ms);
    entry.broadcast_leaving(newly_leaving(entry, known_before));
    true
}

/// Returns the endpoints of these records that accept requests, as far as known.
fn known_active<D: Dialect>(entry: &Entry<D>, records: &[KeyedRecord]) -> BTreeSet<String> {
    let state = entry.state.borrow();
    let is_active = |id: &str| state.pool.record(id).is_some_and(|record| !record.is_leaving);
    records.iter().filter(|record| is_active(&record.key)).map(|record| record.key.clone()).collect()
}

/// Returns those of `known_before` that are leaving now or have left.
fn newly_leaving<D: Dialect>(entry: &Entry<D>, known_before: BTreeSet<String>) -> Vec<PeerEndpoint> {
    let state = entry.state.borrow();
    let leaves = |id: &str| state.pool.record(id).is_none_or(|record| record.is_leaving);
    let left = known_before.into_iter().filter(|id| leaves(id));
    left.filter_map(|id| {
        let (position, record) = state.catalog.published(&id)?;
        Some(PeerEndpoint { id, position, record: record.cloned() })
    })
    .collect()
}

fn expire_overdue<D: Dialect>(entry: &Entry<D>) {
    let now_ms = entry.clock.now_ms();
    let overdue = entry.state.borrow_mut().catalog.expire_unconfirmed(now_ms);
    entry.apply_endpoint_changes(overdue);
}

fn apply_endpoint_records<D: Dialect>(entry: &Entry<D>, records: &[KeyedRecord]) {
    for record in records {
        apply_record(&record.key, || {
            entry.apply_endpoint_record(&record.key, record.position, record.value.as_ref());
        });
    }
}
