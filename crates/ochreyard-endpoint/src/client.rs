//! The HTTP client of one endpoint.

use std::time::Duration;

use bytes::Bytes;
use ochreyard_core::map_switch::{OrderEnvelope, RankReply};
use ochreyard_core::rebalance::Placement;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::answer::EndpointAnswer;
use crate::error::EndpointError;
use crate::experts::ExpertReport;
use crate::load::EndpointLoad;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an idle connection is probed, and the time for an answer to the probe.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// How long control requests, such as the one for the load, may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest answer to a control request.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// The largest status of an answer.
const MAX_STATUS: u16 = 599;

/// A request that is forwarded to the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Value of `Content-Type`, or empty if there is none.
    pub content_type: &'a str,
    /// The body.
    pub body: &'a Bytes,
}

/// Information about a call that is sent to the endpoint in headers.
#[derive(Debug, Clone, Copy)]
pub struct CallContext<'a> {
    /// Identifier of the attempt, for the endpoint's log.
    pub attempt: &'a str,
    /// The workspace, by which the endpoint separates its caches.
    pub workspace: &'a str,
    /// Whether the workspace allows its data to be stored in the endpoint's data centre.
    pub may_cache: bool,
}

/// An HTTP client for one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    http: Client,
    base_url: String,
}

impl EndpointClient {
    /// Creates a client for the endpoint at `base_url`, for example `http://127.0.0.1:9000`.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] if the HTTP client cannot be created.
    pub fn new(base_url: impl Into<String>) -> Result<Self, EndpointError> {
        // Following a redirect would send the request a second time.
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            // Linux applies this timeout to an endpoint that is slow to read, too. One that is gone is found by keepalive.
            .tcp_user_timeout(None::<Duration>)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(1)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()?;
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        Ok(Self { http, base_url })
    }

    /// Sends a request once, without retries.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointError::Down`] only if the endpoint cannot have received the request.
    pub async fn call(
        &self,
        request: EndpointRequest<'_>,
        context: CallContext<'_>,
    ) -> Result<EndpointAnswer, EndpointError> {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let url = format!("{}{}", self.base_url, request.path);
        let mut builder = self.http.request(method, url).body(request.body.clone());
        builder = add_context_headers(builder, context);
        if !request.content_type.is_empty() {
            builder = builder.header("content-type", request.content_type);
        }
        let response = builder.send().await?;
        // The HTTP library accepts statuses up to 999, which have no meaning to a caller.
        if response.status().as_u16() > MAX_STATUS {
            return Err(EndpointError::InvalidStatus { status: response.status().as_u16() });
        }
        let content_type = header(&response, "content-type");
        Ok(EndpointAnswer { status: response.status().as_u16(), content_type, response, limit: None })
    }

    /// Fetches the load of the endpoint.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] if no load was returned.
    pub async fn load(&self) -> Result<EndpointLoad, EndpointError> {
        let request = self.http.get(format!("{}/control/load", self.base_url)).timeout(CONTROL_TIMEOUT);
        read_document(request.send().await?.error_for_status()?).await
    }

    /// Fetches the group's report about its experts.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] if no report was returned.
    pub async fn experts(&self) -> Result<ExpertReport, EndpointError> {
        let request = self.http.get(format!("{}/control/experts", self.base_url)).timeout(CONTROL_TIMEOUT);
        read_document(request.send().await?.error_for_status()?).await
    }

    /// Sends the group a placement with the map number `map`, to be staged later. Idempotent.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] if the placement was not accepted.
    pub async fn put_map(&self, map: u64, placement: &Placement) -> Result<(), EndpointError> {
        let request = self.http.put(format!("{}/control/maps/{map}", self.base_url)).timeout(CONTROL_TIMEOUT);
        request.json(placement).send().await?.error_for_status()?;
        Ok(())
    }

    /// Sends an order to one rank.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] if no reply was received. The order may have been carried out all the same.
    pub async fn order(&self, order: &OrderEnvelope) -> Result<RankReply, EndpointError> {
        let request = self.http.post(format!("{}/control/orders", self.base_url)).timeout(CONTROL_TIMEOUT);
        read_document(request.json(order).send().await?.error_for_status()?).await
    }
}

/// Reads the answer to a control request.
async fn read_document<T: DeserializeOwned>(mut response: Response) -> Result<T, EndpointError> {
    let mut document = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if document.len() + chunk.len() > MAX_DOCUMENT_BYTES {
            return Err(EndpointError::TooLong { max_bytes: MAX_DOCUMENT_BYTES });
        }
        document.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&document).map_err(EndpointError::Unreadable)
}

fn add_context_headers(builder: RequestBuilder, context: CallContext<'_>) -> RequestBuilder {
    let cache = if context.may_cache { "keep" } else { "no-store" };
    builder
        .header("ochreyard-attempt", context.attempt)
        .header("ochreyard-workspace", context.workspace)
        .header("ochreyard-cache", cache)
}

fn header(response: &Response, name: &str) -> String {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
