//! The HTTP client of the platform.

use std::time::Duration;

use ochreyard_core::config::{LogPage, LogRecord};
use ochreyard_core::retry_after;
use reqwest::header::RETRY_AFTER;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::backoff::Backoff;
use crate::error::PlatformError;
use crate::traits::{BoxList, ListedBox, LogStream, WeightStore};

/// Backoff when a busy platform states none, in milliseconds.
const DEFAULT_BACKOFF_MS: u64 = 1_000;
/// Largest answer that is read.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// An HTTP client of the platform at one address, and of one stream of its log.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    http: Client,
    base_url: String,
    stream: String,
    backoff: Backoff,
}

#[derive(Deserialize)]
struct PageBody {
    first_offset: u64,
    next_offset: u64,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: u64,
    text: String,
}

#[derive(Deserialize)]
struct AppendBody {
    offset: u64,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base_url` and of its log's `stream`. Each request times out after
    /// `timeout_ms`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the client cannot be created.
    pub fn new(base_url: impl Into<String>, stream: impl Into<String>, timeout_ms: u64) -> Result<Self, PlatformError> {
        let http = Client::builder().timeout(Duration::from_millis(timeout_ms)).no_proxy().build();
        let http = http.map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        Ok(Self { http, base_url, stream: stream.into(), backoff: Backoff::default() })
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, PlatformError> {
        let unavailable = |error: reqwest::Error| PlatformError::Unavailable(error.to_string());
        if let Some(retry_after_ms) = self.backoff.remaining_ms() {
            return Err(PlatformError::Busy { retry_after_ms });
        }
        let response = request.send().await.map_err(unavailable)?;
        if let Some(retry_after_ms) = requested_backoff_ms(&response) {
            self.backoff.extend(Duration::from_millis(retry_after_ms));
            log::info!("event=platform_busy status={} retry_after_ms={retry_after_ms}", response.status().as_u16());
            return Err(PlatformError::Busy { retry_after_ms });
        }
        let response = response.error_for_status().map_err(unavailable)?;
        read_document(response).await.map_err(PlatformError::Unavailable)
    }
}

/// Reads an answer of at most [`MAX_DOCUMENT_BYTES`] bytes as JSON.
///
/// # Errors
///
/// What is wrong with the answer.
pub async fn read_document<T: DeserializeOwned>(mut response: Response) -> Result<T, String> {
    let mut document = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| error.to_string())? {
        if document.len() + chunk.len() > MAX_DOCUMENT_BYTES {
            return Err(format!("the answer is longer than {MAX_DOCUMENT_BYTES} bytes"));
        }
        document.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&document).map_err(|error| error.to_string())
}

/// Returns the backoff that a refusal asks for, in milliseconds. A status 429 without a valid `Retry-After` gets the
/// default one. A status 503 without it gets none, since the platform may be available again at any moment.
fn requested_backoff_ms(response: &Response) -> Option<u64> {
    let stated = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let stated_ms = stated.and_then(|value| retry_after::parse_ms(value).ok());
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS => Some(stated_ms.unwrap_or(DEFAULT_BACKOFF_MS)),
        StatusCode::SERVICE_UNAVAILABLE => stated_ms,
        _ => None,
    }
}

impl LogStream for HttpPlatform {
    async fn read(&self, from: u64, limit: u32) -> Result<LogPage, PlatformError> {
        let url = format!("{}/log/{}?from={from}&limit={limit}", self.base_url, self.stream);
        let page: PageBody = self.send(self.http.get(url)).await?;
        let records = page.records.into_iter().map(|r| LogRecord { offset: r.offset, text: r.text }).collect();
        Ok(LogPage { first_offset: page.first_offset, next_offset: page.next_offset, records })
    }

    async fn append(&self, text: &str) -> Result<u64, PlatformError> {
        let url = format!("{}/log/{}", self.base_url, self.stream);
        let appended: AppendBody = self.send(self.http.post(url).body(text.to_owned())).await?;
        Ok(appended.offset)
    }
}

impl BoxList for HttpPlatform {
    async fn boxes(&self) -> Result<Vec<ListedBox>, PlatformError> {
        self.send(self.http.get(format!("{}/boxes", self.base_url))).await
    }
}

impl WeightStore for HttpPlatform {
    async fn reserve(&self, bytes: u64) -> Result<(), PlatformError> {
        let url = format!("{}/weights/reserve?bytes={bytes}", self.base_url);
        let _: serde_json::Value = self.send(self.http.post(url)).await?;
        Ok(())
    }
}
