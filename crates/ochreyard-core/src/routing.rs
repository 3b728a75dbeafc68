//! Which endpoint gets a request.

use crate::hash;
use crate::membership::Health;

/// One endpoint that may take a request, as the entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// How it looks.
    pub health: Health,
    /// Requests that this entry has under way there.
    pub own_in_flight: u32,
    /// Requests that this entry had under way there when the last report came.
    pub own_at_report: u32,
    /// Requests that run there by its last report.
    pub reported_running: u32,
    /// Requests that wait there by its last report.
    pub reported_waiting: u32,
    /// Age of that report, in milliseconds.
    pub report_age_ms: u64,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Mean time of a run there, in milliseconds.
    pub mean_run_ms: u64,
    /// Share of the prompt that is cached there, in thousandths.
    pub cached_permille: u32,
    /// Work of the prompt if nothing is cached, in milliseconds.
    pub prefill_ms: u64,
}

impl Default for Candidate {
    fn default() -> Self {
        Self {
            health: Health::Alive,
            own_in_flight: 0,
            own_at_report: 0,
            reported_running: 0,
            reported_waiting: 0,
            report_age_ms: 0,
            slots: 1,
            mean_run_ms: 1,
            cached_permille: 0,
            prefill_ms: 0,
        }
    }
}

impl Candidate {
    /// Predicted time until the first part of the answer, in microseconds.
    ///
    /// What the other entries have there is known from the lagging report; what
    /// this entry has there is known exactly.
    #[must_use]
    pub fn predicted_wait_us(&self) -> u64 {
        let reported = u64::from(self.reported_running) + u64::from(self.reported_waiting);
        let of_others = reported.saturating_sub(u64::from(self.own_at_report));
        let load = of_others + u64::from(self.own_in_flight);
        let slots = u64::from(self.slots.max(1));
        let run_us = self.mean_run_ms.max(1) * 1000;
        let queue_us = (load + 1).saturating_sub(slots) * run_us / slots;
        let share_us = run_us * load / slots / 8;
        let uncached = u64::from(1000 - self.cached_permille.min(1000));
        queue_us + share_us + self.prefill_ms * uncached
    }
}

/// How an endpoint is picked. All but [`Policy::Predicted`] are there to be compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The best predicted wait of some seeded samples and of all that hold part of the prompt.
    #[default]
    Predicted,
    /// One after the other.
    RoundRobin,
    /// The least load by the last reports.
    LeastReported,
}

/// Picks an endpoint by `policy`. Suspect candidates count only where none is
/// alive. `turn` counts requests, `seed` decides samples.
#[must_use]
pub fn choose_by(policy: Policy, candidates: &[Candidate], seed: u64, turn: u64) -> Option<usize> {
    match policy {
        Policy::Predicted => choose(candidates, seed),
        Policy::RoundRobin => {
            let usable = usable(candidates)?;
            usable.get(usize::try_from(turn % usable.len() as u64).unwrap_or(0)).copied()
        }
        Policy::LeastReported => {
            let reported = |at: &usize| candidates[*at].reported_running + candidates[*at].reported_waiting;
            usable(candidates)?.into_iter().min_by_key(|at| (reported(at), hash::mix(seed ^ *at as u64)))
        }
    }
}

/// The candidates of the best health that any has.
fn usable(candidates: &[Candidate]) -> Option<Vec<usize>> {
    let best_health = candidates.iter().map(|c| c.health).min()?;
    Some((0..candidates.len()).filter(|at| candidates[*at].health == best_health).collect())
}

/// How many candidates are compared. All would send every entry to the same one
/// between two reports.
const SAMPLES: u64 = 4;

/// Picks the best of some seeded samples and of all that hold part of the prompt.
///
/// Suspect candidates count only where none is alive.
#[must_use]
pub fn choose(candidates: &[Candidate], seed: u64) -> Option<usize> {
    let usable = usable(candidates)?;
    let sample = |salt: u64| {
        let at = hash::mix(seed ^ salt) % usable.len() as u64;
        usable[usize::try_from(at).unwrap_or(0)]
    };
    let holders = usable.iter().copied().filter(|i| candidates[*i].cached_permille > 0);
    let samples = (1..=SAMPLES).map(sample);
    samples.chain(holders).min_by_key(|i| candidates[*i].predicted_wait_us())
}
