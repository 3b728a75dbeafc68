//! One question to the agent of one rank, or to its engine where the agent is down.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use ochreyard_core::group_map::{RankView, SentOrder};
use ochreyard_direct::CallLink;

use super::members::Member;
use crate::engine::RankEngine;
use crate::message::{ASK_PATH, Ask, Told};

/// Longest wait for an agent's answer: its engine's answers and a few round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes that the link of a box carries in a millisecond at the least (8 megabits a
/// second); the questions of one round share it.
const LINK_BYTES_PER_MS: usize = 1_000;

/// Asks a rank's agent; where it does not answer, its engine, if one is given. `orders`
/// are those of the question with their whole maps.
pub async fn ask_member<E: RankEngine>(
    member: &Member,
    ask: Ask,
    orders: &[SentOrder],
    engine: Option<&E>,
    asked_at_once: usize,
) -> Option<Told> {
    let told = ask_agent(Rc::clone(&member.link), ask, asked_at_once).await;
    let Some(engine) = engine.filter(|_| told.is_none()) else { return told };
    let mut outcomes = Vec::new();
    for order in orders {
        outcomes.push(engine.order(order).await);
    }
    let view = engine.view().await;
    match &view {
        Ok(view) => log::info!("event=rank_reached_directly rank={} view={}", view.rank, brief(view)),
        Err(error) => log::info!("event=rank_unreachable agent={} error=\"{error}\"", member.record.agent_addr),
    }
    Some(Told { view: Some(view.ok()?), outcomes, ..Told::default() })
}

/// Asks an agent, one of several that are asked at once; `None` where no readable
/// answer comes in time.
pub async fn ask_agent(link: Rc<CallLink>, ask: Ask, asked_at_once: usize) -> Option<Told> {
    let body = serde_json::to_vec(&ask).ok()?;
    let on_link = Duration::from_millis((body.len() * asked_at_once / LINK_BYTES_PER_MS) as u64);
    let request = Request::post(ASK_PATH)
        .header(http::header::HOST, link.addr().to_string())
        .body(Full::from(Bytes::from(body)))
        .ok()?;
    match link.call(request, ASK_TIMEOUT + on_link).await {
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
