//! A stand-in for a rank group that runs in lock-step and streams tokens.
//!
//! All ranks take each step together, so the slowest rank decides how long a step takes. The answer is a function of the
//! request body, so that a test can tell to which request an answer belongs: token `i` is `t<hash of body>-<i> `.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use ochreyard_core::hash;
use ochreyard_core::map_switch::{OrderEnvelope, Rank, RankOrder};
use ochreyard_core::rebalance::Placement;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// The faults that the group injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupFault {
    /// The rank that needs `stall_ms` more time in each step.
    pub stalled_rank: Option<usize>,
    /// Added duration of each step of `stalled_rank`, in milliseconds.
    pub stall_ms: u64,
    /// Number of tokens after which streams are aborted.
    pub break_after: Option<u64>,
    /// The rank that drops all orders.
    pub deaf_rank: Option<u32>,
    /// Whether `deaf_rank` drops only the orders that schedule a map.
    pub deaf_to_activate_only: bool,
    /// The expert that gets ten times the tokens of each other expert.
    pub hot_expert: Option<usize>,
}

/// Number of experts in the group's only layer.
const EXPERTS: usize = 16;
/// Number of expert slots of each rank.
const SLOTS_PER_RANK: usize = 5;
/// The number of the expert map with which the group starts.
const INITIAL_MAP: u64 = 1;

/// The size and speed of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupConfig {
    /// Number of ranks.
    pub ranks: usize,
    /// Duration of a step, in milliseconds.
    pub step_ms: u64,
    /// Largest number of requests in a batch; further requests wait.
    pub max_batch: usize,
    /// Number of steps before the first token of a request whose prefix is not cached.
    pub prefill_steps: u64,
    /// Number of request prefixes that are cached.
    pub cached_prompts: usize,
}

impl Default for GroupConfig {
    fn default() -> Self {
        Self { ranks: 4, step_ms: 5, max_batch: 1024, prefill_steps: 0, cached_prompts: 0 }
    }
}

/// Length of the request prefix by which the cache is keyed, in bytes.
const PREFIX_BYTES: usize = 256;

#[derive(Debug)]
struct Inner {
    cache: VecDeque<u64>,
    cache_hits: u64,
    ranks: Vec<Rank>,
    maps: BTreeMap<u64, Placement>,
    running: u32,
    started: u64,
    cancelled: u64,
    step_us: u64,
    fault: GroupFault,
    /// Number of steps in which ranks used different maps; must stay 0.
    mixed_steps: u64,
    /// Number of steps that waited at a gate.
    held_steps: u64,
}

impl Inner {
    /// Lets all ranks enter a step, unless a rank is held at a gate. Returns whether they entered it.
    fn try_enter(&mut self, step: u64) -> bool {
        if !self.ranks.iter().all(|rank| rank.may_enter(step)) {
            self.held_steps += 1;
            return false;
        }
        let maps: BTreeSet<u64> = self.ranks.iter_mut().map(|rank| rank.enter(step)).collect();
        self.mixed_steps += u64::from(maps.len() > 1);
        true
    }

    fn map_in_use(&self) -> u64 {
        let view = self.ranks[0].view();
        view.map_at(view.step)
    }
}

/// A rank group; clones share their state.
#[derive(Debug, Clone)]
pub struct RankGroup {
    inner: Arc<Mutex<Inner>>,
    step: watch::Sender<u64>,
    batch: Arc<Semaphore>,
    config: GroupConfig,
}

#[derive(Deserialize)]
struct Prompt {
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
}

const fn default_tokens() -> u64 {
    16
}

/// Returns token `i` of the answer to a request body.
#[must_use]
pub fn token(body: &str, i: u64) -> String {
    format!("t{:x}-{i} ", hash::fnv1a(body.as_bytes()))
}

/// Returns the complete answer to a request body.
#[must_use]
pub fn complete_text(body: &str, tokens: u64) -> String {
    (0..tokens).map(|i| token(body, i)).collect()
}

impl RankGroup {
    /// Creates a group of this size and speed, before its first step.
    #[must_use]
    pub fn new(config: GroupConfig) -> Self {
        let inner = Inner {
            cache: VecDeque::new(),
            cache_hits: 0,
            ranks: vec![Rank::new(INITIAL_MAP); config.ranks],
            maps: [(INITIAL_MAP, Placement::even(EXPERTS, config.ranks, SLOTS_PER_RANK))].into(),
            running: 0,
            started: 0,
            cancelled: 0,
            step_us: config.step_ms * 1000,
            fault: GroupFault::default(),
            mixed_steps: 0,
            held_steps: 0,
        };
        let batch = Arc::new(Semaphore::new(config.max_batch));
        Self { inner: Arc::new(Mutex::new(inner)), step: watch::Sender::new(0), batch, config }
    }

    /// Returns the number of steps before the first token, which is 0 if the prefix of the request is cached. Adds the
    /// prefix to the cache.
    fn prefill_steps(&self, body: &str) -> u64 {
        let prefix = hash::fnv1a(&body.as_bytes()[..body.len().min(PREFIX_BYTES)]);
        self.with(|inner| {
            let cached_at = inner.cache.iter().position(|cached| *cached == prefix);
            if let Some(index) = cached_at {
                inner.cache.remove(index);
                inner.cache_hits += 1;
            }
            inner.cache.push_back(prefix);
            while inner.cache.len() > self.config.cached_prompts {
                inner.cache.pop_front();
            }
            if cached_at.is_some() { 0 } else { self.config.prefill_steps }
        })
    }

