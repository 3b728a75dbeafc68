//! Forwards a caller's request to one endpoint after another, until it has a final answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::ActorRef;
use metrics_exporter_prometheus::PrometheusHandle;
use ochreyard_caller::{BodyChunk, CallHandler, CallerAnswer, CallerReply, CallerRequest};
use ochreyard_core::admission::{IdempotencyKey, Offer, RevokeAnswer};
use ochreyard_core::dispatch::{Dispatch, RetryDecision};
use ochreyard_core::error_kind::{ErrorKind, Refusal, RunStatus};
use ochreyard_core::frame::{FrameAction, FrameBody, FrameReader};
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_peer::{CallOutcome, CallRequest, LinkError, ServiceRequest};
use ochreyard_process::Clock;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::balancer::{Admit, Balancer, HandleFailure, LinkLost, Pick, RecordOutcome};
use crate::late_deadline::wait_until_deadline;
use crate::state::{AdmittedRequest, PickRequest, Target};

/// Capacity of the channels that buffer the frames, and the chunks of the body, of an answer for a slow caller.
const ANSWER_BUFFER_CAPACITY: usize = 4;
/// How long an agent whose connection was lost may take to answer whether an attempt had started.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers callers' requests by attempts at endpoints. The decisions are made by [`Dispatch`] and by the [`Balancer`].
pub struct Forwarder {
    /// The actor that owns the state.
    pub balancer: ActorRef<Balancer>,
    /// The incarnation of this entry.
    pub incarnation: Incarnation,
    /// The clock of the process.
    pub clock: Clock,
    /// Renders the metrics in the Prometheus text format.
    pub metrics: PrometheusHandle,
    /// Whether the readiness check succeeds, so that the load balancer in front sends requests to this entry.
    pub ready: AtomicBool,
    /// Whether new requests are refused because the entry is shutting down.
    pub refusing: AtomicBool,
    /// Requests in flight at this entry.
    pub in_flight: Arc<AtomicU32>,
}

impl CallHandler for Forwarder {
    async fn call(&self, call: CallerRequest) -> CallerReply {
        let guard = CountGuard::new(&self.in_flight);
        let started = Instant::now();
        if self.refusing.load(Ordering::Relaxed) {
            let run = if call.key.is_some() { RunStatus::MayHaveRun } else { RunStatus::NotRun };
            let refusal = Refusal::new(ErrorKind::Leaving).with_run(run);
            return CallerReply { request_id: format!("{}-0", self.incarnation), result: Err(refusal) };
        }
        let admit =
            Admit { token_sha256: call.token_sha256.clone(), service: call.service.clone(), is_model: call.is_model };
        let admitted = match self.balancer.ask(admit).await {
            Ok(admitted) => admitted,
            Err(error) => {
                let refusal = refusal_of_ask(error, call.key.is_some());
                return CallerReply { request_id: format!("{}-0", self.incarnation), result: Err(refusal) };
            }
        };
        let request_id = format!("{}-{}", self.incarnation, admitted.request_number);
        let request = ForwardedRequest { forwarder: self, call, admitted, started };
        let result = request.answer(guard).await;
        CallerReply { request_id, result }
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

/// Returns the refusal behind an error of the balancer.
fn refusal_of_ask<M>(error: kameo::error::SendError<M, Refusal>, has_key: bool) -> Refusal {
    let refusal = match error {
        kameo::error::SendError::HandlerError(refusal) => refusal,
        _ => Refusal::new(ErrorKind::Internal),
    };
    // The entry alone cannot tell whether an earlier request with the same key has run.
    let is_unproven = has_key && matches!(refusal.kind, ErrorKind::Stale | ErrorKind::NotPermitted);
    if is_unproven { refusal.with_run(RunStatus::MayHaveRun) } else { refusal }
}

/// A caller's request that is being forwarded.
struct ForwardedRequest<'a> {
    forwarder: &'a Forwarder,
    call: CallerRequest,
    admitted: AdmittedRequest,
    started: Instant,
}

impl ForwardedRequest<'_> {
    async fn answer(self, guard: CountGuard) -> Result<CallerAnswer, Refusal> {
        let deadline_ms = self.forwarder.clock.now_ms() + self.call.deadline_ms;
        let mut dispatch = Dispatch::new(self.call.repeatable, self.call.key.is_some(), deadline_ms);
        let mut last = None;
        loop {
            let target = match self.pick(&dispatch).await {
                Ok(target) => target,
                Err(refusal) if dispatch.tried().is_empty() => return Err(self.record_failure(refusal).await),
                Err(_) => return Err(self.record_failure(dispatch.give_up(last)).await),
            };
            let attempt = self.start_attempt(&mut dispatch, &target);
            let refusal = match self.start_answer(attempt).await {
                Ok(StartedAnswer { answer, attempt }) => return Ok(self.spawn_forwarding(answer, attempt, guard)),
                Err(refusal) => refusal,
            };
            metrics::counter!("ochreyard_entry_attempt_failed_total", "kind" => refusal.kind.as_str()).increment(1);
            last = Some(refusal.clone());
            let failure = HandleFailure { dispatch, endpoint: target.endpoint, refusal };
            match self.forwarder.balancer.ask(failure).await {
                Ok((returned, RetryDecision::RetryElsewhere)) => dispatch = returned,
                Ok((_, RetryDecision::GiveUp(refusal))) => return Err(self.record_failure(refusal).await),
                Err(_) => return Err(Refusal::new(ErrorKind::Internal)),
            }
        }
    }

