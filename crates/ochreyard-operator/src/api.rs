//! The operators' HTTP side of an entry.

use std::future::Future;
use std::sync::Arc;

use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use ochreyard_core::config::{ChangeError, Plan};
use ochreyard_core::error_kind::{ErrorKind, Refusal};
use ochreyard_core::hash::sha256_hex;
use ochreyard_core::ids::PlanId;
use serde::{Deserialize, Serialize};

use crate::intent::MAX_INTENT_BYTES;
use crate::report::{BurnRow, Status};

/// An error as operators get it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Name of the error kind.
    pub kind: String,
    /// What happened.
    pub message: String,
    /// Faults of the intent, if that is the cause.
    #[serde(default)]
    pub faults: Vec<ChangeError>,
}

/// A failed operator's call.
#[derive(Debug, Clone)]
pub struct ControlError {
    /// The refusal.
    pub refusal: Refusal,
    /// Faults of the intent.
    pub faults: Vec<ChangeError>,
}

impl From<Refusal> for ControlError {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, faults: Vec::new() }
    }
}

impl IntoResponse for ControlError {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.refusal.kind.rule().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body =
            ApiError { kind: self.refusal.kind.to_string(), message: self.refusal.to_string(), faults: self.faults };
        (status, Json(body)).into_response()
    }
}

/// What an entry can do for operators.
pub trait Control: Send + Sync + 'static {
    /// Makes a plan for an intent in YAML.
    fn plan(&self, yaml: String) -> impl Future<Output = Result<Plan, ControlError>> + Send;

    /// Confirms a plan, and returns the version that it came into force with.
    fn confirm(&self, plan_id: PlanId) -> impl Future<Output = Result<u64, ControlError>> + Send;

    /// The system as this entry sees it.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// This entry's part of the report on burn.
    fn burn(&self) -> impl Future<Output = Vec<BurnRow>> + Send;
}

/// The answer to a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResponse {
    /// The version that the plan came into force with.
    pub version: u64,
}

/// The operators' routes, open to whoever holds the token with this SHA-256.
pub fn router<C: Control>(control: Arc<C>, token_sha256: String) -> Router {
    let expected = Arc::new(token_sha256);
    Router::new()
        .route("/operator/v1/plan", post(plan::<C>))
        .route("/operator/v1/confirm/{plan_id}", post(confirm::<C>))
        .route("/operator/v1/status", get(status::<C>))
        .route("/operator/v1/burn", get(burn::<C>))
        .layer(DefaultBodyLimit::max(MAX_INTENT_BYTES))
        .layer(middleware::from_fn_with_state(expected, authenticate))
        .with_state(control)
}

/// The bearer token of a request.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

async fn authenticate(State(expected): State<Arc<String>>, request: Request, next: Next) -> Response {
    let known = bearer(request.headers()).is_some_and(|token| sha256_hex(token) == *expected);
    if known {
        return next.run(request).await;
    }
    ControlError::from(Refusal::new(ErrorKind::Unauthenticated).with_detail("the operators' token is needed"))
        .into_response()
}

async fn plan<C: Control>(State(control): State<Arc<C>>, yaml: String) -> Result<Json<Plan>, ControlError> {
    control.plan(yaml).await.map(Json)
}

async fn confirm<C: Control>(
    State(control): State<Arc<C>>,
    Path(plan_id): Path<String>,
) -> Result<Json<ConfirmResponse>, ControlError> {
    let version = control.confirm(PlanId::from(plan_id)).await?;
    Ok(Json(ConfirmResponse { version }))
}

async fn status<C: Control>(State(control): State<Arc<C>>) -> Json<Status> {
    Json(control.status().await)
}

async fn burn<C: Control>(State(control): State<Arc<C>>) -> Json<Vec<BurnRow>> {
    Json(control.burn().await)
}
