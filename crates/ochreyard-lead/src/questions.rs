//! One question to the agent of one rank, or to its engine where the agent is down.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::group_map::{RankView, SentOrder};
use ochreyard_direct::HttpClient;
use ochreyard_rank::{AgentResponse, LeaderRequest, RANK_PATH, RankEngine};

/// Longest wait for an agent's answer: its engine's answers and a few round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes that the link of an entry carries in a millisecond at the least (40 megabits a
/// second); the questions of one round share it.
const LINK_BYTES_PER_MS: usize = 5_000;

/// What is asked of one rank.
pub struct Question {
    /// The question as it is sent.
    pub ask: LeaderRequest,
    /// Its orders with their whole maps.
    pub orders: Vec<SentOrder>,
    /// How many ranks are asked at the same time.
    pub asked_at_once: usize,
}

/// Asks a rank's agent; where it does not answer, its engine, if one is given.
pub async fn ask_member<E: RankEngine>(
    link: Rc<HttpClient>,
    question: Question,
    engine: Option<E>,
) -> Option<AgentResponse> {
    let agent_addr = link.addr();
    let told = ask_agent(link, question.ask, question.asked_at_once).await;
    let Some(engine) = engine.filter(|_| told.is_none()) else { return told };
    let mut outcomes = Vec::new();
    for order in &question.orders {
        outcomes.push(engine.order(order).await);
    }
    let view = engine.view().await;
    match &view {
        Ok(view) => log::info!("event=rank_reached_directly rank={} view={}", view.rank, brief(view)),
        Err(error) => log::info!("event=rank_unreachable agent={agent_addr} error=\"{error}\""),
    }
    Some(AgentResponse { view: Some(view.ok()?), outcomes, ..AgentResponse::default() })
}

/// Asks an agent, one of several that are asked at once; `None` where no readable
/// answer comes in time.
pub async fn ask_agent(link: Rc<HttpClient>, ask: LeaderRequest, asked_at_once: usize) -> Option<AgentResponse> {
    let bytes: usize = ask.orders.iter().map(|sent| sent.order.estimated_bytes()).sum();
    let on_link = Duration::from_millis((bytes * asked_at_once / LINK_BYTES_PER_MS) as u64);
    match link.post(RANK_PATH, &ask, ASK_TIMEOUT + on_link).await {
        Ok(response) => serde_json::from_slice(response.body()).ok(),
        Err(error) => {
            log::debug!("event=agent_silent addr={} error=\"{error}\"", link.addr());
            None
        }
    }
}

/// A rank's view in a few words: epoch, step, orders taken, map, prepared, armed, held.
pub fn brief(view: &RankView) -> String {
    let open = if view.is_open { "open" } else { "broken" };
    let number = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
    let armed = number(view.armed.map(|armed| armed.version));
    let (prepared, held) = (number(view.prepared), number(view.held));
    format!("{open}:{}:{}:{}:{}:{prepared}:{armed}:{held}", view.epoch, view.step, view.sequence, view.map)
}
