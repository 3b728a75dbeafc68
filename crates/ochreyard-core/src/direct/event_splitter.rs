//! Splits a byte stream into complete events, so that a partial event is never
//! forwarded and another run can resume a stream that broke off.

use bytes::{Bytes, BytesMut};

/// Events that have been completed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompleteEvents {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
}

/// Buffers the bytes of an event that is not complete yet.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of buffered bytes that hold no end of an event.
    searched: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter for the start of a stream, or for a stream that is resumed after the event `last_id`.
    #[must_use]
    pub fn new(last_id: Option<String>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the identifier of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether a partial event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of buffered bytes of the partial event.
    #[must_use]
    pub fn partial_event_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Discards a partial event that will not be completed.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Appends bytes, and removes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.pending.extend_from_slice(bytes);
        let mut count = 0;
        let mut complete_end = 0;
        let mut at = self.searched;
        while let Some(end) = self.end_of_event(at) {
            self.record_id(complete_end, end);
            count += 1;
            complete_end = end;
            at = end;
        }
        self.searched = (self.pending.len() - complete_end).saturating_sub(1);
        CompleteEvents { bytes: self.pending.split_to(complete_end).freeze(), count }
    }

    /// Returns where the event ends that byte `from` belongs to: after an empty line.
    fn end_of_event(&self, from: usize) -> Option<usize> {
        let rest = &self.pending[from..];
        rest.windows(2).position(|pair| pair == b"\n\n").map(|at| from + at + 2)
    }

    fn record_id(&mut self, start: usize, end: usize) {
        let event = &self.pending[start..end];
        let id = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}
