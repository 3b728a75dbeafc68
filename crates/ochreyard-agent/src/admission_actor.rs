//! The actor that owns the admission control, passes events to it and performs its actions.

use std::collections::HashMap;
use std::sync::Arc;

use kameo::Actor;
use kameo::message::{Context, Message};
use ochreyard_core::admission::{Admission, AdmissionAction, Offer, Outcome, RevokeAnswer, StoredAnswer};
use ochreyard_core::config::Configuration;
use ochreyard_core::error_kind::Refusal;
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_core::membership::AgentReport;
use ochreyard_process::Clock;
use tokio::sync::{Notify, oneshot};

/// The decision about an offer.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// Call the endpoint, and cancel the call when notified.
    Start(Arc<Notify>),
    /// Refuse the offer.
    Refused(Refusal),
    /// Replay the stored answer of an earlier run.
    Replay(Arc<StoredAnswer>),
    /// An offer of the same attempt has arrived before.
    Duplicate,
}

/// Owns the admission control of the endpoint.
#[derive(Actor)]
pub struct AdmissionActor {
    admission: Admission,
    clock: Clock,
    pending_replies: HashMap<AttemptId, oneshot::Sender<AdmissionDecision>>,
    cancel_signals: HashMap<AttemptId, Arc<Notify>>,
    report_count: u64,
    step_us: u64,
}

impl AdmissionActor {
    /// Creates the actor that owns `admission`.
    #[must_use]
    pub fn new(admission: Admission, clock: Clock) -> Self {
        Self {
            admission,
            clock,
            pending_replies: HashMap::new(),
            cancel_signals: HashMap::new(),
            report_count: 0,
            step_us: 0,
        }
    }

    fn apply_actions(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(attempt) => self.start(attempt),
                AdmissionAction::Refuse { attempt, refusal } => {
                    metrics::counter!("ochreyard_agent_refused_total", "kind" => refusal.kind.as_str()).increment(1);
                    self.send_decision(attempt, AdmissionDecision::Refused(refusal));
                }
                AdmissionAction::Replay { attempt, answer } => {
                    self.send_decision(attempt, AdmissionDecision::Replay(answer));
                }
                AdmissionAction::Duplicate(attempt) => self.send_decision(attempt, AdmissionDecision::Duplicate),
                AdmissionAction::Stop(attempt) => {
                    if let Some(cancel) = self.cancel_signals.get(&attempt) {
                        cancel.notify_one();
                    }
                }
            }
        }
        metrics::gauge!("ochreyard_agent_running_requests").set(self.admission.running() as f64);
        metrics::gauge!("ochreyard_agent_waiting_requests").set(self.admission.waiting() as f64);
        metrics::gauge!("ochreyard_agent_kept_keys").set(self.admission.kept_keys() as f64);
    }

    fn start(&mut self, attempt: AttemptId) {
        let cancel = Arc::new(Notify::new());
        self.cancel_signals.insert(attempt, Arc::clone(&cancel));
        metrics::counter!("ochreyard_agent_started_total").increment(1);
        self.send_decision(attempt, AdmissionDecision::Start(cancel));
    }

    fn send_decision(&mut self, attempt: AttemptId, decision: AdmissionDecision) {
        if let Some(reply) = self.pending_replies.remove(&attempt) {
            // If the receiver is gone, the caller has disconnected and sends a `Cancel` message.
            let _ = reply.send(decision);
        }
    }
}

/// Submits an offer. The decision arrives later if the offer is queued.
pub struct SubmitOffer(pub Offer);

impl Message<SubmitOffer> for AdmissionActor {
    type Reply = oneshot::Receiver<AdmissionDecision>;

    async fn handle(&mut self, SubmitOffer(offer): SubmitOffer, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (reply, decision) = oneshot::channel();
        let attempt = offer.attempt;
        let now_ms = self.clock.now_ms();
        let actions = self.admission.offer(offer, now_ms);
        if actions == [AdmissionAction::Duplicate(attempt)] {
            // The first offer stays queued or running; only this duplicate is answered.
            let _ = reply.send(AdmissionDecision::Duplicate);
            return decision;
        }
        self.pending_replies.insert(attempt, reply);
        self.apply_actions(actions);
        decision
    }
}

