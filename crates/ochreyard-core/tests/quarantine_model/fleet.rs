//! A fleet of endpoints in groups, without network: requests run, endpoints crash, groups stand.

use ochreyard_core::direct::{Fingerprint, LostRequest, QuarantineDecision};
use ochreyard_core::hash;

use super::judge::Judge;

/// Length of one step of the model, and of the whole, in milliseconds.
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
/// How long a healthy request runs, in milliseconds.
const RUN_MS: (u64, u64) = (1_000, 3_000);
/// How long after the start of its run a crashing request ends its endpoint, in milliseconds: as was seen, and late.
const CRASH_MS: (u64, u64) = (40, 110);
const LATE_CRASH_MS: (u64, u64) = (900, 1_500);
/// How long a crashed endpoint is away, its group forming included, in milliseconds.
const AWAY_MS: u64 = 3_500;
/// How long after a crash the other ranks of a group cut what they run, in milliseconds.
const CUT_MS: u64 = 1_500;
/// Between two arrivals of each crashing request, in milliseconds.
const CRASHING_EVERY_MS: u64 = 2_500;
/// How long a caller or a repeat waits for a place, in milliseconds.
const PATIENCE_MS: u64 = 4_000;
/// When a caller whose request failed comes back, in milliseconds.
const COME_BACK_MS: u64 = 800;
const SLOTS: usize = 10;

/// What is wrong in a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// Requests that crash endpoints.
    pub crashing: u32,
    /// Whether these crash them late in their run.
    pub is_late: bool,
    /// An endpoint is killed this often, in milliseconds.
    pub kill_every_ms: Option<u64>,
    /// A third of all endpoints go down together, three times.
    pub data_centre_goes: bool,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Result {
    /// Endpoints that the worst of the crashing requests ended.
    pub most_ended: u32,
    /// Endpoints that one ended in the mean.
    pub mean_ended: f64,
    /// Healthy requests.
    pub healthy: u32,
    /// Healthy requests that were refused as suspects.
    pub refused_wrongly: u32,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    number: u32,
    is_crashing: bool,
    /// Endpoints that this attempt of its caller was sent to.
    sent: u32,
    /// Whether the caller has come back once.
    came_back: bool,
    waits_until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    attempt: Attempt,
    began_ms: u64,
    ends_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    up_ms: u64,
    cut_ms: Option<u64>,
    runs: Vec<Run>,
}

struct Fleet<'a, J: Judge> {
    judge: &'a mut J,
    ranks: usize,
    endpoints: Vec<Endpoint>,
    /// When all ranks of each group are up.
    open_ms: Vec<u64>,
    waiting: Vec<(u64, Attempt)>,
    crash_ms: (u64, u64),
    ended: Vec<u32>,
    refused: std::collections::HashSet<u32>,
    draws: u64,
}

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

