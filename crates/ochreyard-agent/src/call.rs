//! Handles a call of an entry, from the offer to the last frame of the answer.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use ochreyard_core::admission::{Offer, Outcome, RevokeAnswer, StoredAnswer};
use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::error_kind::{ErrorKind, Refusal, RunStatus};
use ochreyard_core::frame::{Frame, FrameBody, FrameWriter};
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_core::membership::AgentReport;
use ochreyard_endpoint::{CallContext, EndpointAnswer, EndpointClient, EndpointError, EndpointRequest};
use ochreyard_peer::{AgentHandler, CallOutcome, CallRequest, Heartbeat};
use tokio::sync::{Notify, mpsc};

use crate::admission_actor::{
    AdmissionActor, AdmissionDecision, Cancel, Configure, Finish, RecordHeartbeat, Revoke, SubmitOffer,
};

/// Maximum size of the answer body that is stored for an idempotency key, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// How much of an answer is read, to learn its outcome, after its caller has left.
const MAX_UNREAD_ANSWER_BYTES: usize = 16 << 20;

/// Handles the messages of entries, with the admission control and the endpoint.
pub struct Agent {
    /// Name of the endpoint's data centre, which determines whether a workspace's data may be stored here.
    pub data_centre: String,
    /// The actor that owns the admission control.
    pub admission: ActorRef<AdmissionActor>,
    /// The client of the endpoint.
    pub endpoint: EndpointClient,
    /// The configuration in force, which determines whether the endpoint may cache data.
    pub config: std::sync::RwLock<Option<Arc<Configuration>>>,
}

fn actor_stopped() -> CallOutcome {
    CallOutcome::Refused(Refusal::new(ErrorKind::Internal).with_detail("the admission has ended"))
}

impl AgentHandler for Agent {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> AgentReport {
        let message = RecordHeartbeat { verified_for: heartbeat.verified_for, tail_version: heartbeat.tail_version };
        self.admission.ask(message).await.ok().flatten().unwrap_or_default()
    }

    async fn configure(&self, config: Arc<Configuration>) -> u64 {
        let version = self.admission.ask(Configure(Arc::clone(&config))).await.unwrap_or(0);
        if version == config.version()
            && let Ok(mut current) = self.config.write()
        {
            *current = Some(config);
        }
        version
    }

    async fn extend(&self, delta: Delta) -> u64 {
        let base = self.config.read().ok().and_then(|current| current.clone()).unwrap_or_default();
        match delta.applied_to(&base) {
            Some(next) => self.configure(Arc::new(next)).await,
            None => base.version(),
        }
    }

    async fn call(&self, call: CallRequest, frames: mpsc::Sender<Frame>) -> CallOutcome {
        let attempt = call.offer.attempt;
        let Ok(mut decision) = self.admission.ask(SubmitOffer(call.offer.clone())).await else {
            return actor_stopped();
        };
        let decision = tokio::select! {
            decision = &mut decision => decision,
            () = frames.closed() => {
                let _ = self.admission.ask(Cancel(attempt)).await;
                decision.await
            }
        };
        match decision {
            Ok(AdmissionDecision::Start(cancel)) => self.run(&call, frames, &cancel).await,
            Ok(AdmissionDecision::Refused(refusal)) => CallOutcome::Refused(refusal),
            Ok(AdmissionDecision::Replay(answer)) => replay(attempt, &answer, &frames).await,
            Ok(AdmissionDecision::Duplicate) => {
                CallOutcome::Refused(Refusal::new(ErrorKind::Revoked).with_run(RunStatus::MayHaveRun))
            }
            Err(_) => actor_stopped(),
        }
    }

    async fn cancel(&self, attempt: AttemptId) {
        let _ = self.admission.ask(Cancel(attempt)).await;
    }

    async fn revoke(&self, attempt: AttemptId, agent_incarnation: Incarnation) -> RevokeAnswer {
        self.admission.ask(Revoke(attempt, agent_incarnation)).await.ok().flatten().unwrap_or(RevokeAnswer::Unknown)
    }
}

/// How the forwarding of an answer from the endpoint to the entry ended.
enum Streamed {
    Complete(Option<Arc<StoredAnswer>>),
    CallerGone,
    Failed(EndpointError),
}

impl Agent {
    /// Calls the endpoint, and records the outcome before the end of the answer is sent.
    async fn run(&self, call: &CallRequest, frames: mpsc::Sender<Frame>, cancel: &Notify) -> CallOutcome {
        let offer = &call.offer;
        let mut writer = FrameWriter::new(offer.attempt);
        let streamed = {
            let forwarding = self.stream(call, &mut writer, &frames);
            let deadline = tokio::time::sleep(Duration::from_millis(offer.remaining_ms));
            if offer.repeatable {
                tokio::select! {
                    streamed = forwarding => Ok(streamed),
                    () = deadline => Err(ErrorKind::DeadlineExceeded),
                    () = cancel.notified() => Err(ErrorKind::CallerGone),
                }
            } else {
                // The call always runs to its end, so that the outcome is known when the key is used again.
                Ok(forwarding.await)
            }
        };
        let (outcome, end) = outcome_and_end(offer, streamed);
        let _ = self.admission.ask(Finish(offer.attempt, outcome)).await;
        if end == CallOutcome::Sent {
            let _ = frames.send(writer.end()).await;
        }
        end
    }

