//! Exchange of the configuration between entries. A new entry fetches the configuration in force from another one while
//! the platform's log cannot be read.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use capnp::Error;
use capnp::capability::Rc;
use capnp_rpc::new_client;
use ochreyard_core::config::Configuration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::agent_capnp::entry_door;
use crate::link::LinkError;
use crate::local_thread::LocalThread;
use crate::wire;

/// An entry that serves its configuration to other entries.
pub trait ConfigurationSource: Send + Sync + 'static {
    /// Returns the configuration in force, or `None` while there is none yet.
    fn configuration(&self) -> impl Future<Output = Option<Arc<Configuration>>> + Send;
}

/// Serves the configuration to other entries, on `listener`, until the thread ends.
///
/// # Panics
///
/// Panics if called outside a Tokio runtime.
pub fn serve_configuration<S: ConfigurationSource>(
    thread: &LocalThread,
    listener: std::net::TcpListener,
    token: String,
    source: Arc<S>,
) {
    let token: Arc<str> = Arc::from(token);
    wire::serve(thread, listener, move |executor| {
        let (token, source, executor) = (Arc::clone(&token), Arc::clone(&source), executor.clone());
        new_client::<entry_door::Client, _>(ConfigurationServer { token, source, executor }).client
    });
}

struct ConfigurationServer<S> {
    token: Arc<str>,
    source: Arc<S>,
    executor: Handle,
}

impl<S: ConfigurationSource> entry_door::Server for ConfigurationServer<S> {
    async fn state(
        self: Rc<Self>,
        params: entry_door::StateParams,
        mut results: entry_door::StateResults,
    ) -> Result<(), Error> {
        wire::check_token(params.get()?.get_token()?.as_bytes(), &self.token)?;
        let source = Arc::clone(&self.source);
        let config = self.executor.spawn(async move { source.configuration().await }).await;
        let config = config.map_err(|error| Error::failed(error.to_string()))?;
        if let Some(config) = config {
            let bytes = serde_json::to_vec(&*config).map_err(|error| Error::failed(error.to_string()))?;
            results.get().set_state(&bytes);
        }
        Ok(())
    }
}

/// Fetches the configuration in force from the entry at `addr`.
///
/// # Errors
///
/// [`LinkError`] if the entry gave no readable answer.
pub async fn fetch_configuration(
    thread: &LocalThread,
    addr: SocketAddr,
    token: String,
) -> Result<Option<Configuration>, LinkError> {
    let (reply, answer) = oneshot::channel();
    thread.run(move || {
        tokio::task::spawn_local(async move {
            // The receiver may have been dropped.
            let _ = reply.send(fetch(addr, &token).await);
        });
    });
    let fetched = answer.await.map_err(|_| LinkError::Lost { problem: "the link has ended".into() })?;
    fetched.map_err(|error| LinkError::NotSent { addr, problem: error.to_string() })
}

async fn fetch(addr: SocketAddr, token: &str) -> Result<Option<Configuration>, Error> {
    let connection = wire::connect::<entry_door::Client>(addr).await?;
    let mut request = connection.bootstrap.state_request();
    request.get().set_token(token);
    let answer = wire::with_timeout(request.send().promise).await?;
    let bytes = answer.get()?.get_state()?;
    if bytes.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(bytes).map(Some).map_err(|error| Error::failed(error.to_string()))
}
