//! Follows the platform's log: the configuration, the endpoints, our own boxes.

use std::rc::Rc;
use std::time::Duration;

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedLogError, KeyedPage, KeyedRecord, Topic};

/// Longest pause between looks while the log fails: several looks within the
/// time in which a change must be in force once the log is back.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How long one reading of the configuration waits for news. A reading whose
/// answer is lost ends after this and the time-out; other boxes tell meanwhile.
const CONFIG_WAIT_MS: u64 = 5_000;
/// How often, within a pause between readings, a box that is told by others looks
/// whether what it knows has become too old.
const LOOKS_A_PAUSE: u32 = 4;
/// How often the list of our own boxes is read: they change rarely.
const BOXES_EVERY: Duration = Duration::from_secs(8);

/// Follows the configuration; each reading waits for the next record.
pub async fn follow_config<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    loop {
        let start = log.newest(Topic::Config).await;
        let Some(page) = noted(&entry, start) else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        take_configs(&entry, &page.records);
        let mut from = after_last(&page);
        loop {
            match log.read(Topic::Config, from, CONFIG_WAIT_MS).await {
                Err(KeyedLogError::Gone { first }) if first > from => from = first,
                result => {
                    let Some(page) = noted(&entry, result) else { break };
                    take_configs(&entry, &page.records);
                    from = page.next;
                }
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Where to read on after the newest records. The end that comes with them may
/// already count a record that is not among them, so reading goes on from the last
/// one that is; records in between that are no longer kept have been replaced.
fn after_last(page: &KeyedPage) -> u64 {
    page.records.iter().map(|record| record.offset + 1).max().unwrap_or(page.next)
}

fn take_configs<D: Dialect>(entry: &Entry<D>, records: &[KeyedRecord]) {
    for document in records.iter().filter_map(|record| record.value.as_ref()) {
        entry.take_config(document, "log");
    }
}

/// Reads the records of endpoints again and again, unless another box has told of them
/// by then. Endpoints write several times a second in all, so a reading that waits
/// for the next record would return at once.
pub async fn follow_endpoints<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    loop {
        let asked_ms = entry.clock.now_ms();
        let start = log.newest(Topic::Endpoints).await;
        let Some(page) = noted(&entry, start) else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let listed: Vec<(String, u64)> = page.records.iter().map(|r| (r.key.clone(), r.offset)).collect();
        let from = after_last(&page);
        take_endpoints(&entry, &page.records);
        let now_ms = entry.clock.now_ms();
        let missing = entry.state.borrow_mut().catalog.keep_only(&listed, from, now_ms);
        entry.apply(missing);
        entry.state.borrow_mut().reading.advance(from, asked_ms);
        while read_on(&entry, &log).await {}
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Keeps the records of endpoints fresh for one pause; `false` if the log failed.
async fn read_on<D: Dialect, L: KeyedLog>(entry: &Rc<Entry<D>>, log: &L) -> bool {
    let every = Duration::from_millis(entry.state.borrow().reading.pause_ms());
    if entry.box_to_ask().is_none() {
        tokio::time::sleep(every).await;
    } else {
        tokio::time::sleep(every / LOOKS_A_PAUSE).await;
        let now_ms = entry.clock.now_ms();
        if entry.state.borrow().reading.is_fresh(now_ms) {
            settle_overdue(entry);
            return true;
        }
    }
    let asked_ms = entry.clock.now_ms();
    let Some(from) = entry.state.borrow().reading.next() else { return false };
    let Some(page) = noted(entry, log.read(Topic::Endpoints, from, 0).await) else { return false };
    take_endpoints(entry, &page.records);
    entry.state.borrow_mut().reading.advance(page.next, asked_ms);
    settle_overdue(entry);
    true
}

fn settle_overdue<D: Dialect>(entry: &Entry<D>) {
    let now_ms = entry.clock.now_ms();
    let overdue = entry.state.borrow_mut().catalog.overdue(now_ms);
    entry.apply(overdue);
}

fn take_endpoints<D: Dialect>(entry: &Entry<D>, records: &[KeyedRecord]) {
    for record in records {
        entry.take_endpoint(&record.key, record.offset, record.value.as_ref());
    }
}

/// Writes this box into the list of our own boxes, and reads who else is there.
pub async fn follow_boxes<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut is_written = false;
    loop {
        if !is_written {
            let addr = entry.identity.peer_addr.to_string();
            let written = log.append(Topic::Boxes, &entry.identity.name, addr.as_bytes()).await;
            is_written = noted(&entry, written).is_some();
        }
        let page = noted(&entry, log.newest(Topic::Boxes).await);
        for record in page.iter().flat_map(|page| &page.records) {
            let addr = record.value.as_ref().and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
            if let Some(addr) = addr {
                entry.take_box(&record.key, addr);
            }
        }
        tokio::time::sleep(if page.is_some() && is_written { BOXES_EVERY } else { RETRY_PAUSE }).await;
    }
}

/// Notes whether the log answered, and drops the reason of a failure after it has been logged.
fn noted<D: Dialect, T>(entry: &Entry<D>, result: Result<T, KeyedLogError>) -> Option<T> {
    match result {
        Ok(value) => {
            entry.note_log(true, "");
            Some(value)
        }
        Err(KeyedLogError::Gone { first }) => {
            log::warn!("event=log_records_gone first={first}");
            None
        }
        Err(KeyedLogError::Unavailable(problem)) => {
            entry.note_log(false, &problem);
            None
        }
    }
}
