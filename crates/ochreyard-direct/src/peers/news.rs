//! Takes what the leader of a group tells of it, and passes it on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::GroupNews;
use serde::{Deserialize, Serialize};

use crate::call_error::CallError;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::link::CallLink;

/// Where the leader of a group tells of it.
pub const GROUP_PATH: &str = "/group";
/// Largest news of a group.
const MAX_NEWS_BYTES: usize = 64 << 10;
/// Longest wait for a box that is told: until it is told again.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// News of a group, and the boxes that the one which gets it tells in turn.
///
/// A leader that told hundreds of boxes itself would need all of its link for that.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ToldNews {
    /// The news.
    pub news: GroupNews,
    /// Where to pass them on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pass_on: Vec<SocketAddr>,
}

impl ToldNews {
    /// Tells another box.
    ///
    /// # Errors
    ///
    /// When it has not taken the news by the time that it is told again.
    pub async fn tell(&self, link: &CallLink) -> Result<(), CallError> {
        link.post(GROUP_PATH, self, TELL_TIMEOUT).await.map(drop)
    }
}

/// Takes what a leader tells of its group.
pub async fn take_news<D: Dialect>(entry: &Rc<Entry<D>>, request: Request<Incoming>) -> StatusCode {
    let Ok(body) = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let told: ToldNews = match serde_json::from_slice(&body.to_bytes()) {
        Ok(told) => told,
        Err(error) => {
            log::warn!("event=group_news_unreadable error=\"{error}\"");
            return StatusCode::BAD_REQUEST;
        }
    };
    entry.take_group_news(&told.news);
    pass_on(entry, told);
    StatusCode::NO_CONTENT
}

/// Passes news on, without waiting for those that are told.
fn pass_on<D: Dialect>(entry: &Rc<Entry<D>>, told: ToldNews) {
    let passed = Rc::new(ToldNews { news: told.news, pass_on: Vec::new() });
    for addr in told.pass_on {
        let (link, passed) = (entry.link(addr), Rc::clone(&passed));
        tokio::task::spawn_local(async move {
            if let Err(error) = passed.tell(&link).await {
                log::debug!("event=box_not_told addr={addr} error=\"{error}\"");
            }
        });
    }
}
