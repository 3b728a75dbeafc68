//! Whether this box reads the platform's log itself, or is told by others what it holds.

use std::net::SocketAddr;
use std::time::Duration;

use ochreyard_core::direct::{LogRetryBackoff, ReadRole};

use crate::dialect::Dialect;
use crate::entry::Entry;

/// How long a box that has just started leaves the log to others, in milliseconds, and by how much more it may be drawn:
/// boxes that start together know nothing of each other, and all would read the same.
const LEFT_TO_OTHERS_MS: u64 = 1_000;
const LEFT_SPREAD_MS: u64 = 1_000;
/// How often it looks meanwhile whether it has been told.
const START_LOOK: Duration = Duration::from_millis(20);
/// How often a box that is told looks whether that still holds.
const TOLD_LOOK: Duration = Duration::from_millis(250);

impl<D: Dialect> Entry<D> {
    /// What it does to know what the log holds.
    pub fn duty(&self) -> ReadRole {
        ReadRole::of(self.identity.own(), &self.state.borrow().boxes, self.clock.now_ms())
    }

    /// Whether others have told it all, and something fresh of late.
    pub fn is_well_told(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        state.table.is_some() && state.reading.has_fresh_peer(now_ms)
    }

    /// Whether what it knows of endpoints is fresh, by whomever it was read.
    pub fn knows_endpoints(&self) -> bool {
        self.state.borrow().reading.is_fresh(self.clock.now_ms())
    }

    /// The boxes that the platform names. One that is named itself, or alone, reads the log at once.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        let own = self.identity.record.addr;
        self.is_seed.set(seeds.contains(&own) || seeds.is_empty());
    }

    /// Another box answered, and says who left its questions unanswered.
    pub fn note_silences(&self, from: SocketAddr, silent: &[String]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.boxes.on_heard(from, now_ms);
        for name in silent.iter().filter(|name| **name != self.identity.name) {
            state.boxes.apply_reported_silence(name, now_ms);
        }
    }

    /// Waits until it is its turn to read the log after its start, or until it has been told.
    pub async fn wait_for_start(&self) {
        let until_ms = self.started_ms + LEFT_TO_OTHERS_MS + self.identity.incarnation % LEFT_SPREAD_MS;
        while !self.is_seed.get() && !self.is_well_told() && self.clock.now_ms() < until_ms {
            tokio::time::sleep(START_LOOK).await;
        }
    }

    /// Waits for as long as others tell it enough. Where they do not, one call of its own, to read the records of endpoints,
    /// finds out whether the log answers; all others wait for that.
    pub async fn wait_while_told(&self) {
        while self.duty() == ReadRole::Follower && (self.is_well_told() || !self.state.borrow().log_answers) {
            tokio::time::sleep(TOLD_LOOK).await;
        }
    }

    /// How long to wait after one more call that failed.
    pub fn pause_after_failure(&self, pauses: &mut LogRetryBackoff) -> Duration {
        let in_time_ms = self.state.borrow().reading.leave_propagation_ms();
        Duration::from_millis(pauses.next_delay_ms(self.duty(), in_time_ms, self.next_random()))
    }
}