    /// Returns the router of the group.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/completions", post(complete))
            .route("/control/load", get(load))
            .route("/control/orders", post(order))
            .route("/control/experts", get(experts))
            .route("/control/maps/{map}", put(put_map))
            .route("/control/state", get(state))
            .route("/fault", post(set_fault))
            .with_state(self)
    }

    fn with<T>(&self, access: impl FnOnce(&mut Inner) -> T) -> T {
        access(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs steps until the process ends.
    pub async fn run_steps(self) {
        loop {
            let next = *self.step.borrow() + 1;
            let stall_ms = self.with(|inner| inner.fault.stalled_rank.map_or(0, |_| inner.fault.stall_ms));
            tokio::time::sleep(Duration::from_millis(self.config.step_ms + stall_ms)).await;
            let entered = self.with(|inner| {
                inner.step_us = (self.config.step_ms + stall_ms) * 1000;
                inner.try_enter(next)
            });
            if entered {
                self.step.send_replace(next);
            }
        }
    }
}

async fn complete(State(group): State<RankGroup>, body: String) -> Response {
    let Ok(prompt) = serde_json::from_str::<Prompt>(&body) else {
        return (StatusCode::BAD_REQUEST, "not the expected JSON").into_response();
    };
    let guard = RunGuard::new(&group);
    let Ok(permit) = Arc::clone(&group.batch).acquire_owned().await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let mut steps = group.step.subscribe();
    for _ in 0..group.prefill_steps(&body) {
        if steps.changed().await.is_err() {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
    }
    let guard = (guard, permit);
    if prompt.stream {
        return stream(group, guard, body, prompt.max_tokens);
    }
    for _ in 0..prompt.max_tokens {
        if steps.changed().await.is_err() {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
    }
    guard.0.finish();
    let text = complete_text(&body, prompt.max_tokens);
    Json(json!({ "choices": [{ "message": { "content": text } }] })).into_response()
}

fn stream(group: RankGroup, guard: (RunGuard, OwnedSemaphorePermit), body: String, tokens: u64) -> Response {
    let mut steps = group.step.subscribe();
    let events = async_stream::stream! {
        for i in 0..tokens {
            if steps.changed().await.is_err() {
                return;
            }
            if group.with(|inner| inner.fault.break_after.is_some_and(|tokens| i >= tokens)) {
                yield Err(std::io::Error::other("the group broke off"));
                return;
            }
            let data = json!({ "choices": [{ "delta": { "content": token(&body, i) } }] });
            yield Ok(format!("data: {data}\n\n"));
        }
        yield Ok("data: [DONE]\n\n".to_owned());
        guard.0.finish();
    };
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, axum::body::Body::from_stream(events)).into_response()
}

async fn load(State(group): State<RankGroup>) -> Json<Value> {
    Json(group.with(|inner| {
        json!({ "running": inner.running, "waiting": 0, "step_us": inner.step_us, "expert_map": inner.map_in_use() })
    }))
}

async fn state(State(group): State<RankGroup>) -> Json<Value> {
    let step = *group.step.borrow();
    Json(group.with(|inner| {
        json!({ "step": step, "running": inner.running, "started": inner.started, "cancelled": inner.cancelled,
                "cache_hits": inner.cache_hits, "mixed_steps": inner.mixed_steps, "held_steps": inner.held_steps, "map": inner.map_in_use(),
                "gated": inner.ranks.iter().any(|rank| rank.view().gate.is_some()) })
    }))
}

async fn set_fault(State(group): State<RankGroup>, Json(fault): Json<GroupFault>) {
    group.with(|inner| inner.fault = fault);
}

async fn order(State(group): State<RankGroup>, Json(order): Json<OrderEnvelope>) -> Response {
    group.with(|inner| {
        let receives_order = inner.fault.deaf_to_activate_only && !matches!(order.order, RankOrder::Activate { .. });
        let drops_order = inner.fault.deaf_rank == Some(order.rank) && !receives_order;
        let stages_unknown_map = matches!(order.order, RankOrder::Stage { map } if !inner.maps.contains_key(&map));
        match inner.ranks.get_mut(order.rank as usize) {
            Some(rank) if !drops_order && !stages_unknown_map => Json(rank.on_order(&order)).into_response(),
            _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    })
}

async fn put_map(State(group): State<RankGroup>, Path(map): Path<u64>, Json(placement): Json<Placement>) {
    group.with(|inner| inner.maps.insert(map, placement));
}

async fn experts(State(group): State<RankGroup>) -> Json<Value> {
    Json(group.with(|inner| {
        let count = |expert: usize| if inner.fault.hot_expert == Some(expert) { 1000.0 } else { 100.0 };
        let counts: Vec<f64> = (0..EXPERTS).map(count).collect();
        let placement = &inner.maps[&inner.map_in_use()];
        let stalled_us = |rank: usize| {
            if inner.fault.stalled_rank == Some(rank) { inner.fault.stall_ms as f64 * 1000.0 } else { 0.0 }
        };
        let loads = placement.rank_loads(&counts);
        let times: Vec<f64> = loads.iter().enumerate().map(|(rank, load)| load * 10.0 + stalled_us(rank)).collect();
        json!({ "counts": counts, "rank_times_us": times, "placement": placement, "expert_bytes": 50_000_000 })
    }))
}

/// Counts a run; a guard that is dropped before `finish` counts it as cancelled.
struct RunGuard {
    group: RankGroup,
    finished: bool,
}

impl RunGuard {
    fn new(group: &RankGroup) -> Self {
        group.with(|inner| {
            inner.running += 1;
            inner.started += 1;
        });
        Self { group: group.clone(), finished: false }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let finished = self.finished;
        self.group.with(|inner| {
            inner.running -= 1;
            inner.cancelled += u64::from(!finished);
        });
    }
}
