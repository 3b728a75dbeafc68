//! Follows the platform's log: the configuration, the endpoints, our own boxes, verdicts on requests.

mod boxes;
mod config;
mod endpoints;
mod quarantine;

use ochreyard_core::direct::Position;

pub use self::boxes::follow_boxes;
pub use self::config::follow_config;
pub use self::endpoints::follow_endpoints;
pub use self::quarantine::sync_verdicts;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::keyed_log::{KeyedLog, KeyedLogError, KeyedPage};

/// Where to read on after the newest records. The end that comes with them may
/// already count a record that is not among them, so reading goes on from the last
/// one that is; records in between that are no longer kept have been replaced.
fn resume_position(page: &KeyedPage) -> Position {
    page.records.iter().map(|record| record.position.next()).max().unwrap_or(page.next)
}

/// Notes whether the log answered, and of which era it is; drops the reason of a failure after it has been logged.
fn record_log_result<D: Dialect, L: KeyedLog, T>(
    entry: &Entry<D>,
    log: &L,
    result: Result<T, KeyedLogError>,
) -> Option<T> {
    if let Some(era) = log.era() {
        entry.record_log_era(era, "log");
    }
    match result {
        Ok(value) => {
            entry.set_log_reachable(true, "");
            Some(value)
        }
        Err(KeyedLogError::Gone { first }) => {
            log::warn!("event=log_records_gone first={first}");
            None
        }
        Err(KeyedLogError::Unavailable(problem)) => {
            entry.set_log_reachable(false, &problem);
            None
        }
    }
}
