//! A plain service that counts what it ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};

/// Faults of the plain service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFault {
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Calls run, but answer with an error.
    pub fail_after_run: bool,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u64>,
    fault: PlainFault,
    /// Chunks of large answers that have been taken from this service.
    chunks: u64,
}

/// Bytes of a chunk of a large answer.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The state of the stand-in.
#[derive(Debug, Clone, Default)]
pub struct PlainService(Arc<Mutex<Inner>>);

impl PlainService {
    /// The routes of the service. Every other path counts a run of the request's body.
    pub fn router(self) -> Router {
        Router::new()
            .route("/runs", get(runs))
            .route("/big/{chunks}", get(big))
            .route("/chunks", get(chunks))
            .route("/fault", post(set_fault))
            .route("/control/load", get(|| async { Json(serde_json::json!({})) }))
            .fallback(run)
            .with_state(self)
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn runs(State(service): State<PlainService>) -> Json<BTreeMap<String, u64>> {
    Json(service.with(|inner| inner.runs.clone()))
}

async fn chunks(State(service): State<PlainService>) -> Json<u64> {
    Json(service.with(|inner| inner.chunks))
}

/// A large answer, made chunk by chunk as it is taken.
async fn big(State(service): State<PlainService>, Path(chunks): Path<u64>) -> Body {
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
    let workspace = headers.get("ochreyard-workspace").and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    // Counted when the call arrives: this is the moment that a run cannot be taken back.
    let fault = service.with(|inner| {
        *inner.runs.entry(text.clone()).or_default() += 1;
        inner.fault.clone()
    });
    tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    let status = if fault.fail_after_run { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    (status, format!("ran path={uri} workspace={workspace} body={text}"))
}
