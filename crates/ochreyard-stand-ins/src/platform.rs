//! A stand-in for the platform: its log, its list of boxes and its weight store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::log_store::LogStore;

/// The faults that the platform injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFault {
    /// Whether every call fails.
    pub outage: bool,
    /// Added latency of every call, in milliseconds.
    pub slow_ms: u64,
    /// Whether appends take effect but their answers are lost: the caller gets status 504.
    pub lose_append_answers: bool,
    /// Number of last records to keep in each stream; all others expire when the fault is set.
    pub expire_to: Option<usize>,
}

#[derive(Debug, Default)]
struct Inner {
    streams: BTreeMap<String, LogStore>,
    boxes: Value,
    fault: PlatformFault,
}

/// A platform; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Platform(Arc<Mutex<Inner>>);

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default = "default_limit")]
    limit: usize,
}

const fn default_limit() -> usize {
    500
}

type JsonResult = Result<Json<Value>, StatusCode>;

impl Platform {
    /// Returns the router of the platform.
    pub fn router(self) -> Router {
        Router::new()
            .route("/log/{stream}", get(read).post(append))
            .route("/boxes", get(boxes).put(set_boxes))
            .route("/weights/reserve", post(reserve))
            .route("/fault", post(set_fault))
            .with_state(self)
    }

    fn with<T>(&self, access: impl FnOnce(&mut Inner) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Delays the call, or fails it, as the current fault demands; returns the fault.
    async fn apply_fault(&self) -> Result<PlatformFault, StatusCode> {
        let fault = self.with(|inner| inner.fault.clone());
        tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        if fault.outage { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(fault) }
    }
}

async fn read(
    State(platform): State<Platform>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> JsonResult {
    platform.apply_fault().await?;
    Ok(Json(platform.with(|inner| {
        let store = inner.streams.entry(stream).or_default();
        let records: Vec<Value> = store
            .read(query.from, query.limit)
            .map(|(offset, text)| json!({ "offset": offset, "text": text }))
            .collect();
        json!({ "first_offset": store.first_offset(), "next_offset": store.next_offset(), "records": records })
    })))
}

async fn append(State(platform): State<Platform>, Path(stream): Path<String>, text: String) -> JsonResult {
    let fault = platform.apply_fault().await?;
    let offset = platform.with(|inner| inner.streams.entry(stream).or_default().append(text));
    if fault.lose_append_answers { Err(StatusCode::GATEWAY_TIMEOUT) } else { Ok(Json(json!({ "offset": offset }))) }
}

async fn boxes(State(platform): State<Platform>) -> JsonResult {
    platform.apply_fault().await?;
    Ok(Json(platform.with(|inner| if inner.boxes.is_null() { json!([]) } else { inner.boxes.clone() })))
}

async fn set_boxes(State(platform): State<Platform>, Json(boxes): Json<Value>) {
    platform.with(|inner| inner.boxes = boxes);
}

async fn reserve(State(platform): State<Platform>) -> JsonResult {
    platform.apply_fault().await?;
    Ok(Json(json!({})))
}

async fn set_fault(State(platform): State<Platform>, Json(fault): Json<PlatformFault>) {
    platform.with(|inner| {
        if let Some(keep) = fault.expire_to {
            inner.streams.values_mut().for_each(|store| store.expire_to(keep));
        }
        inner.fault = fault;
    });
}