impl<J: Judge> Fleet<'_, J> {
    fn draw(&mut self, (least, most): (u64, u64)) -> u64 {
        self.draws += 1;
        least + hash::mix(self.draws) % (most - least + 1)
    }

    fn is_open(&self, endpoint: usize, now_ms: u64) -> bool {
        self.open_ms[endpoint / self.ranks] <= now_ms
    }

    /// An endpoint goes down: what it ran fails, and the rest of its group stands.
    fn crash(&mut self, endpoint: usize, now_ms: u64) {
        let runs = std::mem::take(&mut self.endpoints[endpoint].runs);
        for run in &runs {
            let lost = LostRequest { fingerprint: request(run.attempt.number), ran_ms: Some(now_ms - run.began_ms) };
            self.judge.on_crash(endpoint, lost, now_ms);
        }
        self.endpoints[endpoint].up_ms = now_ms + AWAY_MS;
        self.open_ms[endpoint / self.ranks] = now_ms + AWAY_MS;
        let first = endpoint - endpoint % self.ranks;
        for rank in &mut self.endpoints[first..first + self.ranks] {
            rank.cut_ms.get_or_insert(now_ms + CUT_MS);
        }
        runs.into_iter().for_each(|run| self.fail(run.attempt, now_ms));
    }

    /// An attempt failed at its endpoint: it is repeated once, then its caller comes back once.
    fn fail(&mut self, attempt: Attempt, now_ms: u64) {
        let waits_until_ms = now_ms + PATIENCE_MS;
        if attempt.sent < 2 {
            self.waiting.push((now_ms + STEP_MS, Attempt { waits_until_ms, ..attempt }));
        } else if !attempt.came_back {
            let again = Attempt { sent: 0, came_back: true, waits_until_ms: waits_until_ms + COME_BACK_MS, ..attempt };
            self.waiting.push((now_ms + COME_BACK_MS, again));
        }
    }

    /// An attempt looks for an endpoint.
    fn place(&mut self, attempt: Attempt, now_ms: u64) {
        let decision = self.judge.decision(request(attempt.number), now_ms);
        match decision {
            QuarantineDecision::Allow => {}
            QuarantineDecision::AllowAsTrial if attempt.sent == 0 => {}
            // Our own repeat of a suspect is given up; the caller may come back.
            QuarantineDecision::AllowAsTrial => return self.fail(Attempt { sent: 2, ..attempt }, now_ms),
            QuarantineDecision::WaitForTrial { .. } | QuarantineDecision::Refuse { .. } => {
                if !attempt.is_crashing {
                    self.refused.insert(attempt.number);
                }
                return;
            }
        }
        let open: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| self.is_open(*at, now_ms) && self.endpoints[*at].runs.len() < SLOTS)
            .collect();
        if open.is_empty() {
            if now_ms < attempt.waits_until_ms {
                self.waiting.push((now_ms + 100, attempt));
            }
            return;
        }
        if decision == QuarantineDecision::AllowAsTrial {
            self.judge.begin_trial(request(attempt.number), now_ms);
        }
        let at = open[self.draw((0, open.len() as u64 - 1)) as usize];
        let lasts_ms = self.draw(if attempt.is_crashing { self.crash_ms } else { RUN_MS });
        let attempt = Attempt { sent: attempt.sent + 1, ..attempt };
        self.endpoints[at].runs.push(Run { attempt, began_ms: now_ms, ends_ms: now_ms + lasts_ms });
    }

    /// What has run to its end: healthy requests end well, the others crash their endpoint.
    fn finish(&mut self, endpoint: usize, now_ms: u64) {
        if self.endpoints[endpoint].cut_ms.is_some_and(|cut_ms| cut_ms <= now_ms) {
            self.endpoints[endpoint].cut_ms = None;
            let runs = std::mem::take(&mut self.endpoints[endpoint].runs);
            for run in runs {
                self.judge.cancel_trial(request(run.attempt.number));
                self.fail(run.attempt, now_ms);
            }
        }
        if !self.is_open(endpoint, now_ms) {
            return;
        }
        let (over, on): (Vec<Run>, Vec<Run>) =
            self.endpoints[endpoint].runs.iter().partition(|run| run.ends_ms <= now_ms);
        if let Some(cause) = over.iter().find(|run| run.attempt.is_crashing) {
            self.ended[cause.attempt.number as usize] += 1;
            return self.crash(endpoint, now_ms);
        }
        self.endpoints[endpoint].runs = on;
        over.iter().for_each(|run| self.judge.on_success(request(run.attempt.number), now_ms));
    }
}

/// Plays a fleet of `groups` groups of `ranks` endpoints.
pub fn play<J: Judge>(judge: &mut J, groups: usize, ranks: usize, trouble: Trouble, seed: u64) -> Result {
    let endpoints = groups * ranks;
    let mut fleet = Fleet {
        judge,
        ranks,
        endpoints: vec![Endpoint::default(); endpoints],
        open_ms: vec![0; groups],
        waiting: Vec::new(),
        crash_ms: if trouble.is_late { LATE_CRASH_MS } else { CRASH_MS },
        ended: vec![0; trouble.crashing as usize],
        refused: std::collections::HashSet::new(),
        draws: seed << 32,
    };
    let mut number = trouble.crashing;
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let fresh = |number, is_crashing| Attempt {
            number,
            is_crashing,
            sent: 0,
            came_back: false,
            waits_until_ms: now_ms + PATIENCE_MS,
        };
        // Healthy requests fill six tenths of all places.
        let share = SLOTS as u64 * 6 * STEP_MS * endpoints as u64;
        let arrivals = share / 20_000 + u64::from(fleet.draw((0, 19_999)) < share % 20_000);
        for _ in 0..arrivals {
            fleet.place(fresh(number, false), now_ms);
            number += 1;
        }
        for crashing in 0..trouble.crashing {
            if (now_ms + u64::from(crashing) * 130) % CRASHING_EVERY_MS == 0 {
                fleet.place(fresh(crashing, true), now_ms);
            }
        }
        let due: Vec<Attempt> =
            fleet.waiting.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).map(|(_, one)| one).collect();
        due.into_iter().for_each(|attempt| fleet.place(attempt, now_ms));
        (0..endpoints).for_each(|at| fleet.finish(at, now_ms));
        if trouble.kill_every_ms.is_some_and(|every_ms| now_ms % every_ms == 0) {
            let at = fleet.draw((0, endpoints as u64 - 1)) as usize;
            if fleet.endpoints[at].up_ms <= now_ms {
                fleet.crash(at, now_ms);
            }
        }
        if trouble.data_centre_goes && now_ms % 15_000 == 5_000 {
            (0..endpoints).filter(|at| at % 3 == 0).for_each(|at| fleet.crash(at, now_ms));
        }
    }
    let ended = &fleet.ended;
    Result {
        most_ended: ended.iter().copied().max().unwrap_or(0),
        mean_ended: f64::from(ended.iter().sum::<u32>()) / ended.len().max(1) as f64,
        healthy: number - trouble.crashing,
        refused_wrongly: fleet.refused.len() as u32,
    }
}
