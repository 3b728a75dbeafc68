//! Graceful shutdown of a process, as a typestate.
//!
//! `Serving` → `Unready` (the readiness check fails, but work is still accepted, because the upstream balancer
//! reacts late) → `Refusing` (new work is refused as not run) → drained.

use std::marker::PhantomData;

/// State: accepts work and reports ready.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
/// State: accepts work, but fails the readiness check so that the upstream balancer stops sending it.
#[derive(Debug, Clone, Copy)]
pub struct Unready;
/// State: refuses new work and finishes the work in flight.
#[derive(Debug, Clone, Copy)]
pub struct Refusing;

/// The graceful shutdown of one process.
#[derive(Debug, Clone, Copy)]
pub struct Drain<Stage> {
    grace_ms: u64,
    since_ms: u64,
    stage: PhantomData<Stage>,
}

impl Drain<Serving> {
    /// Creates the state of a serving process. `grace_ms` is how long it accepts work after readiness fails.
    #[must_use]
    pub const fn new(grace_ms: u64) -> Self {
        Self { grace_ms, since_ms: 0, stage: PhantomData }
    }

    /// Starts the graceful shutdown.
    #[must_use]
    pub const fn stop(self, now_ms: u64) -> Drain<Unready> {
        Drain { grace_ms: self.grace_ms, since_ms: now_ms, stage: PhantomData }
    }
}

impl Drain<Unready> {
    /// Time from which new work is refused, in milliseconds.
    #[must_use]
    pub const fn refuses_from_ms(&self) -> u64 {
        self.since_ms.saturating_add(self.grace_ms)
    }

    /// Starts to refuse new work once the grace period has passed.
    ///
    /// # Errors
    ///
    /// Returns `self` unchanged during the grace period.
    pub const fn refuse(self, now_ms: u64) -> Result<Drain<Refusing>, Self> {
        if now_ms < self.refuses_from_ms() {
            return Err(self);
        }
        Ok(Drain { grace_ms: self.grace_ms, since_ms: now_ms, stage: PhantomData })
    }
}

impl Drain<Refusing> {
    /// Returns whether the process may exit, which is when no request is in flight. There is no timeout.
    #[must_use]
    pub const fn is_drained(&self, in_flight: u32) -> bool {
        in_flight == 0
    }
}
