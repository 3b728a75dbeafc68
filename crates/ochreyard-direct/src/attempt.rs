//! One attempt: a request sent to one endpoint, up to the head of its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use ochreyard_core::direct::{Outcome, Pick};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::link::{Connection, SendFailure};

/// Longest wait for a connection to an endpoint: several round trips between
/// data centres, and short enough to leave time for another endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's request, read whole, ready to be sent to any endpoint.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its method.
    pub method: Method,
    /// Its path with the query, unchanged.
    pub path: Uri,
    /// The headers that go on to the endpoint.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its identifier.
    pub attempt_id: Option<HeaderValue>,
}

/// Headers that pertain to one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Removes what pertains to one connection: the listed headers and those that
/// `Connection` names, but never those in `kept`, which belong to the request.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, kept: &[&HeaderName]) {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let named: Vec<HeaderName> = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !kept.contains(&name))
        .collect();
    named.iter().for_each(|name| while headers.remove(name).is_some() {});
    HOP_BY_HOP.iter().for_each(|name| while headers.remove(*name).is_some() {});
}

impl CallerRequest {
    /// Takes what goes on to the endpoint out of a caller's request.
    pub fn new<D: Dialect>(dialect: &D, head: request::Parts, body: Bytes) -> Self {
        let names = dialect.headers();
        let mut headers = head.headers;
        let mut kept: Vec<&HeaderName> = names.end_to_end.iter().collect();
        kept.extend([&names.attempt_id, &names.last_event, &http::header::HOST]);
        strip_hop_by_hop(&mut headers, &kept);
        for name in [&names.key, &names.workspace, &names.target, &names.deadline_ms, &names.not_run] {
            while headers.remove(name).is_some() {}
        }
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        if !body.is_empty() || head.method == Method::POST || head.method == Method::PUT {
            headers.insert(http::header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let path = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        let attempt_id = headers.get(&names.attempt_id).cloned();
        Self { method: head.method, path, headers, body, attempt_id }
    }

    fn to_endpoint(&self, names: &crate::dialect::HeaderNames, target: &str, deadline_ms: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        if let Ok(target) = HeaderValue::from_str(target) {
            request.headers_mut().insert(names.target.clone(), target);
        }
        request.headers_mut().insert(names.deadline_ms.clone(), HeaderValue::from(deadline_ms));
        request
    }
}

/// Counts an attempt at its endpoint for as long as it lives.
pub struct Flight<D: Dialect> {
    entry: Rc<Entry<D>>,
    id: String,
    outcome: Cell<Outcome>,
}

impl<D: Dialect> Flight<D> {
    fn start(entry: &Rc<Entry<D>>, id: &str) -> Self {
        entry.state.borrow_mut().pool.on_start(id);
        Self { entry: Rc::clone(entry), id: id.to_owned(), outcome: Cell::new(Outcome::Unknown) }
    }

    /// Sets how the attempt ended.
    pub fn set(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Notes that the endpoint was heard.
    pub fn on_heard(&self) {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_heard(&self.id, now_ms);
    }

    /// Whether the endpoint has said nothing to anybody here for so long.
    pub fn is_silent(&self, for_ms: u64) -> bool {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow().pool.is_silent(&self.id, for_ms, now_ms)
    }
}

impl<D: Dialect> Drop for Flight<D> {
    fn drop(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_end(&self.id, self.outcome.get(), now_ms);
    }
}

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
    pub flight: Flight<D>,
}

impl<D: Dialect> Answer<D> {
    /// Keeps the connection, once the body was read to its end.
    pub fn finish(self, entry: &Entry<D>) {
        let mut state = entry.state.borrow_mut();
        state.connections.keep(&self.pick.id, self.pick.addr, self.connection, &self.head.headers);
    }
}

/// How one attempt went.
pub enum Attempt<D: Dialect> {
    /// The endpoint's own answer.
    Answered(Box<Answer<D>>),
    /// The endpoint was not reached: it never had the request.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotRun {
        /// Why.
        status: StatusCode,
    },
    /// It may have run.
    MayHaveRun {
        /// What went wrong.
        cause: String,
    },
}

/// Sends a request to one endpoint and waits for the head of its answer.
pub async fn send<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    pick: &Pick,
    deadline_ms: u64,
) -> Attempt<D> {
    let flight = Flight::start(entry, &pick.id);
    let mut out = request.to_endpoint(entry.dialect.headers(), &pick.id, deadline_ms);
    if let Some(mut connection) = free_connection(entry, pick).await {
        match connection.send(out).await {
            Ok(response) => return judge(entry, request, pick, flight, connection, response),
            Err(SendFailure::Lost(error)) => return lost(&flight, &error),
            Err(SendFailure::NotSent(unsent)) => out = *unsent,
        }
    }
    let mut connection = match Connection::open(pick.addr, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(error) => return not_sent(&flight, pick, &error),
    };
    match connection.send(out).await {
        Ok(response) => judge(entry, request, pick, flight, connection, response),
        Err(SendFailure::Lost(error)) => lost(&flight, &error),
        Err(SendFailure::NotSent(_)) => {
            flight.set(Outcome::Unreachable);
            Attempt::NotSent
        }
    }
}