    async fn stream(&self, call: &CallRequest, writer: &mut FrameWriter, frames: &mpsc::Sender<Frame>) -> Streamed {
        let answer = match self.send(call).await {
            Ok(answer) => answer,
            Err(error) => return Streamed::Failed(error),
        };
        let head = FrameBody::Head { status: answer.status, content_type: answer.content_type.clone() };
        let mut is_caller_connected = frames.send(writer.frame(head)).await.is_ok();
        let mut collector = AnswerCollector::new(&answer, &call.offer);
        let mut answer = answer;
        loop {
            if !is_caller_connected {
                if call.offer.repeatable {
                    return Streamed::CallerGone;
                }
                answer.limit_rest(MAX_UNREAD_ANSWER_BYTES);
            }
            match answer.next_chunk().await {
                Ok(Some(part)) => {
                    collector.add(&part);
                    let frame = writer.frame(FrameBody::Data(part.to_vec()));
                    is_caller_connected = is_caller_connected && frames.send(frame).await.is_ok();
                }
                Ok(None) => return Streamed::Complete(collector.finish()),
                Err(error) => return Streamed::Failed(error),
            }
        }
    }

    async fn send(&self, call: &CallRequest) -> Result<EndpointAnswer, EndpointError> {
        let attempt = call.offer.attempt.to_string();
        let context = CallContext {
            attempt: &attempt,
            workspace: call.offer.workspace.as_str(),
            may_cache: self.may_store_data(&call.offer),
        };
        let request = EndpointRequest {
            method: &call.request.method,
            path: &call.request.path,
            content_type: &call.request.content_type,
            body: &call.request.body,
        };
        self.endpoint.call(request, context).await
    }

    fn may_store_data(&self, offer: &Offer) -> bool {
        let Ok(current) = self.config.read() else { return false };
        let workspace = current.as_ref().and_then(|config| config.workspace(&offer.workspace));
        workspace.is_some_and(|ws| ws.keep_in.contains(self.data_centre.as_str()))
    }
}

fn outcome_and_end(offer: &Offer, streamed: Result<Streamed, ErrorKind>) -> (Outcome, CallOutcome) {
    let cost = offer.cost;
    match streamed {
        Ok(Streamed::Complete(Some(answer))) => (Outcome::ran(cost).with_answer(answer), CallOutcome::Sent),
        Ok(Streamed::Complete(None)) => (Outcome::ran(cost), CallOutcome::Sent),
        Ok(Streamed::CallerGone) => {
            (Outcome::may_have_run(cost), CallOutcome::Refused(Refusal::new(ErrorKind::CallerGone)))
        }
        Ok(Streamed::Failed(error)) => {
            log::warn!("event=endpoint_call_failed attempt={} kind={} error=\"{error}\"", offer.attempt, error.kind());
            let refusal = Refusal::new(error.kind());
            let may_have_run = refusal.run != RunStatus::NotRun;
            let outcome = if may_have_run { Outcome::may_have_run(cost) } else { Outcome::not_run() };
            (outcome, CallOutcome::Refused(refusal))
        }
        Err(kind) => (Outcome::may_have_run(cost), CallOutcome::Refused(Refusal::new(kind))),
    }
}

async fn replay(attempt: AttemptId, answer: &StoredAnswer, frames: &mpsc::Sender<Frame>) -> CallOutcome {
    let mut writer = FrameWriter::new(attempt);
    let head = FrameBody::Head { status: answer.status, content_type: answer.content_type.clone() };
    let bodies = [head, FrameBody::Data(answer.body.clone())];
    for body in bodies {
        if frames.send(writer.frame(body)).await.is_err() {
            return CallOutcome::Refused(Refusal::new(ErrorKind::CallerGone).with_run(RunStatus::Ran));
        }
    }
    let _ = frames.send(writer.end()).await;
    CallOutcome::Sent
}

/// Collects the answer to a request with an idempotency key, unless it grows too large to store.
struct AnswerCollector {
    answer: Option<StoredAnswer>,
}

impl AnswerCollector {
    fn new(answer: &EndpointAnswer, offer: &Offer) -> Self {
        let empty_answer =
            || StoredAnswer { status: answer.status, content_type: answer.content_type.clone(), body: Vec::new() };
        Self { answer: offer.key.is_some().then(empty_answer) }
    }

    fn add(&mut self, part: &[u8]) {
        if let Some(answer) = &mut self.answer {
            answer.body.extend_from_slice(part);
        }
        if self.answer.as_ref().is_some_and(|answer| answer.body.len() > MAX_STORED_ANSWER_BYTES) {
            self.answer = None;
        }
    }

    fn finish(self) -> Option<Arc<StoredAnswer>> {
        self.answer.map(Arc::new)
    }
}
