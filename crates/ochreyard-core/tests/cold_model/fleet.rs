//! Boxes, and endpoints that come back cold, without network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use ochreyard_core::direct::{
    AttemptOutcome, ColdLimits, EndpointChange, EndpointPool, EndpointRecord, Pick, RouteTable, ServiceSpec,
    SharingBoxes, Urgency,
};

use crate::draws::Draws;

/// Requests a second that a cold endpoint bears.
pub const PER_S: u64 = 17;
/// How much more it may get, as a factor.
const OVERAGE: f64 = 1.5;
const ENDPOINTS: usize = 24;
const SLOTS: u64 = 10;
const STEP_MS: u64 = 10;
/// Endpoints come back here, and every so often, in milliseconds.
const BACK_MS: u64 = 3_000;
const RETURN_EVERY_MS: u64 = 6_000;
/// How long they are gone before, in milliseconds: nothing that was on its way arrives after their return.
const GONE_MS: u64 = 500;
/// How long they stay cold, in milliseconds.
const COLD_MS: u64 = 3_000;
const LENGTH_MS: u64 = 16_000;
/// Milliseconds from a decision to the arrival, and from there to the end.
const TRANSIT_MS: (u64, u64) = (1, 150);
const RUN_MS: (u64, u64) = (50, 400);
const SECOND_MS: u64 = 1_000;

/// What a fleet is, and what is wrong in it.
#[derive(Debug, Clone)]
pub struct Setting {
    pub boxes: usize,
    /// Requests of all callers together, as a part of what cold endpoints bear.
    pub demand: f64,
    /// How many times more callers than the others the first box has.
    pub skew: f64,
    /// Boxes that are killed and start again.
    pub restarts: usize,
    /// How often endpoints come back cold.
    pub returns: usize,
    /// Whether boxes share the bound, or each takes it whole.
    pub is_dealt: bool,
    pub seed: u64,
}

impl Setting {
    /// Three times as many callers as cold endpoints bear, evenly spread.
    pub const fn calm(boxes: usize, seed: u64) -> Self {
        Self { boxes, demand: 3.0, skew: 1.0, restarts: 0, returns: 1, is_dealt: true, seed }
    }
}

pub struct Fleet {
    setting: Setting,
    draws: Draws,
    pools: Vec<EndpointPool>,
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    picks: Vec<Pick>,
    arrivals: Vec<Vec<u64>>,
    now_ms: u64,
}

fn name(at: usize) -> String {
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
    let cold = Some(ColdLimits { requests_per_s: PER_S as f64 });
    RouteTable::new(1).with_service(ServiceSpec { name: "brief".to_owned(), max_connections: 500, engine: None, cold })
}

impl Fleet {
    pub fn new(setting: Setting) -> Self {
        let pools = (0..setting.boxes).map(|at| new_pool(&setting, at, 0)).collect();
        let draws = Draws::new(setting.seed);
        let arrivals = vec![Vec::new(); ENDPOINTS];
        Self { setting, draws, pools, ends: BinaryHeap::new(), picks: Vec::new(), arrivals, now_ms: 0 }
    }