/// A kept connection on which the answer before has come to its end.
async fn free_connection<D: Dialect>(entry: &Entry<D>, pick: &Pick) -> Option<Connection> {
    loop {
        let mut connection = entry.state.borrow_mut().connections.take(&pick.id, pick.addr)?;
        if connection.is_free().await {
            return Some(connection);
        }
    }
}

fn not_sent<D: Dialect>(flight: &Flight<D>, pick: &Pick, error: &std::io::Error) -> Attempt<D> {
    log::info!("event=endpoint_unreachable endpoint={} addr={} error=\"{error}\"", pick.id, pick.addr);
    flight.set(Outcome::Unreachable);
    Attempt::NotSent
}

fn lost<D: Dialect>(flight: &Flight<D>, error: &hyper::Error) -> Attempt<D> {
    flight.set(Outcome::Failed);
    Attempt::MayHaveRun { cause: format!("connection lost: {error}") }
}

/// Says what an answer is worth, by its head.
fn judge<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    pick: &Pick,
    flight: Flight<D>,
    connection: Connection,
    response: http::Response<Incoming>,
) -> Attempt<D> {
    let names = entry.dialect.headers();
    let (head, body) = response.into_parts();
    flight.on_heard();
    note_load(entry, &pick.id, &head.headers);
    let is_own = head.headers.get(&names.attempt_id) == request.attempt_id.as_ref();
    let says_not_run = head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST;
    if says_not_run && (is_own || !head.headers.contains_key(&names.attempt_id)) {
        let is_full = head.status == StatusCode::SERVICE_UNAVAILABLE || head.status == StatusCode::TOO_MANY_REQUESTS;
        flight.set(if is_full { Outcome::Full } else { Outcome::Unreachable });
        let at_fault = head.headers.get(&names.at_fault);
        if is_full && at_fault.is_some_and(|other| other.as_bytes() != pick.id.as_bytes()) {
            let now_ms = entry.clock.now_ms();
            entry.state.borrow_mut().pool.on_group_fault(&pick.id, now_ms);
        }
        return Attempt::NotRun { status: head.status };
    }
    let lacks_proof = head.status.is_success() && !head.headers.contains_key(&names.proof);
    if !is_own || lacks_proof {
        flight.set(Outcome::Failed);
        let cause = if is_own { "answer without proof" } else { "answer to another request" };
        return Attempt::MayHaveRun { cause: cause.to_owned() };
    }
    Attempt::Answered(Box::new(Answer { head, body, connection, pick: pick.clone(), flight }))
}

fn note_load<D: Dialect>(entry: &Entry<D>, id: &str, headers: &HeaderMap) {
    let value = headers.get(&entry.dialect.headers().load).and_then(|value| value.to_str().ok());
    if let Some(load) = value.and_then(|value| entry.dialect.read_load(value)) {
        let now_ms = entry.clock.now_ms();
        entry.state.borrow_mut().pool.on_load(id, load, now_ms);
    }
}
