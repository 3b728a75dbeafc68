//! One caller's request, from its head to its final answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::{NoPick, Outcome, Pick, Route, RouteKind, RouteTable};
use ochreyard_core::error_kind::{ErrorKind, Refusal};

use crate::answer_body::AnswerBody;
use crate::attempt::{self, Answer, Attempt, CallerRequest, strip_hop_by_hop};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::refusal;
use crate::relay;

/// When a caller should come back whose box is leaving, in milliseconds: at once,
/// since its next connection leads to another box.
const LEAVING_COME_BACK_MS: u64 = 50;
/// Least and most time after which a caller should come back that found no room,
/// in milliseconds: about as long as a stream runs, spread so that they do not
/// come all at once.
const COME_BACK_MS: (u64, u64) = (500, 2_500);
/// A request waits for room for one part in this many of its aim, and is refused then.
const WAIT_SHARE_OF_AIM: u64 = 5;
/// How often a waiting request looks for room.
const ROOM_LOOK: Duration = Duration::from_millis(10);
/// Endpoints that are tried in vain for one request before it is given up, where
/// none of them got it.
const MAX_UNREACHED: usize = 4;
/// Least time left for which another attempt is worth its cost, in milliseconds.
const LEAST_USEFUL_MS: u64 = 30;
/// Share of the aim after which an endpoint that is silent to everybody loses the request.
const PATIENCE_AIMS: f64 = 2.5;
/// How often a waiting request looks whether its endpoint is still heard.
const SILENCE_LOOK: Duration = Duration::from_millis(100);

/// One request with all that its attempts need.
pub struct Job<D: Dialect> {
    /// The process.
    pub entry: Rc<Entry<D>>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: String,
    /// The request itself.
    pub request: CallerRequest,
    /// When its time ends.
    pub deadline_ms: u64,
    /// Attempts that an endpoint got.
    pub sent: u64,
    /// Endpoints that were tried.
    pub tried: Vec<String>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    started_ms: u64,
    config_version: u64,
}

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GivenUp {
    /// No endpoint can take it.
    NoEndpoint,
    /// The endpoints that were asked have no room.
    Full,
    /// The budget of repeats is used up.
    Budget,
    /// An attempt failed and no other is allowed.
    Failed,
    /// Its time is over.
    TimeUp,
}

/// Answers a caller's request.
pub async fn answer<D: Dialect>(entry: Rc<Entry<D>>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started_ms = entry.clock.now_ms();
    let table = entry.state.borrow().table.clone();
    let (head, body) = request.into_parts();
    let Some(table) = table else {
        return refusal::of_kind(ErrorKind::Stale);
    };
    let body = match read_body(body, &table).await {
        Ok(body) => body,
        Err(kind) => return refusal::of_kind(kind),
    };
    if entry.is_refusing.get() {
        return refusal::response(&Refusal::new(ErrorKind::Leaving).with_retry_after_ms(LEAVING_COME_BACK_MS));
    }
    // The newest configuration counts: the body may have taken its time.
    let table = entry.state.borrow().table.clone().unwrap_or(table);
    match admit(&entry, &table, head, body, started_ms) {
        Ok(job) => run(job).await,
        Err(kind) => refusal::of_kind(kind),
    }
}

