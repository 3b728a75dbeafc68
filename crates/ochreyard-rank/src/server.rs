//! The HTTP server of the agent.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ochreyard_direct::CallerStream;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::agent::Agent;
use crate::engine::RankEngine;
use crate::message::{LeaderRequest, RANK_PATH};

/// Size limit of a leader's request: it may contain the map of a large group in JSON.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections and serves requests until the process ends.
pub async fn serve<E: RankEngine>(agent: Rc<Agent<E>>, listener: Rc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let agent = Rc::clone(&agent);
        tokio::task::spawn_local(async move {
            let stream = CallerStream::of_peer(stream);
            let service = service_fn(move |request| {
                let agent = Rc::clone(&agent);
                async move { Ok::<_, Infallible>(handle(&agent, request).await) }
            });
            if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
                log::debug!("event=leader_connection_ended error=\"{error}\"");
            }
        });
    }
}

async fn handle<E: RankEngine>(agent: &Agent<E>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let _in_flight = agent.begin_request();
    if request.uri().path() != RANK_PATH {
        return status_only(StatusCode::NOT_FOUND);
    }
    match *request.method() {
        Method::GET => json_response(&agent.status().await),
        Method::POST => handle_leader_request(agent, request).await,
        _ => status_only(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn handle_leader_request<E: RankEngine>(agent: &Agent<E>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Ok(body) = Limited::new(request.into_body(), MAX_REQUEST_BYTES).collect().await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let leader_request: LeaderRequest = match serde_json::from_slice(&body.to_bytes()) {
        Ok(leader_request) => leader_request,
        Err(error) => {
            log::warn!("event=leader_request_unreadable error=\"{error}\"");
            return status_only(StatusCode::BAD_REQUEST);
        }
    };
    json_response(&agent.handle_request(&leader_request).await)
}

fn json_response<T: Serialize>(body: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => {
            log::error!("event=response_encode_failed error=\"{error}\"");
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
