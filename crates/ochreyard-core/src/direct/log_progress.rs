//! How far, and how recently, the platform's log was read, by this box or another one.
//!
//! A follower polls one other box, its source, and the next one of an order where that one has no fresh answer. It
//! reads the log itself only where it has had no fresh answer for too long.

use std::net::SocketAddr;

use super::box_list::BoxList;
use super::position::Position;
use super::read_role::{LocalBox, source};

/// Number of pauses between two reads of the log for which the state of a box counts as fresh: one
/// pause of the reader, one between two polls, and one of margin.
const FRESH_PAUSES: u64 = 3;
/// Number of reads of the log within the time after which a leaving endpoint must get no more requests. A state
/// that is [`FRESH_PAUSES`] old, and one further read, fit into that time with a margin.
const READS_PER_LEAVE_PROPAGATION: u64 = 5;
/// Number of fresh answers in a row after which a box polls the first source of its order again.
const ANSWERS_BEFORE_RESET: u32 = 5;

/// How far and how recently the records of endpoints were read, by this box or another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogProgress {
    pause_ms: u64,
    next: Option<Position>,
    as_of_ms: u64,
    /// When another box last gave a fresh answer.
    fresh_answer_ms: Option<u64>,
    skipped_sources: usize,
    /// Number of fresh answers in a row since a source was skipped.
    fresh_answers: u32,
}

impl LogProgress {
    /// Creates the state of a box that knows nothing yet. A leaving endpoint must get no more
    /// requests after `leaving_known_ms`.
    #[must_use]
    pub const fn new(leaving_known_ms: u64) -> Self {
        Self {
            pause_ms: leaving_known_ms / READS_PER_LEAVE_PROPAGATION,
            next: None,
            as_of_ms: 0,
            fresh_answer_ms: None,
            skipped_sources: 0,
            fresh_answers: 0,
        }
    }

    /// Returns the pause between two reads of the log, in milliseconds.
    #[must_use]
    pub const fn pause_ms(&self) -> u64 {
        self.pause_ms
    }

    /// Returns the time after which a leaving endpoint must get no more requests from any box, in milliseconds.
    #[must_use]
    pub const fn leave_propagation_ms(&self) -> u64 {
        self.pause_ms * READS_PER_LEAVE_PROPAGATION
    }

    /// Returns the position to read next; `None` before the first read.
    #[must_use]
    pub const fn next_position(&self) -> Option<Position> {
        self.next
    }

    /// Returns how long ago the log was read for the known state, in milliseconds.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.as_of_ms)
    }

    /// Returns whether the known state is fresh, so that the box need not read the log itself.
    #[must_use]
    pub const fn is_fresh(&self, now_ms: u64) -> bool {
        self.next.is_some() && self.counts_as_fresh(self.as_of_ms, now_ms)
    }

    /// Returns whether the state of the log at `as_of_ms` counts as fresh.
    #[must_use]
    pub const fn counts_as_fresh(&self, as_of_ms: u64, now_ms: u64) -> bool {
        now_ms < as_of_ms + self.pause_ms * FRESH_PAUSES
    }

    /// Applies the progress of another box, and returns whether that is fresh; if not, the next source is polled next
    /// time. A box that is behind may have read the log earlier, and is still a good source while that is fresh; one
    /// that read the log later and is behind is wrong.
    pub fn apply_peer_progress(&mut self, next: Position, as_of_ms: u64, now_ms: u64) -> bool {
        let is_behind = as_of_ms > self.as_of_ms && self.next.is_some_and(|known| next < known);
        let is_fresh = self.counts_as_fresh(as_of_ms, now_ms) && !is_behind;
        if is_fresh {
            self.advance(next, as_of_ms);
            self.fresh_answer_ms = Some(now_ms);
            self.record_fresh_answer();
        } else {
            self.skip_source();
        }
        is_fresh
    }

    /// Returns whether another box has given a fresh answer recently.
    #[must_use]
    pub fn has_fresh_peer(&self, now_ms: u64) -> bool {
        self.fresh_answer_ms.is_some_and(|fresh_answer_ms| now_ms < fresh_answer_ms + self.pause_ms * FRESH_PAUSES)
    }

    /// Applies a read of the log, by this box or another one, that reached `next` at `as_of_ms`. Returns whether it is
    /// not behind the known position; a position in a later era of the log is ahead.
    pub fn advance(&mut self, next: Position, as_of_ms: u64) -> bool {
        let is_not_behind = self.next.is_none_or(|known| next >= known);
        if is_not_behind {
            self.next = Some(next);
            self.as_of_ms = self.as_of_ms.max(as_of_ms);
        }
        is_not_behind
    }

    /// The polled box gave no answer: the next source is polled.
    pub const fn skip_source(&mut self) {
        self.skipped_sources = self.skipped_sources.wrapping_add(1);
        self.fresh_answers = 0;
    }

    /// Returns to the first source after several fresh answers. Otherwise all boxes would keep polling the few boxes
    /// that were reachable in the last failure.
    const fn record_fresh_answer(&mut self) {
        self.fresh_answers += 1;
        if self.skipped_sources > 0 && self.fresh_answers >= ANSWERS_BEFORE_RESET {
            self.skipped_sources = 0;
            self.fresh_answers = 0;
        }
    }

    /// Returns the box to poll among `others`; `None` where the box `own` is a reader, or knows no other box.
    #[must_use]
    pub fn source(&self, own: LocalBox, others: &BoxList, now_ms: u64) -> Option<SocketAddr> {
        source(own, others, self.skipped_sources, now_ms)
    }
}
