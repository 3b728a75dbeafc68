//! One caller's request and its attempts, until an endpoint answers or it is given up.

mod choosing;
mod ending;

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use ochreyard_core::direct::{
    AllowedRegions, Arrival, AttemptOutcome, EndpointIncarnation, Fingerprint, LostRequest, Pick, Route, RouteKind,
    WaitFacts,
};

use crate::answer::{Answer, pass_on};
use crate::answer_body::AnswerBody;
use crate::attempt::{self, Attempt};
use crate::caller_request::CallerRequest;
use crate::crash_check::{self, CrashCheck};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::given_up::GivenUp;
use crate::held_bytes::{HeldBytes, NotTaken};
use crate::meters;
use crate::try_end::TryEnd;

/// Aims after which an endpoint that is silent to everybody loses the request.
const PATIENCE_AIMS: f64 = 2.5;
/// Why a request left an endpoint that goes on, but makes its whole group slow.
pub const SLOW_ENDPOINT: &str = "its endpoint is slow";
/// Longest wait until it is known whether a broken endpoint crashed, before the request goes on
/// elsewhere: several round trips between data centres, and less than half of a pause that is in time.
const LOOK_WAIT: Duration = Duration::from_millis(50);
/// The longest answer that is taken whole before it goes to its caller.
const MAX_ANSWER_BYTES: usize = 16 << 20;
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
    /// Where it may run.
    pub homes: AllowedRegions,
    /// The bytes of its body.
    pub _held_body: HeldBytes<D>,
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
    pub has_arrived: bool,
    /// What was known when it last found no endpoint.
    pub last_facts: Option<WaitFacts>,
    /// Attempts that an endpoint got.
    pub sent: u64,
    /// Attempts that were refused because the whole group stood.
    pub refused_by_stands: usize,
    /// Lives of endpoints that were tried.
    pub tried: Vec<EndpointIncarnation>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// What tells that this request comes again, once that was asked for.
    pub fingerprint: OnceCell<Fingerprint>,
    /// Notes how it ends.
    pub end: TryEnd<D>,
    /// Whether it is a suspect that is being tried by this attempt of its caller.
    pub is_tried: bool,
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
            self.count(&pick, attempt.as_ref());
            match attempt {
                Some(Attempt::Answered(answer)) => {
                    self.head_ms = Some(self.entry.clock.now_ms());
                    return Ok(*answer);
                }
                Some(Attempt::NotSent) => last = GivenUp::NoEndpoint,
                Some(Attempt::Unwanted) => {}
                Some(Attempt::NotRun { status, backoff_ms }) => {
                    meters::on_refused_arrival(&self.service, backoff_ms.is_some());
                    let asked =
                        backoff_ms.map_or_else(String::new, |ms| format!(", asks for {ms} ms without requests"));
                    self.note_failure(&pick, &format!("not run, status {status}{asked}"));
                    last = GivenUp::Full;
                }
                Some(Attempt::MayHaveRun { cause }) => {
                    self.note_failed_attempt(&pick, &cause);
                    last = GivenUp::Failed;
                }
                Some(Attempt::Lost { cause }) => {
                    self.note_lost_attempt(&pick, &cause).await;
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
    async fn attempt_at(&mut self, pick: &Pick) -> Option<Attempt<D>> {
        let left_ms = self.time_left_ms();
        self.attempt_started_ms = self.entry.clock.now_ms();
        self.head_ms = None;
        let attempt = attempt::send(&self.entry, &self.request, pick, left_ms);
        tokio::time::timeout(Duration::from_millis(left_ms), self.unless_silent(pick, attempt)).await.ok()
    }

    /// Waits for an attempt, but not for an endpoint that is silent to everybody
    /// while another one may run the request, nor for one that has turned slow.
    async fn unless_silent(&self, pick: &Pick, attempt: impl Future<Output = Attempt<D>>) -> Attempt<D> {
        let patience_ms = (self.route.target_latency_ms as f64 * PATIENCE_AIMS) as u64;
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
            if may_go_on && self.should_leave(pick) {
                return Attempt::MayHaveRun { cause: SLOW_ENDPOINT.to_owned() };
            }
            if may_go_on && waited_ms >= patience_ms && is_silent {
                return Attempt::MayHaveRun { cause: format!("silent for {waited_ms} ms") };
            }
        }
    }

    /// Whether it should leave a slow endpoint, and a repeat elsewhere is left.
    pub fn should_leave(&self, pick: &Pick) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        state.pool.should_migrate(&pick.id, &self.homes, &self.service, &self.tried, now_ms)
            && state.budget.has_retry(&self.service, now_ms)
    }

    /// Counts an attempt. An endpoint that was not reached never had the request. Where the
    /// whole group stands, its rank is not at fault, and may be asked again once it goes on.
    fn count(&mut self, pick: &Pick, attempt: Option<&Attempt<D>>) {
        if matches!(attempt, Some(Attempt::Unwanted)) {
            return;
        }
        let was_reached = !matches!(attempt, Some(Attempt::NotSent));
        self.has_arrived |= was_reached;
        if matches!(attempt, Some(Attempt::NotRun { .. })) && self.stands() {
            self.refused_by_stands += 1;
            return;
        }
        self.sent += u64::from(was_reached);
        self.tried.push(pick.incarnation());
    }

    fn stands(&self) -> bool {
        self.entry.state.borrow().pool.is_down(&self.service, self.entry.clock.now_ms())
    }

    /// Reads an answer whole. `None` if it broke off, or is a failure that another
    /// endpoint may make good.
    pub async fn take_whole(&mut self, mut answer: Answer<D>) -> Option<Response<AnswerBody>> {
        let wait = Duration::from_millis(self.time_left_ms());
        let mut held = HeldBytes::none(&self.entry);
        let body = match tokio::time::timeout(wait, held.take(&mut answer.body, MAX_ANSWER_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(NotTaken::BrokenOff(error))) => {
                answer.flight.set(AttemptOutcome::Failed);
                self.note_lost_attempt(&answer.pick, &format!("answer broke off: {error}")).await;
                return None;
            }
            Ok(Err(cause)) => {
                answer.flight.set(AttemptOutcome::Failed);
                self.note_failed_attempt(&answer.pick, &format!("answer not taken: {cause}"));
                return None;
            }
            Err(_) => {
                self.may_have_run = true;
                return None;
            }
        };
        let failed = answer.head.status.is_server_error();
        answer.flight.set(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success });
        if !failed {
            self.note_served();
        }
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

    /// Notes how long serving it took.
    pub fn note_served(&mut self) {
        self.end.on_served();
        let took_ms = self.entry.clock.now_ms().saturating_sub(self.attempt_started_ms);
        let mut state = self.entry.state.borrow_mut();
        state.queue(&self.service).service_time.record(took_ms);
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
    pub async fn note_lost_attempt(&mut self, pick: &Pick, cause: &str) {
        self.note_failed_attempt(pick, cause);
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
        drop(tokio::time::timeout(LOOK_WAIT, look).await);
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
    pub fn note_failed_attempt(&mut self, pick: &Pick, cause: &str) {
        self.may_have_run = true;
        self.note_failure(pick, cause);
    }
}
