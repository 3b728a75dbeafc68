//! Callers that use a process until its system refuses their connections.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends copies of a request, each on a connection that closes after its answer, until the system at `addr` refuses one.
/// Returns the number of requests without an answer.
pub async fn count_unanswered_until_refused(addr: &str, request: &str) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect(addr).await {
        let mut answer = Vec::new();
        let sent = stream.write_all(request.as_bytes()).await;
        let read = stream.read_to_end(&mut answer).await;
        if sent.is_err() || read.is_err() || answer.is_empty() {
            unanswered += 1;
        }
    }
    unanswered
}
