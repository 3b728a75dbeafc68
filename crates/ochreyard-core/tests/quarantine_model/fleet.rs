//! A model of a fleet of endpoints in groups, without network: requests run, endpoints crash, groups stall.

use ochreyard_core::direct::{Fingerprint, LostRequest, QuarantineDecision};
use ochreyard_core::hash;

use super::rule::Rule;

/// Duration of one step and of the whole simulation, in milliseconds.
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;
/// Range of a healthy request's run, in milliseconds.
const RUN_MS: (u64, u64) = (1_000, 3_000);
/// Range of the time from the start of a crashing request to the crash, in milliseconds: as observed, and late in the
/// run.
const CRASH_MS: (u64, u64) = (40, 110);
const LATE_CRASH_MS: (u64, u64) = (900, 1_500);
/// How long a crashed endpoint is down, including the time for its group to form, in milliseconds.
const RESTART_MS: u64 = 3_500;
/// Time from a crash until the other ranks of the group abort their requests, in milliseconds.
const ABORT_MS: u64 = 1_500;
/// Interval between two arrivals of each crashing request, in milliseconds.
const CRASHING_INTERVAL_MS: u64 = 2_500;
/// How long a caller or a retry waits for a slot, in milliseconds.
const MAX_WAIT_MS: u64 = 4_000;
/// Time until a caller whose request failed retries it, in milliseconds.
const CALLER_RETRY_MS: u64 = 800;
const SLOTS: usize = 10;

/// The faults of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Number of requests that crash endpoints.
    pub crashing: u32,
    /// Whether these requests crash endpoints late in their run.
    pub is_late: bool,
    /// Interval at which an endpoint is killed, in milliseconds.
    pub kill_interval_ms: Option<u64>,
    /// Whether a third of all endpoints go down together, three times.
    pub data_centre_fails: bool,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    /// Largest number of endpoints that one crashing request ended.
    pub max_ended: u32,
    /// Mean number of endpoints that a crashing request ended.
    pub mean_ended: f64,
    /// Number of healthy requests.
    pub healthy: u32,
    /// Number of healthy requests that were refused as suspects.
    pub wrongly_refused: u32,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    number: u32,
    is_crashing: bool,
    /// Number of endpoints to which this attempt of the caller was sent.
    sent: u32,
    /// Whether the caller has already retried once.
    has_caller_retried: bool,
    wait_until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    attempt: Attempt,
    started_ms: u64,
    ends_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    up_ms: u64,
    abort_ms: Option<u64>,
    runs: Vec<Run>,
}

struct Fleet<'a, R: Rule> {
    rule: &'a mut R,
    ranks: usize,
    endpoints: Vec<Endpoint>,
    /// The times at which all ranks of each group are up.
    group_up_ms: Vec<u64>,
    waiting: Vec<(u64, Attempt)>,
    crash_ms: (u64, u64),
    ended: Vec<u32>,
    refused: std::collections::HashSet<u32>,
    random_state: u64,
}

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