    pub fn run(mut self) -> Self {
        let last_return_ms = BACK_MS + (self.setting.returns as u64 - 1) * RETURN_EVERY_MS;
        let restarts: Vec<(u64, usize)> = (0..self.setting.restarts)
            .map(|_| {
                let at_box = self.draws.between(0, self.setting.boxes as u64 - 1) as usize;
                (self.draws.between(BACK_MS, last_return_ms + COLD_MS) / STEP_MS * STEP_MS, at_box)
            })
            .collect();
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            if self.returns().any(|back_ms| self.now_ms == back_ms - GONE_MS) {
                self.pools.iter_mut().for_each(go_away);
            }
            if self.returns().any(|back_ms| self.now_ms == back_ms) {
                (0..self.pools.len()).for_each(|at| self.come_back(at));
            }
            let now_ms = self.now_ms;
            for (_, at) in restarts.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
                self.restart(*at);
            }
            self.end_due();
            (0..self.pools.len()).for_each(|at| self.serve_callers(at));
        }
        self
    }

    /// When endpoints come back.
    fn returns(&self) -> impl Iterator<Item = u64> + use<> {
        (0..self.setting.returns as u64).map(|n| BACK_MS + n * RETURN_EVERY_MS)
    }

    /// Since when endpoints live, and how long they stay cold yet; `None` while they are gone.
    fn cold_ms(&self) -> Option<(u64, u64)> {
        if self.returns().any(|back_ms| self.now_ms >= back_ms - GONE_MS && self.now_ms < back_ms) {
            return None;
        }
        let born_ms = self.returns().filter(|back_ms| *back_ms <= self.now_ms).max()?;
        Some((born_ms, (born_ms + COLD_MS).saturating_sub(self.now_ms)))
    }

    /// A box reads that all endpoints are back.
    fn come_back(&mut self, at: usize) {
        let Some((born_ms, cold_ms)) = self.cold_ms() else { return };
        for number in 0..ENDPOINTS {
            self.pools[at].apply(EndpointChange::Updated(endpoint(number), record(number, born_ms, cold_ms)));
            self.pools[at].on_cold(&endpoint(number), cold_ms, self.now_ms);
        }
    }

    fn restart(&mut self, at: usize) {
        self.pools[at] = new_pool(&self.setting, at, self.now_ms);
        self.come_back(at);
    }

    fn serve_callers(&mut self, at: usize) {
        let parts = self.setting.boxes as f64 - 1.0 + self.setting.skew;
        let part = if at == 0 { self.setting.skew } else { 1.0 } / parts;
        let demand_per_s = self.setting.demand * (PER_S as usize * ENDPOINTS) as f64;
        let mut expected = demand_per_s * part * STEP_MS as f64 / SECOND_MS as f64;
        while expected > 0.0 {
            if self.draws.happens(expected.min(1.0)) {
                self.send(at);
            }
            expected -= 1.0;
        }
    }

    fn send(&mut self, at: usize) {
        let draw = self.draws.number();
        let Ok(pick) = self.pools[at].pick("brief", &[], Urgency::OnTime, draw, self.now_ms) else { return };
        self.pools[at].on_attempt_start(&pick);
        assert!(self.pools[at].try_record_send(&pick, None, self.now_ms), "what was picked just now may be sent");
        let arrives_ms = self.now_ms + self.draws.between(TRANSIT_MS.0, TRANSIT_MS.1);
        let endpoint: usize = pick.id[2..].parse().unwrap();
        self.arrivals[endpoint].push(arrives_ms);
        self.picks.push(pick);
        let ends_ms = arrives_ms + self.draws.between(RUN_MS.0, RUN_MS.1);
        self.ends.push(Reverse((ends_ms, at, self.picks.len() - 1)));
    }

    fn end_due(&mut self) {
        while self.ends.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= self.now_ms) {
            let Some(Reverse((_, at, pick))) = self.ends.pop() else { return };
            self.pools[at].on_answered(&self.picks[pick]);
            self.pools[at].on_attempt_end(&self.picks[pick], AttemptOutcome::Success, self.now_ms);
        }
    }

    /// Most arrivals at one endpoint within any second while it was cold.
    pub fn worst(&self) -> usize {
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
        self.returns().any(|back_ms| at_ms >= back_ms && at_ms < back_ms + COLD_MS)
    }

    /// The part of what cold endpoints bear that was used.
    pub fn used(&self) -> f64 {
        let cold = self.arrivals.iter().flatten().filter(|at_ms| self.is_cold_at(**at_ms)).count();
        let cold_s = (self.setting.returns as u64 * COLD_MS) as f64 / SECOND_MS as f64;
        cold as f64 / (cold_s * (PER_S as usize * ENDPOINTS) as f64)
    }
}

fn go_away(pool: &mut EndpointPool) {
    (0..ENDPOINTS).for_each(|at| pool.apply(EndpointChange::Removed(endpoint(at))));
}

fn new_pool(setting: &Setting, at: usize, started_ms: u64) -> EndpointPool {
    let others: Vec<String> = (0..setting.boxes).filter(|other| *other != at).map(name).collect();
    let known = others.iter().map(String::as_str).filter(|_| setting.is_dealt);
    let mut pool = EndpointPool::new();
    pool.set_sharing_boxes(SharingBoxes::new(&name(at), known, true));
    pool.set_cold_overage(OVERAGE, started_ms);
    pool.set_cold_limits(&table());
    pool
}
