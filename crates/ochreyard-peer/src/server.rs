//! The agent's side of the link.

use std::sync::Arc;

use capnp::Error;
use capnp::capability::Rc;
use capnp_rpc::new_client;
use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::frame::Frame;
use ochreyard_core::ids::Incarnation;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::agent_capnp::{agent, door, frame_sink};
use crate::convert;
use crate::handler::AgentHandler;
use crate::local_thread::LocalThread;
use crate::message::{CallOutcome, CallRequest, Heartbeat};
use crate::wire;

/// Capacity of the queue of frames that one call has ready for the link.
const FRAME_QUEUE_CAPACITY: usize = 2;

/// Serves entries on `listener` until the thread ends.
///
/// The methods of `handler` run on the current Tokio runtime, the link on `thread`.
///
/// # Panics
///
/// Panics if called outside a Tokio runtime.
pub fn serve<H: AgentHandler>(thread: &LocalThread, listener: std::net::TcpListener, token: String, handler: Arc<H>) {
    let token: Arc<str> = Arc::from(token);
    wire::serve(thread, listener, move |executor| {
        let (token, handler, executor) = (Arc::clone(&token), Arc::clone(&handler), executor.clone());
        new_client::<door::Client, _>(DoorServer { token, handler, executor }).client
    });
}

struct DoorServer<H> {
    token: Arc<str>,
    handler: Arc<H>,
    executor: Handle,
}

impl<H: AgentHandler> door::Server for DoorServer<H> {
    async fn open(self: Rc<Self>, params: door::OpenParams, mut results: door::OpenResults) -> Result<(), Error> {
        wire::check_token(params.get()?.get_token()?.as_bytes(), &self.token)?;
        let agent = AgentServer { handler: Arc::clone(&self.handler), executor: self.executor.clone() };
        results.get().set_agent(new_client(agent));
        Ok(())
    }
}

struct AgentServer<H> {
    handler: Arc<H>,
    executor: Handle,
}

impl<H: AgentHandler> AgentServer<H> {
    /// Runs work of the handler on the main runtime.
    async fn on_executor<T: Send + 'static>(&self, work: impl Future<Output = T> + Send + 'static) -> Result<T, Error> {
        self.executor.spawn(work).await.map_err(|error| Error::failed(error.to_string()))
    }
}

impl<H: AgentHandler> agent::Server for AgentServer<H> {
    async fn heartbeat(
        self: Rc<Self>,
        params: agent::HeartbeatParams,
        mut results: agent::HeartbeatResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let heartbeat = Heartbeat {
            entry: params.get_entry()?.to_str()?.to_owned(),
            verified_for: Incarnation(params.get_verified_for()),
            tail_version: params.get_tail_version(),
        };
        let handler = Arc::clone(&self.handler);
        let report = self.on_executor(async move { handler.heartbeat(heartbeat).await }).await?;
        convert::write_report(results.get().init_report(), &report);
        Ok(())
    }

    async fn configure(
        self: Rc<Self>,
        params: agent::ConfigureParams,
        mut results: agent::ConfigureResults,
    ) -> Result<(), Error> {
        let config: Configuration = parse_json(params.get()?.get_state()?)?;
        let handler = Arc::clone(&self.handler);
        let version = self.on_executor(async move { handler.configure(Arc::new(config)).await }).await?;
        results.get().set_version(version);
        Ok(())
    }

    async fn extend(
        self: Rc<Self>,
        params: agent::ExtendParams,
        mut results: agent::ExtendResults,
    ) -> Result<(), Error> {
        let delta: Delta = parse_json(params.get()?.get_delta()?)?;
        let handler = Arc::clone(&self.handler);
        let version = self.on_executor(async move { handler.extend(delta).await }).await?;
        results.get().set_version(version);
        Ok(())
    }

    async fn call(self: Rc<Self>, params: agent::CallParams, mut results: agent::CallResults) -> Result<(), Error> {
        let (call, sink) = {
            let params = params.get()?;
            let offer = convert::read_offer(params.get_offer()?)?;
            let request = convert::read_request(params.get_request()?)?;
            (CallRequest { offer, request }, params.get_sink()?)
        };
        let (frames, frame_rx) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        let handler = Arc::clone(&self.handler);
        let work = self.on_executor(async move { handler.call(call, frames).await });
        let (outcome, pushed) = futures::future::join(work, push_all(frame_rx, sink)).await;
        pushed?;
        if let CallOutcome::Refused(refusal) = outcome? {
            results.get().set_refused(true);
            convert::write_refusal(results.get().init_refusal(), &refusal);
        }
        Ok(())
    }

    async fn cancel(self: Rc<Self>, params: agent::CancelParams, _: agent::CancelResults) -> Result<(), Error> {
        let attempt = convert::read_attempt(params.get()?.get_attempt()?);
        let handler = Arc::clone(&self.handler);
        self.on_executor(async move { handler.cancel(attempt).await }).await
    }

    async fn revoke(
        self: Rc<Self>,
        params: agent::RevokeParams,
        mut results: agent::RevokeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let attempt = convert::read_attempt(params.get_attempt()?);
        let agent_incarnation = Incarnation(params.get_to());
        let handler = Arc::clone(&self.handler);
        let answer = self.on_executor(async move { handler.revoke(attempt, agent_incarnation).await }).await?;
        results.get().set_answer(convert::write_revoke(answer));
        Ok(())
    }
}

/// Parses a configuration or a delta. Input that cannot be parsed is counted and refused.
fn parse_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| {
        metrics::counter!("ochreyard_peer_unreadable_total").increment(1);
        Error::failed(format!("bad_request: the configuration cannot be read: {error}"))
    })
}

/// Pushes frames one after the other. When a push fails, the receiver is dropped, which tells the handler that the
/// caller has disconnected.
async fn push_all(mut frame_rx: mpsc::Receiver<Frame>, sink: frame_sink::Client) -> Result<(), Error> {
    while let Some(frame) = frame_rx.recv().await {
        let mut push = sink.push_request();
        convert::write_frame(push.get().init_frame(), &frame);
        push.send().promise.await?;
    }
    Ok(())
}
