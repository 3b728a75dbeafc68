//! Keeps verdicts on requests that crash endpoints in the platform's log, and the scores of suspects, where they outlive
//! all entry processes.

use std::rc::Rc;

use bytes::Bytes;
use ochreyard_core::direct::{Fingerprint, LogRetryBackoff, QuarantineEntry, QuarantineUpdate, ReadRole, RequestScore};
use serde::{Deserialize, Serialize};

use super::call_log;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedRecord, Topic};

/// A verdict or the score of a suspect, as stored in the log under the fingerprint of its request or prompt part. Times
/// are of the writer's clock, in milliseconds since 1970.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VerdictRecord {
    /// Identifier of the prompt part; `None` for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<String>,
    /// When the verdict was made, or the last crash of the suspect happened.
    made_ms: u64,
    /// End of the verdict; equal to `made_ms` for a suspect.
    until_ms: u64,
    times: u32,
    /// Score of a suspect; 0 for a verdict.
    #[serde(default, skip_serializing_if = "is_zero")]
    score: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
const fn is_zero(score: &u32) -> bool {
    *score == 0
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
    let mut update = QuarantineUpdate::default();
    page.records.iter().for_each(|record| parse_record(record, now_ms, &mut update));
    entry.apply_quarantine_update(&update);
    true
}

/// Adds what a record tells to `update`, unless it has expired, was released, or cannot be read.
fn parse_record(record: &KeyedRecord, now_ms: u64, update: &mut QuarantineUpdate) {
    let Some((fingerprint, verdict)) = decode_record(record) else { return };
    let VerdictRecord { part, made_ms, until_ms, times, score } = verdict;
    let left_ms = until_ms.saturating_sub(now_ms);
    let age_ms = now_ms.saturating_sub(made_ms);
    if score > 0 {
        update.scores.push(RequestScore { fingerprint, score, age_ms });
    } else if left_ms > 0 {
        update.entries.push(QuarantineEntry { fingerprint, part, age_ms, left_ms, times });
    }
}

fn decode_record(record: &KeyedRecord) -> Option<(Fingerprint, VerdictRecord)> {
    let value = record.value.as_ref()?;
    let parsed = record.key.parse::<Fingerprint>().ok().zip(serde_json::from_slice::<VerdictRecord>(value).ok());
    if parsed.is_none() {
        log::warn!("event=verdict_unreadable key={}", record.key);
    }
    parsed
}

/// Writes one verdict or score that is queued here; `false` if there is none, or the log failed.
async fn write_next_verdict<D: Dialect, L: KeyedLog>(entry: &Entry<D>, log: &L) -> bool {
    // What changes during the write is queued again.
    let Some(fingerprint) = entry.outbox.verdicts_to_write.borrow_mut().pop() else { return false };
    let value = encode_verdict(entry, fingerprint);
    let key = fingerprint.to_string();
    let is_written = call_log(entry, log, log.append(Topic::Quarantine, &key, &value)).await.is_some();
    if !is_written {
        entry.outbox.queue_verdict(fingerprint);
    }
    is_written
}

/// Encodes the current verdict on a request, or its score. The value is empty if the request has been released or
/// cleared, which deletes its key.
fn encode_verdict<D: Dialect>(entry: &Entry<D>, fingerprint: Fingerprint) -> Bytes {
    let now_ms = entry.clock.now_ms();
    let state = entry.state.borrow();
    let verdict = state.quarantine.entry(fingerprint, now_ms).map(|verdict| VerdictRecord {
        part: verdict.part,
        made_ms: now_ms.saturating_sub(verdict.age_ms),
        until_ms: now_ms + verdict.left_ms,
        times: verdict.times,
        score: 0,
    });
    let suspect = || {
        let suspect = state.quarantine.request_score(fingerprint, now_ms)?;
        let made_ms = now_ms.saturating_sub(suspect.age_ms);
        Some(VerdictRecord { part: None, made_ms, until_ms: made_ms, times: 0, score: suspect.score })
    };
    let Some(record) = verdict.or_else(suspect) else { return Bytes::new() };
    serde_json::to_vec(&record).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=verdict_encode_failed error=\"{error}\"");
        Bytes::new()
    })
}
