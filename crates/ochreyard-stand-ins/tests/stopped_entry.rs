//! An entry that is frozen while an agent answers it, and resumes after the deadline of the request.
//!
//! Guards against timers that count before the sockets are read: the entry answered "deadline exceeded, may have run"
//! although the complete answer had arrived.

use std::time::Duration;

use ochreyard_stand_ins::cluster::{wait_until, workspace_token};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};
use rstest::rstest;
use serde_json::json;

const DC: &str = "nantou-1";
/// Time that the endpoint takes for a request: enough to freeze the entry meanwhile.
const ANSWER_TIME_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 2_500;
/// How long the entry is frozen: past the deadline.
const FREEZE_TIME: Duration = Duration::from_millis(3_000);

#[rstest]
#[case::repeatable(false)]
#[case::with_a_key(true)]
#[tokio::test]
async fn an_answer_reaches_its_caller_that_arrived_while_the_entry_was_frozen(#[case] has_key: bool) {
    let mut site =
        Site::start(&SiteSpec { entries: vec![DC], plains: vec![DC], slots: 4, ..SiteSpec::default() }).await;
    site.wait_until_keys_accepted().await;
    let url = site.url("plain-1").to_owned();
    site.cluster.set_fault(&url, json!({ "slow_ms": ANSWER_TIME_MS })).await;
    let path = if has_key { "save" } else { "form" };
    let request = site.cluster.http().post(format!("{}/{PLAIN}/{path}", site.entries[0].callers_url));
    let request = request.bearer_auth(workspace_token(WORKSPACES[0])).header("ochreyard-deadline-ms", DEADLINE_MS);
    let request = if has_key { request.header("idempotency-key", fresh_key()) } else { request };
    let call = tokio::spawn(request.body("frozen").send());
    wait_until("the request is at the endpoint", async || site.run_count("frozen").await > 0).await;
    site.cluster.freeze("entry-1").await;
    tokio::time::sleep(FREEZE_TIME).await;
    site.cluster.thaw("entry-1").await;
    let answer = call.await.unwrap().unwrap();
    let (status, text) = (answer.status().as_u16(), answer.text().await.unwrap());
    assert_eq!((status, text.ends_with("body=frozen")), (200, true), "{text}");
    assert_eq!(site.run_count("frozen").await, 1);
}

/// An entry that was frozen for longer than agents may be silent took all of them for down: it refused requests, and
/// reset the links with the answers that had arrived.
#[tokio::test]
async fn requests_are_served_by_an_entry_that_was_frozen_for_longer_than_agents_may_be_silent() {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC], slots: 4, ..SiteSpec::default() };
    let extra_entry_settings = "suspect_after_ms: 1000\ndown_after_ms: 1500".to_owned();
    let mut site = Site::start(&SiteSpec { extra_entry_settings, ..spec }).await;
    site.wait_until_keys_accepted().await;
    let url = site.url("plain-1").to_owned();
    site.cluster.set_fault(&url, json!({ "slow_ms": ANSWER_TIME_MS })).await;
    let path = format!("{}/{PLAIN}/save", site.entries[0].callers_url);
    let http = site.cluster.http().clone();
    let send = |text: &'static str| {
        let request = http.post(&path).bearer_auth(workspace_token(WORKSPACES[0]));
        tokio::spawn(request.header("idempotency-key", fresh_key()).body(text).send())
    };
    let before = send("before");
    wait_until("the request is at the endpoint", async || site.run_count("before").await > 0).await;
    site.cluster.freeze("entry-1").await;
    let during = send("during");
    tokio::time::sleep(FREEZE_TIME).await;
    site.cluster.thaw("entry-1").await;
    for call in [before, during] {
        let answer = call.await.unwrap().unwrap();
        let (status, text) = (answer.status().as_u16(), answer.text().await.unwrap());
        assert_eq!(status, 200, "{text}");
    }
}
