//! Starts tasks of the process again that panicked.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use crate::catch_panic::catch_panic;
use crate::meters;

/// Pause before a task is started again, so that one that panics each time leaves the processor to callers.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs a task, and starts it again each time it panics, until it ends by itself.
pub async fn supervise<F: Future<Output = ()>>(name: &str, mut start: impl FnMut() -> F) {
    while catch_panic(start()).await.is_none() {
        meters::on_task_restart(name);
        log::error!("event=task_restarted task={name}");
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// Applies one record of another writer. If that panics, the record is skipped, and those after it are still applied.
pub fn apply_record(key: &str, apply: impl FnOnce()) {
    if catch_unwind(AssertUnwindSafe(apply)).is_err() {
        log::error!("event=record_skipped key={key:?}");
    }
}
