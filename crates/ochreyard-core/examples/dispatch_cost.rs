//! Prints the cost of one decision on a request that needs an endpoint, while 500 requests wait.
//!
//! `cargo run --release -p ochreyard-core --example dispatch_cost`
//!
//! The requests have 24 workspaces, of which one sends 28 of 100, and 3 priorities; half of them are late. 62 boxes share
//! 64 endpoints in two groups. Measured are a new request, one that waits and the one that is next, where all endpoints
//! are full, and the waiting requests in turn, where endpoints have free slots.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use ochreyard_core::direct::{
    Arrival, DispatchDecision, EndpointChange, EndpointPool, EndpointRecord, GroupUpdate, PendingRequest,
    PermittedRegions, Priority, PriorityLevel, RankUpdate, ReporterRole, ServiceQueue, Ticket, Urgency,
};
use ochreyard_core::hash;

const BOXES: u64 = 62;
const WORKSPACES: u64 = 24;
const PRIORITIES: u64 = 3;
const WAITING: u64 = 500;
const GROUPS: u64 = 2;
const RANKS: u64 = 32;
const SLOTS: u64 = 10;
const DECISIONS: u64 = 20_000;
const NOW_MS: u64 = 1_000;

fn main() {
    let names: Vec<String> = (0..WORKSPACES).map(|at| format!("workspace-{at}")).collect();
    let mut queue = ServiceQueue::default();
    queue.service_time.record(1_700);
    let waiting: Vec<PendingRequest> = (0..WAITING).map(|at| request(&names, at)).collect();
    let waiting: Vec<PendingRequest> = waiting
        .into_iter()
        .map(|request| PendingRequest { ticket: Some(queue.wait_queue.join(&request)), ..request })
        .collect();
    let (full, free) = (pool(SLOTS + 1), pool(3));

    let new: Vec<PendingRequest> = (WAITING..2 * WAITING).map(|at| request(&names, at)).collect();
    print("new request, all endpoints full", decide_us(&mut queue, &full, |at| new[at as usize % new.len()]));
    let waits = |at: u64| waiting[at as usize % waiting.len()];
    print("waiting request, all endpoints full", decide_us(&mut queue, &full, waits));
    let next = waiting.iter().find(|request| request.ticket.is_some_and(|own| queue.wait_queue.is_next(own, NOW_MS)));
    let next = *next.expect("one request is next");
    print("request that is next, all endpoints full", decide_us(&mut queue, &full, |_| next));
    print("of which picking", pick_us(&full));
    print("waiting request, free endpoints", decide_and_rejoin_us(&mut queue, &free, &waiting));
    print("join and leave", join_and_leave_us(&mut queue, &new));
}

fn print(measure: &str, each_us: f64) {
    println!("measure=\"{measure}\" waiting={WAITING} each_us={each_us:.2}");
}

fn request(names: &[String], at: u64) -> PendingRequest<'_> {
    let random = hash::mix(at);
    let workspace = if random % 100 < 28 { 0 } else { 1 + (random >> 8) % (WORKSPACES - 1) };
    let on_time_until_ms = if random.is_multiple_of(2) { NOW_MS / 2 } else { 2 * NOW_MS };
    PendingRequest {
        may_have_run: false,
        service: "brief",
        permitted_regions: &PermittedRegions::ANY,
        tried: &[],
        workspace: Some(&names[workspace as usize]),
        work_tokens: 50 + (random >> 16) % 1_000,
        priority: Priority::new((random >> 32) % PRIORITIES),
        level: PriorityLevel { index: ((random >> 32) % PRIORITIES) as usize, count: PRIORITIES as usize },
        arrival: Arrival { on_time_until_ms, is_caller_retry: false },
        deadline_ms: 8_000 + (random >> 40) % 1_000,
        silent_since_ms: 0,
        target_latency_ms: 400,
        patience_ms: Some(2_000),
        ticket: None,
    }
}

fn decide_us<'a>(queue: &mut ServiceQueue, pool: &EndpointPool, request: impl Fn(u64) -> PendingRequest<'a>) -> f64 {
    let started = Instant::now();
    for at in 0..DECISIONS {
        let decision = queue.decide(pool, BOXES, &request(at), hash::mix(at), NOW_MS);
        assert!(!matches!(black_box(decision), DispatchDecision::Send(_)));
    }
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

/// Looks for an endpoint where all are full.
fn pick_us(pool: &EndpointPool) -> f64 {
    let started = Instant::now();
    let picked = (0..DECISIONS).filter(|at| pool.pick("brief", &[], Urgency::OnTime, hash::mix(*at), NOW_MS).is_ok());
    assert_eq!(picked.count(), 0);
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

/// Decides on waiting requests, one after the other; those that are sent join the queue again.
fn decide_and_rejoin_us(queue: &mut ServiceQueue, pool: &EndpointPool, waiting: &[PendingRequest]) -> f64 {
    let mut tickets: Vec<Option<Ticket>> = waiting.iter().map(|request| request.ticket).collect();
    let mut sent = 0;
    let started = Instant::now();
    for at in 0..DECISIONS {
        let index = at as usize % waiting.len();
        let request = PendingRequest { ticket: tickets[index], ..waiting[index] };
        if let DispatchDecision::Send(pick) = queue.decide(pool, BOXES, &request, hash::mix(at), NOW_MS) {
            black_box(pick);
            sent += 1;
            tickets[index] = Some(queue.wait_queue.join(&request));
        }
    }
    assert!(sent > 0);
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn join_and_leave_us(queue: &mut ServiceQueue, new: &[PendingRequest]) -> f64 {
    let started = Instant::now();
    for at in 0..DECISIONS {
        let ticket = queue.wait_queue.join(&new[at as usize % new.len()]);
        queue.wait_queue.leave(black_box(ticket));
    }
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

/// A pool of groups whose ranks all run `running` requests.
fn pool(running: u64) -> EndpointPool {
    let mut pool = EndpointPool::new();
    for group in 0..GROUPS {
        let ids: Vec<String> = (0..RANKS).map(|rank| format!("i-{group}-{rank:08}")).collect();
        for (rank, id) in ids.iter().enumerate() {
            let record = EndpointRecord {
                service: "brief".to_owned(),
                addr: SocketAddr::from(([10, 0, group as u8, rank as u8], 8_280)),
                data_centre: "a".to_owned(),
                slots: SLOTS,
                is_leaving: false,
                cold_ms: 0,
                started_ms: 1,
            };
            pool.apply(EndpointChange::Updated(id.clone(), record));
        }
        let rank = |endpoint: String| RankUpdate { endpoint, running, waiting: 0, pace_permille: 1_000 };
        let update = GroupUpdate {
            service: "brief".to_owned(),
            group: format!("g{group}"),
            reporter_role: ReporterRole::Leads,
            is_serving: true,
            step_ms: 60,
            ranks: ids.into_iter().map(rank).collect(),
            ..GroupUpdate::default()
        };
        pool.apply_group_update(&update, NOW_MS);
    }
    pool
}
