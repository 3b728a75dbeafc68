//! A socket towards a peer that may be slow to read, or cut off.
//!
//! `TCP_USER_TIMEOUT` would end both kinds of connections: Linux applies it to a closed window, too. So the socket is
//! watched here, by samples of its state, while an answer is awaited on it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures::FutureExt;
use ochreyard_core::direct::{Observing, PeerWatch, TcpSample, Verifying};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::reachability::ReachabilityCheck;
use crate::{meters, reachability, tcp_info};

/// Keepalive probes that an idle connection may leave unanswered, since a request may need it next.
pub const IDLE_PROBES: u32 = 1;
/// The same while the peer is watched: one probe that is lost does not show that the peer is cut off.
const WATCHED_PROBES: u32 = 3;

/// Why a connection ended whose peer is cut off.
#[derive(Debug, thiserror::Error)]
#[error("peer is cut off: {0}")]
struct CutOff(TcpSample);

/// Since when an answer is awaited on a connection; its peer is watched as long as one is.
#[derive(Debug, Clone, Default)]
pub struct AwaitedAnswer(Rc<Cell<Option<Instant>>>);

impl AwaitedAnswer {
    /// Records that a request is about to be written.
    pub fn begin(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Records that no answer is awaited any more.
    pub fn end(&self) {
        self.0.set(None);
    }
}

/// The watch over a peer, and what it waits for.
enum Phase {
    /// No answer is awaited.
    Idle,
    Observing {
        watch: PeerWatch<Observing>,
        next_sample: Pin<Box<Sleep>>,
    },
    Verifying {
        watch: PeerWatch<Verifying>,
        check: ReachabilityCheck,
    },
}

/// A socket that fails with [`io::ErrorKind::TimedOut`] once its peer is cut off.
pub struct WatchedStream {
    socket: TcpStream,
    peer_addr: SocketAddr,
    awaited: AwaitedAnswer,
    /// Start of the wait to which `phase` belongs.
    watched_since: Option<Instant>,
    opened: Instant,
    has_read: bool,
    /// How many keepalive probes may be left unanswered now.
    max_probes: u32,
    phase: Phase,
}

impl WatchedStream {
    /// Wraps the socket of a connection to `peer_addr`.
    pub fn new(socket: TcpStream, peer_addr: SocketAddr, awaited: AwaitedAnswer) -> Self {
        let (watched_since, opened) = (None, Instant::now());
        let (has_read, max_probes) = (false, IDLE_PROBES);
        Self { socket, peer_addr, awaited, watched_since, opened, has_read, max_probes, phase: Phase::Idle }
    }

    fn now_ms(&self) -> u64 {
        self.opened.elapsed().as_millis() as u64
    }

    fn observe(&self, watch: PeerWatch<Observing>) -> Phase {
        Phase::Observing { watch, next_sample: Box::pin(tokio::time::sleep(PeerWatch::SAMPLE_INTERVAL)) }
    }

    /// Watches the peer while nothing arrives from it. Ready with an error once it is cut off.
    fn poll_watch(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let awaited_since = self.awaited.0.get();
        if self.watched_since != awaited_since {
            self.watched_since = awaited_since;
            self.phase = Phase::Idle;
            self.limit_probes(IDLE_PROBES);
        }
        loop {
            let now_ms = self.now_ms();
            self.phase = match std::mem::replace(&mut self.phase, Phase::Idle) {
                _ if awaited_since.is_none() => return Poll::Pending,
                Phase::Idle => self.observe(PeerWatch::start(now_ms)),
                Phase::Observing { watch, mut next_sample } => {
                    if next_sample.as_mut().poll(cx).is_pending() {
                        self.phase = Phase::Observing { watch, next_sample };
                        return Poll::Pending;
                    }
                    self.take_sample(watch, now_ms)
                }
                Phase::Verifying { watch, mut check } => match check.poll_unpin(cx) {
                    Poll::Pending => {
                        self.phase = Phase::Verifying { watch, check };
                        return Poll::Pending;
                    }
                    Poll::Ready(is_reachable) => match self.on_verified(watch, is_reachable, now_ms) {
                        Ok(phase) => phase,
                        Err(cut_off) => return Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, cut_off)),
                    },
                },
            };
        }
    }

    /// Sets how many keepalive probes the peer may leave unanswered, if that changes.
    fn limit_probes(&mut self, max_probes: u32) {
        let limit = || SockRef::from(&self.socket).set_tcp_keepalive(&TcpKeepalive::new().with_retries(max_probes));
        if self.max_probes != max_probes && limit().is_ok() {
            self.max_probes = max_probes;
        }
    }

    fn take_sample(&mut self, watch: PeerWatch<Observing>, now_ms: u64) -> Phase {
        self.limit_probes(WATCHED_PROBES);
        if std::mem::take(&mut self.has_read) {
            return self.observe(PeerWatch::start(now_ms));
        }
        let Ok(sample) = tcp_info::sample(&self.socket) else { return self.observe(watch) };
        match watch.observe(&sample, now_ms) {
            Ok(watch) => self.observe(watch),
            Err(watch) => Phase::Verifying { watch, check: reachability::check(self.peer_addr) },
        }
    }

    fn on_verified(&self, watch: PeerWatch<Verifying>, is_reachable: bool, now_ms: u64) -> Result<Phase, CutOff> {
        let sample = tcp_info::sample(&self.socket).unwrap_or_default();
        log::info!("event=peer_verified addr={} reachable={is_reachable} {sample}", self.peer_addr);
        meters::on_peer_verified(is_reachable);
        if is_reachable {
            return Ok(self.observe(watch.on_reachable(now_ms)));
        }
        watch.on_unreachable(&sample, now_ms).map(|watch| self.observe(watch)).ok_or(CutOff(sample))
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if read.is_ready() {
            self.has_read = true;
            return read;
        }
        let error = ready!(self.poll_watch(cx));
        Poll::Ready(Err(error))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
