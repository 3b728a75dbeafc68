//! Timeouts that count only after the sockets have been read.
//!
//! When a stopped process continues, timers that expired meanwhile fire before its sockets are read. A bare timeout would
//! then discard an answer that has arrived, and what the endpoint reports in it.

use std::pin::Pin;
use std::time::Duration;

/// How often the runtime reads its sockets before a timeout counts. The head of an answer, its body and the end of the
/// body can take one turn each, and a timer that fires late in one turn another.
const READS_BEFORE_TIMEOUT: usize = 4;

/// Waits for `future` for at most `wait`, and returns `None` if it is still pending after everything that has arrived by
/// then was read.
pub async fn timeout_after_reads<F: Future>(wait: Duration, future: F) -> Option<F::Output> {
    tokio::pin!(future);
    match tokio::time::timeout(wait, future.as_mut()).await {
        Ok(output) => Some(output),
        Err(_) => poll_after_reads(future).await,
    }
}

/// Polls `future` after each of a few turns in which the runtime reads its sockets and runs the other tasks. Returns
/// `None` if it is still pending then.
pub async fn poll_after_reads<F: Future>(mut future: Pin<&mut F>) -> Option<F::Output> {
    for _ in 0..READS_BEFORE_TIMEOUT {
        tokio::task::yield_now().await;
        if let std::task::Poll::Ready(output) = futures::poll!(future.as_mut()) {
            return Some(output);
        }
    }
    None
}
