//! The boxes of the model, each with its present process.

use ochreyard_core::direct::{SharedRetryBudget, SharingBoxes, TakenRetry};
use ochreyard_core::hash;

use super::arrivals::Arrivals;
use super::scenario::{Kill, Scenario, Stall};

const SERVICE: &str = "service";
/// Length of a step of the model.
const STEP_MS: u64 = 10;
const MS_PER_S: f64 = 1_000.0;

struct ModelBox {
    budget: SharedRetryBudget,
    started_ms: u64,
    /// Requests that are due, as a fraction.
    due_requests: f64,
    /// Failed requests that are not retried yet, as a fraction.
    due_retries: f64,
}

impl ModelBox {
    fn is_running(&self, now_ms: u64) -> bool {
        now_ms >= self.started_ms
    }
}

/// A retry on its way to its endpoint.
struct SentRetry {
    retry: TakenRetry,
    at_box: usize,
    /// Start of the process that sent it.
    sender_started_ms: u64,
    arrival_ms: u64,
}

/// A fleet on virtual time.
pub struct Fleet {
    scenario: Scenario,
    boxes: Vec<ModelBox>,
    sent: Vec<SentRetry>,
    random: u64,
    arrivals: Arrivals,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut random = scenario.seed;
        let boxes = (0..scenario.boxes)
            .map(|_| ModelBox {
                budget: SharedRetryBudget::new(scenario.limits, scenario.boxes as u64, 0),
                started_ms: 0,
                due_requests: next_fraction(&mut random),
                due_retries: 0.0,
            })
            .collect();
        Self { scenario, boxes, sent: Vec::new(), random, arrivals: Arrivals::default() }
    }

    /// Runs the fleet from the start of its processes to `end_ms`.
    pub fn run(mut self, end_ms: u64) -> Arrivals {
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            let kills = self.scenario.kills.clone();
            kills.iter().filter(|kill| kill.at_ms / STEP_MS == now_ms / STEP_MS).for_each(|kill| self.kill(*kill));
            self.step(now_ms);
        }
        self.arrivals
    }

    /// Callers go on sending to boxes that do not run, and the failed requests of a killed process are not retried.
    fn kill(&mut self, kill: Kill) {
        for each in &mut self.boxes {
            if next_fraction(&mut self.random) < kill.share {
                each.started_ms = kill.at_ms + kill.down_ms;
                each.budget =
                    SharedRetryBudget::new(self.scenario.limits, SharingBoxes::default().count(), each.started_ms);
                each.due_retries = 0.0;
            }
        }
    }

    /// Retries arrive, also those of processes that were killed meanwhile. A process that runs gets the answer at once.
    fn deliver(&mut self, now_ms: u64) {
        for mut sent in self.sent.extract_if(.., |sent| sent.arrival_ms <= now_ms) {
            self.arrivals.retries_ms.push(now_ms);
            let sender = &mut self.boxes[sent.at_box];
            if sender.started_ms == sent.sender_started_ms {
                sender.budget.on_arrived(SERVICE, &mut sent.retry, now_ms);
            }
        }
    }

    /// When a retry arrives that is sent now.
    fn arrival_ms(&self, now_ms: u64) -> u64 {
        let is_stalled = |stall: &Stall| (stall.from_ms..stall.from_ms + stall.for_ms).contains(&now_ms);
        self.scenario
            .stalls
            .iter()
            .filter(|stall| is_stalled(stall))
            .map(|s| s.from_ms + s.for_ms)
            .max()
            .unwrap_or(now_ms)
    }

    fn step(&mut self, now_ms: u64) {
        self.deliver(now_ms);
        let Scenario { requests_per_s, failing_from_ms, failing_share, boxes_known_after_ms, .. } = self.scenario;
        let arrival_ms = self.arrival_ms(now_ms);
        let boxes = self.boxes.len() as u64;
        for (at_box, each) in self.boxes.iter_mut().enumerate() {
            each.due_requests += requests_per_s * STEP_MS as f64 / MS_PER_S;
            if each.is_running(now_ms) && now_ms >= each.started_ms + boxes_known_after_ms {
                each.budget.set_boxes(boxes, now_ms);
            }
            while each.due_requests >= 1.0 {
                each.due_requests -= 1.0;
                self.arrivals.requests_ms.push(now_ms);
                if !each.is_running(now_ms) {
                    continue;
                }
                each.budget.on_request(SERVICE, now_ms);
                each.due_retries += if now_ms >= failing_from_ms { failing_share } else { 0.0 };
            }
            while each.due_retries >= 1.0 && each.is_running(now_ms) {
                each.due_retries -= 1.0;
                if let Some(retry) = each.budget.try_take(SERVICE, now_ms) {
                    self.sent.push(SentRetry { retry, at_box, sender_started_ms: each.started_ms, arrival_ms });
                }
            }
        }
    }
}

/// Returns the next number of an even distribution from 0 to 1.
fn next_fraction(random: &mut u64) -> f64 {
    *random = random.wrapping_add(1);
    (hash::mix(*random) >> 11) as f64 / (1u64 << 53) as f64
}
