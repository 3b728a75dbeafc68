//! Which boxes a stopping leader asks to succeed it, and for how long.

use std::net::SocketAddr;

/// Number of boxes that may leave a handover unanswered: each costs the group [`HandoverAttempts::ANSWER_TIMEOUT_MS`].
const MAX_SILENT: usize = 3;
/// Number of boxes that are asked at most. A box that refuses costs a round trip, and where several groups of a
/// service have leaders, or several boxes are stopped one after the other, the first candidates all refuse.
const MAX_ASKED: usize = 8;
/// Time after which no further box is asked, in milliseconds: by then the ordinary order of candidates is as fast.
const MAX_DURATION_MS: u64 = 400;

/// The attempts of one leader to hand over one group.
#[derive(Debug, Clone)]
pub struct HandoverAttempts {
    candidates: Vec<SocketAddr>,
    asked: usize,
    silent: usize,
    end_ms: u64,
}

impl HandoverAttempts {
    /// How long a box may take to answer, in milliseconds: a few round trips between data centres.
    pub const ANSWER_TIMEOUT_MS: u64 = 100;

    /// Creates the attempts; `candidates` are the other boxes in the order of candidates.
    #[must_use]
    pub const fn new(candidates: Vec<SocketAddr>, now_ms: u64) -> Self {
        Self { candidates, asked: 0, silent: 0, end_ms: now_ms + MAX_DURATION_MS }
    }

    /// Returns the box to ask next; `None` if the ordinary order of candidates is left to apply.
    pub fn next_candidate(&mut self, now_ms: u64) -> Option<SocketAddr> {
        let is_over = self.asked >= MAX_ASKED || self.silent >= MAX_SILENT || now_ms >= self.end_ms;
        let candidate = self.candidates.get(self.asked).filter(|_| !is_over)?;
        self.asked += 1;
        Some(*candidate)
    }

    /// Records that the box asked last was not reached or did not answer in time.
    pub const fn on_silent(&mut self) {
        self.silent += 1;
    }
}
