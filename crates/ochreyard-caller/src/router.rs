//! The HTTP routes for callers, health checks and metrics.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{Request, Response, StatusCode};
use axum::response::IntoResponse;
use axum::routing::get;

use crate::answer::refusal_response;
use crate::call::{self, CallHandler};
use crate::limits::CallerLimits;

struct RouterState<H> {
    handler: Arc<H>,
    limits: CallerLimits,
}

impl<H> Clone for RouterState<H> {
    fn clone(&self) -> Self {
        Self { handler: Arc::clone(&self.handler), limits: self.limits }
    }
}

/// Returns the routes that read callers' requests and pass them to `handler`.
pub fn router<H: CallHandler>(handler: Arc<H>, limits: CallerLimits) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready::<H>))
        .route("/metrics", get(metrics::<H>))
        .fallback(answer::<H>)
        .with_state(RouterState { handler, limits })
}

async fn ready<H: CallHandler>(State(state): State<RouterState<H>>) -> impl IntoResponse {
    if state.handler.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn metrics<H: CallHandler>(State(state): State<RouterState<H>>) -> String {
    state.handler.metrics()
}

async fn answer<H: CallHandler>(State(state): State<RouterState<H>>, request: Request<Body>) -> Response<Body> {
    match call::read(request, &state.limits).await {
        Ok(call) => state.handler.call(call).await.into_response(),
        Err(refusal) => {
            metrics::counter!("ochreyard_caller_bad_input_total", "kind" => refusal.kind.as_str()).increment(1);
            refusal_response(&refusal)
        }
    }
}
