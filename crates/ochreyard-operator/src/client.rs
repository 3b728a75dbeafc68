//! The client for the operators' API, which the command line uses.

use std::time::Duration;

use ochreyard_core::config::Plan;
use ochreyard_platform::read_document;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;

use crate::api::{ApiError, ConfirmResponse};
use crate::report::{BurnRow, Status};

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call of the operators' API failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The entry cannot be reached, or its answer cannot be read.
    #[error("the entry at {url} cannot be reached: {problem}")]
    Unreachable {
        /// The base URL of the entry.
        url: String,
        /// The error of the HTTP client.
        problem: String,
    },
    /// The entry refused the call.
    #[error("{}", render(.0))]
    Refused(ApiError),
}

fn render(error: &ApiError) -> String {
    let faults = error.faults.iter().map(|fault| format!("\n  {fault}"));
    std::iter::once(error.message.clone()).chain(faults).collect()
}

/// A client for the operators' API of one entry.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    http: Client,
    base_url: String,
    token: String,
}

impl OperatorClient {
    /// Creates a client for the entry at `base_url`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, token: impl Into<String>) -> Self {
        let http = Client::builder().timeout(TIMEOUT).no_proxy().build().unwrap_or_default();
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        Self { http, base_url, token: token.into() }
    }

    /// Sends an intent in YAML and returns the resulting plan.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if no plan was returned.
    pub async fn plan(&self, yaml: String) -> Result<Plan, ClientError> {
        self.send(self.http.post(self.url("plan")).body(yaml)).await
    }

    /// Confirms a plan and returns the configuration version with which it came into force.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if the confirmation was refused or its outcome is unknown.
    pub async fn confirm(&self, plan_id: &str) -> Result<u64, ClientError> {
        let confirmed: ConfirmResponse = self.send(self.http.post(self.url(&format!("confirm/{plan_id}")))).await?;
        Ok(confirmed.version)
    }

    /// Fetches the status.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if no answer was returned.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.send(self.http.get(self.url("status"))).await
    }

    /// Fetches the burn rates that this entry has measured.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if no answer was returned.
    pub async fn burn(&self) -> Result<Vec<BurnRow>, ClientError> {
        self.send(self.http.get(self.url("burn"))).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}/operator/v1/{path}", self.base_url)
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, ClientError> {
        let unreachable = |problem: String| ClientError::Unreachable { url: self.base_url.clone(), problem };
        let response = request.bearer_auth(&self.token).send().await;
        let response = response.map_err(|error| unreachable(error.to_string()))?;
        if response.status().is_success() {
            return read_document(response).await.map_err(unreachable);
        }
        Err(ClientError::Refused(read_document(response).await.map_err(unreachable)?))
    }
}
