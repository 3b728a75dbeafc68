//! Discovers which agent serves which rank by querying each agent once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use ochreyard_core::group_map::{LeaderId, RankView};
use ochreyard_direct::{Dialect, Entry, HttpClient};
use ochreyard_rank::{RANK_PATH, RankStatus};

use crate::engine_location::EngineLocation;

/// Timeout of a status query: covers the answer of the agent's engine and a round trip while
/// hundreds of agents are queried at once.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// A rank as its agent has just reported it.
pub struct DiscoveredRank {
    /// The location of the rank's engine.
    pub engine: EngineLocation,
    /// The HTTP client for the rank's agent.
    pub agent: Rc<HttpClient>,
    /// The view that the rank reports.
    pub view: RankView,
    /// The leader that holds the agent's grant.
    pub holder: Option<LeaderId>,
}

/// Queries the agents of these engines. An agent listens on the box of its engine, at the
/// port on which entries accept requests of other boxes.
pub async fn discover_ranks<D: Dialect>(entry: &Entry<D>, engines: Vec<EngineLocation>) -> Vec<DiscoveredRank> {
    let port = entry.identity.record.addr.port();
    let queries = engines.into_iter().map(|engine| async move {
        let agent = Rc::new(HttpClient::new(SocketAddr::new(engine.addr.ip(), port)));
        let status = query_status(&agent).await?;
        Some(DiscoveredRank { engine, agent, view: status.view?, holder: status.holder })
    });
    join_all(queries).await.into_iter().flatten().collect()
}

/// Queries the status of one agent; `None` if no readable answer arrives in time.
pub async fn query_status(agent: &HttpClient) -> Option<RankStatus> {
    match agent.get(RANK_PATH, STATUS_TIMEOUT).await {
        Ok(response) => {
            let mut status: RankStatus = serde_json::from_slice(response.body()).ok()?;
            status.view = status.view.filter(RankView::is_consistent);
            Some(status)
        }
        Err(error) => {
            log::debug!("event=agent_silent addr={} error=\"{error}\"", agent.addr());
            None
        }
    }
}
