//! Keeps verdicts on requests that crash endpoints in the platform's log: they outlast all our processes.

use std::rc::Rc;

use bytes::Bytes;
use ochreyard_core::direct::{Fingerprint, LogRetryBackoff, QuarantineEntry, QuarantineUpdate, ReadRole};
use serde::{Deserialize, Serialize};

use super::noted;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedRecord, Topic};

/// A verdict as it stands in the log, under the fingerprint of its request. Times are of the writer's clock,
/// in milliseconds since 1970.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct VerdictRecord {
    made_ms: u64,
    until_ms: u64,
    times: u32,
}

/// Reads the verdicts once, and writes those that are made here. While the process runs, others tell it of theirs. Where the
/// log comes back from an older copy, those that are known are written again, and so are releases: the copy may hold what was
/// released since.
pub async fn keep_verdicts<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut pauses = LogRetryBackoff::default();
    entry.wait_for_start().await;
    // Whoever told it of everything else told it of the verdicts, too.
    let is_told = |entry: &Entry<D>| entry.duty() == ReadRole::Follower && entry.is_well_told();
    while !is_told(&entry) && !read_verdicts(&entry, &log).await {
        tokio::time::sleep(entry.pause_after_failure(&mut pauses)).await;
    }
    pauses.reset();
    let mut returns = entry.returns.subscribe();
    loop {
        while write_next(&entry, &log).await {}
        if entry.outbox.to_write.borrow().is_empty() {
            tokio::select! {
                () = entry.outbox.written.notified() => {}
                _ = returns.changed() => {
                    entry.spread().await;
                    entry.write_verdicts_again();
                }
            }
        } else {
            tokio::time::sleep(entry.pause_after_failure(&mut pauses)).await;
        }
    }
}

async fn read_verdicts<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> bool {
    let Some(page) = noted(entry, log, log.newest(Topic::Quarantine).await) else { return false };
    let now_ms = entry.clock.now_ms();
    let verdicts = page.records.iter().filter_map(|record| read(record, now_ms)).collect();
    entry.take_quarantine_news(&QuarantineUpdate { entries: verdicts, ..QuarantineUpdate::default() });
    true
}

/// The verdict of a record; `None` where it is over, was dropped, or cannot be read.
fn read(record: &KeyedRecord, now_ms: u64) -> Option<QuarantineEntry> {
    let value = record.value.as_ref()?;
    let parsed = record.key.parse::<Fingerprint>().ok().zip(serde_json::from_slice::<VerdictRecord>(value).ok());
    let Some((fingerprint, verdict)) = parsed else {
        log::warn!("event=verdict_unreadable key={}", record.key);
        return None;
    };
    let left_ms = verdict.until_ms.saturating_sub(now_ms);
    let age_ms = now_ms.saturating_sub(verdict.made_ms);
    (left_ms > 0).then_some(QuarantineEntry { fingerprint, age_ms, left_ms, times: verdict.times })
}

/// Writes one verdict that was made here. `false` if there is none, or the log failed.
async fn write_next<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> bool {
    let Some(fingerprint) = entry.outbox.to_write.borrow().last().copied() else { return false };
    let value = present_verdict(entry, fingerprint);
    let written = log.append(Topic::Quarantine, &fingerprint.to_string(), &value).await;
    if noted(entry, log, written).is_none() {
        return false;
    }
    entry.outbox.to_write.borrow_mut().retain(|other| *other != fingerprint);
    true
}

/// What is to be written of a request; nothing where it has been released meanwhile, which drops its key.
fn present_verdict<D: Dialect>(entry: &Entry<D>, fingerprint: Fingerprint) -> Bytes {
    let now_ms = entry.clock.now_ms();
    let Some(verdict) = entry.state.borrow().quarantine.entry(fingerprint, now_ms) else { return Bytes::new() };
    let record = VerdictRecord {
        made_ms: now_ms.saturating_sub(verdict.age_ms),
        until_ms: now_ms + verdict.left_ms,
        times: verdict.times,
    };
    serde_json::to_vec(&record).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=verdict_unwritable error=\"{error}\"");
        Bytes::new()
    })
}
