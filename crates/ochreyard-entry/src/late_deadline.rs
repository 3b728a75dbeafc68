//! Deadlines of a process that may not have run when they passed.

use std::time::Duration;

use ochreyard_core::direct::LateReads;
use tokio::time::{Instant, timeout, timeout_at};

/// A deadline that is noticed later than this passed while the process did not run.
const MIN_LATENESS: Duration = Duration::from_millis(20);
/// How long each further poll waits for the threads that read the sockets.
const POLL_TIME: Duration = Duration::from_millis(5);

/// Waits for `future` until `deadline`; `None` if it is still pending then. When a stopped process continues, its timers
/// fire before its sockets are read, so a deadline that is noticed late counts only once they have been.
pub async fn wait_until_deadline<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    tokio::pin!(future);
    if let Ok(output) = timeout_at(deadline, future.as_mut()).await {
        return Some(output);
    }
    let noticed = Instant::now();
    if noticed - deadline < MIN_LATENESS {
        return None;
    }
    let elapsed_ms = || u64::try_from(noticed.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut late_reads = LateReads::start(0);
    while late_reads.may_read(elapsed_ms()) {
        if let Ok(output) = timeout(POLL_TIME, future.as_mut()).await {
            return Some(output);
        }
    }
    None
}
