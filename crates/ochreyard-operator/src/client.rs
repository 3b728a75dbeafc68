//! The operators' client, as the command line uses it.

use std::time::Duration;

use ochreyard_core::config::Plan;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;

use crate::api::{ApiError, ConfirmResponse};
use crate::report::{BurnRow, Status};

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why an operator's call gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The entry cannot be reached.
    #[error("the entry at {url} cannot be reached: {problem}")]
    Unreachable {
        /// Where it should be.
        url: String,
        /// What the connection said.
        problem: String,
    },
    /// The entry refused.
    #[error("{}", render(.0))]
    Refused(ApiError),
}

fn render(error: &ApiError) -> String {
    let faults = error.faults.iter().map(|fault| format!("\n  {fault}"));
    std::iter::once(error.message.clone()).chain(faults).collect()
}

/// A client of one entry's operator side.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    http: Client,
    base_url: String,
    token: String,
}

impl OperatorClient {
    /// A client of the entry at `base_url`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, token: impl Into<String>) -> Self {
        let http = Client::builder().timeout(TIMEOUT).no_proxy().build().unwrap_or_default();
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        Self { http, base_url, token: token.into() }
    }

    /// Sends an intent in YAML.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when no plan came back.
    pub async fn plan(&self, yaml: String) -> Result<Plan, ClientError> {
        self.ask(self.http.post(self.url("plan")).body(yaml)).await
    }

    /// Confirms a plan and returns the version that it came into force with.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when it was refused or its fate is not known.
    pub async fn confirm(&self, plan_id: &str) -> Result<u64, ClientError> {
        let confirmed: ConfirmResponse = self.ask(self.http.post(self.url(&format!("confirm/{plan_id}")))).await?;
        Ok(confirmed.version)
    }

    /// Asks for the status.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when none came back.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.ask(self.http.get(self.url("status"))).await
    }

    /// Asks for this entry's part of the report on burn.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when none came back.
    pub async fn burn(&self) -> Result<Vec<BurnRow>, ClientError> {
        self.ask(self.http.get(self.url("burn"))).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}/operator/v1/{path}", self.base_url)
    }

    async fn ask<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, ClientError> {
        let unreachable =
            |error: reqwest::Error| ClientError::Unreachable { url: self.base_url.clone(), problem: error.to_string() };
        let response = request.bearer_auth(&self.token).send().await.map_err(unreachable)?;
        if response.status().is_success() {
            return response.json().await.map_err(unreachable);
        }
        Err(ClientError::Refused(response.json().await.map_err(unreachable)?))
    }
}
