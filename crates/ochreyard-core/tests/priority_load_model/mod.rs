//! Routes of different priorities, entries and one group on virtual time, with the real decisions of entries.

use std::net::SocketAddr;
use std::ops::Range;

use ochreyard_core::direct::{
    AttemptOutcome, DispatchDecision, EndpointChange, EndpointPool, EndpointRecord, GroupUpdate, PendingRequest,
    PermittedRegions, Pick, Priority, PriorityLevel, RankUpdate, ReporterRole, ServiceQueue, Ticket,
};
use ochreyard_core::hash;

const SERVICE: &str = "brief";
const ENTRIES: u64 = 6;
const ENDPOINTS: u64 = 12;
const SLOTS: u64 = 10;
const SERVICE_MS: u64 = 1_000;
const TICK_MS: u64 = 10;
/// Time between two updates of the group by its leader.
const UPDATE_INTERVAL_MS: u64 = 100;
const RUN_MS: u64 = 20_000;
const TIMEOUT_MS: u64 = 8_000;
const TARGET_LATENCY_MS: u64 = 800;
const PATIENCE_MS: u64 = 2_000;
const WORKSPACES: u64 = 24;
const ROUTES: [&str; 3] = ["a", "b", "c"];

/// Requests of three routes; `factors` multiply their rates during the burst.
pub struct Load {
    pub per_s: [u64; 3],
    pub priorities: [u64; 3],
    pub factors: [f64; 3],
    pub burst_ms: Range<u64>,
    /// Percentage of the requests that one workspace sends.
    pub large_workspace_percent: u64,
}

/// One request and what became of it.
#[derive(Debug, Clone)]
struct Request {
    number: u64,
    arrived_ms: u64,
    route: usize,
    workspace: String,
    on_time_until_ms: u64,
    ticket: Option<Ticket>,
    sent_ms: Option<u64>,
}

impl Request {
    fn is_of_large_workspace(&self) -> bool {
        self.workspace == "w0"
    }

    fn pending<'a>(&'a self, load: &Load) -> PendingRequest<'a> {
        PendingRequest {
            may_have_run: false,
            service: SERVICE,
            permitted_regions: &PermittedRegions::ANY,
            tried: &[],
            workspace: Some(&self.workspace),
            work_tokens: 100,
            priority: Priority::new(load.priorities[self.route]),
            level: PriorityLevel::SINGLE,
            arrival: ochreyard_core::direct::Arrival {
                on_time_until_ms: self.on_time_until_ms,
                is_caller_retry: false,
            },
            deadline_ms: self.arrived_ms + TIMEOUT_MS,
            silent_since_ms: self.arrived_ms,
            target_latency_ms: TARGET_LATENCY_MS,
            patience_ms: Some(PATIENCE_MS),
            ticket: self.ticket,
        }
    }
}

/// All requests of a simulation.
pub struct Results(Vec<Request>);

impl Results {
    fn share(
        &self,
        arrived_ms: &Range<u64>,
        is_counted: impl Fn(&Request) -> bool,
        is_good: impl Fn(&Request) -> bool,
    ) -> f64 {
        let counted: Vec<&Request> =
            self.0.iter().filter(|request| arrived_ms.contains(&request.arrived_ms) && is_counted(request)).collect();
        counted.iter().filter(|request| is_good(request)).count() as f64 / counted.len() as f64
    }

    pub fn on_time_share(&self, route: usize, arrived_ms: &Range<u64>) -> f64 {
        self.share(arrived_ms, |request| request.route == route, is_sent_on_time)
    }

    pub fn served_share(&self, route: usize, arrived_ms: &Range<u64>) -> f64 {
        self.share(arrived_ms, |request| request.route == route, |request| request.sent_ms.is_some())
    }

    /// Returns the shares of requests sent on time of the large workspace and of the others.
    pub fn on_time_shares_by_size(&self, arrived_ms: &Range<u64>) -> (f64, f64) {
        let of_large = self.share(arrived_ms, Request::is_of_large_workspace, is_sent_on_time);
        (of_large, self.share(arrived_ms, |request| !request.is_of_large_workspace(), is_sent_on_time))
    }
}

fn is_sent_on_time(request: &Request) -> bool {
    request.sent_ms.is_some_and(|sent_ms| sent_ms < request.on_time_until_ms)
}

struct EntryModel {
    pool: EndpointPool,
    queue: ServiceQueue,
    waiting: Vec<Request>,
    running: Vec<(u64, Pick)>,
}

