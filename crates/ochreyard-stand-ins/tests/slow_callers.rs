//! Callers that pause in their answers while a process on the way stops.

use std::time::Duration;

use ochreyard_stand_ins::cluster::{wait_until, workspace_token};
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const DC: &str = "windhoek-1";
/// What a caller reads before it pauses, and its pause.
const FIRST_READ_BYTES: usize = 200;
const PAUSE: Duration = Duration::from_secs(3);
/// Receive buffer of a caller.
const BUFFER_BYTES: u32 = 4 << 10;
/// Deadline of a request whose caller stops reading.
const DEADLINE_MS: u64 = 1_000;
/// More chunks than all processes on the way buffer, and polls without a further one after which they buffer no more.
const ENDLESS_CHUNKS: u64 = 2_000;
const STABLE_POLLS: u32 = 20;

/// A caller that has read the start of its answer.
struct PausingCaller {
    stream: TcpStream,
    answer: Vec<u8>,
}

impl PausingCaller {
    /// Asks for an answer of this many chunks, and reads its start.
    async fn start(site: &Site, chunks: u64) -> Self {
        Self::start_with(site, chunks, "").await
    }

    /// The same with further lines in the head of the request.
    async fn start_with(site: &Site, chunks: u64, headers: &str) -> Self {
        let addr = site.entries[0].callers_url.trim_start_matches("http://").to_owned();
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(BUFFER_BYTES).unwrap();
        let mut stream = socket.connect(addr.parse().unwrap()).await.unwrap();
        let request = format!(
            "GET /{PLAIN}/big/{chunks} HTTP/1.1\r\nhost: {addr}\r\nauthorization: Bearer {}\r\n{headers}connection: close\r\n\r\n",
            workspace_token(WORKSPACES[0])
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = vec![0; FIRST_READ_BYTES];
        stream.read_exact(&mut answer).await.unwrap();
        Self { stream, answer }
    }

    /// Reads the rest of the answer. Returns whether it is complete.
    async fn read_rest(mut self) -> bool {
        self.stream.read_to_end(&mut self.answer).await.is_ok() && self.answer.ends_with(b"0\r\n\r\n")
    }
}

/// Waits until the endpoint is asked for no further chunks, and returns how many it was asked for in all.
async fn wait_until_blocked(site: &Site) -> u64 {
    let url = format!("{}/chunks", site.url("plain-1"));
    let (mut count, mut stable_polls) = (0, 0);
    wait_until("the endpoint is blocked by backpressure", async || {
        let next = site.cluster.get_json(&url).await.as_u64().unwrap();
        stable_polls = if next == count { stable_polls + 1 } else { 0 };
        count = next;
        stable_polls >= STABLE_POLLS
    })
    .await;
    count
}

/// Guards against answers that lack their end: the agent, or the entry, had read the answer to its end, and exited before the
/// caller had taken it. The answers are about as large as what all processes on the way buffer.
#[rstest]
#[tokio::test]
async fn a_caller_that_pauses_gets_its_whole_answer_through_a_process_that_stops(
    #[values("agent-plain-1", "entry-1")] stopped: &str,
    #[values(0, 1, 2, 3, 4, 6)] fewer_chunks: u64,
) {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC], slots: 4, ..SiteSpec::default() };
    let mut site = Site::start(&spec).await;
    let endless = PausingCaller::start(&site, ENDLESS_CHUNKS).await;
    let buffered_chunks = wait_until_blocked(&site).await;
    drop(endless);
    let caller = PausingCaller::start(&site, buffered_chunks - fewer_chunks).await;
    wait_until_blocked(&site).await;
    site.cluster.terminate(stopped).await;
    tokio::time::sleep(PAUSE).await;
    assert!(caller.read_rest().await, "an answer of {buffered_chunks} - {fewer_chunks} chunks is cut");
}

/// Guards against a caller that keeps a slot of its endpoint for as long as it reads nothing: an entry waited without a limit
/// until the caller took the next part.
#[rstest]
#[case::repeatable("ochreyard-repeatable: true\r\n")]
#[case::not_repeatable("ochreyard-repeatable: false\r\n")]
#[tokio::test]
async fn a_caller_that_stops_reading_frees_its_endpoint_at_its_deadline(#[case] repeatable: &str) {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC], slots: 1, ..SiteSpec::default() };
    let site = Site::start(&spec).await;
    let headers = format!("{repeatable}ochreyard-deadline-ms: {DEADLINE_MS}\r\n");
    let stalled = PausingCaller::start_with(&site, ENDLESS_CHUNKS, &headers).await;
    wait_until("another caller is served", async || {
        let (http, entry) = (site.cluster.http(), &site.entries[0].callers_url);
        load::fetch(http, entry, WORKSPACES[1], PLAIN).await == RequestOutcome::Complete
    })
    .await;
    assert!(!stalled.read_rest().await, "an answer that was cut looks complete");
}
