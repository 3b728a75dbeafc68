//! One call: from the offer to the last frame.

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
use ochreyard_peer::{AgentHandler, CallEnd, CallRequest, Heartbeat};
use tokio::sync::{Notify, mpsc};

use crate::admission_actor::{AdmissionActor, Beat, Cancel, Configure, Finish, Revoke, Ruling, TakeOffer};

/// Largest answer that is kept for a repeat of its key, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Answers entries: the shell around the admission and the endpoint.
pub struct Agent {
    /// Name of the endpoint's data centre, to know whether data may rest here.
    pub data_centre: String,
    /// Owns the admission.
    pub admission: ActorRef<AdmissionActor>,
    /// The endpoint.
    pub endpoint: EndpointClient,
    /// The configuration, for what the endpoint is told about caching.
    pub config: std::sync::RwLock<Option<Arc<Configuration>>>,
}

fn lost_actor() -> CallEnd {
    CallEnd::Refused(Refusal::new(ErrorKind::Internal).with_detail("the admission has ended"))
}

impl AgentHandler for Agent {
    async fn heartbeat(&self, beat: Heartbeat) -> AgentReport {
        let beat = Beat { verified_for: beat.verified_for, tail_version: beat.tail_version };
        self.admission.ask(beat).await.ok().flatten().unwrap_or_default()
    }

    async fn configure(&self, config: Arc<Configuration>) -> u64 {
        let version = self.admission.ask(Configure(Arc::clone(&config))).await.unwrap_or(0);
        if version == config.version()
            && let Ok(mut held) = self.config.write()
        {
            *held = Some(config);
        }
        version
    }

    async fn extend(&self, delta: Delta) -> u64 {
        let held = self.config.read().ok().and_then(|held| held.clone()).unwrap_or_default();
        match delta.applied_to(&held) {
            Some(next) => self.configure(Arc::new(next)).await,
            None => held.version(),
        }
    }

    async fn call(&self, call: CallRequest, frames: mpsc::Sender<Frame>) -> CallEnd {
        let attempt = call.offer.attempt;
        let Ok(mut ruling) = self.admission.ask(TakeOffer(call.offer.clone())).await else {
            return lost_actor();
        };
        let ruling = tokio::select! {
            ruling = &mut ruling => ruling,
            () = frames.closed() => {
                let _ = self.admission.ask(Cancel(attempt)).await;
                ruling.await
            }
        };
        match ruling {
            Ok(Ruling::Start(stop)) => self.run(&call, frames, &stop).await,
            Ok(Ruling::Refused(refusal)) => CallEnd::Refused(refusal),
            Ok(Ruling::Replay(answer)) => replay(attempt, &answer, &frames).await,
            Ok(Ruling::Repeated) => CallEnd::Refused(Refusal::new(ErrorKind::Revoked).with_run(RunStatus::MayHaveRun)),
            Err(_) => lost_actor(),
        }
    }

    async fn cancel(&self, attempt: AttemptId) {
        let _ = self.admission.ask(Cancel(attempt)).await;
    }

    async fn revoke(&self, attempt: AttemptId, to: Incarnation) -> RevokeAnswer {
        self.admission.ask(Revoke(attempt, to)).await.ok().flatten().unwrap_or(RevokeAnswer::Unknown)
    }
}

/// How the part of a call between endpoint and entry ended.
enum Streamed {
    Whole(Option<Arc<StoredAnswer>>),
    CallerGone,
    Failed(EndpointError),
}

