//! Sends a request to the agent of one rank, or to its engine if the agent does not answer.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::group_map::{RankView, SentOrder};
use ochreyard_direct::HttpClient;
use ochreyard_rank::{AgentResponse, LeaderRequest, RANK_PATH, RankEngine};

/// Timeout of a request to an agent: covers the answers of its engine and a few round trips.
const AGENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum capacity of an entry's link (40 megabits a second); the requests of one round share
/// it.
const MIN_LINK_BYTES_PER_MS: usize = 5_000;

/// A request to one rank.
pub struct RankRequest {
    /// The request as it is sent to the agent; a delta may replace the map of an order.
    pub message: LeaderRequest,
    /// The orders of the request with their complete maps.
    pub orders: Vec<SentOrder>,
    /// Number of ranks to which requests are sent at the same time.
    pub concurrent_requests: usize,
}

/// Sends a request to the agent of a rank. If the agent does not answer and `engine` is given, sends
/// the orders to the engine and reads its view.
pub async fn send_to_rank<E: RankEngine>(
    agent: Rc<HttpClient>,
    request: RankRequest,
    engine: Option<E>,
) -> Option<AgentResponse> {
    let agent_addr = agent.addr();
    let response = send_to_agent(agent, request.message, request.concurrent_requests).await;
    let Some(engine) = engine.filter(|_| response.is_none()) else { return response };
    let mut outcomes = Vec::new();
    for order in &request.orders {
        outcomes.push(engine.order(order).await);
    }
    let view = engine.view().await;
    match &view {
        Ok(view) => log::info!("event=rank_reached_directly rank={} view={}", view.rank, summarize_view(view)),
        Err(error) => log::info!("event=rank_unreachable agent={agent_addr} error=\"{error}\""),
    }
    Some(AgentResponse { view: Some(view.ok()?), outcomes, ..AgentResponse::default() })
}

/// Sends a request to an agent; `None` if no readable response arrives in time. The timeout grows with the
/// number of requests that are sent at the same time, which share the link.
pub async fn send_to_agent(
    agent: Rc<HttpClient>,
    request: LeaderRequest,
    concurrent_requests: usize,
) -> Option<AgentResponse> {
    let bytes: usize = request.orders.iter().map(|sent| sent.order.estimated_bytes()).sum();
    let transmission_time = Duration::from_millis((bytes * concurrent_requests / MIN_LINK_BYTES_PER_MS) as u64);
    match agent.post(RANK_PATH, &request, AGENT_TIMEOUT + transmission_time).await {
        Ok(response) => {
            let mut response: AgentResponse = serde_json::from_slice(response.body()).ok()?;
            response.view = response.view.filter(RankView::is_consistent);
            Some(response)
        }
        Err(error) => {
            log::debug!("event=agent_silent addr={} error=\"{error}\"", agent.addr());
            None
        }
    }
}

/// A short form of a rank's view for log lines: open or broken, epoch, step, number of accepted orders,
/// map, prepared map, armed map, held step.
pub fn summarize_view(view: &RankView) -> String {
    let state = if view.is_open { "open" } else { "broken" };
    let or_dash = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
    let armed = or_dash(view.armed.map(|armed| armed.version));
    let (prepared, held) = (or_dash(view.prepared), or_dash(view.held));
    format!("{state}:{}:{}:{}:{}:{prepared}:{armed}:{held}", view.epoch, view.step, view.sequence, view.map)
}
