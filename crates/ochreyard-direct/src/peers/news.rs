//! Takes what the leader of a group tells of it.

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::GroupNews;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Where the leader of a group tells of it.
pub const GROUP_PATH: &str = "/group";
/// Largest news of a group.
const MAX_NEWS_BYTES: usize = 64 << 10;

/// Takes what a leader tells of its group.
pub async fn take_news<D: Dialect>(entry: &Entry<D>, request: Request<Incoming>) -> StatusCode {
    let Ok(body) = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let Ok(news) = serde_json::from_slice::<GroupNews>(&body.to_bytes()) else {
        log::warn!("event=group_news_unreadable");
        return StatusCode::BAD_REQUEST;
    };
    let now_ms = entry.clock.now_ms();
    entry.state.borrow_mut().pool.on_news(&news, now_ms);
    log::debug!("event=group_told group={} serving={}", news.group, news.is_serving);
    StatusCode::NO_CONTENT
}