/// Records the end of a started attempt.
pub struct Finish(pub AttemptId, pub Outcome);

impl Message<Finish> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, Finish(attempt, outcome): Finish, _: &mut Context<Self, Self::Reply>) {
        self.cancel_signals.remove(&attempt);
        let actions = self.admission.finish(attempt, outcome, self.clock.now_ms());
        self.apply_actions(actions);
    }
}

/// Cancels an attempt whose caller has disconnected.
pub struct Cancel(pub AttemptId);

impl Message<Cancel> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, Cancel(attempt): Cancel, _: &mut Context<Self, Self::Reply>) {
        let actions = self.admission.cancel(attempt, self.clock.now_ms());
        self.apply_actions(actions);
    }
}

/// Prevents an attempt from starting.
pub struct Revoke(pub AttemptId, pub Incarnation);

impl Message<Revoke> for AdmissionActor {
    type Reply = Option<RevokeAnswer>;

    async fn handle(
        &mut self,
        Revoke(attempt, agent_incarnation): Revoke,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let (answer, actions) = self.admission.revoke(attempt, agent_incarnation);
        self.apply_actions(actions);
        Some(answer)
    }
}

/// Puts a configuration from an entry in force, if it is newer.
pub struct Configure(pub Arc<Configuration>);

impl Message<Configure> for AdmissionActor {
    type Reply = u64;

    async fn handle(&mut self, Configure(config): Configure, _: &mut Context<Self, Self::Reply>) -> u64 {
        let before = self.admission.config_version();
        let actions = self.admission.configure(config, self.clock.now_ms());
        self.apply_actions(actions);
        let version = self.admission.config_version();
        if version != before {
            log::info!("event=config_in_force version={version}");
        }
        version
    }
}

/// Records a heartbeat from an entry, and replies with a status report.
pub struct RecordHeartbeat {
    /// The agent incarnation for which the entry has read the log to its end.
    pub verified_for: Incarnation,
    /// The version in force at the end of the log.
    pub tail_version: u64,
}

impl Message<RecordHeartbeat> for AdmissionActor {
    type Reply = Option<AgentReport>;

    async fn handle(&mut self, heartbeat: RecordHeartbeat, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if heartbeat.verified_for == self.admission.incarnation() {
            self.admission.verify_tail(heartbeat.tail_version, self.clock.now_ms());
        }
        self.report_count += 1;
        let admission = &self.admission;
        Some(AgentReport {
            incarnation: admission.incarnation(),
            number: self.report_count,
            config_version: admission.config_version(),
            tail_verified: admission.is_tail_verified(),
            leaving: admission.is_leaving(),
            running: u32::try_from(admission.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(admission.waiting()).unwrap_or(u32::MAX),
            slots: admission.slots(),
            mean_run_ms: admission.mean_run_ms(),
            step_us: self.step_us,
        })
    }
}

/// Refuses queued offers whose deadline has passed.
pub struct Tick;

impl Message<Tick> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        let actions = self.admission.tick(self.clock.now_ms());
        self.apply_actions(actions);
    }
}

/// Sets the endpoint's step time, in microseconds.
pub struct StepTime(pub u64);

impl Message<StepTime> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, StepTime(step_us): StepTime, _: &mut Context<Self, Self::Reply>) {
        self.step_us = step_us;
    }
}

/// Refuses new work from now on.
pub struct Leave;

impl Message<Leave> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        let actions = self.admission.leave();
        self.apply_actions(actions);
    }
}

/// Returns the number of running requests.
pub struct CountRunning;

impl Message<CountRunning> for AdmissionActor {
    type Reply = usize;

    async fn handle(&mut self, _: CountRunning, _: &mut Context<Self, Self::Reply>) -> usize {
        self.admission.running()
    }
}
