//! An endpoint's answer whose head has come.

use http::{HeaderMap, Response, StatusCode, response};
use hyper::body::Incoming;
use ochreyard_core::direct::Pick;

use crate::answer_body::AnswerBody;
use crate::caller_request::strip_hop_by_hop;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::in_flight::InFlightAttempt;

/// An answer whose head has come.
pub struct Answer<D: Dialect> {
    /// Its head.
    pub head: response::Parts,
    /// Its body, still to be read.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The endpoint that gave it.
    pub pick: Pick,
    /// Counts the attempt.
    pub in_flight: InFlightAttempt<D>,
}

impl<D: Dialect> Answer<D> {
    /// Keeps the connection, once the body was read to its end.
    pub fn finish(self, entry: &Entry<D>) {
        let now_ms = entry.clock.now_ms();
        let mut state = entry.state.borrow_mut();
        if state.pool.has_left(&self.pick) {
            return;
        }
        state.connections.keep(&self.pick, self.connection, &self.head.headers, now_ms);
    }
}

/// The endpoint's own answer, as the caller gets it.
pub fn caller_response(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut headers = headers;
    strip_hop_by_hop(&mut headers, &[]);
    headers.remove(http::header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
