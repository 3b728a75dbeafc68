//! A model of entries and groups of ranks, without network: requests with prompts run, endpoints crash, groups stall, and
//! entries tell each other of crashes, trials and good runs.

use std::collections::BTreeMap;

use ochreyard_core::direct::{
    CrashReport, Fingerprint, LostRequest, PartDecision, PromptPart, Quarantine, QuarantineUpdate, TrialClaim,
    is_long_run, is_past_start,
};
use ochreyard_core::hash;

/// Duration of one step, in milliseconds.
const STEP_MS: u64 = 10;
/// When crashing requests begin to arrive, in milliseconds.
pub const CRASHING_FROM_MS: u64 = 8_000;
/// Range of a healthy request's run, in milliseconds.
const RUN_MS: (u64, u64) = (700, 2_500);
/// How long the group of a crashed endpoint is down, in milliseconds.
const DOWN_MS: u64 = 4_000;
/// Time from a crash until the other ranks of the group abort their requests, in milliseconds.
const ABORT_MS: u64 = 1_500;
/// How long an entry is suspended, in milliseconds.
const SUSPENSION_MS: u64 = 2_000;
/// How long a request waits for an endpoint, in milliseconds.
const MAX_WAIT_MS: u64 = 4_000;
/// Transit time of an update between entries, and the interval at which an entry asks another one for what it missed.
const TRANSIT_MS: u64 = 10;
const POLL_INTERVAL_MS: u64 = 400;
const SWEEP_INTERVAL_MS: u64 = 1_000;
const SERVICE: &str = "model";
/// The last part that crashes endpoints, where one does.
const LAST_CAUSE: &str = "bad-last";
const SLOTS: usize = 12;
const ENTRIES: usize = 8;
/// Requests that an entry sends to one endpoint after the other.
const MAX_ATTEMPTS: u32 = 2;

/// Which parts crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Causes {
    /// This many second parts that only crashing requests name.
    New(u64),
    /// The first of the first parts, which was healthy before. All requests with it crash endpoints.
    FirstPart,
    /// This many of the second parts in common use, which were healthy before.
    SecondParts(u64),
    /// A last part that only crashing requests name, in place of one of their own.
    LastPart,
}

/// When a crashing run crashes its endpoint, and how many of the runs do.
#[derive(Debug, Clone, Copy)]
pub struct CrashingRuns {
    /// Range of the time from the start of the run to the crash, in milliseconds.
    pub after_ms: (u64, u64),
    /// Share of the runs that crash their endpoints, in percent.
    pub percent: u64,
}

/// The second parts of healthy prompts.
#[derive(Debug, Clone, Copy)]
pub struct SecondParts {
    /// How many of them are in common use.
    pub common: u64,
    /// Share of the requests that name another one, in percent.
    pub rare_percent: u64,
    /// Number of requests that name each of those, one after the other.
    pub requests_per_rare: u64,
}

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub duration_ms: u64,
    pub groups: usize,
    pub ranks: usize,
    /// Number of first parts that healthy prompts begin with.
    pub first_parts: u64,
    pub second_parts: SecondParts,
    pub causes: Causes,
    pub crashing_runs: CrashingRuns,
    /// How often requests with the same second part that is a cause arrive beside the healthy ones, in milliseconds.
    pub cause_interval_ms: u64,
    /// Interval at which an endpoint is killed, in milliseconds.
    pub kill_interval_ms: Option<u64>,
    /// Interval at which an entry loses its state, in milliseconds.
    pub restart_interval_ms: Option<u64>,
    /// Interval at which an entry is suspended for [`SUSPENSION_MS`], in milliseconds.
    pub suspension_interval_ms: Option<u64>,
    /// Whether a third of all endpoints go down together, three times.
    pub data_centre_fails: bool,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Endpoints that each crashing part ended.
    pub ended: BTreeMap<String, u32>,
    /// Requests with each part that reached an endpoint later than three seconds after the fifth end.
    pub late_arrivals: BTreeMap<String, u32>,
    /// Healthy requests, those refused because of a part, and those served, over the whole time and while crashing
    /// requests arrive and the causes are known.
    pub healthy: u32,
    pub refused: u32,
    pub served: u32,
    pub healthy_at_end: u32,
    pub served_at_end: u32,
}

