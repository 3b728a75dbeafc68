//! Counts of the fleet's calls to the log, its polls and its bytes, by cause.

use ochreyard_core::direct::ReadRole;
use serde::Serialize;

/// Size of a poll, and of an answer without its contents, in bytes.
const MESSAGE_BYTES: u64 = 200;
/// Size of the record of a box in a list, in bytes.
const BOX_BYTES: u64 = 110;
/// Size of the record of an endpoint in an answer with the full state, in bytes.
const ENDPOINT_BYTES: u64 = 190;
/// Size of the record of a workspace in an answer with the full state, in bytes.
const WORKSPACE_BYTES: u64 = 27;
/// Number of endpoints per thousand boxes.
const ENDPOINTS_PERMILLE: u64 = 1_400;
/// Number of workspaces per thousand boxes.
const WORKSPACES_PERMILLE: u64 = 770;

/// Why a box calls the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCause {
    /// The box reads records of endpoints.
    ReadRecords,
    /// The box reads all records again, since the log was restored from an older copy.
    Reread,
    /// The box reads the list of all boxes.
    ListBoxes,
    /// The box adds records to the list of boxes.
    WriteBox,
}

/// Counts of calls to the log, of polls between boxes, and of bytes, since the start of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Traffic {
    /// Calls in which readers read records.
    #[serde(rename = "reads_of_readers")]
    pub reads_by_readers: u64,
    /// Calls in which relays read records.
    #[serde(rename = "reads_of_relays")]
    pub reads_by_relays: u64,
    /// Calls in which followers read records, because they had no fresh answer from another box.
    #[serde(rename = "reads_of_told")]
    pub reads_by_followers: u64,
    /// Calls that read all records again, since the log was restored from an older copy.
    #[serde(rename = "reads_again")]
    pub rereads: u64,
    /// Calls that read the list of all boxes.
    pub lists: u64,
    /// Calls that write the record of a box into that list.
    pub writes: u64,
    /// Polls between boxes.
    #[serde(rename = "questions")]
    pub polls: u64,
    /// Bytes of polls, and of their answers without lists of boxes and full states.
    #[serde(rename = "question_bytes")]
    pub poll_bytes: u64,
    /// Bytes of lists of boxes in answers.
    pub list_bytes: u64,
    /// Bytes of the full state in answers to boxes that have none.
    #[serde(rename = "full_bytes")]
    pub full_state_bytes: u64,
}

impl Traffic {
    /// Returns the number of all calls to the log.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.reads_by_readers + self.reads_by_relays + self.reads_by_followers + self.rereads + self.lists + self.writes
    }

    /// Returns the number of all bytes between boxes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.poll_bytes + self.list_bytes + self.full_state_bytes
    }

    /// Counts one call to the log.
    pub const fn record_call(&mut self, cause: CallCause, read_role: ReadRole) {
        match (cause, read_role) {
            (CallCause::ReadRecords, ReadRole::Reader) => self.reads_by_readers += 1,
            (CallCause::ReadRecords, ReadRole::Relay) => self.reads_by_relays += 1,
            (CallCause::ReadRecords, ReadRole::Follower) => self.reads_by_followers += 1,
            (CallCause::Reread, _) => self.rereads += 1,
            (CallCause::ListBoxes, _) => self.lists += 1,
            (CallCause::WriteBox, _) => self.writes += 1,
        }
    }

    /// Counts one poll and its answer, with `listed_boxes` records of boxes, in a fleet of `boxes`. Returns the bytes
    /// counted for both.
    pub const fn record_poll_answer(&mut self, listed_boxes: u64, is_full_state: bool, boxes: u64) -> u64 {
        let list_bytes = listed_boxes * BOX_BYTES;
        let full_state_bytes = if is_full_state { full_state_answer_bytes(boxes) } else { 0 };
        self.polls += 1;
        self.poll_bytes += 2 * MESSAGE_BYTES;
        self.list_bytes += list_bytes;
        self.full_state_bytes += full_state_bytes;
        2 * MESSAGE_BYTES + list_bytes + full_state_bytes
    }
}

/// Returns the size of the records of all endpoints and workspaces in a fleet of `boxes`, in bytes.
const fn full_state_answer_bytes(boxes: u64) -> u64 {
    boxes * (ENDPOINTS_PERMILLE * ENDPOINT_BYTES + WORKSPACES_PERMILLE * WORKSPACE_BYTES) / 1_000
}
