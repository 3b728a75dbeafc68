//! A model of boxes and of endpoints that restart cold, without network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use ochreyard_core::direct::{
    AttemptOutcome, ColdLimits, EndpointChange, EndpointPool, EndpointRecord, Pick, RouteTable, ServiceSpec,
    SharingBoxes, Urgency,
};

use crate::random::Random;

/// Requests per second that a cold endpoint can serve.
pub const COLD_REQUESTS_PER_S: u64 = 17;
/// Factor by which the boxes may exceed this rate.
const OVERAGE: f64 = 1.5;
const ENDPOINTS: usize = 24;
const SLOTS: u64 = 10;
const STEP_MS: u64 = 10;
/// Time of the first restart of the endpoints and interval of the later ones, in milliseconds.
const FIRST_RESTART_MS: u64 = 3_000;
const RESTART_INTERVAL_MS: u64 = 6_000;
/// How long endpoints are gone before a restart, in milliseconds: long enough that no request sent before it arrives
/// after it.
const GONE_MS: u64 = 500;
/// How long endpoints stay cold, in milliseconds.
const COLD_MS: u64 = 3_000;
const DURATION_MS: u64 = 16_000;
/// Range of the time from a decision to the arrival, and from there to the end of the run, in milliseconds.
const TRANSIT_MS: (u64, u64) = (1, 150);
const RUN_MS: (u64, u64) = (50, 400);
const SECOND_MS: u64 = 1_000;

/// Parameters of a simulated fleet and of its faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub boxes: usize,
    /// Request rate of all callers together, as a multiple of the rate that cold endpoints can serve.
    pub demand: f64,
    /// Ratio of the first box's callers to those of each other box.
    pub skew: f64,
    /// Number of boxes that are killed and restart.
    pub box_restarts: usize,
    /// How often the endpoints restart cold.
    pub endpoint_restarts: usize,
    /// Whether boxes divide the limit among them, instead of each using the whole limit.
    pub is_shared: bool,
    pub seed: u64,
}

impl Scenario {
    /// Three times the request rate that cold endpoints can serve, evenly spread over the boxes.
    pub const fn without_faults(boxes: usize, seed: u64) -> Self {
        Self { boxes, demand: 3.0, skew: 1.0, box_restarts: 0, endpoint_restarts: 1, is_shared: true, seed }
    }
}

pub struct Fleet {
    scenario: Scenario,
    random: Random,
    pools: Vec<EndpointPool>,
    pending_ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    picks: Vec<Pick>,
    arrivals: Vec<Vec<u64>>,
    now_ms: u64,
}

fn box_name(at: usize) -> String {
    format!("box-{at}")
}

fn endpoint(at: usize) -> String {
    format!("i-{at:04}")
}

fn record(at: usize, started_ms: u64, cold_ms: u64) -> EndpointRecord {
    EndpointRecord {
        service: "brief".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, at as u8], 8_280)),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        is_leaving: false,
        cold_ms,
        started_ms,
    }
}

