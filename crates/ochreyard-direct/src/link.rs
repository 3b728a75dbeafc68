//! Connections that this process opens: each notices a silent peer within seconds.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long sent bytes may stay unacknowledged, and a silent peer unheard. Well
/// over a few retransmissions (200 ms each and more) on a link that loses packets.
const SILENT_PEER: Duration = Duration::from_millis(2_000);
/// How long a connection rests before the peer is probed, and the pause between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Sets what every connection of this process needs: small writes go out at
/// once, and a peer that is cut off or without power is noticed.
///
/// # Errors
///
/// When the system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(2))?;
    socket.set_tcp_user_timeout(Some(SILENT_PEER))
}

/// An HTTP connection and the task that drives it. Dropped, it is closed at
/// once, which ends the run at the endpoint.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no head of an answer.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of it was written.
    #[error("not sent")]
    NotSent(Box<Request<Full<Bytes>>>),
    /// It may have been read.
    #[error("lost: {0}")]
    Lost(hyper::Error),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When it does not come up in `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
        tune(&stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The error reaches whoever waits for the answer.
            drop(connection.await);
        });
        Ok(Self { sender, driver: task.abort_handle() })
    }

    /// Whether the peer has not closed it, as far as known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the answer before is wholly read.
    pub async fn is_free(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether a byte may have been written.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendFailure> {
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(request) => SendFailure::NotSent(Box::new(request)),
            None => SendFailure::Lost(error.into_error()),
        })
    }
}

/// A peer that is called now and then over one kept connection.
#[derive(Debug)]
pub struct CallLink {
    addr: SocketAddr,
    kept: tokio::sync::Mutex<Option<Connection>>,
}

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection did not come up.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// No whole answer came in time.
    #[error("no answer in {0} ms")]
    Late(u128),
    /// The connection broke.
    #[error("connection lost: {0}")]
    Lost(String),
}

impl CallLink {
    /// A link to `addr`; nothing is opened yet.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, kept: tokio::sync::Mutex::const_new(None) }
    }

    /// Where it leads.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and reads the whole answer. A connection whose answer
    /// stays away is dropped: what came later on it could not be told apart.
    ///
    /// # Errors
    ///
    /// When no whole answer comes in `timeout`.
    pub async fn call(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<Response<Bytes>, CallError> {
        let mut kept = self.kept.lock().await;
        // Taken out, so that a call that is given up on takes its connection along.
        let connection = kept.take().filter(Connection::is_open);
        let late = |_| CallError::Late(timeout.as_millis());
        let exchange = self.exchange(connection, request, timeout);
        let (connection, response) = tokio::time::timeout(timeout, exchange).await.map_err(late)??;
        *kept = Some(connection);
        Ok(response)
    }

    async fn exchange(
        &self,
        connection: Option<Connection>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Connection, Response<Bytes>), CallError> {
        let lost = |error: hyper::Error| CallError::Lost(error.to_string());
        let mut request = request;
        if let Some(mut connection) = connection {
            match connection.send(request).await {
                Ok(response) => return read_whole(connection, response).await.map_err(lost),
                Err(SendFailure::Lost(error)) => return Err(lost(error)),
                Err(SendFailure::NotSent(unsent)) => request = *unsent,
            }
        }
        let opened = Connection::open(self.addr, timeout).await;
        let mut connection = opened.map_err(|error| CallError::Connect(error.to_string()))?;
        match connection.send(request).await {
            Ok(response) => read_whole(connection, response).await.map_err(lost),
            Err(SendFailure::Lost(error)) => Err(lost(error)),
            Err(SendFailure::NotSent(_)) => Err(CallError::Lost("closed at once".to_owned())),
        }
    }
}

async fn read_whole(
    connection: Connection,
    response: Response<Incoming>,
) -> Result<(Connection, Response<Bytes>), hyper::Error> {
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await?.to_bytes();
    Ok((connection, Response::from_parts(parts, bytes)))
}
