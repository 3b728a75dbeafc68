//! Calls to one peer over one kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::call_error::CallError;
use crate::connection::Connection;
use crate::exchange::{Exchanged, exchange};

/// A peer that is called now and then over one kept connection.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    kept: tokio::sync::Mutex<Option<Connection>>,
}

impl HttpClient {
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

    /// Asks for `path`.
    ///
    /// # Errors
    ///
    /// When no whole answer comes in `timeout`.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<Response<Bytes>, CallError> {
        self.send(Request::get(path), Bytes::new(), timeout).await
    }

    /// Posts a message as JSON.
    ///
    /// # Errors
    ///
    /// When no whole answer comes in `timeout`.
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
        let late = |_| CallError::Timeout(timeout.as_millis());
        let exchange = self.exchange(connection, request, timeout);
        let (connection, response) = tokio::time::timeout(timeout, exchange).await.map_err(late)??;
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
        let bytes = body.collect().await?.to_bytes();
        Ok((connection, Response::from_parts(head, bytes)))
    }
}
