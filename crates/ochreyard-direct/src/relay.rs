//! Relays a stream of events to the caller, and resumes it at another endpoint if one breaks off.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Frame;
use ochreyard_core::direct::{AttemptOutcome, EventSplitter, LateReads, Pick, RouteKind};

use crate::answer::{Answer, caller_response};
use crate::answer_body::{AnswerAborted, AnswerBody};
use crate::answer_limits::{MAX_EVENT_BYTES, MIN_PIECE_BYTES, UNCOUNTED_EVENT_BYTES};
use crate::buffered_bytes::BufferedBytes;
use crate::crash_check::Break;
use crate::dialect::Dialect;
use crate::give_up_reason::GiveUpReason;
use crate::job::{AttemptProgress, ENDED_WITH_ENDPOINT, Job, SLOW_ENDPOINT};
use crate::timeout::timeout_after_reads;
use crate::{error_chain, meters};

/// Multiple of the target gap between events after which a stream leaves an endpoint that sends nothing on any request.
const SILENCE_TIMEOUT_GAPS: u64 = 8;
/// Gap between events that is assumed if the route names no target.
const DEFAULT_GAP_MS: u64 = 150;

/// Starts the answer to the caller. The events follow as they arrive.
pub fn stream<D: Dialect>(job: Job<D>, answer: Answer<D>) -> Response<AnswerBody> {
    let last_event = &job.entry.dialect.headers().last_event_id;
    let seen = job.request.headers.get(last_event).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let head = answer.head.clone();
    meters::on_stream_start(&job.service, job.elapsed_ms());
    let relay = Relay {
        buffer: BufferedBytes::of_endpoint(&job.entry, &answer.pick.id),
        job,
        answer: Some(answer),
        splitter: EventSplitter::new(seen),
        eventless_since_ms: None,
        eventless_bytes: 0,
        late_reads: None,
        event_count: 0,
        next_search_ms: 0,
        pending_break: None,
    };
    let pieces = futures::stream::unfold(relay, |mut relay| async move {
        let piece = relay.next_events().await?;
        Some((piece, relay))
    });
    caller_response(head.status, head.headers, AnswerBody::Pieces { pieces: pieces.boxed_local(), length_bytes: None })
}

struct Relay<D: Dialect> {
    job: Job<D>,
    answer: Option<Answer<D>>,
    splitter: EventSplitter,
    /// Accounts for the bytes of the partial event.
    buffer: BufferedBytes<D>,
    /// When the first bytes came that have completed no event yet.
    eventless_since_ms: Option<u64>,
    /// What has come since the last event, as it counts towards the size limit.
    eventless_bytes: usize,
    /// Reads since the relay noticed that the deadline has passed.
    late_reads: Option<LateReads>,
    /// Number of complete events that the caller got.
    event_count: usize,
    /// When another endpoint may be sought again, after none was found.
    next_search_ms: u64,
    /// Why the stream leaves its endpoint once the caller has the events that arrived before.
    pending_break: Option<String>,
}

enum Step {
    /// Complete events, or lines between events.
    Events(Bytes),
    Partial,
    End,
    Broken {
        cause: String,
        how: StreamBreak,
    },
    TimeUp,
}

/// How a stream ends at an endpoint before its last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamBreak {
    /// Its connection broke.
    Lost(Break),
    /// The endpoint is left, although it runs.
    Left,
    /// The endpoint sends bytes that hold no event.
    Malformed,
}

