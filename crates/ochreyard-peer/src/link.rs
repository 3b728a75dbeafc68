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
use crate::wire::{self, ClientConnection};

/// Why the link gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// No connection could be made, so the message was not sent.
    #[error("the agent at {addr} cannot be reached: {problem}")]
    NotSent {
        /// The address of the agent.
        addr: SocketAddr,
        /// The error of the connection.
        problem: String,
    },
    /// The connection was lost after the message had been sent.
    #[error("the connection to the agent was lost: {problem}")]
    Lost {
        /// The error of the connection.
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

/// A handle to the connection to one agent. It connects on first use, and again after the connection was lost.
#[derive(Debug, Clone)]
pub struct AgentLink {
    commands: mpsc::UnboundedSender<Command>,
}

impl AgentLink {
    /// Creates a link to the agent at `addr`, whose connection runs on `thread`.
    #[must_use]
    pub fn new(thread: &LocalThread, addr: SocketAddr, token: impl Into<String>) -> Self {
        let (commands, command_rx) = mpsc::unbounded_channel();
        let token = token.into();
        thread.run(move || {
            tokio::task::spawn_local(Connection { addr, token, connected: None }.run(command_rx));
        });
        Self { commands }
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the agent returned no report.
    pub async fn heartbeat(&self, beat: Heartbeat) -> Result<AgentReport, LinkError> {
        self.ask(|reply| Command::Heartbeat(beat, reply)).await
    }

    /// Sends the configuration, and returns the version in force at the agent.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the agent returned no answer.
    pub async fn configure(&self, config: Arc<Configuration>) -> Result<u64, LinkError> {
        self.ask(|reply| Command::Configure(config, reply)).await
    }

    /// Sends a delta of the configuration, and returns the version in force at the agent. If that is older than the
    /// delta's, the agent needs the complete configuration.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the agent returned no answer.
    pub async fn extend(&self, delta: Delta) -> Result<u64, LinkError> {
        self.ask(|reply| Command::Extend(delta, reply)).await
    }

    /// Makes a call and sends the frames of the answer to `frames`. Dropping the receiver of `frames` cancels the call
    /// at the agent.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the agent did not report the outcome of the call.
    pub async fn call(&self, call: CallRequest, frames: mpsc::Sender<Frame>) -> Result<CallOutcome, LinkError> {
        self.ask(|reply| Command::Call(Box::new(call), frames, reply)).await
    }

    /// Asks whether an attempt has started, and prevents it from starting if not.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the agent returned no answer.
    pub async fn revoke(&self, attempt: AttemptId, agent_incarnation: Incarnation) -> Result<RevokeAnswer, LinkError> {
        self.ask(|reply| Command::Revoke(attempt, agent_incarnation, reply)).await
    }

    /// Drops the connection. Calls in progress fail with [`LinkError::Lost`].
    pub fn reset(&self) {
        let _ = self.commands.send(Command::Reset);
    }

    async fn ask<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, LinkError> {
        let (reply, answer) = oneshot::channel();
        let link_ended = || LinkError::Lost { problem: "the link has ended".into() };
        self.commands.send(command(reply)).map_err(|_| link_ended())?;
        answer.await.map_err(|_| link_ended())?
    }
}

struct Connection {
    addr: SocketAddr,
    token: String,
    connected: Option<(ClientConnection<door::Client>, agent::Client)>,
}

impl Connection {
    async fn run(mut self, mut command_rx: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = command_rx.recv().await {
            if matches!(command, Command::Reset) {
                self.connected = None;
                continue;
            }
            match self.connected_agent().await {
                Ok((agent, closed)) => drop(tokio::task::spawn_local(execute(agent, closed, command))),
                Err(error) => reject(command, &LinkError::NotSent { addr: self.addr, problem: error.to_string() }),
            }
        }
    }

    async fn connected_agent(&mut self) -> Result<(agent::Client, watch::Receiver<()>), Error> {
        if let Some((connection, agent)) = self.connected.as_ref().filter(|(connection, _)| connection.is_open()) {
            return Ok((agent.clone(), connection.closed()));
        }
        self.connected = None;
        let connection = wire::connect::<door::Client>(self.addr).await?;
        let mut open = connection.bootstrap.open_request();
        open.get().set_token(self.token.as_str());
        let answer = wire::with_timeout(open.send().promise).await?;
        let agent = answer.get()?.get_agent()?;
        let closed = connection.closed();
        self.connected = Some((connection, agent.clone()));
        Ok((agent, closed))
    }
}

fn reject(command: Command, error: &LinkError) {
    match command {
        Command::Heartbeat(_, reply) => drop(reply.send(Err(error.clone()))),
        Command::Configure(_, reply) => drop(reply.send(Err(error.clone()))),
        Command::Extend(_, reply) => drop(reply.send(Err(error.clone()))),
        Command::Call(_, _, reply) => drop(reply.send(Err(error.clone()))),
        Command::Revoke(_, _, reply) => drop(reply.send(Err(error.clone()))),
        Command::Reset => {}
    }
}

async fn execute(agent: agent::Client, closed: watch::Receiver<()>, command: Command) {
    match command {
        Command::Heartbeat(beat, reply) => drop(reply.send(or_lost(heartbeat(&agent, &beat), closed).await)),
        Command::Configure(config, reply) => drop(reply.send(or_lost(configure(&agent, &config), closed).await)),
        Command::Extend(delta, reply) => drop(reply.send(or_lost(extend(&agent, &delta), closed).await)),
        Command::Call(call, frames, reply) => drop(reply.send(or_lost(make_call(&agent, &call, frames), closed).await)),
        Command::Revoke(attempt, agent_incarnation, reply) => {
            drop(reply.send(or_lost(revoke(&agent, attempt, agent_incarnation), closed).await));
        }
        Command::Reset => {}
    }
}

/// Returns the outcome of `work`, or [`LinkError::Lost`] if the connection is dropped first.
async fn or_lost<T>(
    work: impl Future<Output = Result<T, Error>>,
    mut closed: watch::Receiver<()>,
) -> Result<T, LinkError> {
    let dropped = async { while closed.changed().await.is_ok() {} };
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
    params.set_sink(new_client(FrameReceiver { frames: frames.clone() }));
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

async fn revoke(
    agent: &agent::Client,
    attempt: AttemptId,
    agent_incarnation: Incarnation,
) -> Result<RevokeAnswer, Error> {
    let mut request = agent.revoke_request();
    convert::write_attempt(request.get().init_attempt(), attempt);
    request.get().set_to(agent_incarnation.0);
    let answer = request.send().promise.await?;
    Ok(convert::read_revoke(answer.get()?.get_answer()?))
}

struct FrameReceiver {
    frames: mpsc::Sender<Frame>,
}

impl frame_sink::Server for FrameReceiver {
    async fn push(self: Rc<Self>, params: frame_sink::PushParams, _: frame_sink::PushResults) -> Result<(), Error> {
        let frame = convert::read_frame(params.get()?.get_frame()?)?;
        let caller_gone = |_| Error::failed("the caller has gone".into());
        self.frames.send(frame).await.map_err(caller_gone)
    }
}