impl Agent {
    /// Calls the endpoint, and notes the outcome before the answer's end goes out.
    async fn run(&self, call: &CallRequest, frames: mpsc::Sender<Frame>, stop: &Notify) -> CallEnd {
        let offer = &call.offer;
        let mut writer = FrameWriter::new(offer.attempt);
        let streamed = {
            let work = self.stream(call, &mut writer, &frames);
            let deadline = tokio::time::sleep(Duration::from_millis(offer.remaining_ms));
            if offer.repeatable {
                tokio::select! {
                    streamed = work => Ok(streamed),
                    () = deadline => Err(ErrorKind::DeadlineExceeded),
                    () = stop.notified() => Err(ErrorKind::CallerGone),
                }
            } else {
                // It runs to its end, so that its outcome is known when the key comes again.
                Ok(work.await)
            }
        };
        let (outcome, end) = conclude(offer, streamed);
        let _ = self.admission.ask(Finish(offer.attempt, outcome)).await;
        if end == CallEnd::Sent {
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
        let mut caller_there = frames.send(writer.frame(head)).await.is_ok();
        let mut kept = Keeper::new(&answer, &call.offer);
        let mut answer = answer;
        loop {
            if !caller_there && call.offer.repeatable {
                return Streamed::CallerGone;
            }
            match answer.next_part().await {
                Ok(Some(part)) => {
                    kept.add(&part);
                    let frame = writer.frame(FrameBody::Data(part.to_vec()));
                    caller_there = caller_there && frames.send(frame).await.is_ok();
                }
                Ok(None) => return Streamed::Whole(kept.done()),
                Err(error) => return Streamed::Failed(error),
            }
        }
    }

    async fn send(&self, call: &CallRequest) -> Result<EndpointAnswer, EndpointError> {
        let attempt = call.offer.attempt.to_string();
        let context = CallContext {
            attempt: &attempt,
            workspace: call.offer.workspace.as_str(),
            may_keep: self.may_keep(&call.offer),
        };
        let request = EndpointRequest {
            method: &call.request.method,
            path: &call.request.path,
            content_type: &call.request.content_type,
            body: &call.request.body,
        };
        self.endpoint.call(request, context).await
    }

    fn may_keep(&self, offer: &Offer) -> bool {
        let Ok(held) = self.config.read() else { return false };
        let workspace = held.as_ref().and_then(|config| config.workspace(&offer.workspace));
        workspace.is_some_and(|ws| ws.keep_in.contains(self.data_centre.as_str()))
    }
}

fn conclude(offer: &Offer, streamed: Result<Streamed, ErrorKind>) -> (Outcome, CallEnd) {
    let cost = offer.cost;
    match streamed {
        Ok(Streamed::Whole(Some(answer))) => (Outcome::ran(cost).with_answer(answer), CallEnd::Sent),
        Ok(Streamed::Whole(None)) => (Outcome::ran(cost), CallEnd::Sent),
        Ok(Streamed::CallerGone) => {
            (Outcome::may_have_run(cost), CallEnd::Refused(Refusal::new(ErrorKind::CallerGone)))
        }
        Ok(Streamed::Failed(error)) => {
            log::warn!("event=endpoint_call_failed attempt={} kind={} error=\"{error}\"", offer.attempt, error.kind());
            let refusal = Refusal::new(error.kind());
            let ran = refusal.run != RunStatus::NotRun;
            let outcome = if ran { Outcome::may_have_run(cost) } else { Outcome::not_run() };
            (outcome, CallEnd::Refused(refusal))
        }
        Err(kind) => (Outcome::may_have_run(cost), CallEnd::Refused(Refusal::new(kind))),
    }
}

async fn replay(attempt: AttemptId, answer: &StoredAnswer, frames: &mpsc::Sender<Frame>) -> CallEnd {
    let mut writer = FrameWriter::new(attempt);
    let head = FrameBody::Head { status: answer.status, content_type: answer.content_type.clone() };
    let bodies = [head, FrameBody::Data(answer.body.clone())];
    for body in bodies {
        if frames.send(writer.frame(body)).await.is_err() {
            return CallEnd::Refused(Refusal::new(ErrorKind::CallerGone).with_run(RunStatus::Ran));
        }
    }
    let _ = frames.send(writer.end()).await;
    CallEnd::Sent
}

/// Collects the answer to a key, while it is small enough to keep.
struct Keeper {
    answer: Option<StoredAnswer>,
}

impl Keeper {
    fn new(answer: &EndpointAnswer, offer: &Offer) -> Self {
        let kept =
            || StoredAnswer { status: answer.status, content_type: answer.content_type.clone(), body: Vec::new() };
        Self { answer: offer.key.is_some().then(kept) }
    }

    fn add(&mut self, part: &[u8]) {
        if let Some(answer) = &mut self.answer {
            answer.body.extend_from_slice(part);
        }
        if self.answer.as_ref().is_some_and(|answer| answer.body.len() > MAX_KEPT_BYTES) {
            self.answer = None;
        }
    }

    fn done(self) -> Option<Arc<StoredAnswer>> {
        self.answer.map(Arc::new)
    }
}
