//! The socket of a caller. Its owner can look at it while an HTTP connection reads and writes it.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::connection::set_socket_options;

/// How long a peer other than a caller may take nothing of an answer.
const PEER_WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// A socket, and what its owner may want to know of it.
#[derive(Debug)]
struct Shared {
    socket: TcpStream,
    /// Whether anything was read.
    has_read: Cell<bool>,
}

/// The socket of a caller, which may be slow to read.
#[derive(Debug)]
pub struct CallerStream {
    shared: Rc<Shared>,
    /// How long the caller may take nothing of what is sent to it.
    write_timeout: Duration,
    /// Runs while the caller takes nothing.
    stall: Option<Pin<Box<Sleep>>>,
}

/// Looks at the socket of a [`CallerStream`], without reading from it.
#[derive(Debug, Clone)]
pub struct UnreadProbe(Rc<Shared>);

impl UnreadProbe {
    /// Returns whether bytes have arrived that were not read. Asks the system, since the runtime learns of them a turn
    /// later.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.0.socket).peek(&mut byte).is_ok_and(|count| count > 0)
    }

    /// Returns whether the caller has sent nothing yet, as far as was read.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        !self.0.has_read.get()
    }
}

impl CallerStream {
    /// Wraps a socket.
    #[must_use]
    pub fn new(socket: TcpStream, write_timeout: Duration) -> Self {
        Self { shared: Rc::new(Shared { socket, has_read: Cell::new(false) }), write_timeout, stall: None }
    }

    /// Wraps the socket of a connection that another process of ours has opened. It ends once that process takes nothing for
    /// a while, or is cut off.
    #[must_use]
    pub fn of_peer(socket: TcpStream) -> Self {
        let timeout_set = || SockRef::from(&socket).set_tcp_user_timeout(Some(PEER_WRITE_TIMEOUT));
        if let Err(error) = set_socket_options(&socket).and_then(|()| timeout_set()) {
            log::debug!("event=socket_options_failed error=\"{error}\"");
        }
        Self::new(socket, PEER_WRITE_TIMEOUT)
    }

    /// Returns a handle that looks at the socket. The socket closes with the last handle.
    #[must_use]
    pub fn probe(&self) -> UnreadProbe {
        UnreadProbe(Rc::clone(&self.shared))
    }

    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.shared.socket.poll_write_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => return self.poll_stall(cx).map(Err),
            }
            match write(&self.shared.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.stall = None;
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let write_timeout = self.write_timeout;
        let stall = self.stall.get_or_insert_with(|| Box::pin(tokio::time::sleep(write_timeout)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.shared.socket.poll_read_ready(cx))?;
            match self.shared.socket.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    self.shared.has_read.set(true);
                    return Poll::Ready(read.map(drop));
                }
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.get_mut().poll_write_with(cx, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().poll_write_with(cx, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.shared.socket).shutdown(Shutdown::Write))
    }
}
