//! One caller's request and its attempts, until an endpoint answers or the request is given up.

mod attempt_progress;
mod choosing;
mod ending;
mod replacing;

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use ochreyard_core::direct::{
    AbandonedAttempt, Arrival, AttemptOutcome, EndpointIncarnation, Fingerprint, LostPart, LostRequest, PartDecision,
    PermittedRegions, Pick, Priority, PriorityLevel, PromptPart, QuarantineDecision, Route, RouteKind, TakenRetry,
    WaitFacts, Workspace, is_long_run, is_past_start,
};

pub use self::attempt_progress::AttemptProgress;
use self::replacing::{AttemptEnd, SILENCE_CHECK_INTERVAL};
use crate::answer::{Answer, caller_response};
use crate::answer_body::AnswerBody;
use crate::answer_limits::{MAX_ANSWER_BYTES, MAX_FAILURE_BYTES, MIN_ANSWER_BYTES_PER_MS};
use crate::attempt::{self, Attempt, AttemptTimeouts};
use crate::buffered_bytes::{BodyError, BufferedBytes};
use crate::caller_request::CallerRequest;
use crate::crash_check::{self, Break, CrashCheck, SETTLE_TIME};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::give_up_reason::GiveUpReason;
use crate::meters;
use crate::part_trial::{RunningTrial, TrialClaim};
use crate::stall_outcome::StallOutcome;
use crate::timeout::{poll_after_reads, timeout_after_reads};
use crate::witness::Testimony;

/// Cause logged when a request leaves an endpoint that runs, but slows down its whole group.
pub const SLOW_ENDPOINT: &str = "its endpoint is slow";
/// Cause logged when an answer ends with its connection because the endpoint crashed.
pub const ENDED_WITH_ENDPOINT: &str = "ended with its endpoint";
/// Longest wait for the check whether a broken endpoint crashed, before the request is sent to another one. It allows
/// several round trips between data centres, and takes less than half of a gap between events that is still on time.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(50);

/// Time from the refusal of a trial by an endpoint until it is sent to another one.
const REFUSED_TRIAL_DELAY: Duration = Duration::from_millis(250);

/// One request with the state that its attempts need.
pub struct Job<D: Dialect> {
    /// The entry process that serves the request.
    pub entry: Rc<Entry<D>>,
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The service that the request goes to.
    pub service: String,
    /// The workspace that the request belongs to, if it has one.
    pub workspace: Option<Arc<Workspace>>,
    /// Regions in which the request may run.
    pub permitted_regions: PermittedRegions,
    /// Accounts for the bytes of the request body.
    pub _buffered_body: BufferedBytes<D>,
    /// The request as it is sent to endpoints.
    pub request: CallerRequest,
    /// Deadline of the request, in milliseconds of the entry's clock.
    pub deadline_ms: u64,
    /// Priority of the request: that of its workspace if set, else that of its route.
    pub priority: Priority,
    /// Position of that priority among those of the service.
    pub priority_level: PriorityLevel,
    /// Predicted work of the request, in tokens.
    pub work_tokens: u64,
    /// Arrival of the request at its service.
    pub arrival: Arrival,
    /// When the caller last received something: when the head of its request came, or the last event that it got.
    pub silent_since_ms: u64,
    /// Progress of the last attempt.
    pub progress: AttemptProgress,
    /// The retry that was taken for the last attempt, unless that was the first one.
    pub retry: Option<TakenRetry>,
    /// The first attempt, if it was abandoned and no retry is held for it yet.
    pub abandoned_first: Option<AbandonedAttempt>,
    /// The endpoint of the attempt in flight, if it is not counted yet.
    pub attempted: Option<Pick>,
    /// Whether another endpoint is sought while the present one still runs the request.
    pub is_replacing: bool,
    /// Whether the request has reached an endpoint, so that the next attempt counts as a retry.
    pub has_reached_endpoint: bool,
    /// What was known when the request last found no endpoint.
    pub last_wait_facts: Option<WaitFacts>,
    /// Number of waiting requests that went before this one when it was given up.
    pub ahead: usize,
    /// Number of attempts that reached an endpoint.
    pub sent: u64,
    /// Number of attempts that were refused because the whole group was stalled.
    pub stall_refusals: usize,
    /// Endpoint incarnations that were tried.
    pub tried: Vec<EndpointIncarnation>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Fingerprint of the request, computed when first needed.
    pub fingerprint: OnceCell<Fingerprint>,
    /// Parts of the prompt, computed when first needed.
    pub prompt_parts: OnceCell<Vec<PromptPart>>,
    /// The claim of this request on the trials of the suspected parts of its prompt, until it is sent.
    pub trial_claim: Option<TrialClaim<D>>,
    /// The trial of suspected parts that the last attempt is.
    pub running_trial: Option<RunningTrial<D>>,
    /// Records the outcome of the request, if it met a stalled service.
    pub stall_outcome: StallOutcome<D>,
    /// Whether this request is the trial run of a request that is suspected of crashing endpoints.
    pub is_on_trial: bool,
    /// When the head of the request came.
    pub started_ms: u64,
    /// Version of the configuration under which the request was admitted.
    pub config_version: u64,
}

