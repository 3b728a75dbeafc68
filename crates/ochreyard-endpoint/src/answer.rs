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
    /// How much more the body may have.
    pub(crate) limit: Option<BodyLimit>,
}

/// The limit on the rest of a body.
#[derive(Debug)]
pub(crate) struct BodyLimit {
    max_bytes: usize,
    received_bytes: usize,
}

impl EndpointAnswer {
    /// Limits the rest of the body, for an answer that nobody reads any more.
    pub fn limit_rest(&mut self, max_bytes: usize) {
        self.limit.get_or_insert(BodyLimit { max_bytes, received_bytes: 0 });
    }

    /// Returns the next chunk of the body, or `None` at its regular end. Dropping the answer cancels the call at the
    /// endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointError::Failed`] if the body ended early, [`EndpointError::TooLong`] if it exceeds its
    /// limit.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, EndpointError> {
        let chunk = self.response.chunk().await.map_err(EndpointError::Failed)?;
        if let Some(limit) = &mut self.limit {
            limit.received_bytes += chunk.as_ref().map_or(0, Bytes::len);
            if limit.received_bytes > limit.max_bytes {
                return Err(EndpointError::TooLong { max_bytes: limit.max_bytes });
            }
        }
        Ok(chunk)
    }
}