#[derive(Debug, Clone)]
struct Request {
    number: u32,
    entry: usize,
    parts: Vec<PromptPart>,
    /// The crashing part, if any.
    cause: Option<String>,
    arrived_ms: u64,
    wait_until_ms: u64,
    sent: u32,
    has_claimed: bool,
    claimant: u64,
    /// The parts that it is a trial of.
    tried: Vec<Fingerprint>,
}

#[derive(Debug, Clone)]
struct Run {
    request: Request,
    started_ms: u64,
    ends_ms: u64,
    crashes: bool,
    /// Whether it has got past the start of its answer, and whether it is known to be good.
    is_past_start: bool,
    is_good: bool,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    up_ms: u64,
    abort_ms: Option<u64>,
    runs: Vec<Run>,
}

struct Fleet {
    scenario: Scenario,
    endpoints: Vec<Endpoint>,
    group_up_ms: Vec<u64>,
    entries: Vec<Quarantine>,
    waiting: Vec<Request>,
    in_transit: Vec<(u64, usize, QuarantineUpdate)>,
    /// Until when each entry is suspended.
    suspended_until_ms: [u64; ENTRIES],
    rare_requests: u64,
    fifth_end_ms: BTreeMap<String, u64>,
    summary: Summary,
    random_state: u64,
    number: u32,
    now_ms: u64,
}

/// Simulates a fleet.
pub fn simulate(scenario: Scenario, seed: u64) -> Summary {
    let mut fleet = Fleet {
        scenario,
        endpoints: vec![Endpoint::default(); scenario.groups * scenario.ranks],
        group_up_ms: vec![0; scenario.groups],
        entries: vec![Quarantine::default(); ENTRIES],
        waiting: Vec::new(),
        in_transit: Vec::new(),
        suspended_until_ms: [0; ENTRIES],
        rare_requests: 0,
        fifth_end_ms: BTreeMap::new(),
        summary: Summary::default(),
        random_state: seed << 32,
        number: 0,
        now_ms: 0,
    };
    for now_ms in (0..scenario.duration_ms).step_by(STEP_MS as usize) {
        fleet.now_ms = now_ms;
        fleet.step();
    }
    fleet.summary
}

impl Fleet {
    fn random_in(&mut self, (least, most): (u64, u64)) -> u64 {
        self.random_state += 1;
        least + hash::mix(self.random_state) % (most - least + 1)
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        let suspended_until_ms = self.suspended_until_ms;
        let is_due = |at_ms: u64, to: usize| at_ms <= now_ms && suspended_until_ms[to] <= now_ms;
        let due: Vec<_> = self.in_transit.extract_if(.., |(at_ms, to, _)| is_due(*at_ms, *to)).collect();
        for (at_ms, to, update) in due {
            self.entries[to].apply_delayed_update(&update, now_ms - at_ms, now_ms);
        }
        if now_ms.is_multiple_of(POLL_INTERVAL_MS) {
            self.poll();
        }
        if now_ms.is_multiple_of(SWEEP_INTERVAL_MS) {
            self.entries.iter_mut().for_each(|entry| drop(entry.remove_expired(now_ms)));
        }
        self.arrive();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().for_each(|request| self.dispatch(request));
        (0..self.endpoints.len()).for_each(|at| self.advance(at));
        self.inject();
    }

    /// Each entry gets the whole state of another one.
    fn poll(&mut self) {
        for to in 0..ENTRIES {
            let from = self.random_in((0, ENTRIES as u64 - 1)) as usize;
            let update = self.entries[from].update_since(0, self.now_ms);
            self.in_transit.push((self.now_ms + TRANSIT_MS, to, update));
        }
    }

