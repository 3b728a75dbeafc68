//! Endpoints of an agent that pause before they read a request, or within their answer.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use ochreyard_endpoint::{CallContext, EndpointAnswer, EndpointClient, EndpointError, EndpointRequest};
use rstest::rstest;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Receive buffer of an endpoint, and a body that does not fit into it.
const BUFFER_BYTES: u32 = 4 << 10;
const BODY_BYTES: usize = 3 << 20;
const ANSWER: &str = "ok";
/// Pause between the two parts of an answer.
const ANSWER_PAUSE: Duration = Duration::from_secs(3);
/// The socket filter that drops each segment (`BPF_RET` with a length of 0).
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Reads a request of `BODY_BYTES` after a pause, and answers in two parts.
async fn answer(mut stream: TcpStream, pause: Duration) {
    tokio::time::sleep(pause).await;
    let (mut received, mut head_bytes) = (Vec::new(), None);
    while head_bytes.is_none_or(|head_bytes: usize| received.len() < head_bytes + BODY_BYTES) {
        assert!(stream.read_buf(&mut received).await.unwrap() > 0, "the request broke off");
        let is_end = |window: &[u8]| window == b"\r\n\r\n";
        head_bytes = head_bytes.or_else(|| received.windows(4).position(is_end).map(|at| at + 4));
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no").await.unwrap();
    tokio::time::sleep(ANSWER_PAUSE).await;
    stream.write_all(b"k").await.unwrap();
}

async fn call(endpoint: &EndpointClient, body_bytes: usize) -> Result<EndpointAnswer, EndpointError> {
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let request = EndpointRequest { method: "POST", path: "/run", content_type: "", body: &body };
    endpoint.call(request, CallContext { attempt: "a1", workspace: "resort", may_cache: false }).await
}

async fn read_body(mut answer: EndpointAnswer) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(chunk) = answer.next_chunk().await.expect("the answer is whole") {
        body.extend_from_slice(&chunk);
    }
    body
}

/// Guards against an agent that takes an endpoint which is slow to read for one that is cut off: its HTTP library ends
/// connections whose window stays closed for 30 s.
#[rstest]
#[case::short(3)]
#[case::longer_than_the_limit_of_the_library(35)]
#[tokio::test]
async fn a_request_to_an_endpoint_that_pauses_is_served(#[case] pause_s: u64) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let endpoint = EndpointClient::new(format!("http://{}", listener.local_addr().unwrap())).unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(stream, Duration::from_secs(pause_s)));
        }
    });
    let answered = call(&endpoint, BODY_BYTES).await.expect("the request is served");
    assert_eq!(answered.status, 200);
    assert_eq!(read_body(answered).await, ANSWER.as_bytes());
}

/// Without the timeout of the library, an endpoint that is cut off must still end the call.
#[tokio::test]
async fn a_call_ends_whose_endpoint_is_cut_off() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = EndpointClient::new(format!("http://{}", listener.local_addr().unwrap())).unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_buf(&mut Vec::with_capacity(4 << 10)).await.unwrap();
        // Data that are not acknowledged keep the connection from being probed.
        tokio::time::sleep(Duration::from_millis(250)).await;
        SockRef::from(&stream).attach_filter(&[DROP_ALL]).unwrap();
        pending::<()>().await;
    });
    assert!(call(&endpoint, 0).await.is_err());
}
