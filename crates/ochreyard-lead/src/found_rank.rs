//! Which agent stands beside which rank: each is asked once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use ochreyard_core::group_map::{LeaderId, RankView};
use ochreyard_direct::{Dialect, Entry, HttpClient};
use ochreyard_rank::{RANK_PATH, RankStatus};

use crate::engine_at::EngineAt;

/// Longest wait for an agent's view: its engine's answer and a round trip, with hundreds
/// of agents asked at once.
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

/// One rank as its agent showed it just now.
pub struct FoundRank {
    /// Where its engine is.
    pub engine: EngineAt,
    /// The connection to its agent.
    pub link: Rc<HttpClient>,
    /// Its view.
    pub view: RankView,
    /// Who leads the group, as far as its agent knows.
    pub holder: Option<LeaderId>,
}

/// Asks the agents beside these engines. An agent listens on the box of its engine, at the
/// port at which entries are asked by other boxes.
pub async fn look_at<D: Dialect>(entry: &Entry<D>, engines: Vec<EngineAt>) -> Vec<FoundRank> {
    let port = entry.identity.record.addr.port();
    let asked = engines.into_iter().map(|engine| async move {
        let link = Rc::new(HttpClient::new(SocketAddr::new(engine.addr.ip(), port)));
        let looked = look(&link).await?;
        Some(FoundRank { engine, link, view: looked.view?, holder: looked.holder })
    });
    join_all(asked).await.into_iter().flatten().collect()
}

/// Asks one agent what it sees; `None` where no readable answer comes in time.
pub async fn look(link: &HttpClient) -> Option<RankStatus> {
    match link.get(RANK_PATH, LOOK_TIMEOUT).await {
        Ok(response) => serde_json::from_slice(response.body()).ok(),
        Err(error) => {
            log::debug!("event=agent_silent addr={} error=\"{error}\"", link.addr());
            None
        }
    }
}
