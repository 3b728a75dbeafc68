//! The streamed answer of an endpoint.

use bytes::Bytes;

use crate::error::EndpointError;

/// The status and content type of an answer whose body is still to be read.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, or empty if there is none.
    pub content_type: String,
    pub(crate) response: reqwest::Response,
}

impl EndpointAnswer {
    /// Returns the next chunk of the body, or `None` at its regular end. Dropping the answer cancels the call at the
    /// endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointError::Failed`] if the body ended early.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, EndpointError> {
        self.response.chunk().await.map_err(EndpointError::Failed)
    }
}
