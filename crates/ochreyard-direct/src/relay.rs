//! Passes a stream of events on as they come, and lets another endpoint go on
//! where one broke off.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use ochreyard_core::direct::{AttemptOutcome, EventSplitter, Pick, RouteKind};

use crate::answer::{Answer, pass_on};
use crate::answer_body::{AnswerBody, BrokenOff};
use crate::dialect::Dialect;
use crate::job::{Job, SLOW_ENDPOINT};
use crate::meters;

/// Longest pause, in pauses that are still in time, before an endpoint that is
/// silent to everybody loses the stream to another one.
const PATIENCE_GAPS: u64 = 8;
/// The longest event that is taken: what has come of one waits for its end.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The pause between events that is assumed where the route names none.
const USUAL_GAP_MS: u64 = 150;

/// Starts the answer to the caller; the rest follows as it arrives.
pub fn stream<D: Dialect>(job: Job<D>, answer: Answer<D>) -> Response<AnswerBody> {
    let last_event = &job.entry.dialect.headers().last_event_id;
    let seen = job.request.headers.get(last_event).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let head = answer.head.clone();
    meters::on_stream_start(&job.service, job.elapsed_ms());
    let relay = Relay { job, answer: Some(answer), splitter: EventSplitter::new(seen) };
    let pieces = futures::stream::unfold(relay, |mut relay| async move {
        let piece = relay.next_piece().await?;
        Some((piece, relay))
    });
    pass_on(head.status, head.headers, AnswerBody::Pieces(pieces.boxed_local()))
}

struct Relay<D: Dialect> {
    job: Job<D>,
    answer: Option<Answer<D>>,
    splitter: EventSplitter,
}

enum Step {
    Events(Bytes),
    Part,
    End,
    Broken { cause: String, is_lost: bool },
    TimeUp,
}

impl<D: Dialect> Relay<D> {
    /// The next whole events; `None` after the last one.
    async fn next_piece(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            match self.step().await {
                Step::Events(bytes) => {
                    self.job.silent_since_ms = self.job.entry.clock.now_ms();
                    return Some(Ok(bytes));
                }
                Step::Part => {}
                Step::End => return None,
                Step::TimeUp => {
                    let pick = self.answer.take()?.pick.clone();
                    return self.break_off(&pick, "time is up");
                }
                Step::Broken { cause, is_lost } => {
                    let pick = self.drop_answer()?;
                    if is_lost {
                        self.job.note_lost_attempt(&pick, &cause).await;
                    } else {
                        self.job.note_failed_attempt(&pick, &cause);
                    }
                    if !self.go_on_elsewhere().await {
                        return self.break_off(&pick, &cause);
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let is_slow = self.answer.as_ref().is_some_and(|answer| self.job.should_leave(&answer.pick));
        if is_slow && self.may_go_on() {
            return Step::Broken { cause: SLOW_ENDPOINT.to_owned(), is_lost: false };
        }
        let Some(answer) = self.answer.as_mut() else { return Step::End };
        let left_ms = self.job.deadline_ms.saturating_sub(self.job.entry.clock.now_ms());
        if left_ms == 0 {
            return Step::TimeUp;
        }
        let patience_ms = self.job.route.target_gap_ms.unwrap_or(USUAL_GAP_MS) * PATIENCE_GAPS;
        let wait = Duration::from_millis(left_ms.min(patience_ms));
        match tokio::time::timeout(wait, answer.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                answer.flight.on_heard();
                let data = frame.into_data().unwrap_or_default();
                let whole = self.splitter.push(&data);
                if self.splitter.partial_event_bytes() > MAX_EVENT_BYTES {
                    return Step::Broken { cause: "an event is too long".to_owned(), is_lost: false };
                }
                if whole.count == 0 { Step::Part } else { Step::Events(whole.bytes) }
            }
            Ok(Some(Err(error))) => Step::Broken { cause: error.to_string(), is_lost: true },
            Ok(None) if self.splitter.has_partial_event() => {
                Step::Broken { cause: "ended within an event".to_owned(), is_lost: true }
            }
            Ok(None) => {
                answer.flight.set(AttemptOutcome::Success);
                self.job.note_served();
                meters::on_answer(&self.job.service, "whole", self.job.elapsed_ms());
                if let Some(answer) = self.answer.take() {
                    let entry = std::rc::Rc::clone(&self.job.entry);
                    answer.finish(&entry);
                }
                Step::End
            }
            Err(_) if self.job.time_left_ms() == 0 => Step::TimeUp,
            Err(_) if answer.flight.is_silent(patience_ms) && self.may_go_on() => {
                Step::Broken { cause: format!("silent for {patience_ms} ms"), is_lost: false }
            }
            Err(_) => Step::Part,
        }
    }

    fn may_go_on(&self) -> bool {
        let resumable = self.job.route.kind == RouteKind::Stream { resumable: true };
        resumable && self.job.sent < self.job.route.max_attempts
    }

    /// Gives the present answer up: its connection closes.
    fn drop_answer(&mut self) -> Option<Pick> {
        let answer = self.answer.take()?;
        answer.flight.set(AttemptOutcome::Failed);
        self.splitter.discard_partial_event();
        Some(answer.pick.clone())
    }

    /// Lets another endpoint go on after the last whole event. The answer keeps
    /// the head of the endpoint that began it.
    async fn go_on_elsewhere(&mut self) -> bool {
        if !self.may_go_on() {
            return false;
        }
        if let Some(last) = self.splitter.last_id().and_then(|id| HeaderValue::from_str(id).ok()) {
            let name = self.job.entry.dialect.headers().last_event_id.clone();
            self.job.request.headers.insert(name, last);
        }
        match self.job.next_answer().await {
            Ok(answer) if answer.head.status.is_success() => {
                self.answer = Some(answer);
                true
            }
            _ => false,
        }
    }

    fn break_off(&self, pick: &Pick, cause: &str) -> Option<Result<Bytes, BrokenOff>> {
        self.job.note_broken_stream(pick, cause);
        Some(Err(BrokenOff))
    }
}
