//! Limits the memory for bodies that are buffered for callers and endpoints, which may be slow to send or to read.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Share of the memory of a box that bodies may take.
const BUFFER_SHARE: f64 = 0.25;
/// Bytes in a megabyte.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Returns the maximum number of body bytes that a box with this memory buffers.
pub fn max_buffered(memory_mb: f64) -> usize {
    (memory_mb * BUFFER_SHARE * BYTES_PER_MB) as usize
}

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("body is longer than {max_bytes} bytes")]
    TooLong {
        /// Allowed length in bytes.
        max_bytes: usize,
    },
    /// All bodies together would take too much memory.
    #[error("buffered bodies take too much memory")]
    MemoryLimit,
    /// The body broke off.
    #[error("body broke off: {0}")]
    Interrupted(String),
}

/// Counts bytes as buffered until dropped.
pub struct BufferedBytes<D: Dialect> {
    entry: Rc<Entry<D>>,
    bytes: usize,
}

impl<D: Dialect> BufferedBytes<D> {
    /// Counts nothing yet.
    pub fn none(entry: &Rc<Entry<D>>) -> Self {
        Self { entry: Rc::clone(entry), bytes: 0 }
    }

    /// Returns whether `bytes` more may be buffered, and counts them if so.
    fn try_reserve(&mut self, bytes: usize) -> bool {
        let total = self.entry.buffered_bytes.get() + bytes;
        if total > self.entry.max_buffered_bytes.get() {
            return false;
        }
        self.entry.buffered_bytes.set(total);
        self.bytes += bytes;
        true
    }

    /// Reads a complete body of at most `max_bytes` bytes. The bytes that have arrived count as buffered while the rest
    /// is awaited.
    pub async fn read_body<B>(&mut self, mut body: B, max_bytes: usize) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Interrupted(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if received.len() + data.len() > max_bytes {
                return Err(BodyError::TooLong { max_bytes });
            }
            if !self.try_reserve(data.len()) {
                return Err(BodyError::MemoryLimit);
            }
            received.extend_from_slice(&data);
        }
        Ok(received.freeze())
    }
}

impl<D: Dialect> Drop for BufferedBytes<D> {
    fn drop(&mut self) {
        self.entry.buffered_bytes.set(self.entry.buffered_bytes.get().saturating_sub(self.bytes));
    }
}
