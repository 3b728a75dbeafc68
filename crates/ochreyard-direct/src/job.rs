//! One caller's request and its attempts, until an endpoint answers or it is given up.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use http_body_util::BodyExt;
use ochreyard_core::direct::{NoPick, Outcome, Pick, Route};
use ochreyard_core::error_kind::{ErrorKind, Refusal};

use crate::answer::{Answer, pass_on};
use crate::answer_body::AnswerBody;
use crate::attempt::{self, Attempt};
use crate::caller_request::CallerRequest;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::given_up::GivenUp;
use crate::{meters, refusal};

/// Least and most time after which a caller should come back that found no room, as
/// one part in this many of the time that it has left: late enough that what was in
/// the way has likely passed, with most of its time still left then, and spread so
/// that callers do not come all at once.
const COME_BACK_PARTS: (f64, f64) = (5.0, 3.0);
/// The same where all groups of the service are down: a group that forms anew takes
/// seconds, so nearly the longest time that callers wait for.
const COME_BACK_PARTS_DOWN: (f64, f64) = (3.4, 3.0);
/// A request waits for room for one part in this many of its aim, and is refused then.
const WAIT_SHARE_OF_AIM: u64 = 5;
/// How often a waiting request looks for room: well under the time of a step.
const ROOM_LOOK: Duration = Duration::from_millis(10);
/// Endpoints that are tried in vain for one request before it is given up, where
/// none of them got it.
const MAX_UNREACHED: usize = 4;
/// Least time left for which another attempt is worth its cost, in milliseconds: an
/// engine's step alone takes longer.
const LEAST_USEFUL_MS: u64 = 30;
/// Aims after which an endpoint that is silent to everybody loses the request.
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
    /// When its head had come.
    pub started_ms: u64,
    /// The configuration that it was admitted under.
    pub config_version: u64,
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
            let attempt = self.attempt_at(&pick).await;
            self.tried.push(pick.id.clone());
            // An endpoint that was not reached never had the request.
            self.sent += u64::from(!matches!(attempt, Some(Attempt::NotSent)));
            match attempt {
                Some(Attempt::Answered(answer)) => return Ok(*answer),
                Some(Attempt::NotSent) => last = GivenUp::NoEndpoint,
                Some(Attempt::NotRun { status }) => {
                    self.note_failure(&pick, &format!("not run, status {status}"));
                    last = GivenUp::Full;
                }
                Some(Attempt::MayHaveRun { cause }) => {
                    self.note_failed_attempt(&pick, &cause);
                    last = GivenUp::Failed;
                }
                None => {
                    self.may_have_run = true;
                    return Err(GivenUp::TimeUp);
                }
            }
        }
    }

    /// Sends the request to one endpoint. `None` when its time ends first.
    async fn attempt_at(&self, pick: &Pick) -> Option<Attempt<D>> {
        let left_ms = self.time_left_ms();
        let attempt = attempt::send(&self.entry, &self.request, pick, left_ms);
        tokio::time::timeout(Duration::from_millis(left_ms), self.unless_silent(pick, attempt)).await.ok()
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
        if is_repeat {
            meters::on_repeat(&self.service);
        }
        Ok(pick)
    }

    /// Reads an answer whole. `None` if it broke off, or is a failure that another
    /// endpoint may make good.
    pub async fn take_whole(&mut self, mut answer: Answer<D>) -> Option<Response<AnswerBody>> {
        let wait = Duration::from_millis(self.time_left_ms());
        let body = match tokio::time::timeout(wait, (&mut answer.body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                answer.flight.set(Outcome::Failed);
                self.note_failed_attempt(&answer.pick, &format!("answer broke off: {error}"));
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
            self.note_failed_attempt(&pick, &format!("status {}", head.status));
            return None;
        }
        meters::on_answer(&self.service, if failed { "endpoint_answered_5xx" } else { "whole" }, self.elapsed_ms());
        Some(pass_on(head.status, head.headers, AnswerBody::whole(body)))
    }

    /// Whether a whole answer that is a failure may be made good by another endpoint.
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

    /// Milliseconds since the request's head came.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        self.entry.clock.now_ms() - self.started_ms
    }

    fn note_failure(&self, pick: &Pick, cause: &str) {
        meters::on_failed_attempt(&self.service);
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
    pub fn give_up(&self, why: GivenUp) -> Response<AnswerBody> {
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
            self.elapsed_ms()
        );
        meters::on_answer(&self.service, kind.as_str(), self.elapsed_ms());
        let refusal = Refusal::new(kind);
        let comes_back = refusal.kind.rule().status == StatusCode::SERVICE_UNAVAILABLE;
        refusal::response(&if comes_back { refusal.with_retry_after_ms(self.come_back_ms()) } else { refusal })
    }

    /// When a caller should come back, in milliseconds.
    fn come_back_ms(&self) -> u64 {
        let is_down = self.entry.state.borrow().pool.is_down(&self.service, self.entry.clock.now_ms());
        let (least, most) = if is_down { COME_BACK_PARTS_DOWN } else { COME_BACK_PARTS };
        let left_ms = self.time_left_ms() as f64;
        let (least_ms, most_ms) = ((left_ms / least) as u64, (left_ms / most) as u64);
        least_ms + self.entry.draw() % (most_ms - least_ms).max(1)
    }

    /// A stream was broken off for good.
    pub fn note_broken_stream(&self, pick: &Pick, cause: &str) {
        meters::on_answer(&self.service, "broken_off", self.elapsed_ms());
        log::info!(
            "event=stream_broken request={} route={} service={} endpoint={} sent={} elapsed_ms={} cause=\"{cause}\"",
            self.id(),
            self.route.name,
            self.service,
            pick.id,
            self.sent,
            self.elapsed_ms()
        );
    }

    /// An attempt failed that may have run.
    pub fn note_failed_attempt(&mut self, pick: &Pick, cause: &str) {
        self.may_have_run = true;
        self.note_failure(pick, cause);
    }
}
