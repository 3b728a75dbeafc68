//! Follows the list of our own boxes in the platform's log.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::{LogRetryBackoff, ReadRole};

use super::noted;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, Topic};

/// How often the list of our own boxes is read by those boxes that read for others.
const BOXES_EVERY: Duration = Duration::from_secs(8);
/// How often those read it that relay: they are told of new boxes by those that read.
const RELAY_BOXES_EVERY: Duration = Duration::from_secs(60);

/// Writes this box into the list of our own boxes, and reads who else is there. A box that is told by others does neither:
/// whomever it asks learns of it, and tells others.
pub async fn follow_boxes<D: Dialect, L: KeyedLog>(entry: Rc<Entry<D>>, log: L) {
    let mut returns = entry.returns.subscribe();
    let mut is_written = false;
    let mut pauses = LogRetryBackoff::default();
    entry.wait_for_start().await;
    loop {
        entry.wait_while_told().await;
        if !is_written {
            let record = serde_json::to_vec(&entry.identity.record).unwrap_or_default();
            let written = log.append(Topic::Boxes, &entry.identity.name, &record).await;
            is_written = noted(&entry, &log, written).is_some();
        }
        let page = noted(&entry, &log, log.newest(Topic::Boxes).await);
        for record in page.iter().flat_map(|page| &page.records) {
            let Some(value) = &record.value else { continue };
            match serde_json::from_slice(value) {
                Ok(told) => entry.take_box(&record.key, told),
                Err(error) => log::warn!("event=box_unreadable box={} error=\"{error}\"", record.key),
            }
        }
        if page.is_some() {
            entry.note_all_boxes();
        }
        if page.is_some() && entry.state.borrow().boxes.is_empty() {
            entry.has_been_told.set(true);
        }
        if page.is_some() && is_written {
            pauses.reset();
        }
        let pause = match entry.duty() {
            _ if page.is_none() || !is_written => entry.pause_after_failure(&mut pauses),
            ReadRole::Reader => BOXES_EVERY,
            ReadRole::Relay | ReadRole::Follower => RELAY_BOXES_EVERY,
        };
        if tokio::time::timeout(pause, returns.changed()).await.is_ok() {
            // What the log had acknowledged is gone: this box may be in its list no more.
            is_written = false;
            entry.spread().await;
        }
    }
}
