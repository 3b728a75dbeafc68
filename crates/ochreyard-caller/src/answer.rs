//! The HTTP responses to callers.

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode, header};
use bytes::Bytes;
use ochreyard_core::error_kind::{Refusal, RunStatus};
use tokio::sync::mpsc;

/// Header that says whether the request has run.
pub const RUN: &str = "ochreyard-run";
/// Header with the identifier of the request.
pub const REQUEST_ID: &str = "ochreyard-request-id";

/// A chunk of the body, or the reason why the body ends early.
pub type BodyChunk = Result<Bytes, Refusal>;

/// An answer whose body arrives in chunks. The body is complete only if `chunks` ends without a refusal.
#[derive(Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, or empty if there is none.
    pub content_type: String,
    /// The body.
    pub chunks: mpsc::Receiver<BodyChunk>,
}

/// The final result of a request.
#[derive(Debug)]
pub struct CallerReply {
    /// Identifier of the request.
    pub request_id: String,
    /// The answer, or a refusal.
    pub result: Result<CallerAnswer, Refusal>,
}

impl CallerReply {
    /// Converts the result into an HTTP response.
    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = match self.result {
            Ok(answer) => streaming_response(answer),
            Err(refusal) => refusal_response(&refusal),
        };
        if let Ok(id) = HeaderValue::from_str(&self.request_id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }
}

fn streaming_response(answer: CallerAnswer) -> Response<Body> {
    let CallerAnswer { status, content_type, mut chunks } = answer;
    let is_event_stream = content_type.starts_with("text/event-stream");
    let body = async_stream::stream! {
        while let Some(chunk) = chunks.recv().await {
            match chunk {
                Ok(bytes) => yield Ok(bytes),
                Err(refusal) => {
                    if is_event_stream {
                        yield Ok(Bytes::from(format!("event: error\ndata: {}\n\n", error_body(&refusal))));
                    }
                    // An error here closes the connection early, so that the partial body does not look complete.
                    yield Err(std::io::Error::other(refusal));
                    return;
                }
            }
        }
    };
    let mut response = Response::new(Body::from_stream(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(RUN, HeaderValue::from_static(RunStatus::Ran.as_str()));
    if let Some(value) = HeaderValue::from_str(&content_type).ok().filter(|v| !v.is_empty()) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

fn error_body(refusal: &Refusal) -> serde_json::Value {
    serde_json::json!({
        "error": { "kind": refusal.kind, "message": refusal.to_string(), "run": refusal.run }
    })
}

/// Converts a refusal into an HTTP response.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(Body::from(error_body(refusal).to_string()));
    *response.status_mut() =
        StatusCode::from_u16(refusal.kind.rule().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RUN, HeaderValue::from_static(refusal.run.as_str()));
    if refusal.retry_after_ms > 0 {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(refusal.retry_after_ms.div_ceil(1000)));
    }
    response
}
