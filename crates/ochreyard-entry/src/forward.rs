//! One caller's request: endpoint by endpoint, until it has its final answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::ActorRef;
use metrics_exporter_prometheus::PrometheusHandle;
use ochreyard_caller::{CallHandler, CallerAnswer, CallerCall, CallerReply, Part};
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

use crate::balancer::{Admit, Balancer, Count, Judge, LinkBroke, Pick};
use crate::state::{Admitted, Target, Wanted};

/// Frames and parts of one answer that may wait here for a slow caller.
const PARTS_IN_HAND: usize = 4;
/// How long an agent that was lost may take to say whether an attempt had started.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers callers: the shell around dispatch and routing.
pub struct Forwarder {
    /// Owns the state.
    pub balancer: ActorRef<Balancer>,
    /// The life of this entry.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: Clock,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Whether the balancer should send requests here.
    pub ready: AtomicBool,
    /// Whether new requests are refused.
    pub refusing: AtomicBool,
    /// Requests that are under way.
    pub in_flight: Arc<AtomicU32>,
}

impl CallHandler for Forwarder {
    async fn call(&self, call: CallerCall) -> CallerReply {
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
                let refusal = ask_refusal(error, call.key.is_some());
                return CallerReply { request_id: format!("{}-0", self.incarnation), result: Err(refusal) };
            }
        };
        let request_id = format!("{}-{}", self.incarnation, admitted.request);
        let request = Request { forwarder: self, call, admitted, started };
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

fn ask_refusal<M>(error: kameo::error::SendError<M, Refusal>, keyed: bool) -> Refusal {
    let refusal = match error {
        kameo::error::SendError::HandlerError(refusal) => refusal,
        _ => Refusal::new(ErrorKind::Internal),
    };
    // The entry alone cannot know whether a key's earlier call ran.
    let unproved = keyed && matches!(refusal.kind, ErrorKind::Stale | ErrorKind::NotPermitted);
    if unproved { refusal.with_run(RunStatus::MayHaveRun) } else { refusal }
}

struct Request<'a> {
    forwarder: &'a Forwarder,
    call: CallerCall,
    admitted: Admitted,
    started: Instant,
}