impl<D: Dialect> Relay<D> {
    /// Returns the next complete events; `None` after the last one.
    async fn next_events(&mut self) -> Option<Result<Bytes, AnswerAborted>> {
        loop {
            match self.step().await {
                Step::Events(bytes) => return Some(Ok(bytes)),
                Step::Partial => {}
                Step::End => return None,
                Step::TimeUp => {
                    let now_ms = self.job.entry.clock.now_ms();
                    let is_malformed = self.eventless_since_ms.is_some() && self.is_eventless_for_long(now_ms);
                    let outcome = if is_malformed { AttemptOutcome::Failed } else { AttemptOutcome::Unknown };
                    let answer = self.answer.take()?;
                    answer.in_flight.set_outcome(outcome);
                    return self.abort_stream(&answer.pick, "deadline exceeded");
                }
                Step::Broken { cause, how } => {
                    let is_malformed = how == StreamBreak::Malformed;
                    let outcome = if is_malformed { AttemptOutcome::Failed } else { AttemptOutcome::BrokenOff };
                    let pick = self.drop_answer(outcome)?;
                    match how {
                        StreamBreak::Lost(how) => self.job.record_lost_attempt(&pick, how, &cause).await,
                        StreamBreak::Left | StreamBreak::Malformed => self.job.record_failed_attempt(&pick, &cause),
                    }
                    let resumed = match self.resume_elsewhere().await {
                        Err(_) if how == StreamBreak::Left => self.resume_at_left(&pick).await,
                        resumed => resumed,
                    };
                    if let Err(reason) = resumed {
                        return self.abort_stream(&pick, &format!("{cause}; not resumed: {reason:?}"));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        if let Some(cause) = self.pending_break.take() {
            return Step::Broken { cause, how: StreamBreak::Malformed };
        }
        let is_slow = self.answer.as_ref().is_some_and(|answer| self.job.should_migrate(&answer.pick));
        if is_slow && self.may_resume() {
            // Left at once: its requests lengthen every step of its whole group.
            return Step::Broken { cause: SLOW_ENDPOINT.to_owned(), how: StreamBreak::Left };
        }
        let silence_timeout_ms = self.gap_ms() * SILENCE_TIMEOUT_GAPS;
        let Some(answer) = self.answer.as_mut() else { return Step::End };
        let now_ms = self.job.entry.clock.now_ms();
        let left_ms = self.job.deadline_ms.saturating_sub(now_ms);
        if left_ms == 0 && !self.late_reads.get_or_insert(LateReads::start(now_ms)).may_read(now_ms) {
            return Step::TimeUp;
        }
        let wait = Duration::from_millis(left_ms.min(silence_timeout_ms));
        match timeout_after_reads(wait, answer.body.frame()).await {
            Some(frame) => self.on_frame(frame).await,
            None if self.job.time_left_ms() == 0 => Step::TimeUp,
            None if answer.in_flight.is_silent(silence_timeout_ms) && self.may_leave_endpoint() => {
                self.replace_silent_endpoint(silence_timeout_ms).await
            }
            None => Step::Partial,
        }
    }

    /// Handles what the endpoint has sent: a piece, a failure, or the end of the answer.
    async fn on_frame(&mut self, frame: BodyRead) -> Step {
        let Some(answer) = self.answer.as_mut() else { return Step::End };
        match frame {
            Some(Ok(frame)) => self.on_data(&frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                Step::Broken { cause: error_chain::describe(&error), how: StreamBreak::Lost(Break::Unexplained) }
            }
            None if self.splitter.has_partial_event() => Step::Broken {
                cause: "stream ended within an event".to_owned(),
                how: StreamBreak::Lost(Break::Unexplained),
            },
            None if self.job.was_cut(answer).await => {
                Step::Broken { cause: ENDED_WITH_ENDPOINT.to_owned(), how: StreamBreak::Lost(Break::ByCrash) }
            }
            None => {
                answer.in_flight.set_outcome(AttemptOutcome::Success);
                self.job.record_success();
                self.job.record_good_run();
                meters::on_answer(&self.job.service, "whole", self.job.elapsed_ms());
                if let Some(answer) = self.answer.take() {
                    let entry = std::rc::Rc::clone(&self.job.entry);
                    answer.release_connection(&entry);
                }
                Step::End
            }
        }
    }

    /// Handles bytes of the stream. Only events show that the endpoint makes progress.
    fn on_data(&mut self, data: &[u8]) -> Step {
        let complete = self.splitter.push(data);
        let now_ms = self.job.entry.clock.now_ms();
        if complete.count > 0 {
            if let Some(answer) = &self.answer {
                answer.in_flight.on_response_bytes();
            }
            self.eventless_since_ms = None;
            self.eventless_bytes = 0;
            self.event_count += complete.count;
            self.job.silent_since_ms = now_ms;
            self.job.record_events(complete.count);
        }
        if complete.count == 0 {
            self.eventless_bytes += data.len().max(MIN_PIECE_BYTES);
        }
        let problem = self.problem_with_rest(complete.count == 0, now_ms);
        match problem {
            Some(cause) if complete.bytes.is_empty() => {
                Step::Broken { cause: cause.to_owned(), how: StreamBreak::Malformed }
            }
            // Another endpoint goes on after these events, so the caller has to get them.
            problem => {
                self.pending_break = problem.map(str::to_owned);
                if complete.bytes.is_empty() { Step::Partial } else { Step::Events(complete.bytes) }
            }
        }
    }

    /// Returns why the stream has to leave its endpoint, judging by what came after the last complete event.
    fn problem_with_rest(&mut self, is_eventless: bool, now_ms: u64) -> Option<&'static str> {
        let partial_bytes = self.splitter.partial_event_bytes();
        if self.eventless_bytes.max(partial_bytes) > MAX_EVENT_BYTES {
            return Some("event exceeds the size limit");
        }
        if !self.buffer.try_resize(partial_bytes.saturating_sub(UNCOUNTED_EVENT_BYTES)) {
            return Some("buffered bodies take too much memory");
        }
        (is_eventless && self.is_eventless_for_long(now_ms) && self.may_leave_endpoint())
            .then_some("bytes without an event")
    }

    /// Returns whether bytes have arrived for a while that complete no event. Called when bytes arrive.
    fn is_eventless_for_long(&mut self, now_ms: u64) -> bool {
        let since_ms = *self.eventless_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= self.gap_ms() * SILENCE_TIMEOUT_GAPS
    }

    /// Seeks another endpoint for the stream. The silent one keeps it until another one has answered, and if it sends
    /// anything before.
    async fn replace_silent_endpoint(&mut self, silent_ms: u64) -> Step {
        let progress = self.begin_search();
        let Some(answer) = self.answer.as_mut() else { return Step::End };
        let (read, found) = seek_while_reading(&mut self.job, answer).await;
        self.end_search();
        match (read, found) {
            (_, Some(Ok(found))) if found.head.status.is_success() => {
                if let Some(answer) = &self.answer {
                    self.job.record_left_silent(&answer.pick);
                }
                self.switch_to(found, &format!("silent for {silent_ms} ms"))
            }
            (read, _) => {
                self.keep_endpoint(progress);
                match read {
                    Some(read) => self.on_frame(read).await,
                    None => Step::Partial,
                }
            }
        }
    }

    /// Prepares the request for another endpoint. Returns the progress of the present attempt.
    fn begin_search(&mut self) -> AttemptProgress {
        self.set_last_event_id();
        self.job.is_replacing = true;
        // The present run is not undone by a failure of the next one.
        self.job.may_have_run = true;
        self.job.progress
    }

    fn end_search(&mut self) {
        self.job.is_replacing = false;
        self.job.count_cancelled_attempt();
    }

    /// Goes on with the present endpoint, since no other one took the stream in time.
    fn keep_endpoint(&mut self, progress: AttemptProgress) {
        self.job.progress = progress;
        self.next_search_ms = self.job.entry.clock.now_ms() + self.gap_ms() * SILENCE_TIMEOUT_GAPS;
    }

    /// Goes on with the answer of another endpoint.
    fn switch_to(&mut self, found: Answer<D>, cause: &str) -> Step {
        if let Some(pick) = self.drop_answer(AttemptOutcome::BrokenOff) {
            self.job.record_failed_attempt(&pick, cause);
        }
        self.continue_with(found);
        Step::Partial
    }

    fn continue_with(&mut self, answer: Answer<D>) {
        self.buffer = BufferedBytes::of_endpoint(&self.job.entry, &answer.pick.id);
        self.answer = Some(answer);
    }

    /// Target of the route for the gap between two events, in milliseconds.
    fn gap_ms(&self) -> u64 {
        self.job.route.target_gap_ms.unwrap_or(DEFAULT_GAP_MS)
    }

    /// Returns whether another endpoint may be sought now.
    fn may_search(&self) -> bool {
        self.may_resume() && self.job.entry.clock.now_ms() >= self.next_search_ms
    }

    fn may_resume(&self) -> bool {
        let resumable = self.job.route.kind == RouteKind::Stream { resumable: true };
        resumable && self.job.sent < self.job.route.max_attempts
    }

    /// Returns whether the stream may be resumed, and another endpoint can take it now.
    fn may_leave_endpoint(&self) -> bool {
        self.may_search() && self.answer.as_ref().is_some_and(|answer| self.job.may_leave(&answer.pick))
    }

    /// Drops the current answer, which closes its connection.
    fn drop_answer(&mut self, outcome: AttemptOutcome) -> Option<Pick> {
        let answer = self.answer.take()?;
        answer.in_flight.set_outcome(outcome);
        self.splitter.discard_partial_event();
        self.pending_break = None;
        self.eventless_since_ms = None;
        self.eventless_bytes = 0;
        Some(answer.pick.clone())
    }

    /// Resumes the stream at another endpoint after the last complete event. The caller keeps the head from the first
    /// endpoint.
    ///
    /// # Errors
    ///
    /// When no endpoint takes the stream.
    async fn resume_elsewhere(&mut self) -> Result<(), GiveUpReason> {
        if !self.may_resume() {
            return Err(GiveUpReason::Failed);
        }
        self.set_last_event_id();
        let answer = self.job.next_answer().await?;
        if !answer.head.status.is_success() {
            return Err(GiveUpReason::Failed);
        }
        self.continue_with(answer);
        Ok(())
    }

    /// Resumes the stream at an endpoint that was left although it runs, since no other one has taken the stream.
    ///
    /// # Errors
    ///
    /// When that endpoint does not take it either.
    async fn resume_at_left(&mut self, pick: &Pick) -> Result<(), GiveUpReason> {
        self.job.tried.retain(|tried| *tried != pick.incarnation());
        // The limit on attempts counts endpoints.
        self.job.sent = self.job.sent.saturating_sub(1);
        self.resume_elsewhere().await
    }

    /// Lets the next endpoint begin after the last complete event.
    fn set_last_event_id(&mut self) {
        if let Some(last) = self.splitter.last_id().and_then(|id| HeaderValue::from_str(id).ok()) {
            let name = self.job.entry.dialect.headers().last_event_id.clone();
            self.job.request.headers.insert(name, last);
        }
    }

    fn abort_stream(&self, pick: &Pick, cause: &str) -> Option<Result<Bytes, AnswerAborted>> {
        self.job.record_broken_stream(pick, self.event_count, cause);
        Some(Err(AnswerAborted))
    }
}

/// What a read of an answer's body returns; `None` at its end.
type BodyRead = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Seeks another endpoint until the present one sends something, other than a failure of its connection. Returns what it
/// has sent, and what was found, unless the search was cancelled.
async fn seek_while_reading<D: Dialect>(
    job: &mut Job<D>,
    answer: &mut Answer<D>,
) -> (Option<BodyRead>, Option<Result<Answer<D>, GiveUpReason>>) {
    let found = job.next_answer();
    tokio::pin!(found);
    tokio::select! {
        biased;
        read = answer.body.frame() => {
            let has_failed = matches!(read, Some(Err(_)));
            (Some(read), if has_failed { Some(found.await) } else { None })
        }
        found = &mut found => (None, Some(found)),
    }
}

impl<D: Dialect> Drop for Relay<D> {
    /// Logs a stream that ends with neither its last event nor a failure.
    fn drop(&mut self) {
        if let Some(answer) = &self.answer {
            self.job.log_abandoned_stream(&answer.pick, self.event_count);
        }
    }
}
