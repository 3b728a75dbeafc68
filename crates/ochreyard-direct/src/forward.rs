//! Serves a caller's request from its head to its final answer.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, request};
use hyper::body::Incoming;
use ochreyard_core::direct::{EngineSpec, RouteKind, RouteTable};
use ochreyard_core::error_kind::{ErrorKind, Refusal};
use ochreyard_process::deadline_ms;

use crate::answer::Answer;
use crate::answer_body::AnswerBody;
use crate::answer_limits::MAX_ANSWER_BYTES;
use crate::buffered_bytes::{BodyError, BufferedBytes};
use crate::caller_request::CallerRequest;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::give_up_reason::GiveUpReason;
use crate::job::{AttemptProgress, Job};
use crate::pass_on;
use crate::refusal;
use crate::relay;
use crate::stall_outcome::StallOutcome;
use crate::timeout::timeout_after_reads;

/// Delay after which a caller should send its request again while its box is leaving, in milliseconds: almost at once,
/// since its next connection leads to another box.
pub const LEAVING_RETRY_AFTER_MS: u64 = 50;

/// Answers a caller's request.
pub async fn answer<D: Dialect>(entry: Rc<Entry<D>>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started_us = entry.clock.now_us();
    let table = entry.state.borrow().table.clone();
    let (head, body) = request.into_parts();
    let Some(table) = table.filter(|_| entry.is_initialized()) else {
        return refusal::of_kind(ErrorKind::Stale);
    };
    let buffer = BufferedBytes::of_caller(&entry);
    let body = tokio::select! {
        biased;
        body = read_body(body, &table, &buffer) => body,
        () = entry.exiting() => Err(ErrorKind::Leaving),
    };
    let body = match body {
        Ok(_) if entry.is_refusing.get() => return leaving(),
        Ok(body) => body,
        Err(ErrorKind::Leaving) => return leaving(),
        Err(kind) => return refusal::of_kind(kind),
    };
    // The newest configuration applies: the body may have taken a while to arrive.
    let table = entry.state.borrow().table.clone().unwrap_or(table);
    match admit(&entry, &table, head, body, started_us) {
        Ok(job) => run(Job { _buffered_body: buffer, ..job }).await,
        Err(kind) => refusal::of_kind(kind),
    }
}

fn leaving() -> Response<AnswerBody> {
    refusal::response(&Refusal::new(ErrorKind::Leaving).with_retry_after_ms(LEAVING_RETRY_AFTER_MS))
}

async fn read_body<D: Dialect>(
    body: Incoming,
    table: &RouteTable,
    buffer: &BufferedBytes<D>,
) -> Result<Bytes, ErrorKind> {
    let limits = table.limits();
    let wait = Duration::from_millis(limits.idle_timeout_ms);
    match timeout_after_reads(wait, buffer.read_body(body, limits.max_body_bytes)).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(BodyError::TooLong { .. })) => Err(ErrorKind::BodyTooLarge),
        Some(Err(BodyError::MemoryLimit)) => {
            log::warn!("event=request_rejected cause=\"buffered bodies take too much memory\"");
            Err(ErrorKind::Overloaded)
        }
        Some(Err(BodyError::Interrupted(_))) => Err(ErrorKind::BadRequest),
        Some(Err(BodyError::TooSlow)) | None => Err(ErrorKind::CallerSlow),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Checks that the request may be served, and chooses its service.
