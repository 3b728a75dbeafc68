//! Selection of the endpoint for a request.

use crate::hash;
use crate::membership::Health;

/// An endpoint that may run a request, as seen by the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The health of its agent.
    pub health: Health,
    /// Requests that this entry has in flight there.
    pub own_in_flight: u32,
    /// Requests that this entry had in flight there when the last report arrived.
    pub own_in_flight_at_report: u32,
    /// Running requests in the last report.
    pub reported_running: u32,
    /// Queued requests in the last report.
    pub reported_waiting: u32,
    /// Age of that report, in milliseconds.
    pub report_age_ms: u64,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Mean run time of a request there, in milliseconds.
    pub mean_run_ms: u64,
    /// Share of the prompt that is cached there, in thousandths.
    pub cached_permille: u32,
    /// Prefill time of the prompt if nothing is cached, in milliseconds.
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
    /// The number of requests of other entries when the last report arrived.
    fn others_at_report(&self) -> u64 {
        let reported = u64::from(self.reported_running) + u64::from(self.reported_waiting);
        reported.saturating_sub(u64::from(self.own_in_flight_at_report))
    }

    /// The estimated number of requests of other entries now, in thousandths of a request.
    ///
    /// Requests are replaced within the time of a run. So the older the report, the less it counts in the estimate,
    /// and the more the mean load of all endpoints counts.
    fn others_now_permille(&self, mean_permille: u64) -> u64 {
        let run_ms = self.mean_run_ms.max(1);
        let reported = self.others_at_report() * 1000 * run_ms;
        let expected = mean_permille * self.report_age_ms;
        (reported + expected) / (run_ms + self.report_age_ms)
    }

    /// Predicted time until the first part of the answer, in microseconds.
    ///
    /// `mean_others_permille` is the mean number of requests of other entries at an endpoint, in thousandths of a
    /// request. The number of this entry's own requests is exact.
    #[must_use]
    pub fn predicted_wait_us(&self, mean_others_permille: u64) -> u64 {
        let load_permille = self.others_now_permille(mean_others_permille) + u64::from(self.own_in_flight) * 1000;
        let slots = u64::from(self.slots.max(1));
        let run_ms = self.mean_run_ms.max(1);
        let queue_us = (load_permille + 1000).saturating_sub(slots * 1000) * run_ms / slots;
        let share_us = run_ms * load_permille / slots / 8;
        let uncached_permille = u64::from(1000 - self.cached_permille.min(1000));
        queue_us + share_us + self.prefill_ms * uncached_permille
    }
}

/// How an endpoint is selected. All policies but [`Policy::Predicted`] exist only for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The shortest predicted wait among a seeded sample and all endpoints that have part of the prompt cached.
    #[default]
    Predicted,
    /// Each endpoint in turn.
    RoundRobin,
    /// The lowest load in the last reports.
    LeastReported,
}

/// Selects an endpoint by `policy`. Suspect candidates are considered only if none is alive. `turn` is the number
/// of the request, for [`Policy::RoundRobin`]; `seed` determines the sample and breaks ties.
#[must_use]
pub fn choose_by(policy: Policy, candidates: &[Candidate], seed: u64, turn: u64) -> Option<usize> {
    match policy {
        Policy::Predicted => choose(candidates, seed),
        Policy::RoundRobin => {
            let usable = usable(candidates)?;
            usable.get(usize::try_from(turn % usable.len() as u64).unwrap_or(0)).copied()
        }
        Policy::LeastReported => {
            let reported_load =
                |index: &usize| candidates[*index].reported_running + candidates[*index].reported_waiting;
            usable(candidates)?.into_iter().min_by_key(|index| (reported_load(index), hash::mix(seed ^ *index as u64)))
        }
    }
}

/// Indexes of the candidates that have the best health of all.
fn usable(candidates: &[Candidate]) -> Option<Vec<usize>> {
    let best_health = candidates.iter().map(|c| c.health).min()?;
    Some((0..candidates.len()).filter(|index| candidates[*index].health == best_health).collect())
}

/// Maximum number of sampled candidates: few enough to be cheap among thousands. With 16 groups, comparing 2 or 4
/// samples gave worse results than comparing all.
const MAX_SAMPLES: usize = 64;

/// Selects the endpoint with the shortest predicted wait, among a seeded sample and all endpoints that have part of
/// the prompt cached.
///
/// Suspect candidates are considered only if none is alive.
#[must_use]
pub fn choose(candidates: &[Candidate], seed: u64) -> Option<usize> {
    let usable = usable(candidates)?;
    let mean_others =
        usable.iter().map(|index| candidates[*index].others_at_report() * 1000).sum::<u64>() / usable.len() as u64;
    let wait_us = |index: &usize| candidates[*index].predicted_wait_us(mean_others);
    let tie_breaker = |index: usize| hash::mix(seed ^ index as u64);
    if usable.len() <= MAX_SAMPLES {
        return usable.into_iter().min_by_key(|index| (wait_us(index), tie_breaker(*index)));
    }
    let sample = |salt: usize| {
        let position = hash::mix(seed ^ salt as u64) % usable.len() as u64;
        usable[usize::try_from(position).unwrap_or(0)]
    };
    let caching = usable.iter().copied().filter(|index| candidates[*index].cached_permille > 0);
    (1..=MAX_SAMPLES).map(sample).chain(caching).min_by_key(|index| (wait_us(index), tie_breaker(*index)))
}
