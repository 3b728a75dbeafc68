//! The listeners: callers, readiness, other boxes.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ochreyard_core::direct::{GroupUpdate, LimitUpdate, QuarantineUpdate};
use ochreyard_core::error_kind::ErrorKind;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer_body::AnswerBody;
use crate::caller_stream::CallerStream;
use crate::catch_panic::catch_panic;
use crate::dialect::Dialect;
use crate::draining_connection::{DrainPhase, serve_until_closing};
use crate::entry::Entry;
use crate::log_updates::{LeavingUpdate, OperatorUpdate};
use crate::operator_api::{self, QUARANTINE_PATH, RELEASE_PATH};
use crate::peers::{HandoverRole, PeerUpdate};
use crate::{connection, forward, meters, peers, refusal};

/// Least size of the buffer for a request head; hyper requires this much.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Pause after a failed accept: file descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the process ends.
pub async fn serve_callers<D: Dialect>(
    entry: Rc<Entry<D>>,
    listener: Rc<TcpListener>,
    phase: watch::Sender<DrainPhase>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(tokio::task::spawn_local(serve_caller(Rc::clone(&entry), stream, phase.subscribe())));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller<D: Dialect>(entry: Rc<Entry<D>>, stream: TcpStream, phase: watch::Receiver<DrainPhase>) {
    if let Err(error) = connection::set_socket_options(&stream) {
        log::debug!("event=socket_options_failed error=\"{error}\"");
    }
    let limits = entry.state.borrow().table.as_ref().map(|table| table.limits()).unwrap_or_default();
    // Its first request gets an answer, which closes the connection.
    let is_opened_late = *phase.borrow() == DrainPhase::Closing;
    let handled = Rc::clone(&entry);
    let service = service_fn(move |request| {
        let entry = Rc::clone(&handled);
        async move { Ok::<_, Infallible>(answer_caller(entry, request).await) }
    });
    let mut builder = http1::Builder::new();
    // hyper counts the idle time between requests as part of the wait for a head, and callers may use a connection that
    // was idle for long.
    let idle_timeout_ms = if is_opened_late { 0 } else { limits.idle_timeout_ms };
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_timeout_ms.max(limits.header_timeout_ms)))
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES));
    let stream = CallerStream::new(stream, Duration::from_millis(limits.idle_timeout_ms));
    let probe = stream.probe();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let outcome = if is_opened_late { connection.await } else { serve_until_closing(connection, &probe, phase).await };
    if let Err(error) = outcome {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}

async fn answer_caller<D: Dialect>(entry: Rc<Entry<D>>, request: Request<Incoming>) -> Response<AnswerBody> {
    let answer = catch_panic(forward::answer(Rc::clone(&entry), request)).await;
    let mut response = answer.unwrap_or_else(|| refusal::of_kind(ErrorKind::Internal));
    if entry.is_stopping.get() {
        response.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Which of the internal listeners accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Readiness checks of the load balancer; also metrics.
    Ready,
    /// Requests of other boxes.
    Peers,
    /// Metrics only.
    Metrics,
}

/// Serves one of the internal listeners until the process ends.
pub async fn serve_internal<D: Dialect>(
    entry: Rc<Entry<D>>,
    listener: Rc<TcpListener>,
    phase: watch::Sender<DrainPhase>,
    side: ListenerKind,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (entry, metrics, phase) = (Rc::clone(&entry), metrics.clone(), phase.subscribe());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let (entry, metrics) = (Rc::clone(&entry), metrics.clone());
                async move { Ok::<_, Infallible>(answer_internal(&entry, side, request, &metrics).await) }
            });
            let stream = CallerStream::of_peer(stream);
            let probe = stream.probe();
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serve_until_closing(connection, &probe, phase).await {
                log::debug!("event=internal_connection_ended error=\"{error}\"");
            }
        });
    }
}

async fn answer_internal<D: Dialect>(
    entry: &Rc<Entry<D>>,
    side: ListenerKind,
    request: Request<Incoming>,
    metrics: &metrics_exporter_prometheus::PrometheusHandle,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    match (side, request.method(), path) {
        (_, &Method::GET, "/metrics") => Response::new(AnswerBody::complete(meters::render(entry, metrics))),
        (ListenerKind::Ready, &Method::GET, _) => readiness(entry),
        (ListenerKind::Peers, &Method::GET, peers::STATE_PATH) => {
            let query = request.uri().query().unwrap_or_default();
            Response::new(AnswerBody::complete(peers::answer_state_query(entry, query)))
        }
        (ListenerKind::Peers, &Method::POST, GroupUpdate::PATH) => {
            empty_response(peers::receive_update::<D, GroupUpdate>(entry, request).await)
        }
        (ListenerKind::Peers, &Method::POST, QuarantineUpdate::PATH) => {
            empty_response(peers::receive_update::<D, QuarantineUpdate>(entry, request).await)
        }
        (ListenerKind::Peers, &Method::POST, LimitUpdate::PATH) => {
            empty_response(peers::receive_update::<D, LimitUpdate>(entry, request).await)
        }
        (ListenerKind::Peers, &Method::POST, OperatorUpdate::PATH) => {
            empty_response(peers::receive_update::<D, OperatorUpdate>(entry, request).await)
        }
        (ListenerKind::Peers, &Method::POST, LeavingUpdate::PATH) => {
            empty_response(peers::receive_update::<D, LeavingUpdate>(entry, request).await)
        }
        (ListenerKind::Peers, &Method::POST, peers::HANDOVER_PATH) => {
            peers::receive_handover(entry, HandoverRole::Successor, request).await
        }
        (ListenerKind::Peers, &Method::POST, peers::STANDBY_PATH) => {
            peers::receive_handover(entry, HandoverRole::Standby, request).await
        }
        (ListenerKind::Peers, &Method::GET, QUARANTINE_PATH) => json_response(&operator_api::list_quarantined(entry)),
        (ListenerKind::Peers, &Method::POST, RELEASE_PATH) => {
            empty_response(operator_api::release(entry, request).await)
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn json_response<T: Serialize>(answer: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(answer) {
        Ok(bytes) => Response::new(AnswerBody::complete(bytes)),
        Err(error) => {
            log::error!("event=response_encode_failed error=\"{error}\"");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Answers a readiness check. The box is ready when a configuration is known, the initial sync with other boxes is
/// over, and no stop has begun.
fn readiness<D: Dialect>(entry: &Entry<D>) -> Response<AnswerBody> {
    let is_ready = entry.state.borrow().table.is_some() && entry.is_initialized() && !entry.is_stopping.get();
    empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::complete(""));
    *response.status_mut() = status;
    response
}
