//! Final answers that this process gives itself: the closed list of error kinds, as HTTP.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use ochreyard_core::error_kind::{ErrorKind, Refusal};

use crate::answer_body::AnswerBody;

/// Builds the answer for a refusal. A `retry_after_ms` of 0 sets no `retry-after` header.
#[must_use]
pub fn response(refusal: &Refusal) -> Response<AnswerBody> {
    let kind = refusal.kind;
    let body = format!("{{\"error\":\"{kind}\",\"advice\":\"{}\"}}\n", kind.rule().advice);
    let mut response = Response::new(AnswerBody::complete(body));
    *response.status_mut() = StatusCode::from_u16(kind.rule().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if refusal.retry_after_ms > 0 {
        let seconds = format!("{:.3}", refusal.retry_after_ms as f64 / 1000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Builds the answer for an error kind, with the default `retry-after` of that kind.
#[must_use]
pub fn of_kind(kind: ErrorKind) -> Response<AnswerBody> {
    response(&Refusal::new(kind))
}
