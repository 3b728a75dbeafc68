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

/// Why no response head was received.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection could not be opened, so the peer never received the request.
    #[error("cannot connect: {0}")]
    Unreachable(io::Error),
    /// The new connection closed before a byte was written, so the peer never received the request.
    #[error("connection closed before the request was sent")]
    ClosedBeforeSend,
    /// `may_send` refused the request, so the peer never received it.
    #[error("request withheld")]
    Withheld,
    /// The connection broke after the peer may have read the request.
    #[error("connection lost: {0}")]
    Lost(hyper::Error),
    /// The peer has sent something that is no head of an answer. It may have read the request.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The response, and the connection on which its body arrives.
pub struct Exchanged {
    /// The connection.
    pub connection: Connection,
    /// The response; its body has not been read yet.
    pub response: Response<Incoming>,
}

/// Sends `request` over `kept`. If `kept` is absent, or closed before a byte was written, sends it over a new
/// connection, which must open within `connect_timeout`. Calls `may_send` first, and again right before writing to a
/// new connection: opening it may take a quarter of a second, in which the peer may have asked for no more requests.
///
/// # Errors
///
/// The error tells whether the peer may have received the request.
pub async fn exchange(
    kept: Option<Connection>,
    addr: SocketAddr,
    connect_timeout: Duration,
    may_send: impl Fn() -> bool,
    mut request: Request<Full<Bytes>>,
) -> Result<Exchanged, ExchangeError> {
    if !may_send() {
        return Err(ExchangeError::Withheld);
    }
    if let Some(mut connection) = kept {
        match connection.send(request).await {
            Ok(response) => return Ok(Exchanged { connection, response }),
            Err(SendFailure::Lost(error)) => return Err(ExchangeError::Lost(error)),
            Err(SendFailure::Malformed(problem)) => return Err(ExchangeError::Malformed(problem)),
            Err(SendFailure::NotSent(unsent)) => request = *unsent,
        }
    }
    let mut connection = Connection::open(addr, connect_timeout).await.map_err(ExchangeError::Unreachable)?;
    if !may_send() {
        return Err(ExchangeError::Withheld);
    }
    match connection.send(request).await {
        Ok(response) => Ok(Exchanged { connection, response }),
        Err(SendFailure::Lost(error)) => Err(ExchangeError::Lost(error)),
        Err(SendFailure::Malformed(problem)) => Err(ExchangeError::Malformed(problem)),
        Err(SendFailure::NotSent(_)) => Err(ExchangeError::ClosedBeforeSend),
    }
}
