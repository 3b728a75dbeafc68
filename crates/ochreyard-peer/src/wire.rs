//! A TCP connection that speaks `capnp-rpc`, from either end.

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

/// How long a connection, or the first answer on it, may take.
pub(crate) const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest token that is looked at, in bytes.
const MAX_TOKEN_BYTES: usize = 4096;

fn rpc_system(stream: TcpStream, side: Side, bootstrap: Option<Client>) -> std::io::Result<RpcSystem<Side>> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let network = twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::default());
    Ok(RpcSystem::new(Box::new(network), bootstrap))
}

/// Accepts connections on `thread` until it ends; each gets a door of its own,
/// made by `door` from the executor on which its work is to run.
pub(crate) fn serve(
    thread: &LocalThread,
    listener: std::net::TcpListener,
    door: impl Fn(&Handle) -> Client + Send + 'static,
) {
    let executor = Handle::current();
    thread.run(move || {
        tokio::task::spawn_local(async move {
            if let Err(error) = accept(listener, || door(&executor)).await {
                log::error!("event=peer_listen_failed error=\"{error}\"");
            }
        });
    });
}

async fn accept(listener: std::net::TcpListener, door: impl Fn() -> Client) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=peer_accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let system = rpc_system(stream, Side::Server, Some(door()))?;
        tokio::task::spawn_local(async move {
            log::debug!("event=peer_connected from={from}");
            if let Err(error) = system.await {
                log::debug!("event=peer_connection_ended from={from} error=\"{error}\"");
            }
        });
    }
}

/// A connection that was dialled. It ends when this is dropped.
pub(crate) struct Dialled<C> {
    /// The other side's door.
    pub(crate) door: C,
    system: JoinHandle<()>,
    open: watch::Sender<()>,
}

impl<C> Dialled<C> {
    /// Closes once the connection has been dropped on this side. Calls on it
    /// would wait for ever otherwise: the objects outlive the connection.
    pub(crate) fn lifetime(&self) -> watch::Receiver<()> {
        self.open.subscribe()
    }

    /// Whether the connection still stands.
    pub(crate) fn is_open(&self) -> bool {
        !self.system.is_finished()
    }
}

impl<C> Drop for Dialled<C> {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Dials `addr` and asks for its door.
pub(crate) async fn dial<C: FromClientHook>(addr: SocketAddr) -> Result<Dialled<C>, Error> {
    let stream = in_time(async { Ok(TcpStream::connect(addr).await?) }).await?;
    let mut system = rpc_system(stream, Side::Client, None)?;
    let door = system.bootstrap(Side::Server);
    let system = tokio::task::spawn_local(async move {
        let _ = system.await;
    });
    Ok(Dialled { door, system, open: watch::Sender::new(()) })
}

/// Bounds the first steps on a connection.
pub(crate) async fn in_time<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let late = |_| Error::failed(format!("no answer within {} ms", DIAL_TIMEOUT.as_millis()));
    tokio::time::timeout(DIAL_TIMEOUT, work).await.map_err(late)?
}

/// Checks the token of the link without telling by its time where the difference is.
pub(crate) fn check_token(given: &[u8], wanted: &str) -> Result<(), Error> {
    let wanted = wanted.as_bytes();
    let differing = given.iter().zip(wanted).fold(0, |acc, (a, b)| acc | (a ^ b));
    if given.len() <= MAX_TOKEN_BYTES && given.len() == wanted.len() && differing == 0 {
        return Ok(());
    }
    metrics::counter!("ochreyard_peer_refused_total").increment(1);
    log::warn!("event=peer_token_refused");
    Err(Error::failed("unauthenticated: the link token is wrong".into()))
}
