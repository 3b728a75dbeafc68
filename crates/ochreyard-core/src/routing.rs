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
    pub own_in_flight_at_report: u32,
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
            own_in_flight_at_report: 0,
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
    /// What the other entries had here when the last report came.
    fn of_others(&self) -> u64 {
        let reported = u64::from(self.reported_running) + u64::from(self.reported_waiting);
        reported.saturating_sub(u64::from(self.own_in_flight_at_report))
    }

    /// What the other entries probably have here now, in thousandths of a request.
    ///
    /// Requests turn over in the time of a run, so an older report says less, and
    /// the usual load of all endpoints says more.
    fn of_others_now_permille(&self, mean_permille: u64) -> u64 {
        let run_ms = self.mean_run_ms.max(1);
        let known = self.of_others() * 1000 * run_ms;
        let usual = mean_permille * self.report_age_ms;
        (known + usual) / (run_ms + self.report_age_ms)
    }

    /// Predicted time until the first part of the answer, in microseconds.
    ///
    /// `mean_others_permille` is what the other entries have at an endpoint on
    /// average, in thousandths of a request. What this entry has there is exact.
    #[must_use]
    pub fn predicted_wait_us(&self, mean_others_permille: u64) -> u64 {
        let load_permille = self.of_others_now_permille(mean_others_permille) + u64::from(self.own_in_flight) * 1000;
        let slots = u64::from(self.slots.max(1));
        let run_ms = self.mean_run_ms.max(1);
        let queue_us = (load_permille + 1000).saturating_sub(slots * 1000) * run_ms / slots;
        let share_us = run_ms * load_permille / slots / 8;
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

/// How many candidates are compared at the most: few enough to be cheap among
/// thousands. With 16 groups, 2 and 4 samples were measured worse than all.
const SAMPLES: usize = 64;

/// Picks the best of some seeded samples and of all that hold part of the prompt.
///
/// Suspect candidates count only where none is alive.
#[must_use]
pub fn choose(candidates: &[Candidate], seed: u64) -> Option<usize> {
    let usable = usable(candidates)?;
    let mean_others = usable.iter().map(|at| candidates[*at].of_others() * 1000).sum::<u64>() / usable.len() as u64;
    let wait_us = |at: &usize| candidates[*at].predicted_wait_us(mean_others);
    let tie = |at: usize| hash::mix(seed ^ at as u64);
    if usable.len() <= SAMPLES {
        return usable.into_iter().min_by_key(|at| (wait_us(at), tie(*at)));
    }
    let sample = |salt: usize| {
        let at = hash::mix(seed ^ salt as u64) % usable.len() as u64;
        usable[usize::try_from(at).unwrap_or(0)]
    };
    let holders = usable.iter().copied().filter(|at| candidates[*at].cached_permille > 0);
    (1..=SAMPLES).map(sample).chain(holders).min_by_key(|at| (wait_us(at), tie(*at)))
}
