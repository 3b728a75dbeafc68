//! One caller's request and its attempts, until an endpoint answers or it is given up.

mod choosing;
mod ending;

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use ochreyard_core::direct::{
    Arrival, EndpointLife, Fingerprint, Homes, LostRequest, Outcome, Pick, Route, RouteKind, WaitFacts,
};

use crate::answer::{Answer, caller_response};
use crate::answer_body::AnswerBody;
use crate::attempt::{self, Attempt};
use crate::buffered_bytes::{BodyError, BufferedBytes};
use crate::caller_request::CallerRequest;
use crate::crash_check::{self, CrashCheck};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::give_up_reason::GiveUpReason;
use crate::meters;
use crate::stall_outcome::StallOutcome;

/// Aims after which an endpoint that is silent to everybody loses the request.
const SILENCE_TIMEOUT_FACTOR: f64 = 2.5;
/// Why a request left an endpoint that goes on, but makes its whole group slow.
pub const SLOW_ENDPOINT: &str = "its endpoint is slow";
/// Longest wait until it is known whether a broken endpoint crashed, before the request goes on
/// elsewhere: several round trips between data centres, and less than half of a pause that is in time.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(50);
/// The longest answer that is taken whole before it goes to its caller.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How often a waiting request looks whether its endpoint is still heard.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One request with all that its attempts need.
pub struct Job<D: Dialect> {
    /// The process.
    pub entry: Rc<Entry<D>>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: String,
    /// Where it may run.
    pub homes: Homes,
    /// The bytes of its body.
    pub _buffered_body: BufferedBytes<D>,
    /// The request itself.
    pub request: CallerRequest,
    /// When its time ends.
    pub deadline_ms: u64,
    /// How it arrived.
    pub arrival: Arrival,
    /// Since when its caller has heard nothing: since its head came, or since the last event that it got.
    pub silent_since_ms: u64,
    /// When its last attempt began.
    pub attempt_started_ms: u64,
    /// When the head of its last attempt's answer came.
    pub head_ms: Option<u64>,
    /// Whether it has arrived at an endpoint: the next attempt is a repeat.
    pub has_reached_endpoint: bool,
    /// What was known when it last found no endpoint.
    pub last_wait_facts: Option<WaitFacts>,
    /// Attempts that an endpoint got.
    pub sent: u64,
    /// Attempts that were refused because the whole group stood.
    pub stall_refusals: usize,
    /// Lives of endpoints that were tried.
    pub tried: Vec<EndpointLife>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// What tells that this request comes again, once that was asked for.
    pub fingerprint: OnceCell<Fingerprint>,
    /// Notes how it ends.
    pub end: StallOutcome<D>,
    /// Whether it is a suspect that is being tried by this attempt of its caller.
    pub is_on_trial: bool,
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
    pub async fn next_answer(&mut self) -> Result<Answer<D>, GiveUpReason> {
        let mut last = GiveUpReason::NoEndpoint;
        loop {
            let pick = self.wait_for_pick(last).await?;
            let attempt = self.attempt_at(&pick).await;
            self.count(&pick, attempt.as_ref());
            match attempt {
                Some(Attempt::Answered(answer)) => {
                    self.head_ms = Some(self.entry.clock.now_ms());
                    return Ok(*answer);
                }
                Some(Attempt::NotSent) => last = GiveUpReason::NoEndpoint,
                Some(Attempt::Unwanted) => {}
                Some(Attempt::NotRun { status, backoff_ms }) => {
                    meters::on_refused_arrival(&self.service, backoff_ms.is_some());
                    let asked =
                        backoff_ms.map_or_else(String::new, |ms| format!(", asks for {ms} ms without requests"));
                    self.log_failed_attempt(&pick, &format!("not run, status {status}{asked}"));
                    last = GiveUpReason::Full;
                }
                Some(Attempt::MayHaveRun { cause }) => {
                    self.record_failed_attempt(&pick, &cause);
                    last = GiveUpReason::Failed;
                }
                Some(Attempt::Lost { cause }) => {
                    self.record_lost_attempt(&pick, &cause).await;
                    last = GiveUpReason::Failed;
                }
                None => {
                    self.may_have_run = true;
                    return Err(GiveUpReason::TimeUp);
                }
            }
        }
    }

    /// Sends the request to one endpoint. `None` when its time ends first.
    async fn attempt_at(&mut self, pick: &Pick) -> Option<Attempt<D>> {
        let left_ms = self.time_left_ms();
        self.attempt_started_ms = self.entry.clock.now_ms();
        self.head_ms = None;
        let attempt = attempt::send(&self.entry, &self.request, pick, left_ms);
        tokio::time::timeout(Duration::from_millis(left_ms), self.watch_for_silence(pick, attempt)).await.ok()
    }

    /// Waits for an attempt, but not for an endpoint that is silent to everybody
    /// while another one may run the request, nor for one that has turned slow.
    async fn watch_for_silence(&self, pick: &Pick, attempt: impl Future<Output = Attempt<D>>) -> Attempt<D> {
        let patience_ms = (self.route.aim_ms as f64 * SILENCE_TIMEOUT_FACTOR) as u64;
        let may_resume = self.route.kind.may_run_again() && self.sent + 1 < self.route.max_attempts;
        let started_ms = self.entry.clock.now_ms();
        tokio::pin!(attempt);
        loop {
            tokio::select! {
                done = &mut attempt => return done,
                () = tokio::time::sleep(SILENCE_CHECK_INTERVAL) => {}
            }
            let now_ms = self.entry.clock.now_ms();
            let waited_ms = now_ms - started_ms;
            let is_silent = self.entry.state.borrow().pool.is_silent(&pick.id, patience_ms, now_ms);
            if may_resume && self.should_leave(pick) {
                return Attempt::MayHaveRun { cause: SLOW_ENDPOINT.to_owned() };
            }
            if may_resume && waited_ms >= patience_ms && is_silent {
                return Attempt::MayHaveRun { cause: format!("silent for {waited_ms} ms") };
            }
        }
    }