    fn inject(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |interval_ms: Option<u64>| interval_ms.is_some_and(|ms| now_ms > 0 && now_ms.is_multiple_of(ms));
        if is_due(self.scenario.kill_interval_ms) {
            let at = self.random_in((0, self.endpoints.len() as u64 - 1)) as usize;
            if self.endpoints[at].up_ms <= now_ms {
                self.crash(at);
            }
        }
        if self.scenario.data_centre_fails && now_ms % 15_000 == 5_000 {
            (0..self.endpoints.len()).filter(|at| at % 3 == 0).for_each(|at| self.crash(at));
        }
        if is_due(self.scenario.restart_interval_ms) {
            let at = self.random_in((0, ENTRIES as u64 - 1)) as usize;
            // A new process asks another one before it serves.
            let update = self.entries[(at + 1) % ENTRIES].update_since(0, now_ms);
            self.entries[at] = Quarantine::default();
            self.entries[at].apply_update(&update, now_ms);
        }
        if is_due(self.scenario.suspension_interval_ms) {
            let at = self.random_in((0, ENTRIES as u64 - 1)) as usize;
            self.suspended_until_ms[at] = now_ms + SUSPENSION_MS;
        }
    }

    fn arrive(&mut self) {
        // Healthy requests fill four tenths of all slots.
        let slots = (self.endpoints.len() * SLOTS) as u64;
        let per_step = slots * 4 * STEP_MS;
        let count = per_step / 16_000 + u64::from(self.random_in((0, 15_999)) < per_step % 16_000);
        for _ in 0..count {
            let first = self.random_in((0, self.scenario.first_parts - 1));
            let (second, last) = (self.second_part(), self.own_part());
            self.add_request(&[&format!("first{first}"), &second, &last]);
        }
        if self.now_ms < CRASHING_FROM_MS {
            return;
        }
        let causes = match self.scenario.causes {
            Causes::FirstPart => Vec::new(),
            Causes::LastPart => vec![LAST_CAUSE.to_owned()],
            Causes::New(count) => (0..count).map(|at| format!("bad{at}")).collect(),
            Causes::SecondParts(count) => (0..count).map(|at| format!("middle{at}")).collect(),
        };
        for (at, cause) in (0_u64..).zip(causes) {
            if (self.now_ms + at * 130).is_multiple_of(self.scenario.cause_interval_ms) {
                let first = format!("first{}", self.random_in((0, self.scenario.first_parts - 1)));
                if self.scenario.causes == Causes::LastPart {
                    let second = self.second_part();
                    self.add_request(&[&first, &second, &cause]);
                } else {
                    let last = self.own_part();
                    self.add_request(&[&first, &cause, &last]);
                }
            }
        }
    }

    /// Returns the part of a prompt that crashes endpoints now.
    fn cause_in(&self, ids: &[&str]) -> Option<String> {
        let is_cause = |id: &&&str| match self.scenario.causes {
            Causes::New(_) => id.starts_with("bad"),
            Causes::FirstPart => **id == "first0",
            Causes::SecondParts(count) => (0..count).any(|at| **id == format!("middle{at}")),
            Causes::LastPart => **id == LAST_CAUSE,
        };
        let has_begun = self.now_ms >= CRASHING_FROM_MS;
        ids.iter().find(is_cause).filter(|_| has_begun).map(|id| (*id).to_owned())
    }

    /// Returns the last part of the next request's prompt, which is its own.
    fn own_part(&self) -> String {
        format!("own{}", self.number + 1)
    }

    /// Returns the second part of a healthy prompt.
    fn second_part(&mut self) -> String {
        let SecondParts { common, rare_percent, requests_per_rare } = self.scenario.second_parts;
        if self.random_in((0, 99)) >= rare_percent {
            return format!("middle{}", self.random_in((0, common - 1)));
        }
        self.rare_requests += 1;
        // Requests of ten sessions come in turn.
        let session = self.rare_requests / (10 * requests_per_rare) * 10 + self.rare_requests % 10;
        format!("rare{session}")
    }

