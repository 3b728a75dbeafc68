//! The entry's side of the link.

use std::net::SocketAddr;
use std::sync::Arc;

use capnp::Error;
use capnp::capability::Rc;
use capnp_rpc::new_client;
use ochreyard_core::admission::RevokeAnswer;
use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::frame::Frame;
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_core::membership::AgentReport;
use tokio::sync::{mpsc, oneshot, watch};

use crate::agent_capnp::{agent, door, frame_sink};
use crate::convert;
use crate::local_thread::LocalThread;
use crate::message::{CallOutcome, CallRequest, Heartbeat};
use crate::wire::{self, Dialled};

/// Why the link gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// No connection could be made, so nothing was handed over.
    #[error("the agent at {addr} cannot be reached: {problem}")]
    NotSent {
        /// Where the agent should be.
        addr: SocketAddr,
        /// What the connection said.
        problem: String,
    },
    /// The connection broke after the message had been handed over.
    #[error("the connection to the agent was lost: {problem}")]
    Lost {
        /// What the connection said.
        problem: String,
    },
}

type Reply<T> = oneshot::Sender<Result<T, LinkError>>;

enum Command {
    Heartbeat(Heartbeat, Reply<AgentReport>),
    Configure(Arc<Configuration>, Reply<u64>),
    Extend(Delta, Reply<u64>),
    Call(Box<CallRequest>, mpsc::Sender<Frame>, Reply<CallOutcome>),
    Revoke(AttemptId, Incarnation, Reply<RevokeAnswer>),
    Reset,
}

/// A handle on the connection to one agent. It dials when it is first needed
/// and again after a break.
#[derive(Debug, Clone)]
pub struct AgentLink {
    commands: mpsc::UnboundedSender<Command>,
}

impl AgentLink {
    /// A link to the agent at `addr`, kept on `thread`.
    #[must_use]
    pub fn new(thread: &LocalThread, addr: SocketAddr, token: impl Into<String>) -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        let token = token.into();
        thread.run(move || {
            tokio::task::spawn_local(Connection { addr, token, open: None }.run(inbox));
        });
        Self { commands }
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no report came back.
    pub async fn heartbeat(&self, beat: Heartbeat) -> Result<AgentReport, LinkError> {
        self.ask(|reply| Command::Heartbeat(beat, reply)).await
    }

    /// Sends the configuration, and returns the version in force at the agent.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no answer came back.
    pub async fn configure(&self, config: Arc<Configuration>) -> Result<u64, LinkError> {
        self.ask(|reply| Command::Configure(config, reply)).await
    }

    /// Sends what changed, and returns the version in force at the agent: an older
    /// one than wanted asks for the whole configuration.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no answer came back.
    pub async fn extend(&self, delta: Delta) -> Result<u64, LinkError> {
        self.ask(|reply| Command::Extend(delta, reply)).await
    }

    /// Makes a call; frames of the answer go to `frames`. When its receiver is
    /// dropped, the agent is told to cancel.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the agent's word on the end did not come.
    pub async fn call(&self, call: CallRequest, frames: mpsc::Sender<Frame>) -> Result<CallOutcome, LinkError> {
        self.ask(|reply| Command::Call(Box::new(call), frames, reply)).await
    }

    /// Asks whether an attempt has started, and keeps it from starting if not.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no answer came back.
    pub async fn revoke(&self, attempt: AttemptId, to: Incarnation) -> Result<RevokeAnswer, LinkError> {
        self.ask(|reply| Command::Revoke(attempt, to, reply)).await
    }

    /// Drops the connection: calls under way end as lost.
    pub fn reset(&self) {
        let _ = self.commands.send(Command::Reset);
    }

    async fn ask<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, LinkError> {
        let (reply, answer) = oneshot::channel();
        let ended = || LinkError::Lost { problem: "the link has ended".into() };
        self.commands.send(command(reply)).map_err(|_| ended())?;
        answer.await.map_err(|_| ended())?
    }
}

struct Connection {
    addr: SocketAddr,
    token: String,
    open: Option<(Dialled<door::Client>, agent::Client)>,
}

impl Connection {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = inbox.recv().await {
            if matches!(command, Command::Reset) {
                self.open = None;
                continue;
            }
            match self.agent().await {
                Ok((agent, lifetime)) => drop(tokio::task::spawn_local(carry_out(agent, lifetime, command))),
                Err(error) => fail(command, &LinkError::NotSent { addr: self.addr, problem: error.to_string() }),
            }
        }
    }

    async fn agent(&mut self) -> Result<(agent::Client, watch::Receiver<()>), Error> {
        if let Some((dialled, agent)) = self.open.as_ref().filter(|(dialled, _)| dialled.is_open()) {
            return Ok((agent.clone(), dialled.lifetime()));
        }
        self.open = None;
        let dialled = wire::dial::<door::Client>(self.addr).await?;
        let mut open = dialled.door.open_request();
        open.get().set_token(self.token.as_str());
        let answer = wire::in_time(open.send().promise).await?;
        let agent = answer.get()?.get_agent()?;
        let lifetime = dialled.lifetime();
        self.open = Some((dialled, agent.clone()));
        Ok((agent, lifetime))
    }
}