/// Runs a load to its end.
pub fn simulate(load: &Load) -> Results {
    let mut entries: Vec<EntryModel> = (0..ENTRIES).map(|_| EntryModel::new()).collect();
    let (mut arrived, mut done) = (0, Vec::new());
    let mut owed = [0.0; 3];
    for now_ms in (0..RUN_MS + TIMEOUT_MS).step_by(TICK_MS as usize) {
        entries.iter_mut().for_each(|entry| entry.end_runs(now_ms));
        if now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
            let update = group_update(&entries);
            entries.iter_mut().for_each(|entry| entry.pool.apply_group_update(&update, now_ms));
        }
        for (route, owed) in owed.iter_mut().enumerate().filter(|_| now_ms < RUN_MS) {
            let factor = if load.burst_ms.contains(&now_ms) { load.factors[route] } else { 1.0 };
            *owed += load.per_s[route] as f64 * factor * TICK_MS as f64 / 1_000.0;
            while *owed >= 1.0 {
                *owed -= 1.0;
                let entry = &mut entries[(hash::mix(arrived) % ENTRIES) as usize];
                entry.arrive(load, arrived, route, now_ms);
                arrived += 1;
            }
        }
        for at in 0..entries.len() {
            let running = group_update(&entries).ranks;
            entries[at].dispatch(load, &running, &mut done, now_ms);
        }
    }
    Results(done)
}

fn group_update(entries: &[EntryModel]) -> GroupUpdate {
    let running_at = |id: &str| {
        let picks = entries.iter().flat_map(|entry| &entry.running);
        picks.filter(|(_, pick)| pick.id == id).count() as u64
    };
    let rank =
        |endpoint: String| RankUpdate { running: running_at(&endpoint), endpoint, waiting: 0, pace_permille: 1_000 };
    GroupUpdate {
        service: SERVICE.to_owned(),
        group: "g".to_owned(),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        step_ms: 60,
        ranks: (0..ENDPOINTS).map(|at| rank(format!("e{at}"))).collect(),
        ..GroupUpdate::default()
    }
}

impl EntryModel {
    fn new() -> Self {
        let mut pool = EndpointPool::new();
        for at in 0..ENDPOINTS {
            let record = EndpointRecord {
                service: SERVICE.to_owned(),
                addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + at as u16)),
                data_centre: "a".to_owned(),
                slots: SLOTS,
                is_leaving: false,
                cold_ms: 0,
                started_ms: 0,
            };
            pool.apply(EndpointChange::Updated(format!("e{at}"), record));
        }
        let mut queue = ServiceQueue::default();
        queue.service_time.record(SERVICE_MS);
        Self { pool, queue, waiting: Vec::new(), running: Vec::new() }
    }

    fn end_runs(&mut self, now_ms: u64) {
        for (_, pick) in self.running.extract_if(.., |(until_ms, _)| *until_ms <= now_ms) {
            self.pool.on_attempt_end(&pick, AttemptOutcome::Success, now_ms);
        }
    }

    fn arrive(&mut self, load: &Load, number: u64, route: usize, now_ms: u64) {
        let arrival = self.queue.on_arrival(ROUTES[route], TARGET_LATENCY_MS, TIMEOUT_MS, now_ms);
        let random = hash::mix(!number);
        let is_large = random % 100 < load.large_workspace_percent;
        let workspace = if is_large { 0 } else { 1 + (random >> 8) % (WORKSPACES - 1) };
        self.waiting.push(Request {
            number,
            arrived_ms: now_ms,
            route,
            workspace: format!("w{workspace}"),
            on_time_until_ms: arrival.on_time_until_ms,
            ticket: None,
            sent_ms: None,
        });
    }

    fn dispatch(&mut self, load: &Load, ranks: &[RankUpdate], done: &mut Vec<Request>, now_ms: u64) {
        for mut request in std::mem::take(&mut self.waiting) {
            let draw = hash::mix(request.number ^ now_ms);
            match self.queue.decide(&self.pool, ENTRIES, &request.pending(load), draw, now_ms) {
                DispatchDecision::Wait(_) if now_ms < request.arrived_ms + PATIENCE_MS => {
                    if request.ticket.is_none() {
                        request.ticket = Some(self.queue.wait_queue.join(&request.pending(load)));
                    }
                    self.waiting.push(request);
                    continue;
                }
                DispatchDecision::Send(pick) => {
                    self.pool.on_attempt_start(&pick);
                    // Entries know each other's requests only from the last update; an endpoint with more requests than
                    // slots takes longer.
                    let running = ranks.iter().find(|rank| rank.endpoint == pick.id).map_or(0, |rank| rank.running);
                    self.running.push((now_ms + SERVICE_MS * (running + 1).max(SLOTS) / SLOTS, pick));
                    request.sent_ms = Some(now_ms);
                }
                DispatchDecision::Wait(_) | DispatchDecision::GiveUp(_) => {}
            }
            request.ticket.into_iter().for_each(|ticket| self.queue.wait_queue.leave(ticket));
            done.push(request);
        }
    }
}
