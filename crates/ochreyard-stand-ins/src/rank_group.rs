//! A rank group in lock-step that streams tokens.
//!
//! All ranks take each step together: the slowest decides its time. The answer
//! to a prompt is a function of the prompt, so that a test can tell whose answer
//! it got: token `i` is `t<hash of prompt>-<i> `.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use ochreyard_core::hash;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

/// Faults of the group.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupFault {
    /// This rank takes `stall_ms` longer in each step.
    pub stalled_rank: Option<usize>,
    /// See `stalled_rank`, in milliseconds.
    pub stall_ms: u64,
    /// Streams break off after this many tokens.
    pub break_after: Option<u64>,
}

#[derive(Debug)]
struct Inner {
    ranks: Vec<RankState>,
    fence: u64,
    running: u32,
    started: u64,
    cancelled: u64,
    step_us: u64,
    fault: GroupFault,
    mixed_steps: u64,
}

/// One rank: the map in use, the map beside it, and the gate.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RankState {
    /// The expert map in use.
    pub map: u64,
    /// The map that is staged.
    pub staged: Option<u64>,
    /// The first step that is held back.
    pub gate: Option<u64>,
}

/// The state of the stand-in.
#[derive(Debug, Clone)]
pub struct RankGroup {
    inner: Arc<Mutex<Inner>>,
    step: watch::Sender<u64>,
    step_ms: u64,
}

/// An order as the agent sends it.
#[derive(Debug, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
enum Order {
    StageMap { map: u64, rank: usize },
    Gate { step: u64, rank: usize },
    ActivateMap { map: u64, rank: usize },
    Release { rank: usize },
    LoadVersion {},
    ChangeRole {},
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

/// Token `i` of the answer to a request body.
#[must_use]
pub fn token(body: &str, i: u64) -> String {
    format!("t{:x}-{i} ", hash::fnv1a(body.as_bytes()))
}

/// The whole answer to a request body.
#[must_use]
pub fn whole_text(body: &str, tokens: u64) -> String {
    (0..tokens).map(|i| token(body, i)).collect()
}

impl RankGroup {
    /// A group of `ranks` whose steps take `step_ms`.
    #[must_use]
    pub fn new(ranks: usize, step_ms: u64) -> Self {
        let inner = Inner {
            ranks: vec![RankState::default(); ranks],
            fence: 0,
            running: 0,
            started: 0,
            cancelled: 0,
            step_us: step_ms * 1000,
            fault: GroupFault::default(),
            mixed_steps: 0,
        };
        Self { inner: Arc::new(Mutex::new(inner)), step: watch::Sender::new(0), step_ms }
    }

    /// The routes of the group.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/completions", post(complete))
            .route("/control/load", get(load))
            .route("/control/orders", post(order))
            .route("/control/state", get(state))
            .route("/fault", post(set_fault))
            .with_state(self)
    }

    fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes steps until the process ends.
    pub async fn run_steps(self) {
        loop {
            let next = *self.step.borrow() + 1;
            let stall_ms = self.with(|inner| inner.fault.stalled_rank.map_or(0, |_| inner.fault.stall_ms));
            tokio::time::sleep(Duration::from_millis(self.step_ms + stall_ms)).await;
            let enters = self.with(|inner| {
                inner.step_us = (self.step_ms + stall_ms) * 1000;
                let held = inner.ranks.iter().any(|rank| rank.gate.is_some_and(|gate| next >= gate));
                let mixed = inner.ranks.iter().any(|rank| rank.map != inner.ranks[0].map);
                inner.mixed_steps += u64::from(mixed && !held);
                !held
            });
            if enters {
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
    if prompt.stream {
        return stream(group, guard, body, prompt.max_tokens);
    }
    let mut steps = group.step.subscribe();
    for _ in 0..prompt.max_tokens {
        if steps.changed().await.is_err() {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
    }
    guard.finish();
    let text = whole_text(&body, prompt.max_tokens);
    Json(json!({ "choices": [{ "message": { "content": text } }] })).into_response()
}

fn stream(group: RankGroup, guard: RunGuard, body: String, tokens: u64) -> Response {
    let mut steps = group.step.subscribe();
    let events = async_stream::stream! {
        for i in 0..tokens {
            if steps.changed().await.is_err() {
                return;
            }
            if group.with(|inner| inner.fault.break_after.is_some_and(|after| i >= after)) {
                yield Err(std::io::Error::other("the group broke off"));
                return;
            }
            let data = json!({ "choices": [{ "delta": { "content": token(&body, i) } }] });
            yield Ok(format!("data: {data}\n\n"));
        }
        yield Ok("data: [DONE]\n\n".to_owned());
        guard.finish();
    };
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, axum::body::Body::from_stream(events)).into_response()
}

async fn load(State(group): State<RankGroup>) -> Json<Value> {
    Json(group.with(|inner| {
        json!({ "running": inner.running, "waiting": 0, "step_us": inner.step_us, "expert_map": inner.ranks[0].map })
    }))
}

async fn state(State(group): State<RankGroup>) -> Json<Value> {
    let step = *group.step.borrow();
    Json(group.with(|inner| {
        json!({ "step": step, "running": inner.running, "started": inner.started, "cancelled": inner.cancelled,
                "mixed_steps": inner.mixed_steps, "ranks": inner.ranks, "fence": inner.fence })
    }))
}

async fn set_fault(State(group): State<RankGroup>, Json(fault): Json<GroupFault>) {
    group.with(|inner| inner.fault = fault);
}

async fn order(State(group): State<RankGroup>, headers: HeaderMap, Json(order): Json<Order>) -> Response {
    let token = headers.get("ochreyard-fence").and_then(|v| v.to_str().ok()?.parse::<u64>().ok()).unwrap_or(0);
    let step = *group.step.borrow();
    group.with(|inner| {
        if token < inner.fence {
            return (StatusCode::CONFLICT, format!("token {token} is below {}", inner.fence)).into_response();
        }
        inner.fence = token;
        Json(json!({ "step": step, "done": carry_out(inner, step, &order) })).into_response()
    })
}

fn carry_out(inner: &mut Inner, step: u64, order: &Order) -> bool {
    let rank = match order {
        Order::StageMap { rank, .. }
        | Order::Gate { rank, .. }
        | Order::ActivateMap { rank, .. }
        | Order::Release { rank } => *rank,
        Order::LoadVersion {} | Order::ChangeRole {} => return true,
    };
    let Some(state) = inner.ranks.get_mut(rank) else { return false };
    match *order {
        Order::StageMap { map, .. } => state.staged = Some(map),
        // A rank that is past the step says so by refusing; its reply carries its step.
        Order::Gate { step: gate, .. } if gate <= step => return false,
        Order::Gate { step: gate, .. } => state.gate = Some(gate),
        Order::ActivateMap { map, .. } if state.staged != Some(map) && state.map != map => return false,
        Order::ActivateMap { map, .. } => state.map = map,
        Order::Release { .. } => state.gate = None,
        Order::LoadVersion {} | Order::ChangeRole {} => {}
    }
    true
}

/// Counts a run; one that is dropped before its end was cancelled.
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
