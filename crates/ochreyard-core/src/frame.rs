//! Frames of an answer, and the check that an answer is whole.

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::ids::AttemptId;

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    /// Status and content type of the answer: always the first frame.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of `Content-Type`.
        content_type: String,
    },
    /// A part of the body.
    Data(Vec<u8>),
    /// The end: what must have arrived before it.
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
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// Running number from 0.
    pub number: u64,
    /// What it carries.
    pub body: FrameBody,
}

/// Running count and checksum, the same at the sender and the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Tally {
    frames: u64,
    checksum: u64,
}

impl Tally {
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
    tally: Tally,
}

impl FrameWriter {
    /// Starts the answer to `attempt`.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        let seed = hash::fnv1a(attempt.to_string().as_bytes());
        Self { attempt, tally: Tally { frames: 0, checksum: seed } }
    }

    /// The next frame with this body.
    pub fn frame(&mut self, body: FrameBody) -> Frame {
        let number = self.tally.frames;
        self.tally.add(&body);
        Frame { attempt: self.attempt, number, body }
    }

    /// The last frame.
    #[must_use]
    pub fn end(self) -> Frame {
        let body = FrameBody::End { frames: self.tally.frames, checksum: self.tally.checksum };
        Frame { attempt: self.attempt, number: self.tally.frames, body }
    }
}

/// Why the answer cannot be whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A frame is missing before this one.
    #[error("a frame is missing")]
    Gap,
    /// The head is not the first frame, or came twice.
    #[error("the head is out of place")]
    HeadOutOfPlace,
    /// Count or checksum differ at the end.
    #[error("the end does not match what arrived")]
    EndMismatch,
}

/// What to do with a frame that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameAction {
    /// Pass it on.
    Forward(FrameBody),
    /// The answer is whole: end the caller's body.
    Complete,
    /// Stale, repeated or of another attempt: drop and count it.
    Drop,
}

/// Checks the frames of one attempt at the receiver.
#[derive(Debug, Clone)]
pub struct FrameReader {
    attempt: AttemptId,
    tally: Tally,
    whole: bool,
}

impl FrameReader {
    /// Expects the answer to `attempt`.
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, tally: FrameWriter::new(attempt).tally, whole: false }
    }

    /// Takes one frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the answer can no longer become whole.
    pub fn accept(&mut self, frame: Frame) -> Result<FrameAction, FrameError> {
        let foreign = frame.attempt != self.attempt;
        if foreign || self.whole || frame.number < self.tally.frames {
            return Ok(FrameAction::Drop);
        }
        if frame.number > self.tally.frames {
            return Err(FrameError::Gap);
        }
        if let FrameBody::End { frames, checksum } = frame.body {
            return self.finish(Tally { frames, checksum });
        }
        let is_head = matches!(frame.body, FrameBody::Head { .. });
        if is_head != (frame.number == 0) {
            return Err(FrameError::HeadOutOfPlace);
        }
        self.tally.add(&frame.body);
        Ok(FrameAction::Forward(frame.body))
    }

    fn finish(&mut self, claimed: Tally) -> Result<FrameAction, FrameError> {
        if claimed != self.tally || claimed.frames == 0 {
            return Err(FrameError::EndMismatch);
        }
        self.whole = true;
        Ok(FrameAction::Complete)
    }

    /// Whether the whole answer has arrived and checked out.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.whole
    }
}
