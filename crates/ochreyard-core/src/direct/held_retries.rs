//! Retries that stay counted, because an abandoned attempt of their request may still arrive.
//!
//! An attempt that is abandoned at a silent endpoint stays in buffers, also after its connection was closed, and reaches
//! the endpoint when that goes on. Of a request with a retry, the later arrival is the one beyond the first. So such a
//! retry counts from the time at which it was sent until the abandoned attempt has arrived.

use super::endpoint_incarnation::EndpointIncarnation;
use super::retry_count::RetryCount;

/// How long an abandoned attempt may take to arrive, in milliseconds: longer than the endpoints of a data centre are cut
/// off or stopped, and then go on.
const MAX_ARRIVAL_DELAY_MS: u64 = 30_000;

/// A retry that was taken from the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenRetry {
    /// Number of the retry among those of its service.
    pub(super) number: u64,
    /// Whether it counts as sent and not answered; it does not once it is held.
    pub(super) is_in_flight: bool,
    /// Whether it was taken from the reserve.
    pub(super) is_reserve: bool,
}

/// An attempt that was abandoned unanswered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbandonedAttempt {
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointIncarnation,
    /// When it was sent.
    pub sent_ms: u64,
    /// When it was abandoned.
    pub abandoned_ms: u64,
}

/// A retry, and the attempts of its request that may still arrive.
#[derive(Debug, Clone)]
struct HeldRetry {
    number: u64,
    is_reserve: bool,
    abandoned: Vec<AbandonedAttempt>,
}

/// The held retries of one service.
#[derive(Debug, Clone)]
pub struct HeldRetries {
    held: Vec<HeldRetry>,
}

impl HeldRetries {
    /// Creates an empty set.
    pub const fn new() -> Self {
        Self { held: Vec::new() }
    }

    /// Number of held retries.
    pub fn len(&self) -> u64 {
        self.held.len() as u64
    }

    /// Number of held retries that were taken from the reserve.
    pub fn reserve_len(&self) -> u64 {
        self.held.iter().filter(|retry| retry.is_reserve).count() as u64
    }

    /// Holds a retry until `attempt` has arrived, beside any other attempt that it is held for.
    pub fn hold(&mut self, retry: &TakenRetry, attempt: AbandonedAttempt) {
        match self.held.iter_mut().find(|held| held.number == retry.number) {
            Some(held) => held.abandoned.push(attempt),
            None => self.held.push(HeldRetry {
                number: retry.number,
                is_reserve: retry.is_reserve,
                abandoned: vec![attempt],
            }),
        }
    }

    /// An endpoint has answered a request that was sent at `sent_ms`: what was sent to it before has arrived.
    pub fn on_answered(&mut self, endpoint: &EndpointIncarnation, sent_ms: u64) -> RetryCount {
        self.settle(|attempt| attempt.endpoint == *endpoint && attempt.sent_ms <= sent_ms)
    }

    /// The endpoint `id` has restarted: what was sent to an earlier incarnation never arrives any more.
    pub fn on_restarted(&mut self, id: &str, started_ms: u64) -> RetryCount {
        self.settle(|attempt| attempt.endpoint.id == id && attempt.endpoint.started_ms != started_ms)
    }

    /// Settles the retries whose attempts are too old to arrive.
    pub fn expire(&mut self, now_ms: u64) -> RetryCount {
        self.settle(|attempt| now_ms >= attempt.abandoned_ms + MAX_ARRIVAL_DELAY_MS)
    }

    /// Removes the attempts that are settled, and then the retries that have none left.
    fn settle(&mut self, is_settled: impl Fn(&AbandonedAttempt) -> bool) -> RetryCount {
        let before = RetryCount { count: self.len(), from_reserve: self.reserve_len() };
        for retry in &mut self.held {
            retry.abandoned.retain(|attempt| !is_settled(attempt));
        }
        self.held.retain(|retry| !retry.abandoned.is_empty());
        RetryCount { count: before.count - self.len(), from_reserve: before.from_reserve - self.reserve_len() }
    }
}
