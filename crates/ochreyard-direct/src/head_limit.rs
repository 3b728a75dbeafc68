//! Limits the head of an answer while a connection reads it.
//!
//! The HTTP library skips interim responses without an end, and reads for as long as the peer sends. The limit therefore
//! holds below it, where the socket is read.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer_limits::{HEAD_TIMEOUT, MAX_HEAD_BYTES};
use crate::watched_stream::WatchedStream;

/// What a connection may read.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// Everything: no head is awaited.
    Unlimited,
    /// The rest of a head.
    Head {
        left_bytes: usize,
        /// When its first byte came.
        started: Option<Instant>,
    },
    /// Nothing: the head is too long or too late.
    Exceeded,
}

#[derive(Debug)]
struct Shared {
    phase: Cell<Phase>,
    /// The task that reads the socket, if it waits until the limit is lifted.
    reader: RefCell<Option<Waker>>,
    exceeded: Notify,
}

/// Limits the heads of the answers on one connection.
#[derive(Debug, Clone)]
pub struct HeadLimit(Rc<Shared>);

impl Default for HeadLimit {
    fn default() -> Self {
        let shared = Shared { phase: Cell::new(Phase::Unlimited), reader: RefCell::default(), exceeded: Notify::new() };
        Self(Rc::new(shared))
    }
}

impl HeadLimit {
    /// Wraps the socket whose reads are limited.
    pub fn limit(&self, stream: WatchedStream) -> LimitedStream {
        LimitedStream { stream, limit: self.clone() }
    }

    /// Limits the next head, until the result is dropped.
    pub fn await_head(&self) -> AwaitedHead {
        self.0.phase.set(Phase::Head { left_bytes: MAX_HEAD_BYTES, started: None });
        AwaitedHead(self.clone())
    }

    fn is_exceeded(&self) -> bool {
        matches!(self.0.phase.get(), Phase::Exceeded)
    }

    /// Returns whether the socket may be read now. If not, its reader is woken once it may.
    fn may_read(&self, cx: &Context<'_>) -> bool {
        if !self.is_exceeded() {
            return true;
        }
        *self.0.reader.borrow_mut() = Some(cx.waker().clone());
        self.0.exceeded.notify_one();
        false
    }

    /// Counts bytes that were read. The limit applies to the next read: these bytes may end the head.
    fn on_read(&self, bytes: usize) {
        let Phase::Head { left_bytes, started } = self.0.phase.get() else { return };
        if bytes == 0 {
            return;
        }
        let now = Instant::now();
        let started = started.unwrap_or(now);
        let is_exceeded = bytes >= left_bytes || now.duration_since(started) >= HEAD_TIMEOUT;
        self.0.phase.set(if is_exceeded {
            Phase::Exceeded
        } else {
            Phase::Head { left_bytes: left_bytes - bytes, started: Some(started) }
        });
    }
}

/// The head of the answer that is awaited on a connection. Dropping it lifts the limit for the body.
#[derive(Debug)]
pub struct AwaitedHead(HeadLimit);

impl AwaitedHead {
    /// Waits until the peer has sent more than a head may take, or for longer, and the head is still incomplete.
    pub async fn exceeded(&self) {
        loop {
            self.0.0.exceeded.notified().await;
            // A notification may be left over from an earlier head.
            if self.0.is_exceeded() {
                return;
            }
        }
    }
}

impl Drop for AwaitedHead {
    fn drop(&mut self) {
        self.0.0.phase.set(Phase::Unlimited);
        if let Some(reader) = self.0.0.reader.take() {
            reader.wake();
        }
    }
}

/// A socket on which the heads of answers are limited.
pub struct LimitedStream {
    stream: WatchedStream,
    limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.limit.may_read(cx) {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.limit.on_read(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
