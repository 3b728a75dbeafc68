//! The operators' HTTP API of an entry.

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

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Name of the error kind.
    pub kind: String,
    /// Description of the error.
    pub message: String,
    /// Errors in the intent, if they are the cause.
    #[serde(default)]
    pub faults: Vec<ChangeError>,
}

/// Why a call of the operators' API was refused.
#[derive(Debug, Clone)]
pub struct ControlError {
    /// The refusal.
    pub refusal: Refusal,
    /// Errors in the intent.
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

/// The operations of an entry behind the operators' API.
pub trait Control: Send + Sync + 'static {
    /// Makes and records a plan for an intent in YAML.
    fn plan(&self, yaml: String) -> impl Future<Output = Result<Plan, ControlError>> + Send;

    /// Confirms a plan and returns the configuration version with which it came into force.
    fn confirm(&self, plan_id: PlanId) -> impl Future<Output = Result<u64, ControlError>> + Send;

    /// Returns the state of the system as this entry sees it.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// Returns the burn rates that this entry has measured.
    fn burn(&self) -> impl Future<Output = Vec<BurnRow>> + Send;
}

/// The response to a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResponse {
    /// The configuration version with which the plan came into force.
    pub version: u64,
}

/// Returns the routes of the operators' API. Requests must present the token whose SHA-256 is `token_sha256`.
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

/// Returns the bearer token of a request.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

async fn authenticate(State(expected): State<Arc<String>>, request: Request, next: Next) -> Response {
    let is_authenticated = bearer(request.headers()).is_some_and(|token| sha256_hex(token) == *expected);
    if is_authenticated {
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