fn admit<D: Dialect>(
    entry: &Rc<Entry<D>>,
    table: &RouteTable,
    head: request::Parts,
    body: Bytes,
    started_us: u64,
) -> Result<Job<D>, ErrorKind> {
    let started_ms = started_us / 1_000;
    let names = entry.dialect.headers();
    let host = header_text(&head.headers, &http::header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
    let route = table.route(host, head.uri.path()).ok_or(ErrorKind::UnknownService)?;
    let workspace = header_text(&head.headers, &names.api_key).and_then(|key| table.workspace_of(key));
    if table.needs_key() && !route.public && workspace.is_none() {
        return Err(ErrorKind::Unauthenticated);
    }
    let permitted_regions = workspace.map_or_else(
        || route.permitted_regions.clone(),
        |workspace| route.permitted_regions.intersect(&workspace.permitted_regions),
    );
    let service = route.service_for(entry.next_random()).ok_or(ErrorKind::NoEndpoint)?.to_owned();
    let caller_ms = header_text(&head.headers, &names.deadline_ms).and_then(|value| value.trim().parse::<u64>().ok());
    let timeout_ms = caller_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let size = header_text(&head.headers, &names.size).and_then(|value| entry.dialect.read_size(value));
    let priority = RouteTable::priority(route, workspace.map(AsRef::as_ref));
    let priority_level = table.priorities(&service).level(priority);
    let mut request = CallerRequest::new(&entry.dialect, head, body);
    if priority_level.count > 1 {
        request.set_priority(names, priority);
    }
    if let Some(name) = workspace.and_then(|workspace| workspace.name.parse().ok()) {
        request.headers.insert(names.workspace.clone(), name);
    }
    let mut state = entry.state.borrow_mut();
    state.budget.on_request(&service, started_ms);
    let queue = state.queue(&service);
    let arrival = queue.on_arrival(&route.name, route.target_latency_ms, timeout_ms, started_ms);
    let stated_tokens = size.map(|size| size.work_tokens(engine_of(table, &service)));
    let work_tokens = queue.usual_work.on_arrival(&route.name, stated_tokens);
    drop(state);
    Ok(Job {
        entry: Rc::clone(entry),
        route: Arc::clone(route),
        workspace: workspace.cloned(),
        permitted_regions,
        _buffered_body: BufferedBytes::of_caller(entry),
        request,
        deadline_ms: deadline_ms(started_us, timeout_ms),
        priority,
        priority_level,
        work_tokens,
        arrival,
        silent_since_ms: started_ms,
        progress: AttemptProgress::start(started_ms),
        retry: None,
        abandoned_first: None,
        attempted: None,
        is_replacing: false,
        has_reached_endpoint: false,
        last_wait_facts: None,
        ahead: 0,
        sent: 0,
        stall_refusals: 0,
        tried: Vec::new(),
        may_have_run: false,
        fingerprint: OnceCell::new(),
        prompt_parts: OnceCell::new(),
        trial_claim: None,
        running_trial: None,
        is_on_trial: false,
        stall_outcome: StallOutcome::new(entry, &service, arrival.is_caller_retry),
        service,
        started_ms,
        config_version: table.version(),
    })
}

/// Returns the parameters of the engines of a service, if it has any.
fn engine_of<'a>(table: &'a RouteTable, service: &str) -> Option<&'a EngineSpec> {
    table.service(service)?.engine.as_ref()
}

/// Runs a request to its final answer, or to the start of an answer that is passed on as it arrives. A request that has
/// neither when the process is about to exit is given up.
async fn run<D: Dialect>(mut job: Job<D>) -> Response<AnswerBody> {
    let entry = Rc::clone(&job.entry);
    let outcome = tokio::select! {
        biased;
        outcome = run_attempts(&mut job) => outcome,
        () = entry.exiting() => {
            job.cancel_attempt();
            Outcome::GivenUp(GiveUpReason::Leaving)
        }
    };
    match outcome {
        Outcome::Complete(response) => response,
        Outcome::Stream(answer) => relay::stream(job, *answer),
        Outcome::Unbuffered(answer) => pass_on::pass_on(job, *answer),
        Outcome::GivenUp(reason) => job.give_up(reason),
    }
}

/// How the attempts of a request ended.
enum Outcome<D: Dialect> {
    Complete(Response<AnswerBody>),
    /// The start of a stream.
    Stream(Box<Answer<D>>),
    /// The start of an answer that there is no memory for.
    Unbuffered(Box<Answer<D>>),
    GivenUp(GiveUpReason),
}

async fn run_attempts<D: Dialect>(job: &mut Job<D>) -> Outcome<D> {
    loop {
        let answer = match job.next_answer().await {
            Ok(answer) => answer,
            Err(reason) => return Outcome::GivenUp(reason),
        };
        // An answer whose deadline has passed could only be broken off after its head, unless it is complete already.
        let may_pass_on = answer.head.status.is_success() && job.time_left_ms() > 0;
        if matches!(job.route.kind, RouteKind::Stream { .. }) && may_pass_on {
            return Outcome::Stream(Box::new(answer));
        }
        let buffer = BufferedBytes::of_endpoint(&job.entry, &answer.pick.id);
        if may_pass_on && !has_room_for(&answer, &buffer) {
            return Outcome::Unbuffered(Box::new(answer));
        }
        match job.read_complete(answer, buffer).await {
            Some(response) => return Outcome::Complete(response),
            None if job.time_left_ms() == 0 => return Outcome::GivenUp(GiveUpReason::TimeUp),
            None => {}
        }
    }
}

/// Reserves the memory for an answer that states its size. Returns false if there is not enough; an answer that is larger
/// than allowed, or does not state its size, is judged while it is read.
fn has_room_for<D: Dialect>(answer: &Answer<D>, buffer: &BufferedBytes<D>) -> bool {
    let stated_bytes = answer.stated_bytes().filter(|bytes| *bytes <= MAX_ANSWER_BYTES);
    stated_bytes.is_none_or(|bytes| buffer.try_resize(bytes))
}