fn table() -> RouteTable {
    let cold = Some(ColdLimits { requests_per_s: COLD_REQUESTS_PER_S as f64 });
    RouteTable::new(1).with_service(ServiceSpec {
        name: "brief".to_owned(),
        max_connections: 500,
        health_path: None,
        engine: None,
        cold,
    })
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let pools = (0..scenario.boxes).map(|at| new_pool(&scenario, at, 0)).collect();
        let random = Random::new(scenario.seed);
        let arrivals = vec![Vec::new(); ENDPOINTS];
        Self { scenario, random, pools, pending_ends: BinaryHeap::new(), picks: Vec::new(), arrivals, now_ms: 0 }
    }

    pub fn run(mut self) -> Self {
        let last_restart_ms = FIRST_RESTART_MS + (self.scenario.endpoint_restarts as u64 - 1) * RESTART_INTERVAL_MS;
        let box_restarts: Vec<(u64, usize)> = (0..self.scenario.box_restarts)
            .map(|_| {
                let at_box = self.random.in_range(0, self.scenario.boxes as u64 - 1) as usize;
                (self.random.in_range(FIRST_RESTART_MS, last_restart_ms + COLD_MS) / STEP_MS * STEP_MS, at_box)
            })
            .collect();
        while self.now_ms < DURATION_MS {
            self.now_ms += STEP_MS;
            if self.endpoint_restarts().any(|restart_ms| self.now_ms == restart_ms - GONE_MS) {
                self.pools.iter_mut().for_each(remove_endpoints);
            }
            if self.endpoint_restarts().any(|restart_ms| self.now_ms == restart_ms) {
                (0..self.pools.len()).for_each(|at| self.read_records(at));
            }
            let now_ms = self.now_ms;
            for (_, at) in box_restarts.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
                self.restart(*at);
            }
            self.finish_due();
            (0..self.pools.len()).for_each(|at| self.send_requests(at));
        }
        self
    }

    /// The times at which the endpoints restart.
    fn endpoint_restarts(&self) -> impl Iterator<Item = u64> + use<> {
        (0..self.scenario.endpoint_restarts as u64).map(|n| FIRST_RESTART_MS + n * RESTART_INTERVAL_MS)
    }

    /// Returns the start time of the endpoints and their remaining cold time; `None` while they are gone.
    fn cold_ms(&self) -> Option<(u64, u64)> {
        if self.endpoint_restarts().any(|restart_ms| self.now_ms >= restart_ms - GONE_MS && self.now_ms < restart_ms) {
            return None;
        }
        let started_ms = self.endpoint_restarts().filter(|restart_ms| *restart_ms <= self.now_ms).max()?;
        Some((started_ms, (started_ms + COLD_MS).saturating_sub(self.now_ms)))
    }

    /// A box reads the records of all endpoints after their restart.
    fn read_records(&mut self, at: usize) {
        let Some((started_ms, cold_ms)) = self.cold_ms() else { return };
        for index in 0..ENDPOINTS {
            self.pools[at].apply(EndpointChange::Updated(endpoint(index), record(index, started_ms, cold_ms)));
            self.pools[at].on_cold(&endpoint(index), cold_ms, self.now_ms);
        }
    }

    fn restart(&mut self, at: usize) {
        self.pools[at] = new_pool(&self.scenario, at, self.now_ms);
        self.read_records(at);
    }

    fn send_requests(&mut self, at: usize) {
        let total_weight = self.scenario.boxes as f64 - 1.0 + self.scenario.skew;
        let weight = if at == 0 { self.scenario.skew } else { 1.0 } / total_weight;
        let demand_per_s = self.scenario.demand * (COLD_REQUESTS_PER_S as usize * ENDPOINTS) as f64;
        let mut expected = demand_per_s * weight * STEP_MS as f64 / SECOND_MS as f64;
        while expected > 0.0 {
            if self.random.chance(expected.min(1.0)) {
                self.send_request(at);
            }
            expected -= 1.0;
        }
    }

    fn send_request(&mut self, at: usize) {
        let random_number = self.random.next_u64();
        let Ok(pick) = self.pools[at].pick("brief", &[], Urgency::OnTime, random_number, self.now_ms) else { return };
        self.pools[at].on_attempt_start(&pick);
        assert!(self.pools[at].try_record_send(&pick, None, self.now_ms), "a request that was just picked may be sent");
        let arrives_ms = self.now_ms + self.random.in_range(TRANSIT_MS.0, TRANSIT_MS.1);
        let endpoint: usize = pick.id[2..].parse().unwrap();
        self.arrivals[endpoint].push(arrives_ms);
        self.picks.push(pick);
        let ends_ms = arrives_ms + self.random.in_range(RUN_MS.0, RUN_MS.1);
        self.pending_ends.push(Reverse((ends_ms, at, self.picks.len() - 1)));
    }

    fn finish_due(&mut self) {
        while self.pending_ends.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= self.now_ms) {
            let Some(Reverse((_, at, pick))) = self.pending_ends.pop() else { return };
            self.pools[at].on_answered(&self.picks[pick]);
            self.pools[at].on_attempt_end(&self.picks[pick], AttemptOutcome::Success, self.now_ms);
        }
    }

    /// Returns the highest number of arrivals at one cold endpoint within any second.
    pub fn max_per_second(&self) -> usize {
        let of_endpoint = |arrivals: &Vec<u64>| {
            let mut arrivals = arrivals.clone();
            arrivals.sort_unstable();
            let cold: Vec<u64> = arrivals.into_iter().filter(|at_ms| self.is_cold_at(*at_ms)).collect();
            let within = |from: usize| cold[from..].iter().take_while(|at_ms| **at_ms < cold[from] + SECOND_MS).count();
            (0..cold.len()).map(within).max().unwrap_or(0)
        };
        self.arrivals.iter().map(of_endpoint).max().unwrap_or(0)
    }

    fn is_cold_at(&self, at_ms: u64) -> bool {
        self.endpoint_restarts().any(|restart_ms| at_ms >= restart_ms && at_ms < restart_ms + COLD_MS)
    }

    /// Returns the fraction of the cold endpoints' capacity that was used.
    pub fn used_fraction(&self) -> f64 {
        let cold = self.arrivals.iter().flatten().filter(|at_ms| self.is_cold_at(**at_ms)).count();
        let cold_s = (self.scenario.endpoint_restarts as u64 * COLD_MS) as f64 / SECOND_MS as f64;
        cold as f64 / (cold_s * (COLD_REQUESTS_PER_S as usize * ENDPOINTS) as f64)
    }
}

fn remove_endpoints(pool: &mut EndpointPool) {
    (0..ENDPOINTS).for_each(|at| pool.apply(EndpointChange::Removed(endpoint(at))));
}

fn new_pool(scenario: &Scenario, at: usize, started_ms: u64) -> EndpointPool {
    let others: Vec<String> = (0..scenario.boxes).filter(|other| *other != at).map(box_name).collect();
    let known = others.iter().map(String::as_str).filter(|_| scenario.is_shared);
    let mut pool = EndpointPool::new();
    pool.set_sharing_boxes(SharingBoxes::new(&box_name(at), known, true));
    pool.set_process_start(started_ms);
    pool.set_cold_overage(OVERAGE);
    pool.set_cold_limits(&table());
    pool
}
