//! HTTP handlers for operators, about requests that crash endpoints.

use std::rc::Rc;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::{Fingerprint, QuarantinedRequest};

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Path that lists all refused requests.
pub const QUARANTINE_PATH: &str = "/quarantine";
/// Path that releases a refused request; the body is its fingerprint.
pub const RELEASE_PATH: &str = "/quarantine/release";
/// Largest body of a release, in bytes: a fingerprint and whitespace that an editor may append.
const MAX_RELEASE_BYTES: usize = 64;

/// Returns all requests that are refused now.
pub fn list_quarantined<D: Dialect>(entry: &Entry<D>) -> Vec<QuarantinedRequest> {
    entry.state.borrow().quarantine.quarantined_requests(entry.clock.now_ms())
}

/// Releases the request whose fingerprint is the body.
pub async fn release<D: Dialect>(entry: &Rc<Entry<D>>, request: Request<Incoming>) -> StatusCode {
    let Ok(body) = Limited::new(request.into_body(), MAX_RELEASE_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let bytes = body.to_bytes();
    let fingerprint = std::str::from_utf8(&bytes).ok().and_then(|text| text.trim().parse::<Fingerprint>().ok());
    let Some(fingerprint) = fingerprint else { return StatusCode::BAD_REQUEST };
    if entry.state.borrow().quarantine.entry(fingerprint, entry.clock.now_ms()).is_none() {
        return StatusCode::NOT_FOUND;
    }
    entry.release(fingerprint);
    StatusCode::NO_CONTENT
}
