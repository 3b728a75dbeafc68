//! Sends a request over a kept connection if there is one, else over a new one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::connection::Connection;
use crate::send_failure::SendFailure;

/// Why no head of an answer came.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection came up: the peer never had the request.
    #[error("cannot connect: {0}")]
    Unreachable(io::Error),
    /// The new connection closed before a byte was written: the peer never had the request.
    #[error("closed at once")]
    ClosedBeforeSend,
    /// The peer no longer wants the request; it never had it.
    #[error("no longer wanted")]
    Unwanted,
    /// The peer may have read the request.
    #[error("lost: {0}")]
    Lost(hyper::Error),
}

/// The head of an answer, and the connection on which its body comes.
pub struct Exchanged {
    /// The connection.
    pub connection: Connection,
    /// The answer, its body not read yet.
    pub response: Response<Incoming>,
}

/// Sends `request` over `kept`; where that closed before a byte was written, or there is
/// none, over a new connection that comes up in `connect_timeout`. Asks `may_send` first, and again right before a byte is
/// written over a new connection: that may take a quarter of a second, in which the peer may have said that it wants no more.
///
/// # Errors
///
/// Tells whether the peer may have had the request.
pub async fn exchange(
    kept: Option<Connection>,
    addr: SocketAddr,
    connect_timeout: Duration,
    may_send: impl Fn() -> bool,
    mut request: Request<Full<Bytes>>,
) -> Result<Exchanged, ExchangeError> {
    if !may_send() {
        return Err(ExchangeError::Unwanted);
    }
    if let Some(mut connection) = kept {
        match connection.send(request).await {
            Ok(response) => return Ok(Exchanged { connection, response }),
            Err(SendFailure::Lost(error)) => return Err(ExchangeError::Lost(error)),
            Err(SendFailure::NotSent(unsent)) => request = *unsent,
        }
    }
    let mut connection = Connection::open(addr, connect_timeout).await.map_err(ExchangeError::Unreachable)?;
    if !may_send() {
        return Err(ExchangeError::Unwanted);
    }
    match connection.send(request).await {
        Ok(response) => Ok(Exchanged { connection, response }),
        Err(SendFailure::Lost(error)) => Err(ExchangeError::Lost(error)),
        Err(SendFailure::NotSent(_)) => Err(ExchangeError::ClosedBeforeSend),
    }
}