    fn add_request(&mut self, ids: &[&str]) {
        let cause = self.cause_in(ids);
        let entry = self.random_in((0, ENTRIES as u64 - 1)) as usize;
        self.number += 1;
        if cause.is_none() {
            self.summary.healthy += 1;
            self.summary.healthy_at_end += u32::from(self.is_at_end(self.now_ms));
        }
        let parts = ids.iter().map(|id| PromptPart::new(id)).collect();
        self.waiting.push(Request {
            number: self.number,
            entry,
            parts,
            cause,
            arrived_ms: self.now_ms,
            wait_until_ms: self.now_ms + MAX_WAIT_MS,
            sent: 0,
            has_claimed: false,
            claimant: 0,
            tried: Vec::new(),
        });
    }

    const fn is_at_end(&self, at_ms: u64) -> bool {
        at_ms >= self.scenario.duration_ms / 2 && at_ms < self.scenario.duration_ms - MAX_WAIT_MS
    }

    /// Sends a request to an endpoint, or lets it wait, or refuses it.
    fn dispatch(&mut self, mut request: Request) {
        let now_ms = self.now_ms;
        let entry = request.entry;
        if self.suspended_until_ms[entry] > now_ms {
            return self.waiting.push(request);
        }
        if now_ms >= request.wait_until_ms {
            return self.release(&request);
        }
        let (must_wait, update) = match self.entries[entry].part_decision(&request.parts, now_ms) {
            PartDecision::Allow => {
                request.tried = Vec::new();
                if std::mem::take(&mut request.has_claimed) {
                    self.release(&request);
                }
                (false, None)
            }
            PartDecision::Refuse { .. } => {
                self.summary.refused += u32::from(request.cause.is_none());
                return self.release(&request);
            }
            PartDecision::Suspected(parts) => {
                if !std::mem::replace(&mut request.has_claimed, true) {
                    request.claimant = self.entries[entry].claimant(&request.parts, u64::from(request.number));
                }
                let claim = self.entries[entry].claim_trials(SERVICE, &parts, request.claimant, now_ms);
                request.tried = parts;
                match claim {
                    TrialClaim::Granted => (false, None),
                    TrialClaim::Announced(update) => (true, Some(update)),
                    TrialClaim::Pending => (true, None),
                    TrialClaim::Taken { .. } => {
                        self.release(&request);
                        (true, None)
                    }
                }
            }
        };
        update.into_iter().for_each(|update| self.broadcast(entry, &update));
        let available: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| self.group_up_ms[at / self.scenario.ranks] <= now_ms && self.endpoints[*at].runs.len() < SLOTS)
            .collect();
        if must_wait || available.is_empty() {
            return self.waiting.push(request);
        }
        let at = available[self.random_in((0, available.len() as u64 - 1)) as usize];
        request.sent += 1;
        // A request that arrived before the part became the cause may run again.
        request.cause = self.cause_in(&request.parts.iter().map(PromptPart::id).collect::<Vec<_>>());
        let CrashingRuns { after_ms, percent } = self.scenario.crashing_runs;
        let crashes = request.cause.is_some() && self.random_in((0, 99)) < percent;
        let duration_ms = self.random_in(if crashes { after_ms } else { RUN_MS });
        if let Some(cause) = &request.cause
            && self.fifth_end_ms.get(cause).is_some_and(|at_ms| now_ms > at_ms + 3_000)
        {
            *self.summary.late_arrivals.entry(cause.clone()).or_default() += 1;
        }
        self.endpoints[at].runs.push(Run {
            request,
            started_ms: now_ms,
            ends_ms: now_ms + duration_ms,
            crashes,
            is_past_start: false,
            is_good: false,
        });
    }

    fn broadcast(&mut self, from: usize, update: &QuarantineUpdate) {
        let others = (0..ENTRIES).filter(|to| *to != from);
        self.in_transit.extend(others.map(|to| (self.now_ms + TRANSIT_MS, to, update.clone())));
    }

    fn release(&mut self, request: &Request) {
        let released = self.entries[request.entry].release_claims(request.claimant);
        released.into_iter().for_each(|update| self.broadcast(request.entry, &update));
    }

    /// Lets the runs of an endpoint go on: they turn out good, end, or crash it.
    fn advance(&mut self, at: usize) {
        let now_ms = self.now_ms;
        if self.endpoints[at].abort_ms.is_some_and(|abort_ms| abort_ms <= now_ms) {
            self.endpoints[at].abort_ms = None;
            let runs = std::mem::take(&mut self.endpoints[at].runs);
            runs.into_iter().for_each(|run| self.retry(run.request));
        }
        if self.group_up_ms[at / self.scenario.ranks] > now_ms {
            return;
        }
        let mut runs = std::mem::take(&mut self.endpoints[at].runs);
        let crashing = runs.iter().find(|run| run.crashes && run.ends_ms <= now_ms);
        if let Some(cause) = crashing.and_then(|run| run.request.cause.clone()) {
            self.endpoints[at].runs = runs;
            let ended = self.summary.ended.entry(cause.clone()).or_default();
            *ended += 1;
            if *ended == 5 {
                self.fifth_end_ms.insert(cause, now_ms);
            }
            return self.crash(at);
        }
        for run in &mut runs {
            let age_ms = now_ms - run.started_ms;
            if self.suspended_until_ms[run.request.entry] > now_ms {
                continue;
            }
            if !run.is_past_start && is_past_start(age_ms) {
                run.is_past_start = true;
                let entry = &mut self.entries[run.request.entry];
                let update = entry.on_run_past_start(&run.request.parts, run.started_ms, now_ms);
                if !run.request.tried.is_empty() {
                    update.into_iter().for_each(|update| self.broadcast(run.request.entry, &update));
                }
                if std::mem::take(&mut run.request.has_claimed) {
                    self.release(&run.request);
                }
            }
            if !run.is_good && (run.ends_ms <= now_ms || is_long_run(age_ms)) {
                run.is_good = true;
                let entry = &mut self.entries[run.request.entry];
                let update = entry.on_good_run(&run.request.parts, run.started_ms, now_ms);
                if !run.request.tried.is_empty() {
                    update.into_iter().for_each(|update| self.broadcast(run.request.entry, &update));
                }
            }
        }
        let (finished, running): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.is_good && run.ends_ms <= now_ms);
        self.endpoints[at].runs = running;
        for run in finished {
            let is_healthy = run.request.cause.is_none();
            self.summary.served += u32::from(is_healthy);
            self.summary.served_at_end += u32::from(is_healthy && self.is_at_end(run.request.arrived_ms));
            self.release(&run.request);
        }
    }

    /// Crashes an endpoint. Its requests fail, and the rest of its group stalls.
    fn crash(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let ranks = self.scenario.ranks;
        let runs = std::mem::take(&mut self.endpoints[at].runs);
        let endpoint = format!("e{at}-{now_ms}");
        for run in &runs {
            let entry = run.request.entry;
            let parts = if run.is_good {
                Vec::new()
            } else {
                self.entries[entry].lost_parts(&run.request.parts, &run.request.tried, now_ms)
            };
            let lost = LostRequest {
                fingerprint: Fingerprint::of(&[&run.request.number.to_le_bytes()]),
                ran_ms: Some(now_ms - run.started_ms),
                parts,
            };
            self.entries[entry].on_crash(&endpoint, SERVICE, lost.clone(), now_ms, now_ms);
            let report =
                CrashReport { endpoint: endpoint.clone(), service: SERVICE.to_owned(), age_ms: 0, lost: vec![lost] };
            self.broadcast(entry, &QuarantineUpdate { crashes: vec![report], ..QuarantineUpdate::default() });
        }
        self.endpoints[at].up_ms = now_ms + DOWN_MS;
        self.group_up_ms[at / ranks] = now_ms + DOWN_MS;
        let first = at - at % ranks;
        for rank in &mut self.endpoints[first..first + ranks] {
            rank.abort_ms.get_or_insert(now_ms + ABORT_MS);
        }
        runs.into_iter().for_each(|run| self.retry(run.request));
    }

    fn retry(&mut self, request: Request) {
        if request.sent < MAX_ATTEMPTS {
            self.waiting.push(Request { wait_until_ms: self.now_ms + MAX_WAIT_MS, ..request });
        } else {
            self.release(&request);
        }
    }
}
