//! The HTTP client of one endpoint.

use std::time::Duration;

use bytes::Bytes;
use ochreyard_core::map_switch::{OrderEnvelope, RankReply};
use ochreyard_core::rebalance::Placement;
use reqwest::{Client, Method, RequestBuilder, Response};

use crate::answer::EndpointAnswer;
use crate::error::EndpointError;
use crate::experts::ExpertReport;
use crate::load::EndpointLoad;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long small questions, such as the load, may take.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What is sent on to the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Value of `Content-Type`; empty for none.
    pub content_type: &'a str,
    /// The body.
    pub body: &'a Bytes,
}

/// What the endpoint is told about a call.
#[derive(Debug, Clone, Copy)]
pub struct CallContext<'a> {
    /// The attempt, for the endpoint's own log.
    pub attempt: &'a str,
    /// The workspace, so that caches are kept apart.
    pub workspace: &'a str,
    /// Whether the workspace's data may rest in the endpoint's data centre.
    pub may_cache: bool,
}

/// A client of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    http: Client,
    base_url: String,
}

impl EndpointClient {
    /// A client of the endpoint at `base_url`, for example `http://127.0.0.1:9000`.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when the client cannot be made.
    pub fn new(base_url: impl Into<String>) -> Result<Self, EndpointError> {
        // A redirect would send the request a second time, so none is followed.
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()?;
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        Ok(Self { http, base_url })
    }

    /// Makes one call, once.
    ///
    /// # Errors
    ///
    /// [`EndpointError::Down`] only if the endpoint cannot have had the request.
    pub async fn call(
        &self,
        request: EndpointRequest<'_>,
        context: CallContext<'_>,
    ) -> Result<EndpointAnswer, EndpointError> {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let url = format!("{}{}", self.base_url, request.path);
        let mut builder = self.http.request(method, url).body(request.body.clone());
        builder = with_context(builder, context);
        if !request.content_type.is_empty() {
            builder = builder.header("content-type", request.content_type);
        }
        let response = builder.send().await?;
        let content_type = header(&response, "content-type");
        Ok(EndpointAnswer { status: response.status().as_u16(), content_type, response })
    }

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when no load came back.
    pub async fn load(&self) -> Result<EndpointLoad, EndpointError> {
        let request = self.http.get(format!("{}/control/load", self.base_url)).timeout(QUESTION_TIMEOUT);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Asks what the group knows of its experts.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when no report came back.
    pub async fn experts(&self) -> Result<ExpertReport, EndpointError> {
        let request = self.http.get(format!("{}/control/experts", self.base_url)).timeout(QUESTION_TIMEOUT);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Gives the group a placement under a number, to be staged later. May be repeated.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when it was not taken.
    pub async fn put_map(&self, map: u64, placement: &Placement) -> Result<(), EndpointError> {
        let request = self.http.put(format!("{}/control/maps/{map}", self.base_url)).timeout(QUESTION_TIMEOUT);
        request.json(placement).send().await?.error_for_status()?;
        Ok(())
    }

    /// Gives an order to one rank.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when no reply came back: the order may have been carried out.
    pub async fn order(&self, order: &OrderEnvelope) -> Result<RankReply, EndpointError> {
        let request = self.http.post(format!("{}/control/orders", self.base_url)).timeout(QUESTION_TIMEOUT);
        Ok(request.json(order).send().await?.error_for_status()?.json().await?)
    }
}

fn with_context(builder: RequestBuilder, context: CallContext<'_>) -> RequestBuilder {
    let cache = if context.may_cache { "keep" } else { "no-store" };
    builder
        .header("ochreyard-attempt", context.attempt)
        .header("ochreyard-workspace", context.workspace)
        .header("ochreyard-cache", cache)
}

fn header(response: &Response, name: &str) -> String {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
