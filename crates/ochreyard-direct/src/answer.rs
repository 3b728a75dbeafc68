//! An endpoint's answer whose head has arrived.

use std::rc::Rc;

use http::{HeaderMap, Response, StatusCode, header, response};
use http_body::Body;
use hyper::body::Incoming;
use ochreyard_core::direct::Pick;

use crate::answer_body::AnswerBody;
use crate::caller_request::strip_hop_by_hop;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::in_flight::InFlightAttempt;
use crate::witness::Witness;

/// An answer whose head has arrived.
pub struct Answer<D: Dialect> {
    /// Head of the answer.
    pub head: response::Parts,
    /// Body of the answer, still to be read.
    pub body: Incoming,
    /// The connection on which it arrives.
    pub connection: Connection,
    /// The endpoint that gave it.
    pub pick: Pick,
    /// Counts the attempt in the load of the endpoint.
    pub in_flight: InFlightAttempt<D>,
    /// Tells the end of the answer from a crash, if only the end of the connection marks it.
    pub witness: Option<Rc<Witness>>,
}

impl<D: Dialect> Answer<D> {
    /// Returns the size of the body, if it is stated.
    pub fn stated_bytes(&self) -> Option<usize> {
        usize::try_from(self.body.size_hint().exact()?).ok()
    }

    /// Returns the connection to the pool once the body was read to its end.
    pub fn release_connection(self, entry: &Entry<D>) {
        let now_ms = entry.clock.now_ms();
        let mut state = entry.state.borrow_mut();
        if state.pool.is_gone_or_leaving(&self.pick) {
            return;
        }
        state.connections.keep(&self.pick, self.connection, &self.head.headers, now_ms);
    }
}

/// Returns whether only the end of the connection marks the end of an answer, so that a crash of the endpoint looks like the
/// end of a complete answer.
pub fn ends_with_connection(head: &response::Parts, body: &Incoming) -> bool {
    let is_framed =
        head.headers.contains_key(header::CONTENT_LENGTH) || head.headers.contains_key(header::TRANSFER_ENCODING);
    !is_framed && !body.is_end_stream()
}

/// Builds the answer to the caller from the endpoint's answer.
pub fn caller_response(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut headers = headers;
    strip_hop_by_hop(&mut headers, &[]);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
