//! The answer of an endpoint, as a stream.

use bytes::Bytes;

use crate::error::EndpointError;

/// Status and type, with the body still to come.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty for none.
    pub content_type: String,
    pub(crate) response: reqwest::Response,
}

impl EndpointAnswer {
    /// The next part of the body; `None` at its proper end. Dropping the answer
    /// cancels the call at the endpoint.
    ///
    /// # Errors
    ///
    /// [`EndpointError::Failed`] when the body broke off.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, EndpointError> {
        self.response.chunk().await.map_err(EndpointError::Failed)
    }
}
