//! Boxes that share the stream limit of one group, by their own decisions on virtual time. Streams have random lengths,
//! and each box knows the running requests from delayed reports alone.

use std::collections::BTreeMap;
use std::ops::Range;

use ochreyard_core::direct::{
    DispatchDecision, EndpointChange, EndpointPool, EndpointRecord, GroupUpdate, PendingRequest, PermittedRegions,
    Pick, Priority, PriorityLevel, RankUpdate, ReporterRole, ServiceQueue, Ticket,
};
use ochreyard_core::hash;

/// Interval at which waiting requests look for an endpoint, in milliseconds.
pub const TICK_MS: u64 = 10;
/// Ranks of the group, and requests that each may run.
pub const RANKS: usize = 24;
const SLOTS: u64 = 10;
/// The stream limit: seven of ten slots.
pub const LIMIT: u64 = 168;
/// Length of a stream, in milliseconds: 23 events of 70 ms on average.
const STREAM_MS: Range<u64> = 400..2_800;
const TARGET_LATENCY_MS: u64 = 400;
const TIMEOUT_MS: u64 = 8_000;
const PATIENCE_MS: u64 = 2_000;

/// How reports travel.
#[derive(Debug, Clone, Copy)]
pub struct Reports {
    /// Interval between two reports, in milliseconds.
    pub interval_ms: u64,
    /// Age of a report when the boxes apply it, in milliseconds.
    pub age_ms: u64,
    /// Share of the reports to a box that are lost.
    pub lost: f64,
    /// When the leader reports.
    pub sent_ms: (u64, u64),
}

impl Default for Reports {
    fn default() -> Self {
        Self { interval_ms: 100, age_ms: 50, lost: 0.0, sent_ms: (0, u64::MAX) }
    }
}

/// Requests per second of a level, and a factor on them during the burst.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub per_s: f64,
    pub burst_factor: f64,
}

/// One run of the model.
#[derive(Debug, Clone)]
pub struct Run {
    pub boxes: usize,
    /// Demand by level, the most urgent first.
    pub demand: Vec<Demand>,
    pub burst_ms: Range<u64>,
    pub end_ms: u64,
    pub reports: Reports,
    pub limit: Option<u64>,
    pub seed: u64,
}

/// What became of the requests.
#[derive(Debug, Clone, Default)]
pub struct Results {
    /// By level: arrivals during the burst, and those of them that were sent while they could be on time.
    pub on_time: BTreeMap<usize, (u64, u64)>,
    /// Running requests at each tick of the burst, and whether a request that could be on time waited.
    pub running: Vec<(u64, bool)>,
}

impl Results {
    /// The share of a level's requests in the burst that were sent on time.
    pub fn on_time_share(&self, level: usize) -> f64 {
        self.on_time.get(&level).map_or(1.0, |(arrived, sent)| *sent as f64 / (*arrived).max(1) as f64)
    }

    /// The mean share of the limit that is used while requests that can be on time wait.
    pub fn used_while_waiting(&self) -> f64 {
        let waiting: Vec<u64> =
            self.running.iter().filter(|(_, is_waiting)| *is_waiting).map(|(running, _)| *running).collect();
        waiting.iter().sum::<u64>() as f64 / (waiting.len().max(1) as u64 * LIMIT) as f64
    }

    /// The largest number of running requests relative to the limit.
    pub fn largest(&self) -> f64 {
        self.running.iter().map(|(running, _)| *running).max().unwrap_or(0) as f64 / LIMIT as f64
    }

    /// The share of the time in which the group runs over 1.05 of the limit.
    pub fn time_over(&self) -> f64 {
        let over = self.running.iter().filter(|(running, _)| *running as f64 > 1.05 * LIMIT as f64).count();
        over as f64 / self.running.len().max(1) as f64
    }
}

struct Request {
    level: usize,
    arrival: ochreyard_core::direct::Arrival,
    arrived_ms: u64,
    ticket: Option<Ticket>,
}

struct Stream {
    owner: usize,
    rank: usize,
    pick: Pick,
    ends_ms: u64,
}

struct ModelBox {
    pool: EndpointPool,
    queue: ServiceQueue,
    waiting: Vec<Request>,
}

