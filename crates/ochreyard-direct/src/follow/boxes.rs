//! Follows the list of our own boxes in the platform's log.

use std::rc::Rc;
use std::time::Duration;

use super::{RETRY_PAUSE, noted};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, Topic};

/// How often the list of our own boxes is read: they change rarely.
const BOXES_EVERY: Duration = Duration::from_secs(8);

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
