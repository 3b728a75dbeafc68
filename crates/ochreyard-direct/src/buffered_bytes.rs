//! Limits the memory for bodies that are buffered for callers and endpoints, which may be slow to send or to read.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use ochreyard_core::direct::BodyOwner;

use crate::answer_limits::MIN_PIECE_BYTES;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::error_chain;

/// Share of the memory of a box that bodies may take.
const BUFFER_SHARE: f64 = 0.25;
/// Memory that a buffered byte takes: a buffer that grows has up to twice the size of its contents.
const MEMORY_PER_BYTE: usize = 2;
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
    /// The body arrives too slowly.
    #[error("body arrives too slowly")]
    TooSlow,
    /// The body broke off.
    #[error("body broke off: {0}")]
    Interrupted(String),
}

/// Counts bytes as buffered until dropped.
pub struct BufferedBytes<D: Dialect> {
    entry: Rc<Entry<D>>,
    /// The endpoint whose answer is buffered; `None` for the request of a caller.
    endpoint: Option<String>,
    bytes: Cell<usize>,
    /// Those of the bytes that have arrived.
    received_bytes: Cell<usize>,
}

impl<D: Dialect> BufferedBytes<D> {
    /// Counts nothing yet, for the request of a caller.
    pub fn of_caller(entry: &Rc<Entry<D>>) -> Self {
        Self { entry: Rc::clone(entry), endpoint: None, bytes: Cell::default(), received_bytes: Cell::default() }
    }

    /// Counts nothing yet, for an answer of the endpoint with this identifier.
    pub fn of_endpoint(entry: &Rc<Entry<D>>, id: &str) -> Self {
        let endpoint = Some(id.to_owned());
        Self { entry: Rc::clone(entry), endpoint, bytes: Cell::default(), received_bytes: Cell::default() }
    }

    fn owner(&self) -> BodyOwner<'_> {
        self.endpoint.as_deref().map_or(BodyOwner::Callers, BodyOwner::Endpoint)
    }

    /// Returns the number of bytes that are counted.
    fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns the number of bytes that have arrived of a body that is read.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes.get()
    }

    /// Returns whether `bytes` more may be buffered, and counts them if so.
    fn try_reserve(&self, bytes: usize) -> bool {
        let memory_bytes = bytes * MEMORY_PER_BYTE;
        let is_reserved = self.entry.body_memory.borrow_mut().try_reserve(self.owner(), memory_bytes);
        if is_reserved {
            self.bytes.set(self.bytes.get() + bytes);
        }
        is_reserved
    }

    /// Returns whether `bytes` in all may be buffered, and counts them if so.
    pub fn try_resize(&self, bytes: usize) -> bool {
        match bytes.checked_sub(self.bytes.get()) {
            Some(more) => more == 0 || self.try_reserve(more),
            None => {
                let memory_bytes = (self.bytes.get() - bytes) * MEMORY_PER_BYTE;
                self.entry.body_memory.borrow_mut().release(self.owner(), memory_bytes);
                self.bytes.set(bytes);
                true
            }
        }
    }

    /// Reads a complete body of at most `max_bytes` bytes. The bytes that have arrived count as buffered while the rest
    /// is awaited, and those for which [`Self::try_resize`] has reserved memory before.
    pub async fn read_body<B>(&self, mut body: B, max_bytes: usize) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::error::Error + 'static,
    {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLong { max_bytes });
        }
        let min_piece_bytes = if self.endpoint.is_some() { MIN_PIECE_BYTES } else { 0 };
        let mut counted_bytes = 0;
        let mut received = BytesMut::new();
        let reserved_bytes = self.bytes();
        received.reserve(reserved_bytes);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Interrupted(error_chain::describe(&error)))?;
            let Ok(data) = frame.into_data() else { continue };
            counted_bytes += data.len().max(min_piece_bytes);
            if counted_bytes > max_bytes {
                return Err(BodyError::TooLong { max_bytes });
            }
            if !self.try_resize(reserved_bytes.max(received.len() + data.len())) {
                return Err(BodyError::MemoryLimit);
            }
            received.extend_from_slice(&data);
            self.received_bytes.set(received.len());
        }
        Ok(received.freeze())
    }
}

impl<D: Dialect> Drop for BufferedBytes<D> {
    fn drop(&mut self) {
        self.entry.body_memory.borrow_mut().release(self.owner(), self.bytes.get() * MEMORY_PER_BYTE);
    }
}
