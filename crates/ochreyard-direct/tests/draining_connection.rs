//! Connections that close at the planned stop of their process.

use std::cell::Cell;
use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream as BlockingStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ochreyard_direct::{CallerStream, DrainPhase, serve_until_closing};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: maps.example\r\n\r\n";
const LAST_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: maps.example\r\nconnection: close\r\n\r\n";

/// Turns of the runtime after the stop in which a request may arrive: more than a connection takes to close.
const MAX_TURNS: usize = 24;

/// When the request of a caller arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    BeforeTheConnectionRuns,
    AfterTheConnectionRuns,
}

async fn yield_turns(count: usize) {
    for _ in 0..count {
        tokio::task::yield_now().await;
    }
}

/// What a connection has served before it is told to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum History {
    /// Nothing: it was just opened.
    Fresh,
    /// One request.
    Kept,
}

/// Sends a request on an idle connection this many turns after it was told to close. Returns the answer; `None` if the
/// connection had closed by then.
async fn send_after(turns: usize, order: Order, history: History) -> Option<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = BlockingStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let phase = watch::Sender::new(DrainPhase::Open);
    let served = Rc::new(Cell::new(0));
    let service = service_fn({
        let served = Rc::clone(&served);
        move |_: Request<Incoming>| {
            served.set(served.get() + 1);
            async { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"answer")))) }
        }
    });
    let stream = CallerStream::new(stream, WRITE_TIMEOUT);
    let probe = stream.probe();
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let receiver = phase.subscribe();
    let serve = async move { drop(serve_until_closing(connection, &probe, receiver).await) };
    let send = async move {
        if history == History::Kept {
            caller.write_all(REQUEST).unwrap();
            while served.get() == 0 {
                tokio::task::yield_now().await;
            }
        }
        yield_turns(4).await;
        phase.send_replace(DrainPhase::Closing);
        yield_turns(turns).await;
        caller.set_nonblocking(true).unwrap();
        if history == History::Kept {
            let mut first = [0; 512];
            let first_length = caller.read(&mut first).unwrap();
            assert!(first[..first_length].ends_with(b"answer"));
        }
        let is_open = caller.read(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        if is_open {
            caller.write_all(LAST_REQUEST).unwrap();
        }
        is_open.then_some(caller)
    };
    let caller = match order {
        Order::BeforeTheConnectionRuns => tokio::join!(send, serve).0,
        Order::AfterTheConnectionRuns => tokio::join!(serve, send).1,
    };
    let mut caller = caller?;
    caller.set_nonblocking(false).unwrap();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut answer = Vec::new();
    drop(caller.read_to_end(&mut answer));
    Some(answer)
}

/// Guards against requests that are reset unread although they arrived before their idle connection closed.
#[rstest]
#[tokio::test]
async fn a_request_that_arrives_before_its_connection_closes_is_answered(
    #[values(Order::BeforeTheConnectionRuns, Order::AfterTheConnectionRuns)] order: Order,
) {
    let mut answered = 0;
    for turns in 0..MAX_TURNS {
        let Some(answer) = send_after(turns, order, History::Kept).await else { continue };
        assert!(answer.ends_with(b"answer"), "sent after {turns} turns: {:?}", String::from_utf8_lossy(&answer));
        answered += 1;
    }
    assert!(answered > 0 && answered < MAX_TURNS, "{answered} of {MAX_TURNS} were sent on an open connection");
}

/// Guards against the close of a connection that was just opened, before its caller has sent the request.
#[rstest]
#[tokio::test]
async fn the_first_request_of_a_connection_is_answered_although_it_is_to_close(
    #[values(Order::BeforeTheConnectionRuns, Order::AfterTheConnectionRuns)] order: Order,
) {
    for turns in 0..MAX_TURNS {
        let answer = send_after(turns, order, History::Fresh).await.expect("the connection is open");
        assert!(answer.ends_with(b"answer"), "sent after {turns} turns: {:?}", String::from_utf8_lossy(&answer));
    }
}
