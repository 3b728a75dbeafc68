//! Answers of the agent's endpoint whose status is not one of HTTP.

use bytes::Bytes;
use ochreyard_endpoint::{CallContext, EndpointClient, EndpointRequest};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Guards against such a status that goes on to the entry, and to the caller as an answer.
#[rstest]
#[tokio::test]
async fn an_answer_with_an_invalid_status_is_an_error(
    #[values("000", "0", "099", "20", "1000", "-1", "600", "999")] status: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4_096]).await.unwrap();
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let endpoint = EndpointClient::new(url).unwrap();
    let body = Bytes::new();
    let request = EndpointRequest { method: "POST", path: "/run", content_type: "", body: &body };
    let context = CallContext { attempt: "a1", workspace: "resort", may_cache: false };
    let answer = endpoint.call(request, context).await;
    assert!(answer.is_err(), "{answer:?}");
}
