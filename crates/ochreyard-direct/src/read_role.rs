//! Whether this box reads the platform's log itself, or gets its contents from other boxes.

use std::net::SocketAddr;
use std::time::Duration;

use ochreyard_core::direct::{LogRetryBackoff, ReadRole};

use crate::dialect::Dialect;
use crate::entry::Entry;

/// How long a box that has just started leaves the log to others, in milliseconds.
const START_DELAY_MS: u64 = 1_000;
/// Range of the random extra delay on top, in milliseconds. Boxes that start together know nothing of each other, and
/// would all read the same records.
const START_JITTER_MS: u64 = 1_000;
/// How often it checks in the meantime whether another box has sent it the state.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a box that others keep current checks whether that still holds.
const UPDATED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl<D: Dialect> Entry<D> {
    /// How this box learns what the log holds.
    pub fn read_role(&self) -> ReadRole {
        ReadRole::of(self.identity.local_box(), &self.state.borrow().boxes, self.clock.now_ms())
    }

    /// Returns whether other boxes have sent this one the full state, and a recent update.
    pub fn is_updated_by_peers(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        state.table.is_some() && state.log_progress.has_fresh_peer(now_ms)
    }

    /// Returns whether the endpoint records are fresh, whichever box read them.
    pub fn has_fresh_endpoints(&self) -> bool {
        self.state.borrow().log_progress.is_fresh(self.clock.now_ms())
    }

    /// Sets the seed boxes. A box that is one itself, or has none, reads the log at once.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        let own_addr = self.identity.record.addr;
        self.is_seed.set(seeds.contains(&own_addr) || seeds.is_empty());
        self.has_no_seeds.set(seeds.iter().all(|seed| *seed == own_addr));
    }

    /// Records that another box answered, and which boxes did not answer it.
    pub fn record_silent_boxes(&self, from: SocketAddr, silent: &[String]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.boxes.on_heard(from, now_ms);
        for name in silent.iter().filter(|name| **name != self.identity.name) {
            state.boxes.apply_reported_silence(name, now_ms);
        }
    }

    /// Waits until this box may read the log after its start, or until another box has sent it the state.
    pub async fn wait_for_start_delay(&self) {
        let until_ms = self.started_ms + START_DELAY_MS + self.identity.incarnation % START_JITTER_MS;
        while !self.is_seed.get() && !self.is_updated_by_peers() && self.clock.now_ms() < until_ms {
            tokio::time::sleep(START_CHECK_INTERVAL).await;
        }
    }

    /// Waits for as long as others keep this box current. If they do not, one call of its own, the read of endpoint
    /// records, finds out whether the log answers; all other reads wait for that.
    pub async fn wait_while_updated_by_peers(&self) {
        while self.read_role() == ReadRole::Follower && (self.is_updated_by_peers() || !self.state.borrow().log_answers)
        {
            tokio::time::sleep(UPDATED_CHECK_INTERVAL).await;
        }
    }

    /// Returns the delay before the next call to the log after a failed one.
    pub fn retry_delay(&self, retry_backoff: &mut LogRetryBackoff) -> Duration {
        let leave_propagation_ms = self.state.borrow().log_progress.leave_propagation_ms();
        Duration::from_millis(retry_backoff.next_delay_ms(self.read_role(), leave_propagation_ms, self.next_random()))
    }
}
