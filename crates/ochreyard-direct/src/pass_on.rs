//! Passes a plain answer on as it arrives, if there is no memory to buffer it whole.
//!
//! Its endpoint sends no faster than the caller takes it. A failure midway can't be retried any more, since the caller has
//! the head; it ends the answer before its stated length.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::Response;
use http_body::Body;
use http_body_util::BodyExt;
use ochreyard_core::direct::AttemptOutcome;

use crate::answer::{Answer, caller_response};
use crate::answer_body::{AnswerAborted, AnswerBody};
use crate::crash_check::Break;
use crate::dialect::Dialect;
use crate::job::Job;
use crate::timeout::timeout_after_reads;
use crate::{error_chain, meters};

/// Starts the answer to the caller with an answer that states its size.
pub fn pass_on<D: Dialect>(job: Job<D>, answer: Answer<D>) -> Response<AnswerBody> {
    let length_bytes = answer.stated_bytes().map(|bytes| bytes as u64);
    log::info!(
        "event=answer_not_buffered request={} endpoint={} bytes={length_bytes:?}",
        job.request.attempt_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-"),
        answer.pick.id
    );
    let head = answer.head.clone();
    let passing = Some((job, answer));
    let pieces = futures::stream::unfold(passing, |passing| async move {
        let (job, answer) = passing?;
        next_piece(job, answer).await
    });
    caller_response(head.status, head.headers, AnswerBody::Pieces { pieces: pieces.boxed_local(), length_bytes })
}

/// A piece for the caller, and what the next one needs.
type Piece<D> = (Result<Bytes, AnswerAborted>, Option<(Job<D>, Answer<D>)>);

/// Reads the next piece; `None` if the answer has ended.
async fn next_piece<D: Dialect>(mut job: Job<D>, mut answer: Answer<D>) -> Option<Piece<D>> {
    let wait = Duration::from_millis(job.time_left_ms());
    match timeout_after_reads(wait, answer.body.frame()).await {
        Some(Some(Ok(frame))) => {
            let piece = Ok(frame.into_data().unwrap_or_default());
            if !answer.body.is_end_stream() {
                return Some((piece, Some((job, answer))));
            }
            // The connection to the caller does not ask for more than the stated size.
            finish(job, answer);
            Some((piece, None))
        }
        Some(None) => {
            finish(job, answer);
            None
        }
        Some(Some(Err(error))) => {
            answer.in_flight.set_outcome(AttemptOutcome::BrokenOff);
            job.record_lost_attempt(
                &answer.pick,
                Break::Unexplained,
                &format!("answer broke off: {}", error_chain::describe(&error)),
            )
            .await;
            Some((Err(AnswerAborted), None))
        }
        None => {
            job.record_failed_attempt(&answer.pick, "answer is not complete at its deadline");
            Some((Err(AnswerAborted), None))
        }
    }
}

fn finish<D: Dialect>(mut job: Job<D>, answer: Answer<D>) {
    answer.in_flight.set_outcome(AttemptOutcome::Success);
    job.record_success();
    job.record_good_run();
    meters::on_answer(&job.service, "whole", job.elapsed_ms());
    answer.release_connection(&job.entry);
}
