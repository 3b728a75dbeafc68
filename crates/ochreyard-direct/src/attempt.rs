//! One attempt: a request sent to one endpoint, up to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, StatusCode, response};
use ochreyard_core::direct::{AttemptOutcome, Pick, TakenRetry};

use crate::answer::{Answer, ends_with_connection};
use crate::caller_request::CallerRequest;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::exchange::{ExchangeError, Exchanged, exchange};
use crate::in_flight::InFlightAttempt;
use crate::liveness_check::{self, Liveness};
use crate::timeout::timeout_after_reads;
use crate::{error_chain, meters, signals};

/// Timeout for connecting to an endpoint: several round trips between data centres, and short enough to leave time for
/// another endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Statuses that tell a caller that its request has not run.
const IMPLIES_NOT_RUN: [StatusCode; 3] =
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS, StatusCode::REQUEST_TIMEOUT];

/// Result of one attempt.
pub enum Attempt<D: Dialect> {
    /// The endpoint answered.
    Answered(Box<Answer<D>>),
    /// The endpoint was not reached, so it never received the request.
    NotSent,
    /// The endpoint has never responded to this process, and does not respond to a check. It never received the request.
    Unresponsive,
    /// The request was withheld, since the endpoint paused, left or reached its limit after it was picked, or the
    /// deadline passed.
    Withheld,
    /// The endpoint reported that it did not run the request.
    NotRun {
        /// Status of the answer.
        status: StatusCode,
        /// Backoff that the endpoint asks for, if any, in milliseconds.
        backoff_ms: Option<u64>,
    },
    /// This process abandoned the attempt before the endpoint sent anything. The request may have run, or arrive later.
    Abandoned {
        /// Why it was abandoned.
        cause: String,
    },
    /// The request may have run.
    MayHaveRun {
        /// What went wrong.
        cause: String,
    },
    /// The connection broke; the request may have run.
    Lost {
        /// What went wrong.
        cause: String,
    },
}

/// Time limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTimeouts {
    /// The time that the request has left, in milliseconds.
    pub left_ms: u64,
    /// How long the endpoint may take to respond to a liveness check, in milliseconds.
    pub check_ms: u64,
}

/// Sends a request to one endpoint of a service and waits for the head of its answer. `retry` was taken for it, unless
/// this is its first attempt.
pub fn send<D: Dialect>(
    entry: &Rc<Entry<D>>,
    service: &str,
    request: &CallerRequest,
    pick: &Pick,
    retry: Option<TakenRetry>,
    timeouts: AttemptTimeouts,
) -> impl Future<Output = Attempt<D>> + use<D> {
    let (entry, pick, attempt_id) = (Rc::clone(entry), pick.clone(), request.attempt_id.clone());
    let in_flight = InFlightAttempt::start(&entry, service, &pick, retry);
    let check_path = liveness_check::due_path(&entry, service, &pick);
    let mut outgoing = request.to_endpoint(entry.dialect.headers(), &pick.id, granted_ms(timeouts.left_ms));
    let deadline_ms = entry.clock.now_ms() + timeouts.left_ms;
    async move {
        // An attempt is still polled after its deadline, to read an answer that has arrived.
        let is_late = || entry.clock.now_ms() >= deadline_ms;
        if let Some(path) = check_path {
            let check = liveness_check::check(&entry, &pick, &path);
            match timeout_after_reads(Duration::from_millis(timeouts.check_ms), check).await {
                Some(Liveness::Responding) => {}
                Some(Liveness::Unreachable) => return not_sent(&in_flight),
                Some(Liveness::Silent) | None => {
                    in_flight.withhold();
                    return Attempt::Unresponsive;
                }
            }
            let left_ms = deadline_ms.saturating_sub(entry.clock.now_ms());
            let granted_ms = HeaderValue::from(granted_ms(left_ms));
            outgoing.headers_mut().insert(entry.dialect.headers().deadline_ms.clone(), granted_ms);
        }
        let kept = free_connection(&entry, &pick).await;
        match exchange(kept, pick.addr, CONNECT_TIMEOUT, || !is_late() && in_flight.try_send(), outgoing).await {
            Ok(exchanged) => classify(&entry, attempt_id.as_ref(), &pick, in_flight, exchanged),
            Err(ExchangeError::Lost(error)) => lost(&in_flight, &error),
            Err(ExchangeError::Malformed(problem)) => malformed(&in_flight, &problem),
            Err(ExchangeError::Unreachable(error)) => unreachable(&in_flight, &pick, &error),
            Err(ExchangeError::Withheld) if is_late() => {
                in_flight.withhold();
                Attempt::Withheld
            }
            Err(ExchangeError::Withheld) => withheld(&entry, &pick),
            Err(ExchangeError::ClosedBeforeSend) => not_sent(&in_flight),
        }
    }
}

/// Returns the time that an endpoint is granted. The time left is rounded up, and an endpoint must not get more than the
/// caller gave.
const fn granted_ms(left_ms: u64) -> u64 {
    left_ms.saturating_sub(1)
}

