//! Reads what an endpoint's answer tells of the endpoint itself, and notes it.

use std::rc::Rc;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode, response};
use ochreyard_core::direct::{EndpointSignals, LimitWord, Pick, backoff_ms};

use crate::dialect::{Dialect, HeaderNames};
use crate::entry::Entry;
use crate::peers::broadcast;

/// Statuses with which an endpoint may ask for a pause.
const BACKOFF_STATUSES: [StatusCode; 2] = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
/// What the header of an endpoint that leaves holds where it says the contrary.
const FALSE_VALUES: [&[u8]; 2] = [b"0", b"false"];

/// What the head of an answer tells of the endpoint that gave it, be it the answer to this request or to another one.
pub fn read<D: Dialect>(dialect: &D, head: &response::Parts, is_own: bool) -> EndpointSignals {
    // Another endpoint than the one that was meant listens at this address, and speaks of itself.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return EndpointSignals::default();
    }
    let names = dialect.headers();
    let may_ask = BACKOFF_STATUSES.contains(&head.status);
    let asked = head.headers.get_all(RETRY_AFTER).iter().map(HeaderValue::as_bytes).filter(|_| may_ask);
    let load = head.headers.get(&names.load).and_then(|value| value.to_str().ok());
    let is_whole = is_own && head.headers.contains_key(&names.proof);
    EndpointSignals {
        backoff_ms: backoff_ms(asked),
        is_leaving: says_leaving(names, &head.headers),
        load: load.and_then(|value| dialect.read_load(value)),
        limit: LimitWord::read(head.headers.get_all(&names.limit).iter().map(HeaderValue::as_bytes), is_whole),
    }
}

fn says_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get_all(&names.leaving).iter().any(|value| !FALSE_VALUES.contains(&value.as_bytes().trim_ascii()))
}

/// Notes what an answer told of the endpoint that gave it; `sent_ms` is when the request was sent.
pub fn note<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, signals: &EndpointSignals, sent_ms: u64) {
    let now_ms = entry.clock.now_ms();
    let mut state = entry.state.borrow_mut();
    let before = state.pool.notice(pick);
    state.pool.on_signals(pick, signals, now_ms);
    let is_limit_news = state.pool.on_limit_word(pick, signals.limit, sent_ms, now_ms);
    let is_first_leaving = signals.is_leaving && !before.is_leaving();
    if is_first_leaving {
        state.connections.forget(pick);
    }
    drop(state);
    if let Some(backoff_ms) = signals.backoff_ms {
        let asked_age_ms = before.asked_age_ms(now_ms);
        let left_ms = before.backoff_until_ms(now_ms).map(|until_ms| until_ms - now_ms);
        log::info!(
            "event=endpoint_backoff endpoint={} addr={} asked_ms={backoff_ms} last_asked_ago_ms={asked_age_ms:?} \
             last_left_ms={left_ms:?}",
            pick.id,
            pick.addr
        );
    }
    if is_first_leaving {
        log::info!("event=endpoint_leaves endpoint={} addr={} source=answer", pick.id, pick.addr);
    }
    if is_limit_news {
        let news = entry.state.borrow().pool.limit_news_of(pick, now_ms);
        entry.log_limits(&news.limits, "answer");
        broadcast(entry, &news);
    }
}
