//! An HTTP client for one server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use serde::Serialize;

use crate::answer_limits::MAX_CONTROL_ANSWER_BYTES;
use crate::call_error::CallError;
use crate::connection::Connection;
use crate::exchange::{Exchanged, exchange};
use crate::timeout::timeout_after_reads;

/// Calls one HTTP server over one persistent connection, one call at a time.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    kept: tokio::sync::Mutex<Option<Connection>>,
}

impl HttpClient {
    /// Creates a client for `addr`, without opening a connection yet.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, kept: tokio::sync::Mutex::const_new(None) }
    }

    /// Address of the server.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// When no complete answer arrives within `timeout`.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<Response<Bytes>, CallError> {
        self.send(Request::get(path), Bytes::new(), timeout).await
    }

    /// Posts a message as JSON.
    ///
    /// # Errors
    ///
    /// When no complete answer arrives within `timeout`.
    pub async fn post<T: Serialize>(
        &self,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let body = serde_json::to_vec(message).map_err(|error| CallError::InvalidRequest(error.to_string()))?;
        self.send(Request::post(path), Bytes::from(body), timeout).await
    }

    async fn send(
        &self,
        head: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let head = head.header(http::header::HOST, self.addr.to_string());
        let request = head.body(Full::from(body)).map_err(|error| CallError::InvalidRequest(error.to_string()))?;
        self.call(request, timeout).await
    }

    /// Sends a request and reads the complete answer. A connection whose answer is late is dropped, because that answer
    /// could be mistaken for the answer to a later call.
    ///
    /// # Errors
    ///
    /// When no complete answer arrives within `timeout`.
    pub async fn call(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<Response<Bytes>, CallError> {
        let mut kept = self.kept.lock().await;
        // Taken out, so that cancelling the call also drops its connection.
        let connection = kept.take().filter(Connection::is_open);
        let late = || CallError::Timeout(timeout.as_millis());
        let exchange = self.exchange(connection, request, timeout);
        let (connection, response) = timeout_after_reads(timeout, exchange).await.ok_or_else(late)??;
        connection.set_idle();
        *kept = Some(connection);
        Ok(response)
    }

    async fn exchange(
        &self,
        kept: Option<Connection>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Connection, Response<Bytes>), CallError> {
        let Exchanged { connection, response } = exchange(kept, self.addr, timeout, || true, request).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_CONTROL_ANSWER_BYTES).collect().await;
        let bytes = body.map_err(body_error)?.to_bytes();
        Ok((connection, Response::from_parts(head, bytes)))
    }
}

fn body_error(error: Box<dyn std::error::Error + Send + Sync>) -> CallError {
    if error.is::<LengthLimitError>() {
        CallError::Malformed(format!("longer than {MAX_CONTROL_ANSWER_BYTES} bytes"))
    } else {
        CallError::ConnectionLost(error.to_string())
    }
}