fn fail(command: Command, error: &LinkError) {
    match command {
        Command::Heartbeat(_, reply) => drop(reply.send(Err(error.clone()))),
        Command::Configure(_, reply) => drop(reply.send(Err(error.clone()))),
        Command::Extend(_, reply) => drop(reply.send(Err(error.clone()))),
        Command::Call(_, _, reply) => drop(reply.send(Err(error.clone()))),
        Command::Revoke(_, _, reply) => drop(reply.send(Err(error.clone()))),
        Command::Reset => {}
    }
}

async fn carry_out(agent: agent::Client, life: watch::Receiver<()>, command: Command) {
    match command {
        Command::Heartbeat(beat, reply) => drop(reply.send(or_lost(heartbeat(&agent, &beat), life).await)),
        Command::Configure(config, reply) => drop(reply.send(or_lost(configure(&agent, &config), life).await)),
        Command::Extend(delta, reply) => drop(reply.send(or_lost(extend(&agent, &delta), life).await)),
        Command::Call(call, frames, reply) => drop(reply.send(or_lost(make_call(&agent, &call, frames), life).await)),
        Command::Revoke(attempt, to, reply) => drop(reply.send(or_lost(revoke(&agent, attempt, to), life).await)),
        Command::Reset => {}
    }
}

/// The outcome of `work`, unless the connection is dropped before.
async fn or_lost<T>(
    work: impl Future<Output = Result<T, Error>>,
    mut connection: watch::Receiver<()>,
) -> Result<T, LinkError> {
    let dropped = async { while connection.changed().await.is_ok() {} };
    tokio::select! {
        outcome = work => outcome.map_err(|error| LinkError::Lost { problem: error.to_string() }),
        () = dropped => Err(LinkError::Lost { problem: "the agent was silent for too long".into() }),
    }
}

async fn heartbeat(agent: &agent::Client, beat: &Heartbeat) -> Result<AgentReport, Error> {
    let mut request = agent.heartbeat_request();
    let mut params = request.get();
    params.set_entry(beat.entry.as_str());
    params.set_verified_for(beat.verified_for.0);
    params.set_tail_version(beat.tail_version);
    let answer = request.send().promise.await?;
    Ok(convert::read_report(answer.get()?.get_report()?))
}

async fn configure(agent: &agent::Client, config: &Configuration) -> Result<u64, Error> {
    let state = serde_json::to_vec(config).map_err(|error| Error::failed(error.to_string()))?;
    metrics::counter!("ochreyard_entry_config_sent_bytes_total").increment(state.len() as u64);
    let mut request = agent.configure_request();
    request.get().set_state(&state);
    let answer = request.send().promise.await?;
    Ok(answer.get()?.get_version())
}

async fn extend(agent: &agent::Client, delta: &Delta) -> Result<u64, Error> {
    let delta = serde_json::to_vec(delta).map_err(|error| Error::failed(error.to_string()))?;
    metrics::counter!("ochreyard_entry_config_sent_bytes_total").increment(delta.len() as u64);
    let mut request = agent.extend_request();
    request.get().set_delta(&delta);
    let answer = request.send().promise.await?;
    Ok(answer.get()?.get_version())
}

async fn make_call(
    agent: &agent::Client,
    call: &CallRequest,
    frames: mpsc::Sender<Frame>,
) -> Result<CallOutcome, Error> {
    let mut request = agent.call_request();
    let mut params = request.get();
    convert::write_offer(params.reborrow().init_offer(), &call.offer);
    convert::write_request(params.reborrow().init_request(), &call.request);
    params.set_sink(new_client(Sink { frames: frames.clone() }));
    let answer = request.send().promise;
    tokio::select! {
        answer = answer => {
            let answer = answer?;
            let answer = answer.get()?;
            if answer.get_refused() {
                return Ok(CallOutcome::Refused(convert::read_refusal(answer.get_refusal()?)?));
            }
            Ok(CallOutcome::Sent)
        }
        () = frames.closed() => {
            let mut cancel = agent.cancel_request();
            convert::write_attempt(cancel.get().init_attempt(), call.offer.attempt);
            cancel.send().promise.await?;
            Err(Error::failed("the caller has gone".into()))
        }
    }
}

async fn revoke(agent: &agent::Client, attempt: AttemptId, to: Incarnation) -> Result<RevokeAnswer, Error> {
    let mut request = agent.revoke_request();
    convert::write_attempt(request.get().init_attempt(), attempt);
    request.get().set_to(to.0);
    let answer = request.send().promise.await?;
    Ok(convert::read_revoke(answer.get()?.get_answer()?))
}

struct Sink {
    frames: mpsc::Sender<Frame>,
}

impl frame_sink::Server for Sink {
    async fn push(self: Rc<Self>, params: frame_sink::PushParams, _: frame_sink::PushResults) -> Result<(), Error> {
        let frame = convert::read_frame(params.get()?.get_frame()?)?;
        let gone = |_| Error::failed("the caller has gone".into());
        self.frames.send(frame).await.map_err(gone)
    }
}