impl<R: Rule> Fleet<'_, R> {
    fn random_in(&mut self, (least, most): (u64, u64)) -> u64 {
        self.random_state += 1;
        least + hash::mix(self.random_state) % (most - least + 1)
    }

    fn is_group_up(&self, endpoint: usize, now_ms: u64) -> bool {
        self.group_up_ms[endpoint / self.ranks] <= now_ms
    }

    /// Crashes an endpoint. Its requests fail, and the rest of its group stalls.
    fn crash(&mut self, endpoint: usize, now_ms: u64) {
        let runs = std::mem::take(&mut self.endpoints[endpoint].runs);
        for run in &runs {
            let lost = LostRequest {
                fingerprint: request(run.attempt.number),
                ran_ms: Some(now_ms - run.started_ms),
                parts: Vec::new(),
            };
            self.rule.on_crash(endpoint, lost, now_ms);
        }
        self.endpoints[endpoint].up_ms = now_ms + RESTART_MS;
        self.group_up_ms[endpoint / self.ranks] = now_ms + RESTART_MS;
        let first = endpoint - endpoint % self.ranks;
        for rank in &mut self.endpoints[first..first + self.ranks] {
            rank.abort_ms.get_or_insert(now_ms + ABORT_MS);
        }
        runs.into_iter().for_each(|run| self.on_failure(run.attempt, now_ms));
    }

    /// Handles a failed attempt: it is retried once by the entry, then once by its caller.
    fn on_failure(&mut self, attempt: Attempt, now_ms: u64) {
        let wait_until_ms = now_ms + MAX_WAIT_MS;
        if attempt.sent < 2 {
            self.waiting.push((now_ms + STEP_MS, Attempt { wait_until_ms, ..attempt }));
        } else if !attempt.has_caller_retried {
            let caller_retry = Attempt {
                sent: 0,
                has_caller_retried: true,
                wait_until_ms: wait_until_ms + CALLER_RETRY_MS,
                ..attempt
            };
            self.waiting.push((now_ms + CALLER_RETRY_MS, caller_retry));
        }
    }

    /// Finds an endpoint for an attempt and sends it there.
    fn dispatch(&mut self, attempt: Attempt, now_ms: u64) {
        let decision = self.rule.decision(request(attempt.number), now_ms);
        match decision {
            QuarantineDecision::Allow => {}
            QuarantineDecision::AllowAsTrial if attempt.sent == 0 => {}
            // The entry does not retry a suspect; the caller may.
            QuarantineDecision::AllowAsTrial => return self.on_failure(Attempt { sent: 2, ..attempt }, now_ms),
            QuarantineDecision::WaitForTrial { .. } | QuarantineDecision::Refuse { .. } => {
                if !attempt.is_crashing {
                    self.refused.insert(attempt.number);
                }
                return;
            }
        }
        let available: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| self.is_group_up(*at, now_ms) && self.endpoints[*at].runs.len() < SLOTS)
            .collect();
        if available.is_empty() {
            if now_ms < attempt.wait_until_ms {
                self.waiting.push((now_ms + 100, attempt));
            }
            return;
        }
        if decision == QuarantineDecision::AllowAsTrial {
            self.rule.begin_trial(request(attempt.number), now_ms);
        }
        let at = available[self.random_in((0, available.len() as u64 - 1)) as usize];
        let duration_ms = self.random_in(if attempt.is_crashing { self.crash_ms } else { RUN_MS });
        let attempt = Attempt { sent: attempt.sent + 1, ..attempt };
        self.endpoints[at].runs.push(Run { attempt, started_ms: now_ms, ends_ms: now_ms + duration_ms });
    }

    /// Finishes runs: healthy requests succeed, the others crash their endpoint.
    fn finish_runs(&mut self, endpoint: usize, now_ms: u64) {
        if self.endpoints[endpoint].abort_ms.is_some_and(|abort_ms| abort_ms <= now_ms) {
            self.endpoints[endpoint].abort_ms = None;
            let runs = std::mem::take(&mut self.endpoints[endpoint].runs);
            for run in runs {
                self.rule.cancel_trial(request(run.attempt.number));
                self.on_failure(run.attempt, now_ms);
            }
        }
        if !self.is_group_up(endpoint, now_ms) {
            return;
        }
        let (finished, running): (Vec<Run>, Vec<Run>) =
            self.endpoints[endpoint].runs.iter().partition(|run| run.ends_ms <= now_ms);
        if let Some(cause) = finished.iter().find(|run| run.attempt.is_crashing) {
            self.ended[cause.attempt.number as usize] += 1;
            return self.crash(endpoint, now_ms);
        }
        self.endpoints[endpoint].runs = running;
        finished.iter().for_each(|run| self.rule.on_success(request(run.attempt.number), now_ms));
    }
}

/// Simulates a fleet of `groups` groups of `ranks` endpoints.
pub fn simulate<R: Rule>(rule: &mut R, groups: usize, ranks: usize, faults: Faults, seed: u64) -> Summary {
    let endpoints = groups * ranks;
    let mut fleet = Fleet {
        rule,
        ranks,
        endpoints: vec![Endpoint::default(); endpoints],
        group_up_ms: vec![0; groups],
        waiting: Vec::new(),
        crash_ms: if faults.is_late { LATE_CRASH_MS } else { CRASH_MS },
        ended: vec![0; faults.crashing as usize],
        refused: std::collections::HashSet::new(),
        random_state: seed << 32,
    };
    let mut number = faults.crashing;
    for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let new_attempt = |number, is_crashing| Attempt {
            number,
            is_crashing,
            sent: 0,
            has_caller_retried: false,
            wait_until_ms: now_ms + MAX_WAIT_MS,
        };
        // Healthy requests fill six tenths of all slots.
        let share = SLOTS as u64 * 6 * STEP_MS * endpoints as u64;
        let arrivals = share / 20_000 + u64::from(fleet.random_in((0, 19_999)) < share % 20_000);
        for _ in 0..arrivals {
            fleet.dispatch(new_attempt(number, false), now_ms);
            number += 1;
        }
        for crashing in 0..faults.crashing {
            if (now_ms + u64::from(crashing) * 130) % CRASHING_INTERVAL_MS == 0 {
                fleet.dispatch(new_attempt(crashing, true), now_ms);
            }
        }
        let due: Vec<Attempt> =
            fleet.waiting.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).map(|(_, one)| one).collect();
        due.into_iter().for_each(|attempt| fleet.dispatch(attempt, now_ms));
        (0..endpoints).for_each(|at| fleet.finish_runs(at, now_ms));
        if faults.kill_interval_ms.is_some_and(|every_ms| now_ms % every_ms == 0) {
            let at = fleet.random_in((0, endpoints as u64 - 1)) as usize;
            if fleet.endpoints[at].up_ms <= now_ms {
                fleet.crash(at, now_ms);
            }
        }
        if faults.data_centre_fails && now_ms % 15_000 == 5_000 {
            (0..endpoints).filter(|at| at % 3 == 0).for_each(|at| fleet.crash(at, now_ms));
        }
    }
    let ended = &fleet.ended;
    Summary {
        max_ended: ended.iter().copied().max().unwrap_or(0),
        mean_ended: f64::from(ended.iter().sum::<u32>()) / ended.len().max(1) as f64,
        healthy: number - faults.crashing,
        wrongly_refused: fleet.refused.len() as u32,
    }
}
