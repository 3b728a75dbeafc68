//! What a fleet calls, asks and sends, by cause.

use ochreyard_core::direct::ReadRole;
use serde::Serialize;

/// A question or an answer without what it tells, in bytes.
const MESSAGE_BYTES: u64 = 200;
/// A record of a box in a list, of an endpoint and of a workspace in a full answer, in bytes.
const BOX_BYTES: u64 = 110;
const ENDPOINT_BYTES: u64 = 190;
const WORKSPACE_BYTES: u64 = 27;
/// Endpoints and workspaces for each thousand boxes.
const ENDPOINTS_PERMILLE: u64 = 1_400;
const WORKSPACES_PERMILLE: u64 = 770;

/// Why a box calls the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCause {
    /// It reads records of endpoints.
    Reads,
    /// It reads them all again, as the log has come back from an older copy.
    ReadsAgain,
    /// It lists all boxes.
    Lists,
    /// It writes itself into that list.
    Writes,
}

/// Counts of calls to the log, of questions between boxes, and of bytes, since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Traffic {
    /// Calls that read records, by the duty of the box.
    pub reads_of_readers: u64,
    /// The same of boxes that relay.
    pub reads_of_relays: u64,
    /// The same of boxes that are told, because nobody told them enough.
    pub reads_of_told: u64,
    /// Calls that read all records again, as the log has come back from an older copy.
    pub reads_again: u64,
    /// Calls that list all boxes.
    pub lists: u64,
    /// Calls that write a box into that list.
    pub writes: u64,
    /// Questions between boxes.
    pub questions: u64,
    /// Bytes of questions and of answers that tell nothing new.
    pub question_bytes: u64,
    /// Bytes of lists of boxes.
    pub list_bytes: u64,
    /// Bytes of full answers to boxes that know nothing.
    pub full_bytes: u64,
}

impl Traffic {
    /// Calls to the log.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.reads_of_readers + self.reads_of_relays + self.reads_of_told + self.reads_again + self.lists + self.writes
    }

    /// Bytes between boxes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.question_bytes + self.list_bytes + self.full_bytes
    }

    /// Counts a call to the log.
    pub const fn on_call(&mut self, cause: CallCause, duty: ReadRole) {
        match (cause, duty) {
            (CallCause::Reads, ReadRole::Reader) => self.reads_of_readers += 1,
            (CallCause::Reads, ReadRole::Relay) => self.reads_of_relays += 1,
            (CallCause::Reads, ReadRole::Follower) => self.reads_of_told += 1,
            (CallCause::ReadsAgain, _) => self.reads_again += 1,
            (CallCause::Lists, _) => self.lists += 1,
            (CallCause::Writes, _) => self.writes += 1,
        }
    }

    /// Counts a question and its answer in a fleet of `boxes`; gives the answer's bytes.
    pub const fn on_answer(&mut self, listed: u64, is_full: bool, boxes: u64) -> u64 {
        let list_bytes = listed * BOX_BYTES;
        let full_bytes = if is_full { full_answer_bytes(boxes) } else { 0 };
        self.questions += 1;
        self.question_bytes += 2 * MESSAGE_BYTES;
        self.list_bytes += list_bytes;
        self.full_bytes += full_bytes;
        2 * MESSAGE_BYTES + list_bytes + full_bytes
    }
}

/// What a box that knows nothing is told of endpoints and workspaces.
const fn full_answer_bytes(boxes: u64) -> u64 {
    boxes * (ENDPOINTS_PERMILLE * ENDPOINT_BYTES + WORKSPACES_PERMILLE * WORKSPACE_BYTES) / 1_000
}