    async fn pick(&self, dispatch: &Dispatch) -> Result<Target, Refusal> {
        let request = PickRequest {
            workspace: self.admitted.workspace.clone(),
            service: self.call.service.clone(),
            key: self.call.key.clone(),
            tried: dispatch.tried().to_vec(),
            prefix_hash: self.call.prefix_hash,
            cost: self.call.cost,
        };
        let has_key = self.call.key.is_some();
        self.forwarder.balancer.ask(Pick { request }).await.map_err(|error| refusal_of_ask(error, has_key))
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.call.deadline_ms).saturating_sub(self.started.elapsed())
    }

    fn start_attempt(&self, dispatch: &mut Dispatch, target: &Target) -> Attempt {
        let number = dispatch.begin(&target.endpoint);
        let attempt = AttemptId::new(self.forwarder.incarnation, self.admitted.request_number, number);
        let key = self.call.key.clone().map(|key| IdempotencyKey { key, fingerprint: self.call.fingerprint });
        let offer = Offer {
            attempt,
            agent_incarnation: target.incarnation,
            workspace: self.admitted.workspace.clone(),
            service: self.call.service.clone(),
            key,
            repeatable: self.call.repeatable,
            cost: self.call.cost,
            // Rounded up, so that the agent does not give up first.
            remaining_ms: u64::try_from(self.remaining().as_micros().div_ceil(1_000)).unwrap_or(u64::MAX),
        };
        let request = ServiceRequest {
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            content_type: self.call.content_type.clone(),
            body: self.call.body.clone(),
        };
        log::debug!("event=attempt attempt={attempt} endpoint={}", target.endpoint);
        Attempt::start(self.forwarder, target, CallRequest { offer, request }, Instant::now() + self.remaining())
    }

    /// Waits until the head of the answer, and then its first chunk or its end, have arrived.
    async fn start_answer(&self, mut attempt: Attempt) -> Result<StartedAnswer, Refusal> {
        let Some(FrameBody::Head { status, content_type }) = attempt.next().await? else {
            return Err(Refusal::new(ErrorKind::AnswerBroken));
        };
        let first_body = attempt.next().await?;
        let (sender, chunks) = mpsc::channel(ANSWER_BUFFER_CAPACITY);
        attempt.first_body = first_body;
        attempt.chunks = Some(sender);
        Ok(StartedAnswer { answer: CallerAnswer { status, content_type, chunks }, attempt })
    }

    /// Spawns the task that forwards the rest of the answer while the caller reads it.
    fn spawn_forwarding(self, answer: CallerAnswer, attempt: Attempt, guard: CountGuard) -> CallerAnswer {
        let late = self.started.elapsed() > Duration::from_millis(self.admitted.first_byte_ms);
        metrics::histogram!("ochreyard_entry_first_part_seconds").record(self.started.elapsed().as_secs_f64());
        let balancer = self.forwarder.balancer.clone();
        let (service, workspace) = (self.call.service, self.admitted.workspace);
        tokio::spawn(async move {
            let failure = attempt.forward_chunks().await.err();
            let outcome = failure.as_ref().map_or("whole", |refusal| refusal.kind.as_str());
            metrics::counter!("ochreyard_entry_answers_total", "outcome" => outcome).increment(1);
            let failure = failure.map(|refusal| refusal.kind);
            let _ = balancer.tell(RecordOutcome { service, workspace, failure, late }).await;
            drop(guard);
        });
        answer
    }

    async fn record_failure(&self, refusal: Refusal) -> Refusal {
        metrics::counter!("ochreyard_entry_answers_total", "outcome" => refusal.kind.as_str()).increment(1);
        log::info!(
            "event=refused request={}-{} workspace={} service={} kind={} run={}",
            self.forwarder.incarnation,
            self.admitted.request_number,
            self.admitted.workspace,
            self.call.service,
            refusal.kind,
            refusal.run
        );
        let outcome = RecordOutcome {
            service: self.call.service.clone(),
            workspace: self.admitted.workspace.clone(),
            failure: Some(refusal.kind),
            late: false,
        };
        let _ = self.forwarder.balancer.tell(outcome).await;
        refusal
    }
}