async fn read_body(body: Incoming, table: &RouteTable) -> Result<Bytes, ErrorKind> {
    let limits = table.limits();
    let wait = Duration::from_millis(limits.idle_timeout_ms);
    let collected = tokio::time::timeout(wait, Limited::new(body, limits.max_body_bytes).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Ok(Err(_)) => Err(ErrorKind::BadRequest),
        Err(_) => Err(ErrorKind::CallerSlow),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Checks that the request may be served, and says by which service.
fn admit<D: Dialect>(
    entry: &Rc<Entry<D>>,
    table: &RouteTable,
    head: request::Parts,
    body: Bytes,
    started_ms: u64,
) -> Result<Job<D>, ErrorKind> {
    let names = entry.dialect.headers();
    let host = text(&head.headers, &http::header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
    let route = table.route(host, head.uri.path()).ok_or(ErrorKind::UnknownService)?;
    let workspace = text(&head.headers, &names.key).and_then(|key| table.workspace_of(key));
    if table.needs_key() && !route.public && workspace.is_none() {
        return Err(ErrorKind::Unauthenticated);
    }
    let service = route.service_for(entry.draw()).ok_or(ErrorKind::NoEndpoint)?.to_owned();
    let caller_ms = text(&head.headers, &names.deadline_ms).and_then(|value| value.trim().parse::<u64>().ok());
    let held_ms = caller_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let mut request = CallerRequest::new(&entry.dialect, head, body);
    if let Some(name) = workspace.and_then(|workspace| workspace.name.parse().ok()) {
        request.headers.insert(names.workspace.clone(), name);
    }
    entry.state.borrow_mut().budget.on_request(&service, started_ms);
    Ok(Job {
        entry: Rc::clone(entry),
        route: Arc::clone(route),
        service,
        request,
        deadline_ms: started_ms + held_ms,
        sent: 0,
        tried: Vec::new(),
        may_have_run: false,
        started_ms,
        config_version: table.version(),
    })
}

/// Runs a request to its final answer, or to the start of its stream.
async fn run<D: Dialect>(mut job: Job<D>) -> Response<AnswerBody> {
    loop {
        let answer = match job.next_answer().await {
            Ok(answer) => answer,
            Err(given_up) => return job.give_up(given_up),
        };
        if matches!(job.route.kind, RouteKind::Stream { .. }) && answer.head.status.is_success() {
            return relay::stream(job, answer);
        }
        match job.take_whole(answer).await {
            Some(response) => return response,
            None if job.time_left_ms() == 0 => return job.give_up(GivenUp::TimeUp),
            None => {}
        }
    }
}

impl<D: Dialect> Job<D> {
    /// Milliseconds until its time ends.
    #[must_use]
    pub fn time_left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.entry.clock.now_ms())
    }

    /// Tries endpoints until one answers.
    ///
    /// # Errors
    ///
    /// When no further attempt is allowed or useful.
    pub async fn next_answer(&mut self) -> Result<Answer<D>, GivenUp> {
        let mut last = GivenUp::NoEndpoint;
        loop {
            let pick = self.wait_for_pick(last).await?;
            let left_ms = self.time_left_ms();
            let wait = Duration::from_millis(left_ms);
            let request = self.request.clone();
            let entry = Rc::clone(&self.entry);
            let attempt = attempt::send(&entry, &request, &pick, left_ms);
            let attempt = tokio::time::timeout(wait, self.unless_silent(&pick, attempt)).await;
            self.tried.push(pick.id.clone());
            match attempt {
                Ok(Attempt::Answered(answer)) => {
                    self.sent += 1;
                    return Ok(*answer);
                }
                Ok(Attempt::NotSent) => last = GivenUp::NoEndpoint,
                Ok(Attempt::NotRun { status }) => {
                    self.sent += 1;
                    self.note_failure(&pick, &format!("not run, status {status}"));
                    last = GivenUp::Full;
                }
                Ok(Attempt::MayHaveRun { cause }) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    self.note_failure(&pick, &cause);
                    last = GivenUp::Failed;
                }
                Err(_) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    return Err(GivenUp::TimeUp);
                }
            }
        }
    }

    /// Waits for an attempt, but not for an endpoint that is silent to everybody
    /// while another one may run the request.
    async fn unless_silent(&self, pick: &Pick, attempt: impl Future<Output = Attempt<D>>) -> Attempt<D> {
        let patience_ms = (self.route.aim_ms as f64 * PATIENCE_AIMS) as u64;
        let may_go_on = self.route.kind.may_run_again() && self.sent + 1 < self.route.max_attempts;
        let started_ms = self.entry.clock.now_ms();
        tokio::pin!(attempt);
        loop {
            tokio::select! {
                done = &mut attempt => return done,
                () = tokio::time::sleep(SILENCE_LOOK) => {}
            }
            let now_ms = self.entry.clock.now_ms();
            let waited_ms = now_ms - started_ms;
            let is_silent = self.entry.state.borrow().pool.is_silent(&pick.id, patience_ms, now_ms);
            if may_go_on && waited_ms >= patience_ms && is_silent {
                return Attempt::MayHaveRun { cause: format!("silent for {waited_ms} ms") };
            }
        }
    }

    /// Picks an endpoint; where all are full, waits a little for room.
    async fn wait_for_pick(&mut self, last: GivenUp) -> Result<Pick, GivenUp> {
        let until_ms = self.entry.clock.now_ms() + self.route.aim_ms / WAIT_SHARE_OF_AIM;
        loop {
            match self.pick_next(last) {
                Err(GivenUp::Full) if self.entry.clock.now_ms() < until_ms && !self.is_spent() => {
                    tokio::time::sleep(ROOM_LOOK).await;
                }
                result => return result,
            }
        }
    }

    /// Whether no further attempt is allowed.
    fn is_spent(&self) -> bool {
        self.sent >= self.route.max_attempts || self.tried.len() >= MAX_UNREACHED
    }

    fn pick_next(&mut self, last: GivenUp) -> Result<Pick, GivenUp> {
        let now_ms = self.entry.clock.now_ms();
        let is_repeat = self.sent > 0;
        if self.may_have_run && !self.route.kind.may_run_again() {
            return Err(GivenUp::Failed);
        }
        if self.is_spent() {
            return Err(last);
        }
        if self.time_left_ms() < LEAST_USEFUL_MS {
            return Err(GivenUp::TimeUp);
        }
        let mut state = self.entry.state.borrow_mut();
        let pick = state.pool.pick(&self.service, &self.tried, self.entry.draw(), now_ms);
        let pick = pick.map_err(|none| if none == NoPick::Full { GivenUp::Full } else { last })?;
        if is_repeat && !state.budget.try_take(&self.service, now_ms) {
            return Err(GivenUp::Budget);
        }
        Ok(pick)
    }

    /// Reads an answer whole. `None` if it broke off, or is a failure that another
    /// endpoint may make good.
    async fn take_whole(&mut self, mut answer: Answer<D>) -> Option<Response<AnswerBody>> {
        let wait = Duration::from_millis(self.time_left_ms());
        let body = match tokio::time::timeout(wait, (&mut answer.body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                answer.flight.set(Outcome::Failed);
                self.may_have_run = true;
                self.note_failure(&answer.pick, &format!("answer broke off: {error}"));
                return None;
            }
            Err(_) => {
                self.may_have_run = true;
                return None;
            }
        };
        let failed = answer.head.status.is_server_error();
        answer.flight.set(if failed { Outcome::Failed } else { Outcome::Good });
        let head = answer.head.clone();
        let pick = answer.pick.clone();
        let entry = Rc::clone(&self.entry);
        answer.finish(&entry);
        if failed && self.may_try_again() {
            self.may_have_run = true;
            self.note_failure(&pick, &format!("status {}", head.status));
            return None;
        }
        Some(pass_on(head.status, head.headers, AnswerBody::whole(body)))
    }

    fn may_try_again(&self) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        self.route.kind.may_run_again()
            && self.sent < self.route.max_attempts
            && self.time_left_ms() >= LEAST_USEFUL_MS
            && state.budget.has_one(&self.service, now_ms)
            && state.pool.pick(&self.service, &self.tried, 0, now_ms).is_ok()
    }

    fn id(&self) -> &str {
        self.request.attempt_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    fn note_failure(&self, pick: &Pick, cause: &str) {
        log::info!(
            "event=attempt_failed request={} service={} endpoint={} attempt={} left_ms={} cause=\"{cause}\"",
            self.id(),
            self.service,
            pick.id,
            self.sent,
            self.time_left_ms()
        );
    }

    /// The final answer of a request that is not tried again.
    fn give_up(&self, why: GivenUp) -> Response<AnswerBody> {
        let kind = match why {
            GivenUp::TimeUp if self.sent > 0 => ErrorKind::DeadlineExceeded,
            _ if self.may_have_run => ErrorKind::EndpointFailed,
            GivenUp::Full => ErrorKind::Overloaded,
            GivenUp::Budget => ErrorKind::RetryBudgetSpent,
            GivenUp::NoEndpoint | GivenUp::Failed | GivenUp::TimeUp => ErrorKind::NoEndpoint,
        };
        log::info!(
            "event=request_failed request={} route={} service={} kind={kind} why={why:?} sent={} config_version={} \
             elapsed_ms={}",
            self.id(),
            self.route.name,
            self.service,
            self.sent,
            self.config_version,
            self.entry.clock.now_ms() - self.started_ms
        );
        let refusal = Refusal::new(kind);
        let comes_back = refusal.kind.rule().status == StatusCode::SERVICE_UNAVAILABLE;
        let (least_ms, most_ms) = COME_BACK_MS;
        let after_ms = least_ms + self.entry.draw() % (most_ms - least_ms);
        refusal::response(&if comes_back { refusal.with_retry_after_ms(after_ms) } else { refusal })
    }

    /// A stream was broken off for good.
    pub fn note_broken_stream(&self, pick: &Pick, cause: &str) {
        log::info!(
            "event=stream_broken request={} route={} service={} endpoint={} sent={} elapsed_ms={} cause=\"{cause}\"",
            self.id(),
            self.route.name,
            self.service,
            pick.id,
            self.sent,
            self.entry.clock.now_ms() - self.started_ms
        );
    }

    /// An attempt of a stream failed midway.
    pub fn note_failed_attempt(&mut self, pick: &Pick, cause: &str) {
        self.may_have_run = true;
        self.note_failure(pick, cause);
    }
}

/// The endpoint's own answer, as the caller gets it.
pub fn pass_on(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut headers = headers;
    strip_hop_by_hop(&mut headers, &[]);
    headers.remove(http::header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
