//! The frames of an answer, and the check that an answer is complete.

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::ids::AttemptId;

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    /// Status and content type of the answer. This is always the first frame.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of `Content-Type`.
        content_type: String,
    },
    /// A part of the body.
    Data(Vec<u8>),
    /// The end of the answer, which states what must have arrived before it.
    End {
        /// Number of frames before this one.
        frames: u64,
        /// Checksum over the head and all data.
        checksum: u64,
    },
}

/// One numbered part of the answer to one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame is an answer to.
    pub attempt: AttemptId,
    /// Sequence number from 0.
    pub number: u64,
    /// The content of the frame.
    pub body: FrameBody,
}

/// Number of frames and checksum so far, kept by both the sender and the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct FrameTotals {
    frames: u64,
    checksum: u64,
}

impl FrameTotals {
    fn add(&mut self, body: &FrameBody) {
        match body {
            FrameBody::Head { status, content_type } => {
                self.checksum = hash::fnv1a_from(self.checksum, &status.to_be_bytes());
                self.checksum = hash::fnv1a_from(self.checksum, content_type.as_bytes());
            }
            FrameBody::Data(bytes) => self.checksum = hash::fnv1a_from(self.checksum, bytes),
            FrameBody::End { .. } => {}
        }
        self.frames += 1;
    }
}

/// Numbers the frames of one attempt at the sender.
#[derive(Debug, Clone)]
pub struct FrameWriter {
    attempt: AttemptId,
    totals: FrameTotals,
}

impl FrameWriter {
    /// Starts the answer to `attempt`.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        let seed = hash::fnv1a(attempt.to_string().as_bytes());
        Self { attempt, totals: FrameTotals { frames: 0, checksum: seed } }
    }

    /// Creates the next frame, with this content.
    pub fn frame(&mut self, body: FrameBody) -> Frame {
        let number = self.totals.frames;
        self.totals.add(&body);
        Frame { attempt: self.attempt, number, body }
    }

    /// Creates the last frame.
    #[must_use]
    pub fn end(self) -> Frame {
        let body = FrameBody::End { frames: self.totals.frames, checksum: self.totals.checksum };
        Frame { attempt: self.attempt, number: self.totals.frames, body }
    }
}

/// Why an answer can no longer be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// One or more frames before this one are missing.
    #[error("a frame is missing")]
    Gap,
    /// The first frame is not a head, or a later one is.
    #[error("the head is out of place")]
    HeadOutOfPlace,
    /// The number of frames or the checksum in the end frame does not match the received frames.
    #[error("the end does not match what arrived")]
    EndMismatch,
}

/// What to do with a frame that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameAction {
    /// Forward its content to the caller.
    Forward(FrameBody),
    /// The answer is complete: end the body to the caller.
    Complete,
    /// The frame is stale, a duplicate or of another attempt: drop and count it.
    Drop,
}

/// Checks the frames of one attempt at the receiver.
#[derive(Debug, Clone)]
pub struct FrameReader {
    attempt: AttemptId,
    totals: FrameTotals,
    complete: bool,
}

impl FrameReader {
    /// Creates a reader of the answer to `attempt`.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, totals: FrameWriter::new(attempt).totals, complete: false }
    }

    /// Checks a received frame.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`] if the answer can no longer become complete.
    pub fn accept(&mut self, frame: Frame) -> Result<FrameAction, FrameError> {
        let is_foreign = frame.attempt != self.attempt;
        if is_foreign || self.complete || frame.number < self.totals.frames {
            return Ok(FrameAction::Drop);
        }
        if frame.number > self.totals.frames {
            return Err(FrameError::Gap);
        }
        if let FrameBody::End { frames, checksum } = frame.body {
            return self.finish(FrameTotals { frames, checksum });
        }
        let is_head = matches!(frame.body, FrameBody::Head { .. });
        if is_head != (frame.number == 0) {
            return Err(FrameError::HeadOutOfPlace);
        }
        self.totals.add(&frame.body);
        Ok(FrameAction::Forward(frame.body))
    }

    fn finish(&mut self, claimed: FrameTotals) -> Result<FrameAction, FrameError> {
        if claimed != self.totals || claimed.frames == 0 {
            return Err(FrameError::EndMismatch);
        }
        self.complete = true;
        Ok(FrameAction::Complete)
    }

    /// Returns whether the answer has arrived completely and its checksum matched.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }
}
