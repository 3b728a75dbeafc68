//! A plain service that counts how often it ran each request body.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};

/// The faults that the plain service injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFault {
    /// Added latency of every call, in milliseconds.
    pub slow_ms: u64,
    /// Whether calls run but are answered with an error.
    pub fail_after_run: bool,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u64>,
    fault: PlainFault,
    /// Number of chunks of large answers that clients have read.
    chunks: u64,
}

/// Size of a chunk of a large answer, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// A plain service; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct PlainService(Arc<Mutex<Inner>>);

impl PlainService {
    /// Returns the router of the service. A request to any path without a route counts as a run of the request's body.
    pub fn router(self) -> Router {
        Router::new()
            .route("/runs", get(runs))
            .route("/big/{chunks}", get(large_answer))
            .route("/chunks", get(chunks))
            .route("/fault", post(set_fault))
            .route("/control/load", get(|| async { Json(serde_json::json!({})) }))
            .fallback(run)
            .with_state(self)
    }

    fn with<T>(&self, access: impl FnOnce(&mut Inner) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn runs(State(service): State<PlainService>) -> Json<BTreeMap<String, u64>> {
    Json(service.with(|inner| inner.runs.clone()))
}

async fn chunks(State(service): State<PlainService>) -> Json<u64> {
    Json(service.with(|inner| inner.chunks))
}

/// Returns a large answer whose chunks are produced as the client reads them.
async fn large_answer(State(service): State<PlainService>, Path(chunks): Path<u64>) -> Body {
    Body::from_stream(async_stream::stream! {
        for _ in 0..chunks {
            service.with(|inner| inner.chunks += 1);
            yield Ok::<_, std::convert::Infallible>(Bytes::from(vec![b'x'; CHUNK_BYTES]));
        }
    })
}

async fn set_fault(State(service): State<PlainService>, Json(fault): Json<PlainFault>) {
    service.with(|inner| inner.fault = fault);
}

async fn run(State(service): State<PlainService>, uri: Uri, headers: HeaderMap, body: Bytes) -> (StatusCode, String) {
    let text = String::from_utf8_lossy(&body).into_owned();
    let workspace =
        headers.get("ochreyard-workspace").and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    // The run is counted when the call arrives, since from that moment it cannot be undone.
    let fault = service.with(|inner| {
        *inner.runs.entry(text.clone()).or_default() += 1;
        inner.fault.clone()
    });
    tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    let status = if fault.fail_after_run { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    (status, format!("ran path={uri} workspace={workspace} body={text}"))
}