/// Returns a kept connection whose previous answer has been read to its end.
pub async fn free_connection<D: Dialect>(entry: &Entry<D>, pick: &Pick) -> Option<Connection> {
    loop {
        let now_ms = entry.clock.now_ms();
        let mut connection = entry.state.borrow_mut().connections.take(pick, now_ms)?;
        if connection.wait_until_free().await {
            return Some(connection);
        }
    }
}

fn unreachable<D: Dialect>(in_flight: &InFlightAttempt<D>, pick: &Pick, error: &std::io::Error) -> Attempt<D> {
    log::info!("event=endpoint_unreachable endpoint={} addr={} error=\"{error}\"", pick.id, pick.addr);
    not_sent(in_flight)
}

fn withheld<D: Dialect>(entry: &Entry<D>, pick: &Pick) -> Attempt<D> {
    let is_limited = entry.state.borrow().pool.limit(pick).is_some_and(|limit| limit.rate().is_some());
    log::info!("event=request_withheld endpoint={} addr={} limited={is_limited}", pick.id, pick.addr);
    let service = entry.state.borrow().pool.record(&pick.id).map(|record| record.service.clone());
    meters::on_withheld(service.as_deref().unwrap_or("gone"), is_limited);
    Attempt::Withheld
}

fn not_sent<D: Dialect>(in_flight: &InFlightAttempt<D>) -> Attempt<D> {
    in_flight.set_outcome(AttemptOutcome::Unreachable);
    in_flight.withhold();
    Attempt::NotSent
}

fn lost<D: Dialect>(in_flight: &InFlightAttempt<D>, error: &hyper::Error) -> Attempt<D> {
    in_flight.set_outcome(AttemptOutcome::BrokenOff);
    Attempt::Lost { cause: format!("connection lost: {}", error_chain::describe(error)) }
}

fn malformed<D: Dialect>(in_flight: &InFlightAttempt<D>, problem: &str) -> Attempt<D> {
    in_flight.set_outcome(AttemptOutcome::Failed);
    Attempt::MayHaveRun { cause: format!("malformed answer: {problem}") }
}

/// Classifies an answer by its head.
fn classify<D: Dialect>(
    entry: &Rc<Entry<D>>,
    attempt_id: Option<&HeaderValue>,
    pick: &Pick,
    in_flight: InFlightAttempt<D>,
    exchanged: Exchanged,
) -> Attempt<D> {
    let names = entry.dialect.headers();
    let Exchanged { connection, response } = exchanged;
    let (head, body) = response.into_parts();
    in_flight.on_response_bytes();
    let is_own = head.headers.get(&names.attempt_id) == attempt_id;
    let signals = signals::read(&entry.dialect, &head, is_own);
    signals::record(entry, pick, &signals, in_flight.sent_ms().unwrap_or(0));
    let says_not_run = head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST;
    if says_not_run && (is_own || !head.headers.contains_key(&names.attempt_id)) {
        record_not_run(entry, pick, &in_flight, &head);
        return Attempt::NotRun { status: head.status, backoff_ms: signals.backoff_ms };
    }
    let lacks_proof = head.status.is_success() && !head.headers.contains_key(&names.proof);
    // Passed on to the caller, these statuses would claim that the request has not run.
    let implies_not_run = IMPLIES_NOT_RUN.contains(&head.status);
    if !is_own || lacks_proof || implies_not_run {
        in_flight.set_outcome(AttemptOutcome::Failed);
        let cause = match (is_own, lacks_proof) {
            (false, _) => "answer to another request",
            (true, true) => "answer lacks the endpoint's signature",
            (true, false) => "refusal that does not state whether the request ran",
        };
        return Attempt::MayHaveRun { cause: cause.to_owned() };
    }
    let now_ms = entry.clock.now_ms();
    entry.state.borrow_mut().pool.on_accepted(pick, now_ms);
    let witness = ends_with_connection(&head, &body).then(|| entry.witnesses.get(pick, entry.clock));
    Attempt::Answered(Box::new(Answer { head, body, connection, pick: pick.clone(), in_flight, witness }))
}

/// Records what an endpoint that did not run a request reports about itself and its group.
fn record_not_run<D: Dialect>(entry: &Entry<D>, pick: &Pick, in_flight: &InFlightAttempt<D>, head: &response::Parts) {
    let is_full = head.status == StatusCode::SERVICE_UNAVAILABLE || head.status == StatusCode::TOO_MANY_REQUESTS;
    let at_fault = head.headers.get(&entry.dialect.headers().endpoint_at_fault);
    let is_group_fault = is_full && at_fault.is_some_and(|id| id.as_bytes() != pick.id.as_bytes());
    in_flight.set_outcome(match (is_group_fault, is_full) {
        // Another rank is at fault: this one is as good as before once its group resumes.
        (true, _) => AttemptOutcome::Unknown,
        (false, true) => AttemptOutcome::Full,
        (false, false) => AttemptOutcome::Unreachable,
    });
    if is_group_fault {
        let now_ms = entry.clock.now_ms();
        entry.state.borrow_mut().pool.on_group_fault(&pick.id, now_ms);
    }
}