/// Plays one run.
pub fn play(run: &Run) -> Results {
    let mut boxes: Vec<ModelBox> = (0..run.boxes).map(|_| ModelBox::new()).collect();
    let mut streams: Vec<Stream> = Vec::new();
    let mut in_transit: Vec<(u64, GroupUpdate)> = Vec::new();
    let mut results = Results::default();
    let mut random = Random(run.seed);
    let weights: Vec<f64> = (0..run.boxes).map(|at| 1.0 / (1 + at % 5) as f64).collect();
    for now_ms in (0..run.end_ms).step_by(TICK_MS as usize) {
        let (ended, running): (Vec<Stream>, Vec<Stream>) =
            streams.into_iter().partition(|stream| stream.ends_ms <= now_ms);
        streams = running;
        for stream in ended {
            let pool = &mut boxes[stream.owner].pool;
            pool.on_attempt_end(&stream.pick, ochreyard_core::direct::AttemptOutcome::Success, now_ms);
        }
        let (first_ms, last_ms) = run.reports.sent_ms;
        if now_ms % run.reports.interval_ms == 0 && (first_ms..last_ms).contains(&now_ms) {
            in_transit.push((now_ms + run.reports.age_ms, update(&streams, run.limit)));
        }
        while in_transit.first().is_some_and(|(due_ms, _)| *due_ms <= now_ms) {
            let (_, update) = in_transit.remove(0);
            for at in &mut boxes {
                if random.unit() >= run.reports.lost {
                    at.pool.apply_group_update(&update, now_ms);
                }
            }
        }
        let is_burst = run.burst_ms.contains(&now_ms);
        for (level, demand) in run.demand.iter().enumerate() {
            let factor = if is_burst { demand.burst_factor } else { 1.0 };
            let mut expected = demand.per_s * factor * TICK_MS as f64 / 1_000.0;
            while random.unit() < expected {
                expected -= 1.0;
                let at = random.weighted(&weights);
                boxes[at].arrive(level, now_ms);
                if is_burst {
                    results.on_time.entry(level).or_default().0 += 1;
                }
            }
        }
        for (owner, at) in boxes.iter_mut().enumerate() {
            for (request, pick) in at.send(run, &mut random, now_ms) {
                if run.burst_ms.contains(&request.arrived_ms) && now_ms < request.arrival.on_time_until_ms {
                    results.on_time.entry(request.level).or_default().1 += 1;
                }
                let rank = pick.id.parse().expect("ranks are named by their number");
                let ends_ms = now_ms + STREAM_MS.start + random.next() % (STREAM_MS.end - STREAM_MS.start);
                streams.push(Stream { owner, rank, pick, ends_ms });
            }
        }
        if is_burst {
            let is_on_time = |request: &Request| now_ms < request.arrival.on_time_until_ms;
            let is_waiting = boxes.iter().any(|at| at.waiting.iter().any(is_on_time));
            results.running.push((streams.len() as u64, is_waiting));
        }
    }
    results
}

fn update(streams: &[Stream], stream_limit: Option<u64>) -> GroupUpdate {
    let running = |rank: usize| streams.iter().filter(|stream| stream.rank == rank).count() as u64;
    let rank_update = |rank: usize| RankUpdate {
        endpoint: rank.to_string(),
        running: running(rank).min(SLOTS),
        waiting: running(rank).saturating_sub(SLOTS),
        pace_permille: 1_000,
    };
    GroupUpdate {
        service: "brief".to_owned(),
        group: "g0".to_owned(),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        step_ms: 70,
        ranks: (0..RANKS).map(rank_update).collect(),
        stream_limit,
        ..GroupUpdate::default()
    }
}

impl ModelBox {
    fn new() -> Self {
        let mut pool = EndpointPool::new();
        for rank in 0..RANKS {
            let record = EndpointRecord {
                service: "brief".to_owned(),
                addr: std::net::SocketAddr::from(([10, 0, 0, rank as u8], 8_280)),
                data_centre: "a".to_owned(),
                slots: SLOTS,
                is_leaving: false,
                cold_ms: 0,
                started_ms: 1,
            };
            pool.apply(EndpointChange::Updated(rank.to_string(), record));
        }
        Self { pool, queue: ServiceQueue::default(), waiting: Vec::new() }
    }

    fn arrive(&mut self, level: usize, now_ms: u64) {
        let arrival = self.queue.on_arrival("r", TARGET_LATENCY_MS, TIMEOUT_MS, now_ms);
        self.waiting.push(Request { level, arrival, arrived_ms: now_ms, ticket: None });
    }

    /// Lets each waiting request look for an endpoint, more urgent ones first. Returns those that are sent.
    fn send(&mut self, run: &Run, random: &mut Random, now_ms: u64) -> Vec<(Request, Pick)> {
        let mut sent = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|request| (request.level, request.arrived_ms));
        for mut request in waiting {
            let pending = PendingRequest {
                service: "brief",
                permitted_regions: &PermittedRegions::ANY,
                tried: &[],
                workspace: None,
                work_tokens: 1,
                may_have_run: false,
                priority: Priority::new(request.level as u64),
                level: PriorityLevel { index: request.level, count: run.demand.len() },
                arrival: request.arrival,
                deadline_ms: request.arrived_ms + TIMEOUT_MS,
                silent_since_ms: request.arrived_ms,
                target_latency_ms: TARGET_LATENCY_MS,
                patience_ms: Some(PATIENCE_MS),
                ticket: request.ticket,
            };
            let decision = self.queue.decide(&self.pool, run.boxes as u64, &pending, random.next(), now_ms);
            match (decision, request.ticket) {
                (DispatchDecision::Send(pick), ticket) => {
                    ticket.into_iter().for_each(|ticket| self.queue.wait_queue.on_sent(ticket));
                    self.pool.on_attempt_start(&pick);
                    sent.push((request, pick));
                }
                (DispatchDecision::GiveUp(_), ticket) => {
                    ticket.into_iter().for_each(|ticket| self.queue.wait_queue.leave(ticket));
                }
                (DispatchDecision::Wait(_), Some(_)) => self.waiting.push(request),
                (DispatchDecision::Wait(_), None) => {
                    request.ticket = Some(self.queue.wait_queue.join(&pending));
                    self.waiting.push(request);
                }
            }
        }
        sent
    }
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(1);
        hash::mix(self.0)
    }

    fn unit(&mut self) -> f64 {
        self.next() as f64 / u64::MAX as f64
    }

    fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        found.unwrap_or(0)
    }
}