/// An attempt whose answer has started, and the answer for the caller.
struct StartedAnswer {
    answer: CallerAnswer,
    attempt: Attempt,
}

/// What an attempt receives next from its agent.
enum Received {
    Frame(ochreyard_core::frame::Frame),
    /// The call ended; frames before its end may still be in the channel.
    End(Result<CallOutcome, LinkError>),
}

/// One attempt at one endpoint. Dropping it cancels the call.
struct Attempt {
    id: AttemptId,
    target: Target,
    has_key: bool,
    balancer: ActorRef<Balancer>,
    reader: FrameReader,
    frames: mpsc::Receiver<ochreyard_core::frame::Frame>,
    call: JoinHandle<Result<CallOutcome, LinkError>>,
    end: Option<Result<CallOutcome, LinkError>>,
    deadline: Instant,
    first_body: Option<FrameBody>,
    chunks: Option<mpsc::Sender<BodyChunk>>,
    _in_flight: CountGuard,
}

impl Attempt {
    fn start(forwarder: &Forwarder, target: &Target, call: CallRequest, deadline: Instant) -> Self {
        let (sender, frames) = mpsc::channel(ANSWER_BUFFER_CAPACITY);
        let id = call.offer.attempt;
        let has_key = call.offer.key.is_some();
        let link = target.link.clone();
        Self {
            id,
            has_key,
            target: target.clone(),
            balancer: forwarder.balancer.clone(),
            reader: FrameReader::new(id),
            frames,
            call: tokio::spawn(async move { link.call(call, sender).await }),
            end: None,
            deadline,
            first_body: None,
            chunks: None,
            _in_flight: CountGuard::new(&target.in_flight),
        }
    }

    /// Returns the next frame of the answer, or `None` once the answer is complete and verified.
    async fn next(&mut self) -> Result<Option<FrameBody>, Refusal> {
        loop {
            let Some(frame) = self.next_frame().await? else {
                return Err(self.end_refusal().await);
            };
            match self.reader.accept(frame) {
                Ok(FrameAction::Forward(body)) => return Ok(Some(body)),
                Ok(FrameAction::Complete) => return Ok(None),
                Ok(FrameAction::Drop) => metrics::counter!("ochreyard_entry_foreign_frames_total").increment(1),
                Err(fault) => return Err(Refusal::new(ErrorKind::AnswerBroken).with_detail(fault.to_string())),
            }
        }
    }

