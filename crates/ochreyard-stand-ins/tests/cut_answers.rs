//! Endpoints that close within the head of an answer, behind a real entry and a real agent.

use ochreyard_stand_ins::cluster::{EndpointSettings, workspace_token};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DC: &str = "windhoek-1";
const INTERIM_ANSWER: &str = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
const WHOLE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nwhole";

/// Answers the requests of one connection. The path of a request names the bytes of its answer after which the connection
/// closes.
async fn serve(mut stream: TcpStream) -> Option<()> {
    let mut received = Vec::new();
    loop {
        while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            if stream.read_buf(&mut received).await.ok()? == 0 {
                return None;
            }
        }
        let head = String::from_utf8(std::mem::take(&mut received)).ok()?;
        let path = head.split(' ').nth(1)?;
        let interim = if path.contains("/interim/") { INTERIM_ANSWER } else { "" };
        let answer = format!("{interim}{WHOLE_ANSWER}");
        let length = path.rsplit('/').next()?.parse().unwrap_or(answer.len());
        stream.write_all(&answer.as_bytes()[..length.min(answer.len())]).await.ok()?;
        if length < answer.len() {
            return None;
        }
    }
}

/// Guards against a part of an answer that callers get as a whole one, with an empty or a short body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_answer_does_not_pass_an_agent_and_an_entry_as_a_whole_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let mut site =
        Site::start(&SiteSpec { entries: vec![DC], plains: vec![DC], slots: 4, ..SiteSpec::default() }).await;
    // The site's own endpoint is replaced.
    site.cluster.kill("agent-plain-1").await;
    site.endpoints.clear();
    let cutting = EndpointSettings {
        endpoint: "plain-2".into(),
        service: PLAIN.into(),
        data_centre: DC.into(),
        agent_addr: site.cluster.new_addr(),
        slots: 4,
    };
    site.cluster.start_agent(&cutting, &url, "").await;
    site.endpoints.push((cutting, url));
    site.configure().await;
    let get = async |path: String| {
        let request = site.cluster.http().get(format!("{}/{PLAIN}{path}", site.entries[0].callers_url));
        let answer = request.bearer_auth(workspace_token(WORKSPACES[0])).send().await.ok()?;
        Some((answer.status().as_u16(), answer.text().await.ok()?))
    };
    for (path, length) in [("/cut", WHOLE_ANSWER.len()), ("/interim", INTERIM_ANSWER.len() + WHOLE_ANSWER.len())] {
        for bytes in 0..length {
            let answer = get(format!("{path}/{bytes}")).await;
            assert!(!matches!(answer, Some((200..=299, _))), "{path} after {bytes} bytes: {answer:?}");
            // The next answer is cut on a connection that was used before.
            if bytes % 2 == 0 {
                assert_eq!(
                    get("/x/all".to_owned()).await,
                    Some((200, "whole".to_owned())),
                    "{path} after {bytes} bytes"
                );
            }
        }
    }
}
