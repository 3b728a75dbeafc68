//! How far, and how recently, the platform's log was read, here or by another box.
//!
//! A box that is told relies on one other box, and on the next one of an order where that one has nothing fresh to tell. It
//! reads for itself only where nobody has told it enough for too long.

use std::net::SocketAddr;

use super::box_list::BoxList;
use super::position::Position;
use super::read_role::{LocalBox, source};

/// Knowledge may be as old as this many pauses between readings before a box reads
/// for itself: one pause of the reader, one between two questions, and one to spare.
const FRESH_PAUSES: u64 = 3;
/// Readings within the time in which an endpoint that leaves must get no more work:
/// what is [`FRESH_PAUSES`] old, and one reading more, come well before its end.
const READINGS_IN_TIME: u64 = 5;
/// Fresh answers of another box after which the first one of the order is asked again.
const ANSWERS_BEFORE_RETURN: u32 = 5;

/// How far and how recently the records of endpoints were read, here or by another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogProgress {
    pause_ms: u64,
    next: Option<Position>,
    as_of_ms: u64,
    /// When another box last told something fresh.
    told_ms: Option<u64>,
    passed_over: usize,
    /// Fresh answers in a row since a box was passed over.
    fresh_answers: u32,
}

impl LogProgress {
    /// Nothing is known yet. An endpoint that leaves must get no more work after
    /// `leaving_known_ms`.
    #[must_use]
    pub const fn new(leaving_known_ms: u64) -> Self {
        Self {
            pause_ms: leaving_known_ms / READINGS_IN_TIME,
            next: None,
            as_of_ms: 0,
            told_ms: None,
            passed_over: 0,
            fresh_answers: 0,
        }
    }

    /// Pause between two readings of the log, in milliseconds.
    #[must_use]
    pub const fn pause_ms(&self) -> u64 {
        self.pause_ms
    }

    /// The time in which an endpoint that leaves must get no more work, in milliseconds.
    #[must_use]
    pub const fn leave_propagation_ms(&self) -> u64 {
        self.pause_ms * READINGS_IN_TIME
    }

    /// Where to read on; `None` before the first reading.
    #[must_use]
    pub const fn next_position(&self) -> Option<Position> {
        self.next
    }

    /// How long ago the log was asked for what is known.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.as_of_ms)
    }

    /// Whether a box may rely on what it knows, and need not read the log itself.
    #[must_use]
    pub const fn is_fresh(&self, now_ms: u64) -> bool {
        self.next.is_some() && self.counts_as_fresh(self.as_of_ms, now_ms)
    }

    /// Whether what the log held at `as_of_ms` counts as fresh.
    #[must_use]
    pub const fn counts_as_fresh(&self, as_of_ms: u64, now_ms: u64) -> bool {
        now_ms < as_of_ms + self.pause_ms * FRESH_PAUSES
    }

    /// Takes over how far another box has come, by what it told. Says whether that is fresh; else another one is asked next
    /// time. One that tells less may have asked the log earlier, and is as good to rely on while that is fresh; one that
    /// asked later and tells less is wrong.
    pub fn apply_peer_progress(&mut self, next: Position, as_of_ms: u64, now_ms: u64) -> bool {
        let is_behind = as_of_ms > self.as_of_ms && self.next.is_some_and(|known| next < known);
        let is_fresh = self.counts_as_fresh(as_of_ms, now_ms) && !is_behind;
        if is_fresh {
            self.advance(next, as_of_ms);
            self.told_ms = Some(now_ms);
            self.note_fresh_answer();
        } else {
            self.skip_source();
        }
        is_fresh
    }

    /// Whether another box has told something fresh of late.
    #[must_use]
    pub fn has_fresh_peer(&self, now_ms: u64) -> bool {
        self.told_ms.is_some_and(|told_ms| now_ms < told_ms + self.pause_ms * FRESH_PAUSES)
    }

    /// Takes over how far a reading, here or in another box, has come by `as_of_ms`.
    /// Says whether it tells no less than was known: what was read in a later era of the log tells more.
    pub fn advance(&mut self, next: Position, as_of_ms: u64) -> bool {
        let is_no_less = self.next.is_none_or(|known| next >= known);
        if is_no_less {
            self.next = Some(next);
            self.as_of_ms = self.as_of_ms.max(as_of_ms);
        }
        is_no_less
    }

    /// The box that was asked gave no answer: the next one is asked.
    pub const fn skip_source(&mut self) {
        self.passed_over = self.passed_over.wrapping_add(1);
        self.fresh_answers = 0;
    }

    /// After a while, the box that was meant to be asked gets another chance: else all boxes would go on relying on those
    /// few that were left in the last trouble.
    const fn note_fresh_answer(&mut self) {
        self.fresh_answers += 1;
        if self.passed_over > 0 && self.fresh_answers >= ANSWERS_BEFORE_RETURN {
            self.passed_over = 0;
            self.fresh_answers = 0;
        }
    }

    /// The box to ask, of all `others`; `None` where the box `own` reads the log for the others.
    #[must_use]
    pub fn source(&self, own: LocalBox, others: &BoxList, now_ms: u64) -> Option<SocketAddr> {
        source(own, others, self.passed_over, now_ms)
    }
}
