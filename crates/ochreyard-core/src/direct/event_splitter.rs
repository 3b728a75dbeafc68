//! Cuts a stream of bytes into whole events, so that half an event is never
//! passed on and another run can go on where the first one broke off.

use bytes::{Bytes, BytesMut};

/// The events that are whole by now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompleteEvents {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// How many there are.
    pub count: usize,
}

/// Keeps the part of an event that is not whole yet.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A splitter at the start of a stream; a resumed one has seen `last_id`.
    #[must_use]
    pub fn new(last_id: Option<String>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The identifier of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether part of an event waits for its rest.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Bytes of the event that waits for its rest.
    #[must_use]
    pub fn partial_event_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Drops the part of an event that will not become whole.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Adds bytes and takes out what has become whole.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.pending.extend_from_slice(bytes);
        let mut count = 0;
        let mut whole_to = 0;
        let mut at = self.searched;
        while let Some(end) = self.end_of_event(at) {
            self.note_id(whole_to, end);
            count += 1;
            whole_to = end;
            at = end;
        }
        self.searched = (self.pending.len() - whole_to).saturating_sub(1);
        CompleteEvents { bytes: self.pending.split_to(whole_to).freeze(), count }
    }

    /// Where the event that holds byte `from` ends: after an empty line.
    fn end_of_event(&self, from: usize) -> Option<usize> {
        let rest = &self.pending[from..];
        rest.windows(2).position(|pair| pair == b"\n\n").map(|at| from + at + 2)
    }

    fn note_id(&mut self, start: usize, end: usize) {
        let event = &self.pending[start..end];
        let id = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}
