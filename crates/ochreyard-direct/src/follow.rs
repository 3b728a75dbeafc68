//! Follows the topics of the platform's log: the configuration, the endpoints, the boxes, and verdicts on requests.

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

/// Returns the position at which reading resumes after a listing of the newest records. The end position of the listing
/// may already include a record that is missing from it, so reading resumes after the last listed record. Records in
/// between that are no longer kept have been replaced.
fn resume_position(page: &KeyedPage) -> Position {
    page.records.iter().map(|record| record.position.next()).max().unwrap_or(page.next)
}

/// Calls the log. Records whether it answered, and the era of its answer. A failure is logged and becomes `None`.
async fn call_log<D: Dialect, L: KeyedLog, T>(
    entry: &Entry<D>,
    log: &L,
    call: impl Future<Output = Result<T, KeyedLogError>>,
) -> Option<T> {
    let asked_ms = entry.clock.now_ms();
    let result = call.await;
    record_log_result(entry, log, asked_ms, result)
}

/// Records the result of a call to the log that began at `asked_ms`.
fn record_log_result<D: Dialect, L: KeyedLog, T>(
    entry: &Entry<D>,
    log: &L,
    asked_ms: u64,
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
            entry.record_log_failure(asked_ms, &problem);
            None
        }
    }
}