impl Request<'_> {
    async fn answer(self, guard: CountGuard) -> Result<CallerAnswer, Refusal> {
        let deadline_ms = self.forwarder.clock.now_ms() + self.call.deadline_ms;
        let mut dispatch = Dispatch::new(self.call.repeatable, self.call.key.is_some(), deadline_ms);
        let mut last = None;
        loop {
            let target = match self.pick(&dispatch).await {
                Ok(target) => target,
                Err(refusal) if dispatch.tried().is_empty() => return Err(self.count_failure(refusal).await),
                Err(_) => return Err(self.count_failure(dispatch.give_up(last)).await),
            };
            let attempt = self.begin(&mut dispatch, &target);
            let refusal = match self.first_part(attempt).await {
                Ok(Started { answer, attempt }) => return Ok(self.pump(answer, attempt, guard)),
                Err(refusal) => refusal,
            };
            metrics::counter!("ochreyard_entry_attempt_failed_total", "kind" => refusal.kind.as_str()).increment(1);
            last = Some(refusal.clone());
            let judge = Judge { dispatch, endpoint: target.endpoint, refusal };
            match self.forwarder.balancer.ask(judge).await {
                Ok((returned, RetryDecision::RetryElsewhere)) => dispatch = returned,
                Ok((_, RetryDecision::GiveUp(refusal))) => return Err(self.count_failure(refusal).await),
                Err(_) => return Err(Refusal::new(ErrorKind::Internal)),
            }
        }
    }

    async fn pick(&self, dispatch: &Dispatch) -> Result<Target, Refusal> {
        let wanted = Wanted {
            workspace: self.admitted.workspace.clone(),
            service: self.call.service.clone(),
            key: self.call.key.clone(),
            tried: dispatch.tried().to_vec(),
            prefix_hash: self.call.prefix_hash,
            cost: self.call.cost,
        };
        let keyed = self.call.key.is_some();
        self.forwarder.balancer.ask(Pick { wanted }).await.map_err(|error| ask_refusal(error, keyed))
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.call.deadline_ms).saturating_sub(self.started.elapsed())
    }

    fn begin(&self, dispatch: &mut Dispatch, target: &Target) -> Attempt {
        let number = dispatch.begin(&target.endpoint);
        let attempt = AttemptId::new(self.forwarder.incarnation, self.admitted.request, number);
        let key = self.call.key.clone().map(|key| IdempotencyKey { key, fingerprint: self.call.fingerprint });
        let offer = Offer {
            attempt,
            agent_incarnation: target.incarnation,
            workspace: self.admitted.workspace.clone(),
            service: self.call.service.clone(),
            key,
            repeatable: self.call.repeatable,
            cost: self.call.cost,
            remaining_ms: u64::try_from(self.remaining().as_millis()).unwrap_or(0),
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

    /// Waits until the answer's head and its first part, or its end, have come.
    async fn first_part(&self, mut attempt: Attempt) -> Result<Started, Refusal> {
        let Some(FrameBody::Head { status, content_type }) = attempt.next().await? else {
            return Err(Refusal::new(ErrorKind::AnswerBroken));
        };
        let first = attempt.next().await?;
        let (sender, parts) = mpsc::channel(PARTS_IN_HAND);
        attempt.first = first;
        attempt.parts = Some(sender);
        Ok(Started { answer: CallerAnswer { status, content_type, parts }, attempt })
    }

    /// Passes the rest on while the caller reads.
    fn pump(self, answer: CallerAnswer, attempt: Attempt, guard: CountGuard) -> CallerAnswer {
        let late = self.started.elapsed() > Duration::from_millis(self.admitted.first_byte_ms);
        metrics::histogram!("ochreyard_entry_first_part_seconds").record(self.started.elapsed().as_secs_f64());
        let balancer = self.forwarder.balancer.clone();
        let (service, workspace) = (self.call.service, self.admitted.workspace);
        tokio::spawn(async move {
            let failure = attempt.pass_on().await.err();
            let outcome = failure.as_ref().map_or("whole", |refusal| refusal.kind.as_str());
            metrics::counter!("ochreyard_entry_answers_total", "outcome" => outcome).increment(1);
            let failure = failure.map(|refusal| refusal.kind);
            let _ = balancer.tell(Count { service, workspace, failure, late }).await;
            drop(guard);
        });
        answer
    }

    async fn count_failure(&self, refusal: Refusal) -> Refusal {
        metrics::counter!("ochreyard_entry_answers_total", "outcome" => refusal.kind.as_str()).increment(1);
        log::info!(
            "event=refused request={}-{} workspace={} service={} kind={} run={}",
            self.forwarder.incarnation,
            self.admitted.request,
            self.admitted.workspace,
            self.call.service,
            refusal.kind,
            refusal.run
        );
        let count = Count {
            service: self.call.service.clone(),
            workspace: self.admitted.workspace.clone(),
            failure: Some(refusal.kind),
            late: false,
        };
        let _ = self.forwarder.balancer.tell(count).await;
        refusal
    }
}

/// An attempt whose answer has begun.
struct Started {
    answer: CallerAnswer,
    attempt: Attempt,
}

/// One attempt at one endpoint. Dropping it cancels the call.
struct Attempt {
    id: AttemptId,
    target: Target,
    keyed: bool,
    balancer: ActorRef<Balancer>,
    reader: FrameReader,
    frames: mpsc::Receiver<ochreyard_core::frame::Frame>,
    call: JoinHandle<Result<CallOutcome, LinkError>>,
    end: Option<Result<CallOutcome, LinkError>>,
    deadline: Instant,
    first: Option<FrameBody>,
    parts: Option<mpsc::Sender<Part>>,
    _in_flight: CountGuard,
}

impl Attempt {
    fn start(forwarder: &Forwarder, target: &Target, call: CallRequest, deadline: Instant) -> Self {
        let (sender, frames) = mpsc::channel(PARTS_IN_HAND);
        let id = call.offer.attempt;
        let keyed = call.offer.key.is_some();
        let link = target.link.clone();
        Self {
            id,
            keyed,
            target: target.clone(),
            balancer: forwarder.balancer.clone(),
            reader: FrameReader::new(id),
            frames,
            call: tokio::spawn(async move { link.call(call, sender).await }),
            end: None,
            deadline,
            first: None,
            parts: None,
            _in_flight: CountGuard::new(&target.in_flight),
        }
    }

    /// The next part of the answer; `None` once it is whole and has checked out.
    async fn next(&mut self) -> Result<Option<FrameBody>, Refusal> {
        loop {
            let Some(frame) = self.next_frame().await? else {
                return Err(self.explain_end().await);
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
            // All frames were taken before the call ended, so what is left is in hand.
            return Ok(self.frames.try_recv().ok());
        }
        tokio::select! {
            biased;
            frame = self.frames.recv() => match frame {
                Some(frame) => return Ok(Some(frame)),
                None => self.end = Some(joined((&mut self.call).await)),
            },
            end = &mut self.call => self.end = Some(joined(end)),
            () = tokio::time::sleep_until(self.deadline) => return Err(Refusal::new(ErrorKind::DeadlineExceeded)),
        }
        Ok(self.frames.try_recv().ok())
    }

    /// Why the frames ended before the answer was whole.
    async fn explain_end(&self) -> Refusal {
        match &self.end {
            Some(Ok(CallOutcome::Refused(refusal))) => refusal.clone(),
            Some(Ok(CallOutcome::Sent)) | None => Refusal::new(ErrorKind::AnswerBroken),
            Some(Err(error @ LinkError::NotSent { .. })) => {
                let _ = self.balancer.tell(LinkBroke { endpoint: self.target.endpoint.clone() }).await;
                let kind = if self.keyed { ErrorKind::KeyHomeUnreachable } else { ErrorKind::EndpointDown };
                Refusal::new(kind).with_detail(error.to_string())
            }
            Some(Err(LinkError::Lost { problem })) => self.ask_whether_started(problem).await,
        }
    }

    /// The connection was lost: only the agent can say that the attempt never started.
    async fn ask_whether_started(&self, problem: &str) -> Refusal {
        let _ = self.balancer.tell(LinkBroke { endpoint: self.target.endpoint.clone() }).await;
        let revoke = self.target.link.revoke(self.id, self.target.incarnation);
        let answer = tokio::time::timeout(REVOKE_TIMEOUT, revoke).await;
        let not_started = matches!(answer, Ok(Ok(RevokeAnswer::NotStarted)));
        if not_started && !self.keyed {
            return Refusal::new(ErrorKind::Revoked);
        }
        Refusal::new(ErrorKind::ConnectionLost).with_detail(problem)
    }

    /// Passes the answer on, part by part.
    async fn pass_on(mut self) -> Result<(), Refusal> {
        let Some(parts) = self.parts.take() else { return Ok(()) };
        let mut next: Result<Option<FrameBody>, Refusal> = Ok(self.first.take());
        loop {
            match next {
                Ok(Some(FrameBody::Data(bytes))) => {
                    if parts.send(Ok(Bytes::from(bytes))).await.is_err() {
                        return Err(Refusal::new(ErrorKind::CallerGone));
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) => return Ok(()),
                Err(refusal) => {
                    let _ = parts.send(Err(refusal.clone())).await;
                    return Err(refusal);
                }
            }
            next = self.next().await;
        }
    }
}

fn joined(result: Result<Result<CallOutcome, LinkError>, tokio::task::JoinError>) -> Result<CallOutcome, LinkError> {
    result.unwrap_or_else(|error| Err(LinkError::Lost { problem: error.to_string() }))
}

/// Counts a request, at this entry or at one endpoint, for as long as it lives.
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
