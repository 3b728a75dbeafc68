//! TCP connections that carry `capnp-rpc`: server and client side.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use capnp::Error;
use capnp::capability::{Client, FromClientHook};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::local_thread::LocalThread;

/// Timeout of connecting, and of the first answer on a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before accepting again after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum length of an accepted token, in bytes.
const MAX_TOKEN_BYTES: usize = 4096;

fn rpc_system(stream: TcpStream, side: Side, bootstrap: Option<Client>) -> std::io::Result<RpcSystem<Side>> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let network = twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::default());
    Ok(RpcSystem::new(Box::new(network), bootstrap))
}

/// Accepts connections on `thread` until it ends. `bootstrap` creates the bootstrap object of each connection from the
/// runtime on which the object's work runs.
pub(crate) fn serve(
    thread: &LocalThread,
    listener: std::net::TcpListener,
    bootstrap: impl Fn(&Handle) -> Client + Send + 'static,
) {
    let executor = Handle::current();
    thread.run(move || {
        tokio::task::spawn_local(async move {
            if let Err(error) = accept(listener, || bootstrap(&executor)).await {
                log::error!("event=peer_listen_failed error=\"{error}\"");
            }
        });
    });
}

async fn accept(listener: std::net::TcpListener, bootstrap: impl Fn() -> Client) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=peer_accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let system = rpc_system(stream, Side::Server, Some(bootstrap()))?;
        tokio::task::spawn_local(async move {
            log::debug!("event=peer_connected from={from}");
            if let Err(error) = system.await {
                log::debug!("event=peer_connection_ended from={from} error=\"{error}\"");
            }
        });
    }
}

/// The client side of a connection. Dropping it closes the connection.
pub(crate) struct ClientConnection<C> {
    /// The bootstrap object of the server.
    pub(crate) bootstrap: C,
    rpc_task: JoinHandle<()>,
    close_signal: watch::Sender<()>,
}

impl<C> ClientConnection<C> {
    /// Returns a receiver that closes once this connection is dropped. Without it, calls on the connection would wait
    /// forever, since the remote objects outlive the connection.
    pub(crate) fn closed(&self) -> watch::Receiver<()> {
        self.close_signal.subscribe()
    }

    /// Returns whether the connection is still open.
    pub(crate) fn is_open(&self) -> bool {
        !self.rpc_task.is_finished()
    }
}

impl<C> Drop for ClientConnection<C> {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Connects to `addr` and requests its bootstrap object.
pub(crate) async fn connect<C: FromClientHook>(addr: SocketAddr) -> Result<ClientConnection<C>, Error> {
    let stream = with_timeout(async { Ok(TcpStream::connect(addr).await?) }).await?;
    let mut system = rpc_system(stream, Side::Client, None)?;
    let bootstrap = system.bootstrap(Side::Server);
    let rpc_task = tokio::task::spawn_local(async move {
        let _ = system.await;
    });
    Ok(ClientConnection { bootstrap, rpc_task, close_signal: watch::Sender::new(()) })
}

/// Limits `work` to [`CONNECT_TIMEOUT`].
pub(crate) async fn with_timeout<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let timed_out = |_| Error::failed(format!("no answer within {} ms", CONNECT_TIMEOUT.as_millis()));
    tokio::time::timeout(CONNECT_TIMEOUT, work).await.map_err(timed_out)?
}

/// Checks the token of the link in constant time, so that the response time does not reveal where two tokens differ.
pub(crate) fn check_token(given: &[u8], expected: &str) -> Result<(), Error> {
    let expected = expected.as_bytes();
    let differing_bits = given.iter().zip(expected).fold(0, |acc, (a, b)| acc | (a ^ b));
    if given.len() <= MAX_TOKEN_BYTES && given.len() == expected.len() && differing_bits == 0 {
        return Ok(());
    }
    metrics::counter!("ochreyard_peer_refused_total").increment(1);
    log::warn!("event=peer_token_refused");
    Err(Error::failed("unauthenticated: the link token is wrong".into()))
}
