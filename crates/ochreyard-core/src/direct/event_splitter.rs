//! Splits a byte stream into complete events, so that a partial event is never
//! forwarded and another run can resume a stream that broke off.

use bytes::{Bytes, BytesMut};

/// Fields of an event stream that make a block of lines an event.
const EVENT_FIELDS: [&[u8]; 3] = [b"id", b"data", b"event"];

/// Events that have been completed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompleteEvents {
    /// Bytes of the events, and of empty lines and comments between them, unchanged.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
}

/// What the lines up to an empty line are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Block {
    Event,
    /// Empty lines and comments.
    Filler,
    /// Lines without a field of an event. They are held back: the stream may be no event stream at all.
    Unknown,
}

impl Block {
    fn of(lines: &[u8]) -> Self {
        let mut kind = Self::Filler;
        for line in lines.split(|byte| *byte == b'\n') {
            let field = line.split(|byte| *byte == b':').next().unwrap_or_default();
            if EVENT_FIELDS.contains(&field) {
                return Self::Event;
            }
            if !field.is_empty() {
                kind = Self::Unknown;
            }
        }
        kind
    }
}

/// Buffers the bytes of an event that is not complete yet.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Where the block of lines starts whose end has not arrived.
    block_start: usize,
    /// Number of buffered bytes in which its end was sought.
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
        self.block_start = 0;
        self.searched = 0;
    }

    /// Appends bytes, and removes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.pending.extend_from_slice(bytes);
        let mut count = 0;
        let mut complete_end = 0;
        while let Some(end) = self.end_of_block() {
            match Block::of(&self.pending[self.block_start..end]) {
                Block::Event => {
                    self.record_id(self.block_start, end);
                    count += 1;
                    complete_end = end;
                }
                Block::Filler if complete_end == self.block_start => complete_end = end,
                Block::Filler | Block::Unknown => {}
            }
            (self.block_start, self.searched) = (end, end);
        }
        let bytes = self.pending.split_to(complete_end).freeze();
        self.block_start -= complete_end;
        self.searched = self.pending.len().saturating_sub(1).max(self.block_start);
        CompleteEvents { bytes, count }
    }

    /// Returns where the current block of lines ends: after an empty line.
    fn end_of_block(&self) -> Option<usize> {
        let rest = &self.pending[self.searched..];
        rest.windows(2).position(|pair| pair == b"\n\n").map(|at| self.searched + at + 2)
    }

    fn record_id(&mut self, start: usize, end: usize) {
        let event = &self.pending[start..end];
        let id = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}
