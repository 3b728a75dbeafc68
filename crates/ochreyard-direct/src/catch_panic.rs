//! Keeps a panic in the handling of one request from closing its connection without an answer.

use std::panic::AssertUnwindSafe;

use futures::FutureExt;

/// Returns what the future returns; `None` if it panics. The panic is logged with its place by the hook of the process.
///
/// State that outlives the future is not wrapped: it is in cells that are borrowed for single steps.
pub async fn catch_panic<F: Future>(future: F) -> Option<F::Output> {
    AssertUnwindSafe(future).catch_unwind().await.ok()
}
