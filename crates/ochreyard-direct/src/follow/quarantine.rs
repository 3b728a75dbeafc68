//! Keeps verdicts on requests that crash endpoints in the platform's log, where they outlive all entry processes.

use std::rc::Rc;

use bytes::Bytes;
use ochreyard_core::direct::{Fingerprint, LogRetryBackoff, QuarantineEntry, QuarantineUpdate, ReadRole};
use serde::{Deserialize, Serialize};

use super::call_log;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedRecord, Topic};

/// A verdict as stored in the log under the fingerprint of its request or prompt part. Times are of the writer's clock, in
/// milliseconds since 1970.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VerdictRecord {
    /// Identifier of the prompt part; `None` for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<String>,
    made_ms: u64,
    until_ms: u64,
    times: u32,
}

/// Reads the verdicts once, and writes those that this box makes. While the process runs, other boxes send theirs. When
/// the log is restored from an older copy, the known verdicts and releases are written again, since the copy may hold a
/// verdict that was released after it was made.
pub async fn sync_verdicts<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut retry_backoff = LogRetryBackoff::default();
    entry.wait_for_start_delay().await;
    // A box that sent the other state sent the verdicts, too.
    let is_up_to_date = |entry: &Entry<D>| entry.read_role() == ReadRole::Follower && entry.is_updated_by_peers();
    while !is_up_to_date(&entry) && !read_verdicts(&entry, &log).await {
        tokio::time::sleep(entry.retry_delay(&mut retry_backoff)).await;
    }
    retry_backoff.reset();
    let mut log_restores = entry.log_restores.subscribe();
    loop {
        while write_next_verdict(&entry, &log).await {}
        if entry.outbox.verdicts_to_write.borrow().is_empty() {
            tokio::select! {
                () = entry.outbox.verdict_queued.notified() => {}
                _ = log_restores.changed() => {
                    entry.wait_restore_jitter().await;
                    entry.rewrite_verdicts();
                }
            }
        } else {
            tokio::time::sleep(entry.retry_delay(&mut retry_backoff)).await;
        }
    }
}

async fn read_verdicts<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> bool {
    let Some(page) = call_log(entry, log, log.newest(Topic::Quarantine)).await else { return false };
    let now_ms = entry.clock.now_ms();
    let verdicts = page.records.iter().filter_map(|record| parse_verdict(record, now_ms)).collect();
    entry.apply_quarantine_update(&QuarantineUpdate { entries: verdicts, ..QuarantineUpdate::default() });
    true
}

/// Parses the verdict of a record; `None` if it has expired, was released, or cannot be read.
fn parse_verdict(record: &KeyedRecord, now_ms: u64) -> Option<QuarantineEntry> {
    let value = record.value.as_ref()?;
    let parsed = record.key.parse::<Fingerprint>().ok().zip(serde_json::from_slice::<VerdictRecord>(value).ok());
    let Some((fingerprint, verdict)) = parsed else {
        log::warn!("event=verdict_unreadable key={}", record.key);
        return None;
    };
    let left_ms = verdict.until_ms.saturating_sub(now_ms);
    let age_ms = now_ms.saturating_sub(verdict.made_ms);
    (left_ms > 0).then_some(QuarantineEntry { fingerprint, part: verdict.part, age_ms, left_ms, times: verdict.times })
}

/// Writes one verdict that is queued here; `false` if there is none, or the log failed.
async fn write_next_verdict<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> bool {
    let Some(fingerprint) = entry.outbox.verdicts_to_write.borrow().last().copied() else { return false };
    let value = encode_verdict(entry, fingerprint);
    let key = fingerprint.to_string();
    if call_log(entry, log, log.append(Topic::Quarantine, &key, &value)).await.is_none() {
        return false;
    }
    entry.outbox.verdicts_to_write.borrow_mut().retain(|other| *other != fingerprint);
    true
}

/// Encodes the current verdict on a request. The value is empty if the request has been released, which deletes its
/// key.
fn encode_verdict<D: Dialect>(entry: &Entry<D>, fingerprint: Fingerprint) -> Bytes {
    let now_ms = entry.clock.now_ms();
    let Some(verdict) = entry.state.borrow().quarantine.entry(fingerprint, now_ms) else { return Bytes::new() };
    let record = VerdictRecord {
        part: verdict.part,
        made_ms: now_ms.saturating_sub(verdict.age_ms),
        until_ms: now_ms + verdict.left_ms,
        times: verdict.times,
    };
    serde_json::to_vec(&record).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=verdict_encode_failed error=\"{error}\"");
        Bytes::new()
    })
}
