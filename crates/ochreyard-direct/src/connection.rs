//! A connection that this process opens. It detects a silent peer within seconds.

use std::io;
use std::net::SocketAddr;
use std::sync::Once;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::answer_limits::MAX_HEAD_BYTES;
use crate::head_limit::HeadLimit;
use crate::send_failure::SendFailure;
use crate::tcp_info;
use crate::timeout::timeout_after_reads;
use crate::watched_stream::{AwaitedAnswer, IDLE_PROBES, WatchedStream};

/// How long sent bytes may stay unacknowledged where the state of a connection is not known. Well over a few
/// retransmissions (200 ms each and more) on a link that loses packets.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Keepalive probes that an accepted connection may leave unanswered.
const ACCEPTED_PROBES: u32 = 2;

/// Sets the options of an accepted connection: small writes are sent at once, and a peer that is cut off or without power while
/// nothing is sent to it is detected by probes. There is no timeout for unacknowledged bytes, since the system would apply
/// it to a peer that pauses before it reads, too.
///
/// # Errors
///
/// When the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, ACCEPTED_PROBES)
}

fn set_options(stream: &TcpStream, probes: u32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive.with_retries(probes))
}

/// Logs once that the system does not report the state of connections.
static REPORT_NO_SAMPLES: Once = Once::new();

/// The largest status of an answer.
const MAX_STATUS: u16 = 599;

/// Cause of a failed attempt whose answer's head did not end.
const HEAD_EXCEEDED: &str = "head of the answer is too long or takes too long";

/// An HTTP connection and the task that drives it. Dropping it closes the connection at once, which ends the run at the
/// endpoint.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    head_limit: HeadLimit,
    awaited: AwaitedAnswer,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When the connection does not open within `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = timeout_after_reads(timeout, TcpStream::connect(addr)).await.ok_or(io::ErrorKind::TimedOut)??;
        set_options(&stream, IDLE_PROBES)?;
        if let Err(error) = tcp_info::sample(&stream) {
            // Without samples, a peer that is cut off can't be told from one that is slow to read.
            SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
            REPORT_NO_SAMPLES.call_once(|| log::warn!("event=connection_state_unknown error=\"{error}\""));
        }
        let (head_limit, awaited) = (HeadLimit::default(), AwaitedAnswer::default());
        let stream = WatchedStream::new(stream, addr, awaited.clone());
        let io = TokioIo::new(head_limit.limit(stream));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The error is returned to the caller that waits for the answer.
            drop(connection.await);
        });
        Ok(Self { sender, driver: task.abort_handle(), head_limit, awaited })
    }

    /// Returns whether the connection is open, as far as known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Ends the watch over the peer, since no answer is awaited. The next request starts it again.
    pub fn set_idle(&self) {
        self.awaited.end();
    }

    /// Waits until the previous answer is read completely. Returns whether the connection is still usable.
    pub async fn wait_until_free(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The error tells whether a byte may have been written.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendFailure> {
        let head = self.head_limit.await_head();
        self.awaited.begin();
        let sent = tokio::select! {
            // A head that is complete counts, however much came with it.
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = head.exceeded() => return Err(SendFailure::Malformed(HEAD_EXCEEDED.to_owned())),
        };
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendFailure::NotSent(Box::new(request)),
            None => SendFailure::from(error.into_error()),
        })?;
        // The HTTP library accepts statuses up to 999, which have no meaning to a caller.
        if response.status().as_u16() > MAX_STATUS {
            return Err(SendFailure::Malformed(format!("status {}", response.status().as_u16())));
        }
        Ok(response)
    }
}