    /// Whether it should leave a slow endpoint, and a repeat elsewhere is left.
    pub fn should_leave(&self, pick: &Pick) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        state.pool.should_leave(&pick.id, &self.homes, &self.service, &self.tried, now_ms)
            && state.budget.has_one(&self.service, now_ms)
    }

    /// Counts an attempt. An endpoint that was not reached never had the request. Where the
    /// whole group stands, its rank is not at fault, and may be asked again once it goes on.
    fn count(&mut self, pick: &Pick, attempt: Option<&Attempt<D>>) {
        if matches!(attempt, Some(Attempt::Unwanted)) {
            return;
        }
        let was_reached = !matches!(attempt, Some(Attempt::NotSent));
        self.has_reached_endpoint |= was_reached;
        if matches!(attempt, Some(Attempt::NotRun { .. })) && self.is_service_stalled() {
            self.stall_refusals += 1;
            return;
        }
        self.sent += u64::from(was_reached);
        self.tried.push(pick.life());
    }

    fn is_service_stalled(&self) -> bool {
        self.entry.state.borrow().pool.is_down(&self.service, self.entry.clock.now_ms())
    }

    /// Reads an answer whole. `None` if it broke off, or is a failure that another
    /// endpoint may make good.
    pub async fn read_complete(&mut self, mut answer: Answer<D>) -> Option<Response<AnswerBody>> {
        let wait = Duration::from_millis(self.time_left_ms());
        let mut held = BufferedBytes::none(&self.entry);
        let body = match tokio::time::timeout(wait, held.take(&mut answer.body, MAX_ANSWER_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::AnswerAborted(error))) => {
                answer.in_flight.set(Outcome::Failed);
                self.record_lost_attempt(&answer.pick, &format!("answer broke off: {error}")).await;
                return None;
            }
            Ok(Err(cause)) => {
                answer.in_flight.set(Outcome::Failed);
                self.record_failed_attempt(&answer.pick, &format!("answer not taken: {cause}"));
                return None;
            }
            Err(_) => {
                self.may_have_run = true;
                return None;
            }
        };
        let failed = answer.head.status.is_server_error();
        answer.in_flight.set(if failed { Outcome::Failed } else { Outcome::Good });
        if !failed {
            self.record_success();
        }
        let head = answer.head.clone();
        let pick = answer.pick.clone();
        let entry = Rc::clone(&self.entry);
        answer.finish(&entry);
        if failed && self.may_retry() {
            self.record_failed_attempt(&pick, &format!("status {}", head.status));
            return None;
        }
        meters::on_answer(&self.service, if failed { "endpoint_answered_5xx" } else { "whole" }, self.elapsed_ms());
        Some(caller_response(head.status, head.headers, AnswerBody::whole(body)))
    }

    /// Notes how long serving it took.
    pub fn record_success(&mut self) {
        self.end.on_served();
        let took_ms = self.entry.clock.now_ms().saturating_sub(self.attempt_started_ms);
        let mut state = self.entry.state.borrow_mut();
        state.queue(&self.service).time.note(took_ms);
        let is_any_suspected = !state.quarantine.is_empty();
        drop(state);
        if is_any_suspected {
            self.entry.on_good_end(self.fingerprint());
        }
    }

    /// Milliseconds since the request's head came.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        self.entry.clock.now_ms() - self.started_ms
    }

    /// An attempt broke off with its connection. Looks whether its endpoint crashed.
    pub async fn record_lost_attempt(&mut self, pick: &Pick, cause: &str) {
        self.record_failed_attempt(pick, cause);
        let (entry, pick, service) = (Rc::clone(&self.entry), pick.clone(), self.service.clone());
        let lost_ms = entry.clock.now_ms();
        let lost = LostRequest { fingerprint: self.fingerprint(), ran_ms: self.ran_ms(lost_ms) };
        let look = tokio::task::spawn_local(async move {
            let found = crash_check::check(&entry, &pick).await;
            log::info!(
                "event=request_lost fingerprint={} endpoint={} found={found:?} ran_ms={:?}",
                lost.fingerprint,
                pick.id,
                lost.ran_ms
            );
            if found == CrashCheck::Crashed {
                entry.on_crash(&pick, &service, lost, lost_ms);
            }
        });
        // A connection to an endpoint that is cut off comes up late or never; the look goes on without us.
        drop(tokio::time::timeout(CRASH_CHECK_WAIT, look).await);
    }

    /// How long its attempt has run; `None` where it has not begun, as far as known. A stream's head comes
    /// as its run begins; of others nothing comes before the end.
    fn ran_ms(&self, now_ms: u64) -> Option<u64> {
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        let began_ms = if is_stream { self.head_ms } else { Some(self.attempt_started_ms) };
        began_ms.map(|began_ms| now_ms.saturating_sub(began_ms))
    }

    /// What tells that this request comes again.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.request.fingerprint(self.entry.dialect.headers()))
    }

    /// An attempt failed that may have run.
    pub fn record_failed_attempt(&mut self, pick: &Pick, cause: &str) {
        self.may_have_run = true;
        self.log_failed_attempt(pick, cause);
    }
}
