//! The planned stop of a process, as a life cycle in types.
//!
//! `Serving` → `Unready` (readiness fails, work is still taken, because the
//! balancer lags) → `Refusing` (new work is refused as not run) → `Drained`.

use std::marker::PhantomData;

/// Takes work, and says so.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
/// Takes work, but tells the balancer to send no more.
#[derive(Debug, Clone, Copy)]
pub struct Unready;
/// Refuses new work and finishes the rest.
#[derive(Debug, Clone, Copy)]
pub struct Refusing;

/// One process on its way to a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct Drain<Stage> {
    grace_ms: u64,
    since_ms: u64,
    stage: PhantomData<Stage>,
}

impl Drain<Serving> {
    /// A process that serves. `grace_ms` is how long it goes on taking work after readiness fails.
    #[must_use]
    pub const fn new(grace_ms: u64) -> Self {
        Self { grace_ms, since_ms: 0, stage: PhantomData }
    }

    /// Starts the planned stop.
    #[must_use]
    pub const fn stop(self, now_ms: u64) -> Drain<Unready> {
        Drain { grace_ms: self.grace_ms, since_ms: now_ms, stage: PhantomData }
    }
}

impl Drain<Unready> {
    /// When new work is refused from.
    #[must_use]
    pub const fn refuses_from_ms(&self) -> u64 {
        self.since_ms.saturating_add(self.grace_ms)
    }

    /// Moves on once the grace period has passed.
    ///
    /// # Errors
    ///
    /// The same value, while the grace period lasts.
    pub const fn refuse(self, now_ms: u64) -> Result<Drain<Refusing>, Self> {
        if now_ms < self.refuses_from_ms() {
            return Err(self);
        }
        Ok(Drain { grace_ms: self.grace_ms, since_ms: now_ms, stage: PhantomData })
    }
}

impl Drain<Refusing> {
    /// Whether the process may exit: nothing is in flight. There is no cut-off time.
    #[must_use]
    pub const fn is_drained(&self, in_flight: u32) -> bool {
        in_flight == 0
    }
}
