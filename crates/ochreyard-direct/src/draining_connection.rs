//! An HTTP connection that serves requests until the planned stop of its process, and then closes.

use std::error::Error;
use std::time::Duration;

use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;

use crate::caller_stream::{CallerStream, UnreadProbe};
use crate::timeout::poll_after_reads;

/// How often a connection that is to close is read again because more has arrived meanwhile.
const MAX_LAST_READS: usize = 8;

/// How long the first request of a new connection is awaited that is to close.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Phase of the planned stop, as connections see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// The process serves requests.
    Open,
    /// Idle connections are closed; the others, and those that open from now on, close after their answer.
    Closing,
}

/// Serves a connection that closes, once connections are to close, when the requests that have arrived by then are
/// answered. The first request of a connection that was just opened is awaited for a moment.
///
/// # Errors
///
/// When the connection breaks, or its peer sends something that is no request.
pub async fn serve_until_closing<S, B>(
    connection: http1::Connection<TokioIo<CallerStream>, S>,
    probe: &UnreadProbe,
    mut phase: watch::Receiver<DrainPhase>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    tokio::pin!(connection);
    tokio::select! {
        outcome = &mut connection => return outcome,
        _ = phase.wait_for(|phase| *phase == DrainPhase::Closing) => {}
    }
    if probe.is_fresh() {
        // A graceful shutdown would close the connection of a caller that is about to send its request.
        tokio::select! {
            outcome = &mut connection => return outcome,
            () = tokio::time::sleep(FIRST_REQUEST_TIME) => {}
        }
    }
    // A graceful shutdown closes an idle connection without reading from it.
    for _ in 0..MAX_LAST_READS {
        if let Some(outcome) = poll_after_reads(connection.as_mut()).await {
            return outcome;
        }
        if !probe.has_unread_bytes() {
            break;
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
