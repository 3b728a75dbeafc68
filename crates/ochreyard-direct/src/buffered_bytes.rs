//! Bodies that this box holds for callers and endpoints that may be slow to send or to read.

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

/// The most bytes of bodies that a box with this memory holds.
pub fn max_buffered(memory_mb: f64) -> usize {
    (memory_mb * BUFFER_SHARE * BYTES_PER_MB) as usize
}

/// Why a body was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("longer than {most} bytes")]
    TooLong {
        /// What is allowed.
        most: usize,
    },
    /// All bodies together would take too much memory.
    #[error("bodies take too much memory")]
    TooMany,
    /// It broke off.
    #[error("broke off: {0}")]
    AnswerAborted(String),
}

/// Bytes that count as held for as long as it lives.
pub struct BufferedBytes<D: Dialect> {
    entry: Rc<Entry<D>>,
    bytes: usize,
}

impl<D: Dialect> BufferedBytes<D> {
    /// Nothing yet.
    pub fn none(entry: &Rc<Entry<D>>) -> Self {
        Self { entry: Rc::clone(entry), bytes: 0 }
    }

    /// Whether so many more may be held; they then count.
    fn add(&mut self, bytes: usize) -> bool {
        let held = self.entry.buffered_bytes.get() + bytes;
        if held > self.entry.max_buffered_bytes.get() {
            return false;
        }
        self.entry.buffered_bytes.set(held);
        self.bytes += bytes;
        true
    }

    /// Takes a whole body, no longer than `most` bytes. What has come counts while the rest is awaited.
    pub async fn take<B>(&mut self, mut body: B, most: usize) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let mut taken = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::AnswerAborted(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if taken.len() + data.len() > most {
                return Err(BodyError::TooLong { most });
            }
            if !self.add(data.len()) {
                return Err(BodyError::TooMany);
            }
            taken.extend_from_slice(&data);
        }
        Ok(taken.freeze())
    }
}

impl<D: Dialect> Drop for BufferedBytes<D> {
    fn drop(&mut self) {
        self.entry.buffered_bytes.set(self.entry.buffered_bytes.get().saturating_sub(self.bytes));
    }
}