    async fn next_frame(&mut self) -> Result<Option<ochreyard_core::frame::Frame>, Refusal> {
        if self.end.is_some() {
            // All frames had been received when the call ended, so the remaining ones are in the channel.
            return Ok(self.frames.try_recv().ok());
        }
        let (frames, call) = (&mut self.frames, &mut self.call);
        let received = async {
            tokio::select! {
                biased;
                frame = frames.recv() => match frame {
                    Some(frame) => Received::Frame(frame),
                    None => Received::End(flatten_join(call.await)),
                },
                end = &mut *call => Received::End(flatten_join(end)),
            }
        };
        match wait_until_deadline(self.deadline, received).await {
            Some(Received::Frame(frame)) => return Ok(Some(frame)),
            Some(Received::End(end)) => self.end = Some(end),
            None => return Err(Refusal::new(ErrorKind::DeadlineExceeded)),
        }
        Ok(self.frames.try_recv().ok())
    }

    /// Returns why the frames ended before the answer was complete.
    async fn end_refusal(&self) -> Refusal {
        match &self.end {
            Some(Ok(CallOutcome::Refused(refusal))) => refusal.clone(),
            Some(Ok(CallOutcome::Sent)) | None => Refusal::new(ErrorKind::AnswerBroken),
            Some(Err(error @ LinkError::NotSent { .. })) => {
                let _ = self.balancer.tell(LinkLost { endpoint: self.target.endpoint.clone() }).await;
                let kind = if self.has_key { ErrorKind::KeyHomeUnreachable } else { ErrorKind::EndpointDown };
                Refusal::new(kind).with_detail(error.to_string())
            }
            Some(Err(LinkError::Lost { problem })) => self.revoke_lost_attempt(problem).await,
        }
    }

    /// Asks the agent to revoke the attempt after its connection was lost. Only the agent can tell that the attempt
    /// never started.
    async fn revoke_lost_attempt(&self, problem: &str) -> Refusal {
        let _ = self.balancer.tell(LinkLost { endpoint: self.target.endpoint.clone() }).await;
        let revoke = self.target.link.revoke(self.id, self.target.incarnation);
        let answer = tokio::time::timeout(REVOKE_TIMEOUT, revoke).await;
        let not_started = matches!(answer, Ok(Ok(RevokeAnswer::NotStarted)));
        if not_started && !self.has_key {
            return Refusal::new(ErrorKind::Revoked);
        }
        Refusal::new(ErrorKind::ConnectionLost).with_detail(problem)
    }

    /// Forwards the answer chunk by chunk.
    async fn forward_chunks(mut self) -> Result<(), Refusal> {
        let Some(chunks) = self.chunks.take() else { return Ok(()) };
        let mut next: Result<Option<FrameBody>, Refusal> = Ok(self.first_body.take());
        let failure = loop {
            match next {
                Ok(Some(FrameBody::Data(bytes))) => match self.send_chunk(&chunks, bytes).await {
                    Some(Ok(())) => {}
                    Some(Err(_)) => return Err(Refusal::new(ErrorKind::CallerGone)),
                    None => break Refusal::new(ErrorKind::DeadlineExceeded),
                },
                Ok(Some(_)) => {}
                Ok(None) => return Ok(()),
                Err(refusal) => break refusal,
            }
            next = self.next().await;
        };
        // Releases the endpoint first, since the caller may take the failure much later.
        drop(self);
        let _ = chunks.send(Err(failure.clone())).await;
        Err(failure)
    }

    /// Waits until the caller takes a chunk; `None` if it does not until the deadline and keeps the endpoint waiting. The
    /// rest of an answer that the endpoint has sent to its end is delivered however late the caller takes it.
    async fn send_chunk(
        &self,
        chunks: &mpsc::Sender<BodyChunk>,
        bytes: Vec<u8>,
    ) -> Option<Result<(), mpsc::error::SendError<BodyChunk>>> {
        let sending = chunks.send(Ok(Bytes::from(bytes)));
        tokio::pin!(sending);
        match wait_until_deadline(self.deadline, sending.as_mut()).await {
            None if self.call.is_finished() => Some(sending.await),
            sent => sent,
        }
    }
}

fn flatten_join(
    result: Result<Result<CallOutcome, LinkError>, tokio::task::JoinError>,
) -> Result<CallOutcome, LinkError> {
    result.unwrap_or_else(|error| Err(LinkError::Lost { problem: error.to_string() }))
}

/// Counts a request in flight, at this entry or at one endpoint, until the guard is dropped.
struct CountGuard(Arc<AtomicU32>);

impl CountGuard {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