impl<D: Dialect> Job<D> {
    /// Milliseconds until the deadline of the request.
    #[must_use]
    pub fn time_left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.entry.clock.now_ms())
    }

    /// Sends the request to one endpoint after the other until one answers.
    ///
    /// # Errors
    ///
    /// When no further attempt is allowed or useful.
    pub async fn next_answer(&mut self) -> Result<Answer<D>, GiveUpReason> {
        let pick = self.wait_for_pick(GiveUpReason::NoEndpoint).await?;
        self.next_answer_from(pick).await
    }

    /// Sends the request to the endpoint `first`, then to one after the other until one answers.
    ///
    /// # Errors
    ///
    /// When no further attempt is allowed or useful.
    pub async fn next_answer_from(&mut self, first: Pick) -> Result<Answer<D>, GiveUpReason> {
        let mut last = GiveUpReason::NoEndpoint;
        let mut picked = Some(first);
        loop {
            let pick = match picked.take() {
                Some(pick) => pick,
                None => self.wait_for_pick(last).await?,
            };
            self.attempted = Some(pick.clone());
            let attempt = match self.attempt_at(&pick).await {
                Some(AttemptEnd::Replaced(next)) => {
                    picked = Some(next);
                    last = GiveUpReason::Failed;
                    continue;
                }
                Some(AttemptEnd::Ended(attempt)) => Some(attempt),
                None => None,
            };
            self.attempted = None;
            self.count_attempt(&pick, attempt.as_ref());
            match attempt {
                Some(Attempt::Answered(answer)) => {
                    self.progress.head_ms = Some(self.entry.clock.now_ms());
                    return Ok(*answer);
                }
                Some(Attempt::NotSent) => last = GiveUpReason::NoEndpoint,
                Some(Attempt::Withheld) => {}
                Some(Attempt::Unresponsive) => {
                    self.log_failed_attempt(&pick, "does not respond to a liveness check");
                    self.record_left_silent(&pick);
                }
                Some(Attempt::NotRun { status, backoff_ms }) => {
                    meters::on_refused_arrival(&self.service, backoff_ms.is_some());
                    let asked =
                        backoff_ms.map_or_else(String::new, |ms| format!(", asks for {ms} ms without requests"));
                    self.log_failed_attempt(&pick, &format!("not run, status {status}{asked}"));
                    last = GiveUpReason::Full;
                    if self.running_trial.is_some() {
                        // The other endpoints of a stalled group would refuse the trial, too.
                        tokio::time::sleep(REFUSED_TRIAL_DELAY).await;
                    }
                }
                Some(Attempt::Abandoned { cause }) => {
                    self.record_failed_attempt(&pick, &cause);
                    self.note_abandoned_first(&pick);
                    last = GiveUpReason::Failed;
                }
                Some(Attempt::MayHaveRun { cause }) => {
                    self.record_failed_attempt(&pick, &cause);
                    last = GiveUpReason::Failed;
                }
                Some(Attempt::Lost { cause }) => {
                    self.record_lost_attempt(&pick, Break::Unexplained, &cause).await;
                    last = GiveUpReason::Failed;
                }
                None => {
                    self.may_have_run = true;
                    return Err(GiveUpReason::TimeUp);
                }
            }
        }
    }

    /// Sends the request to one endpoint; `None` if the deadline passes first.
    async fn attempt_at(&mut self, pick: &Pick) -> Option<AttemptEnd<D>> {
        let left_ms = self.time_left_ms();
        self.progress = AttemptProgress::start(self.entry.clock.now_ms());
        let timeouts = AttemptTimeouts { left_ms, check_ms: self.check_timeout_ms().min(left_ms) };
        let attempt = attempt::send(&self.entry, &self.service, &self.request, pick, self.retry, timeouts);
        timeout_after_reads(Duration::from_millis(left_ms), self.watch_for_silence(pick, attempt)).await
    }

    /// Returns whether the request should leave a slow endpoint, with a retry left to run elsewhere. A trial run stays.
    pub fn should_migrate(&self, pick: &Pick) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        !self.is_on_trial
            && state.pool.should_migrate(&pick.id, &self.permitted_regions, &self.service, &self.tried, now_ms)
            && state.budget.has_retry(&self.service, now_ms)
    }

    /// Counts the attempt that was in flight when [`Self::next_answer`] was cancelled, if there was one.
    pub fn count_cancelled_attempt(&mut self) {
        if let Some(pick) = self.attempted.take() {
            self.count_attempt(&pick, None);
        }
    }

    /// Counts the attempt, or the answer, that is in flight when the request is given up. Its endpoint may have run the
    /// request.
    pub fn cancel_attempt(&mut self) {
        self.may_have_run |= self.attempted.is_some() || self.progress.head_ms.is_some();
        self.count_cancelled_attempt();
    }

    /// Counts an attempt. An endpoint that was not reached never received the request. If the whole group is stalled,
    /// the rank is not at fault, and may be tried again once the group resumes.
    fn count_attempt(&mut self, pick: &Pick, attempt: Option<&Attempt<D>>) {
        if matches!(attempt, Some(Attempt::Withheld | Attempt::Unresponsive)) {
            return;
        }
        let was_reached = !matches!(attempt, Some(Attempt::NotSent));
        if was_reached && self.has_reached_endpoint {
            meters::on_repeated_arrival(&self.service);
        }
        self.has_reached_endpoint |= was_reached;
        if matches!(attempt, Some(Attempt::NotRun { .. })) && self.is_service_stalled() {
            self.stall_refusals += 1;
            return;
        }
        self.sent += u64::from(was_reached);
        self.tried.push(pick.incarnation());
    }

    fn is_service_stalled(&self) -> bool {
        self.entry.state.borrow().pool.is_down(&self.service, self.entry.clock.now_ms())
    }

    /// Reads an answer completely into `buffer`. `None` if it broke off, or is a failure that may be retried at another
    /// endpoint.
    pub async fn read_complete(
        &mut self,
        mut answer: Answer<D>,
        buffer: BufferedBytes<D>,
    ) -> Option<Response<AnswerBody>> {
        let wait = Duration::from_millis(self.time_left_ms());
        let body = match timeout_after_reads(wait, self.read_body(&mut answer, &buffer)).await {
            Some(Ok(_)) if self.was_cut(&answer).await => {
                answer.in_flight.set_outcome(AttemptOutcome::BrokenOff);
                self.record_lost_attempt(&answer.pick, Break::ByCrash, ENDED_WITH_ENDPOINT).await;
                return None;
            }
            Some(Ok(body)) => body,
            Some(Err(BodyError::Interrupted(error))) => {
                answer.in_flight.set_outcome(AttemptOutcome::BrokenOff);
                self.record_lost_attempt(&answer.pick, Break::Unexplained, &format!("answer broke off: {error}")).await;
                return None;
            }
            Some(Err(cause)) => {
                answer.in_flight.set_outcome(AttemptOutcome::Failed);
                self.record_failed_attempt(&answer.pick, &format!("answer not read: {cause}"));
                return None;
            }
            None => {
                if self.is_body_overdue(buffer.received_bytes()) {
                    answer.in_flight.set_outcome(AttemptOutcome::Failed);
                }
                self.may_have_run = true;
                return None;
            }
        };
        let failed = answer.head.status.is_server_error();
        answer.in_flight.set_outcome(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success });
        if !failed {
            self.record_success();
        }
        if answer.head.status.is_success() {
            self.record_good_run();
        }
        let head = answer.head.clone();
        let pick = answer.pick.clone();
        let entry = Rc::clone(&self.entry);
        answer.release_connection(&entry);
        if failed && self.may_retry() {
            self.record_failed_attempt(&pick, &format!("status {}", head.status));
            return None;
        }
        meters::on_answer(&self.service, if failed { "endpoint_answered_5xx" } else { "whole" }, self.elapsed_ms());
        Some(caller_response(head.status, head.headers, AnswerBody::held(body, buffer)))
    }

    /// Reads the body of an answer. A request that may run elsewhere leaves an endpoint whose answer arrives too slowly.
    async fn read_body(&self, answer: &mut Answer<D>, buffer: &BufferedBytes<D>) -> Result<Bytes, BodyError> {
        let max_bytes = if answer.head.status.is_success() { MAX_ANSWER_BYTES } else { MAX_FAILURE_BYTES };
        let read = buffer.read_body(&mut answer.body, max_bytes);
        tokio::pin!(read);
        loop {
            tokio::select! {
                biased;
                done = &mut read => return done,
                () = tokio::time::sleep(SILENCE_CHECK_INTERVAL) => {}
            }
            if self.is_body_overdue(buffer.received_bytes()) && self.may_retry() {
                return poll_after_reads(read.as_mut()).await.unwrap_or(Err(BodyError::TooSlow));
            }
        }
    }

    /// Returns whether the body of an answer, of which this many bytes have arrived, takes too long.
    fn is_body_overdue(&self, received_bytes: usize) -> bool {
        let head_ms = self.progress.head_ms.unwrap_or(self.progress.started_ms);
        let allowed_ms = self.silence_timeout_ms() + received_bytes as u64 / MIN_ANSWER_BYTES_PER_MS;
        self.entry.clock.now_ms().saturating_sub(head_ms) >= allowed_ms
    }

    /// Records that the request was served, and how long that took.
    pub fn record_success(&mut self) {
        self.stall_outcome.on_served();
        let took_ms = self.entry.clock.now_ms().saturating_sub(self.progress.started_ms);
        let mut state = self.entry.state.borrow_mut();
        let queue = state.queue(&self.service);
        queue.service_time.record(took_ms);
        queue.longest_runs.record(&self.route.name, took_ms);
        let is_any_suspected = !state.quarantine.is_empty();
        drop(state);
        if is_any_suspected {
            self.entry.on_request_success(self.fingerprint());
        }
    }

    /// Records complete events that an endpoint has sent. Once the run has got past the start of the answer, the next trial of
    /// the parts of its prompt may begin; the run itself is good only later.
    pub fn record_events(&mut self, count: usize) {
        self.progress.event_count += count;
        let Some(head_ms) = self.progress.head_ms else { return };
        let streamed_ms = self.entry.clock.now_ms().saturating_sub(head_ms);
        if is_long_run(streamed_ms) {
            self.record_good_run();
        } else if is_past_start(streamed_ms) && !std::mem::replace(&mut self.progress.is_past_start, true) {
            self.entry.on_run_past_start(self.prompt_parts(), self.began_ms(), self.running_trial.is_some());
            self.running_trial.iter_mut().for_each(RunningTrial::admit_next);
        }
    }

    /// Records once that the run is good: its answer is whole, or has gone on for long.
    pub fn record_good_run(&mut self) {
        if std::mem::replace(&mut self.progress.is_good_run, true) {
            return;
        }
        let is_trial = self.running_trial.is_some();
        self.entry.on_good_run(self.prompt_parts(), self.began_ms(), is_trial);
        self.running_trial = None;
    }

    /// Milliseconds since the head of the request came.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        self.entry.clock.now_ms() - self.started_ms
    }

    /// Records an attempt that broke off with its connection, and checks whether its endpoint crashed.
    pub async fn record_lost_attempt(&mut self, pick: &Pick, how: Break, cause: &str) {
        self.record_failed_attempt(pick, cause);
        let (entry, pick, service) = (Rc::clone(&self.entry), pick.clone(), self.service.clone());
        let lost_ms = entry.clock.now_ms();
        let lost = LostRequest {
            fingerprint: self.fingerprint(),
            ran_ms: Some(lost_ms.saturating_sub(self.began_ms())),
            parts: self.suspicious_parts(lost_ms),
        };
        let (id, event_count) = (self.id().to_owned(), self.progress.event_count);
        let (has_head, is_candidate) = (self.progress.head_ms.is_some(), !lost.parts.is_empty());
        let parts: Vec<String> = self.prompt_parts().iter().map(|part| part.id().to_owned()).collect();
        let check = tokio::task::spawn_local(async move {
            let found = crash_check::check(&entry, &pick, how, lost_ms).await;
            log::info!(
                "event=request_lost request={id} fingerprint={} parts={parts:?} endpoint={} found={found:?} \
                 ran_ms={:?} head={has_head} events={event_count} candidate={is_candidate}",
                lost.fingerprint,
                pick.id,
                lost.ran_ms
            );
            if found == CrashCheck::Crashed {
                entry.on_crash(&pick, &service, lost, lost_ms);
            }
        });
        // A connection to an endpoint that is cut off opens late or never; the check continues in the background.
        drop(tokio::time::timeout(CRASH_CHECK_WAIT, check).await);
    }

    /// Returns the parts of the prompt that may have crashed the endpoint of the last attempt: none if its run was good.
    fn suspicious_parts(&self, now_ms: u64) -> Vec<LostPart> {
        if self.progress.is_good_run {
            return Vec::new();
        }
        let tried = self.running_trial.as_ref().map_or(&[][..], RunningTrial::parts);
        self.entry.state.borrow().quarantine.lost_parts(self.prompt_parts(), tried, now_ms)
    }

    /// Checks whether an answer that has just ended was cut by a crash of its endpoint. One that cannot be reached in time
    /// counts as running.
    pub async fn was_cut(&self, answer: &Answer<D>) -> bool {
        let Some(witness) = &answer.witness else { return false };
        let ended_ms = self.entry.clock.now_ms();
        tokio::time::sleep(SETTLE_TIME).await;
        match witness.testimony(ended_ms) {
            Testimony::Running => return false,
            Testimony::Crashed => return true,
            Testimony::None => {}
        }
        let (entry, pick) = (Rc::clone(&self.entry), answer.pick.clone());
        let check = tokio::task::spawn_local(async move { crash_check::check_listener(&entry, &pick).await });
        matches!(timeout_after_reads(CRASH_CHECK_WAIT, check).await, Some(Ok(CrashCheck::Crashed)))
    }

    /// Returns when the run of the last attempt began, as far as known. The head of a stream comes once its prompt has been
    /// read; before, and in answers that are sent at once, the endpoint may have run the request since it got it.
    fn began_ms(&self) -> u64 {
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        self.progress.head_ms.filter(|_| is_stream).unwrap_or(self.progress.started_ms)
    }

    /// Returns the fingerprint by which a repetition of this request is recognized.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.request.fingerprint(self.entry.dialect.headers()))
    }

    /// Returns whether the request is refused by now because it, or a part of its prompt, crashed endpoints.
    fn is_quarantined(&self) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        if state.quarantine.is_empty() {
            return false;
        }
        let is_part_refused =
            || matches!(state.quarantine.part_decision(self.prompt_parts(), now_ms), PartDecision::Refuse { .. });
        let is_refused =
            || matches!(state.quarantine.decision(self.fingerprint(), now_ms), QuarantineDecision::Refuse { .. });
        is_part_refused() || is_refused()
    }

    /// Returns the parts of the prompt.
    #[must_use]
    pub fn prompt_parts(&self) -> &[PromptPart] {
        self.prompt_parts.get_or_init(|| {
            let ids = self.entry.dialect.prompt_parts(&self.request.headers);
            ids.into_iter().map(PromptPart::new).collect()
        })
    }

    /// Records a failed attempt that may have run.
    pub fn record_failed_attempt(&mut self, pick: &Pick, cause: &str) {
        self.may_have_run = true;
        self.log_failed_attempt(pick, cause);
    }
}
