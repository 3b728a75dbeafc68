//! The actor that owns the admission: it feeds events in and carries actions out.

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

/// What becomes of an offer.
#[derive(Debug)]
pub enum Ruling {
    /// Call the endpoint; stop when notified.
    Start(Arc<Notify>),
    /// A final refusal.
    Refused(Refusal),
    /// The answer of an earlier run.
    Replay(Arc<StoredAnswer>),
    /// The same attempt has arrived before.
    Repeated,
}

/// Owns the admission of the endpoint.
#[derive(Actor)]
pub struct AdmissionActor {
    admission: Admission,
    clock: Clock,
    waiting: HashMap<AttemptId, oneshot::Sender<Ruling>>,
    stops: HashMap<AttemptId, Arc<Notify>>,
    reports: u64,
    step_us: u64,
}

impl AdmissionActor {
    /// An actor for `admission`.
    #[must_use]
    pub fn new(admission: Admission, clock: Clock) -> Self {
        Self { admission, clock, waiting: HashMap::new(), stops: HashMap::new(), reports: 0, step_us: 0 }
    }

    fn carry_out(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(attempt) => self.start(attempt),
                AdmissionAction::Refuse { attempt, refusal } => {
                    metrics::counter!("ochreyard_agent_refused_total", "kind" => refusal.kind.as_str()).increment(1);
                    self.rule(attempt, Ruling::Refused(refusal));
                }
                AdmissionAction::Replay { attempt, answer } => self.rule(attempt, Ruling::Replay(answer)),
                AdmissionAction::Duplicate(attempt) => self.rule(attempt, Ruling::Repeated),
                AdmissionAction::Stop(attempt) => {
                    if let Some(stop) = self.stops.get(&attempt) {
                        stop.notify_one();
                    }
                }
            }
        }
        metrics::gauge!("ochreyard_agent_running_requests").set(self.admission.running() as f64);
        metrics::gauge!("ochreyard_agent_waiting_requests").set(self.admission.waiting() as f64);
        metrics::gauge!("ochreyard_agent_kept_keys").set(self.admission.kept_keys() as f64);
    }

    fn start(&mut self, attempt: AttemptId) {
        let stop = Arc::new(Notify::new());
        self.stops.insert(attempt, Arc::clone(&stop));
        metrics::counter!("ochreyard_agent_started_total").increment(1);
        self.rule(attempt, Ruling::Start(stop));
    }

    fn rule(&mut self, attempt: AttemptId, ruling: Ruling) {
        if let Some(reply) = self.waiting.remove(&attempt) {
            // A caller that has gone cancels by a message of its own.
            let _ = reply.send(ruling);
        }
    }
}

/// An offer; the ruling comes later if it has to wait.
pub struct TakeOffer(pub Offer);

impl Message<TakeOffer> for AdmissionActor {
    type Reply = oneshot::Receiver<Ruling>;

    async fn handle(&mut self, TakeOffer(offer): TakeOffer, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (reply, ruling) = oneshot::channel();
        let attempt = offer.attempt;
        let now_ms = self.clock.now_ms();
        let actions = self.admission.offer(offer, now_ms);
        if actions == [AdmissionAction::Duplicate(attempt)] {
            // The first arrival keeps its place; only this message is answered.
            let _ = reply.send(Ruling::Repeated);
            return ruling;
        }
        self.waiting.insert(attempt, reply);
        self.carry_out(actions);
        ruling
    }
}

/// A started attempt has ended.
pub struct Finish(pub AttemptId, pub Outcome);

impl Message<Finish> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, Finish(attempt, outcome): Finish, _: &mut Context<Self, Self::Reply>) {
        self.stops.remove(&attempt);
        let actions = self.admission.finish(attempt, outcome, self.clock.now_ms());
        self.carry_out(actions);
    }
}

/// The caller of an attempt has gone.
pub struct Cancel(pub AttemptId);

impl Message<Cancel> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, Cancel(attempt): Cancel, _: &mut Context<Self, Self::Reply>) {
        let actions = self.admission.cancel(attempt, self.clock.now_ms());
        self.carry_out(actions);
    }
}

/// An attempt shall not start.
pub struct Revoke(pub AttemptId, pub Incarnation);

impl Message<Revoke> for AdmissionActor {
    type Reply = Option<RevokeAnswer>;

    async fn handle(&mut self, Revoke(attempt, to): Revoke, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (answer, actions) = self.admission.revoke(attempt, to);
        self.carry_out(actions);
        Some(answer)
    }
}

/// A configuration from an entry.
pub struct Configure(pub Arc<Configuration>);

impl Message<Configure> for AdmissionActor {
    type Reply = u64;

    async fn handle(&mut self, Configure(config): Configure, _: &mut Context<Self, Self::Reply>) -> u64 {
        let before = self.admission.config_version();
        let actions = self.admission.configure(config, self.clock.now_ms());
        self.carry_out(actions);
        let version = self.admission.config_version();
        if version != before {
            log::info!("event=config_in_force version={version}");
        }
        version
    }
}

/// A heartbeat from an entry.
pub struct Beat {
    /// The life for which the entry read the log to its end.
    pub verified_for: Incarnation,
    /// The version found there.
    pub tail_version: u64,
}

impl Message<Beat> for AdmissionActor {
    type Reply = Option<AgentReport>;

    async fn handle(&mut self, beat: Beat, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if beat.verified_for == self.admission.incarnation() {
            self.admission.verify_tail(beat.tail_version, self.clock.now_ms());
        }
        self.reports += 1;
        let admission = &self.admission;
        Some(AgentReport {
            incarnation: admission.incarnation(),
            number: self.reports,
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

/// Time passes; the endpoint's last step time comes with it.
pub struct Tick;

impl Message<Tick> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        let actions = self.admission.tick(self.clock.now_ms());
        self.carry_out(actions);
    }
}

/// The endpoint's step time, in microseconds.
pub struct StepTime(pub u64);

impl Message<StepTime> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, StepTime(step_us): StepTime, _: &mut Context<Self, Self::Reply>) {
        self.step_us = step_us;
    }
}

/// No new work from now on.
pub struct Leave;

impl Message<Leave> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        let actions = self.admission.leave();
        self.carry_out(actions);
    }
}

/// How many requests run.
pub struct CountRunning;

impl Message<CountRunning> for AdmissionActor {
    type Reply = usize;

    async fn handle(&mut self, _: CountRunning, _: &mut Context<Self, Self::Reply>) -> usize {
        self.admission.running()
    }
}
