//! Reads what an endpoint reports about itself in the head of an answer, and records it.

use std::rc::Rc;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode, response};
use ochreyard_core::direct::{EndpointSignals, Pick, ReportedLimit, parse_backoff_ms};

use crate::dialect::{Dialect, HeaderNames};
use crate::entry::Entry;
use crate::peers::broadcast;

/// Statuses with which an endpoint may ask for a backoff.
const BACKOFF_STATUSES: [StatusCode; 2] = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
/// Values of the leaving header that deny it.
const FALSE_VALUES: [&[u8]; 2] = [b"0", b"false"];

/// Reads what the head of an answer reports about the endpoint that gave it, whether it answers this request or another
/// one.
pub fn read<D: Dialect>(dialect: &D, head: &response::Parts, is_own: bool) -> EndpointSignals {
    // A different endpoint listens at this address, and reports about itself.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return EndpointSignals::default();
    }
    let names = dialect.headers();
    let may_ask_backoff = BACKOFF_STATUSES.contains(&head.status);
    let asked = head.headers.get_all(RETRY_AFTER).iter().map(HeaderValue::as_bytes).filter(|_| may_ask_backoff);
    let load = head.headers.get(&names.load).and_then(|value| value.to_str().ok());
    let is_proven = is_own && head.headers.contains_key(&names.proof);
    EndpointSignals {
        backoff_ms: parse_backoff_ms(asked),
        is_leaving: says_leaving(names, &head.headers),
        load: load.and_then(|value| dialect.read_load(value)),
        limit: ReportedLimit::from_header_values(
            head.headers.get_all(&names.limit).iter().map(HeaderValue::as_bytes),
            is_proven,
        ),
    }
}

fn says_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get_all(&names.leaving).iter().any(|value| !FALSE_VALUES.contains(&value.as_bytes().trim_ascii()))
}

/// Records what an answer reported about the endpoint that gave it; `sent_ms` is when the request was sent.
pub fn record<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, signals: &EndpointSignals, sent_ms: u64) {
    let now_ms = entry.clock.now_ms();
    let mut state = entry.state.borrow_mut();
    let before = state.pool.availability_notice(pick);
    state.pool.on_signals(pick, signals, now_ms);
    let limit_changed = state.pool.on_reported_limit(pick, signals.limit, sent_ms, now_ms);
    let is_first_leaving = signals.is_leaving && !before.is_leaving();
    if is_first_leaving {
        state.connections.forget(pick);
    }
    drop(state);
    if let Some(backoff_ms) = signals.backoff_ms {
        let backoff_request_age_ms = before.backoff_request_age_ms(now_ms);
        let left_ms = before.backoff_until_ms(now_ms).map(|until_ms| until_ms - now_ms);
        log::info!(
            "event=endpoint_backoff endpoint={} addr={} asked_ms={backoff_ms} last_asked_ago_ms={backoff_request_age_ms:?} \
             last_left_ms={left_ms:?}",
            pick.id,
            pick.addr
        );
    }
    if is_first_leaving {
        log::info!("event=endpoint_leaves endpoint={} addr={} source=answer", pick.id, pick.addr);
    }
    if limit_changed {
        let update = entry.state.borrow().pool.limit_update_for(pick, now_ms);
        entry.log_limits(&update.limits, "answer");
        broadcast(entry, &update);
    }
}
