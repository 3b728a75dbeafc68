//! Tests that planned stops abort no request and that a leaving endpoint gets no new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ochreyard_stand_ins::cluster::{wait_until, workspace_token};
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES};
use ochreyard_stand_ins::unanswered_requests::count_unanswered_until_refused;
use rstest::rstest;
use serde_json::json;
use tokio::task::JoinSet;

const DC: &str = "windhoek-1";
const CALLERS: usize = 12;
/// Number of tokens of a long stream, which takes about 60 steps of 5 ms.
const LONG_STREAM_TOKENS: u64 = 60;

fn spec() -> SiteSpec {
    SiteSpec {
        entries: vec![DC, DC],
        groups: vec![DC, DC],
        plains: vec![DC, DC],
        slots: 64,
        extra_entry_settings: "drain_grace_ms: 300".into(),
        ..SiteSpec::default()
    }
}

/// Callers that send one long stream after another until stopped. Each request goes to the next entry, so a caller that
/// was refused retries at once through the other entry.
struct ContinuousLoad {
    keep_sending: Arc<AtomicBool>,
    completed_streams: Arc<AtomicU64>,
    callers: JoinSet<Vec<RequestOutcome>>,
}

impl ContinuousLoad {
    fn start(site: &Site) -> Self {
        let (keep_sending, completed_streams) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicU64::new(0)));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let (keep_sending, completed_streams) = (Arc::clone(&keep_sending), Arc::clone(&completed_streams));
            let http = site.cluster.http().clone();
            let entries: Vec<String> = site.entries.iter().map(|entry| entry.callers_url.clone()).collect();
            callers.spawn(async move {
                let mut failures = Vec::new();
                let mut number = 0;
                while keep_sending.load(Ordering::Relaxed) {
                    number += 1;
                    let entry = &entries[(caller + number) % entries.len()];
                    let text = format!("caller {caller} number {number}");
                    match load::prompt_with_max_tokens(
                        &http,
                        entry,
                        WORKSPACES[caller % 3],
                        MODEL,
                        &text,
                        true,
                        LONG_STREAM_TOKENS,
                    )
                    .await
                    {
                        RequestOutcome::Complete => drop(completed_streams.fetch_add(1, Ordering::Relaxed)),
                        RequestOutcome::NotRun => {}
                        outcome => failures.push(outcome),
                    }
                }
                failures
            });
        }
        Self { keep_sending, completed_streams, callers }
    }

    /// Waits until `more` further streams are complete.
    async fn wait_for_more(&self, more: u64) {
        let target_count = self.completed_streams.load(Ordering::Relaxed) + more;
        wait_until("further streams are complete", async || {
            self.completed_streams.load(Ordering::Relaxed) >= target_count
        })
        .await;
    }

    async fn stop(self) -> Vec<RequestOutcome> {
        self.keep_sending.store(false, Ordering::Relaxed);
        self.callers.join_all().await.concat()
    }
}

/// Guards against requests that are reset unread: the system has accepted their connections, and the entry exits before it
/// does.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_whose_connection_the_system_accepted_is_answered_by_an_entry_that_exits() {
    let mut site = Site::start(&spec()).await;
    let addr = site.entries[0].callers_url.trim_start_matches("http://").to_owned();
    let token = workspace_token(WORKSPACES[0]);
    let request = format!(
        "GET /{PLAIN}/form HTTP/1.1\r\nhost: {addr}\r\nauthorization: Bearer {token}\r\nconnection: close\r\n\r\n"
    );
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let (addr, request) = (addr.clone(), request.clone());
        callers.spawn(async move { count_unanswered_until_refused(&addr, &request).await });
    }
    site.cluster.terminate("entry-1").await;
    assert!(site.cluster.wait_for_exit("entry-1").await);
    assert_eq!(callers.join_all().await.into_iter().sum::<usize>(), 0);
}

#[rstest]
#[case::an_agent(&["agent-group-1"])]
#[case::an_agent_and_an_entry(&["agent-group-1", "entry-1"])]
#[tokio::test]
async fn a_planned_stop_under_load_aborts_no_request(#[case] stopped: &[&str]) {
    let mut site = Site::start(&spec()).await;
    let load = ContinuousLoad::start(&site);
    load.wait_for_more(20).await;
    for process in stopped {
        site.cluster.terminate(process).await;
    }
    for process in stopped {
        assert!(site.cluster.wait_for_exit(process).await, "{process} must exit with code 0");
    }
    if stopped.contains(&"entry-1") {
        // Callers of the stopped entry fail at the closed port; their running requests have ended before.
        let failures = load.stop().await;
        let refused_by_port = failures.len();
        assert!(failures.iter().all(|outcome| *outcome == RequestOutcome::MayHaveRun), "{failures:?}");
        let engine_state = site.cluster.get_json(&format!("{}/control/state", site.url("group-2"))).await;
        assert_eq!(engine_state["cancelled"], 0, "{refused_by_port} refused by the closed port");
        return;
    }
    load.wait_for_more(20).await;
    assert_eq!(load.stop().await, []);
}

#[tokio::test]
async fn a_stopping_entry_finishes_long_streams_and_refuses_new_requests_as_not_run() {
    let mut site = Site::start(&spec()).await;
    let (http, entry) = (site.cluster.http().clone(), site.entries[0].callers_url.clone());
    let long_stream = {
        let (http, entry) = (http.clone(), entry.clone());
        tokio::spawn(async move {
            load::prompt_with_max_tokens(&http, &entry, WORKSPACES[0], MODEL, "long", true, 600).await
        })
    };
    let state_url_1 = format!("{}/control/state", site.url("group-1"));
    let state_url_2 = format!("{}/control/state", site.url("group-2"));
    wait_until("the stream is running", async || {
        let (state_1, state_2) = (site.cluster.get_json(&state_url_1).await, site.cluster.get_json(&state_url_2).await);
        state_1["running"].as_u64().unwrap() + state_2["running"].as_u64().unwrap() == 1
    })
    .await;
    site.cluster.terminate("entry-1").await;
    wait_until("readiness fails", async || {
        http.get(format!("{entry}/readyz")).send().await.is_ok_and(|answer| answer.status() == 503)
    })
    .await;
    wait_until("new requests are refused", async || {
        load::fetch(&http, &entry, WORKSPACES[0], PLAIN).await == RequestOutcome::NotRun
    })
    .await;
    assert_eq!(long_stream.await.unwrap(), RequestOutcome::Complete);
    assert!(site.cluster.wait_for_exit("entry-1").await);
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_requests_and_no_request_fails() {
    let mut site = Site::start(&spec()).await;
    site.cluster.set_fault(site.url("plain-1"), json!({ "slow_ms": 400 })).await;
    let (http, entry) = (site.cluster.http().clone(), site.entries[0].callers_url.clone());
    let mut in_flight = JoinSet::new();
    for _ in 0..8 {
        let (http, entry) = (http.clone(), entry.clone());
        in_flight.spawn(async move { load::fetch(&http, &entry, WORKSPACES[0], PLAIN).await });
    }
    site.cluster.terminate("agent-plain-1").await;
    for _ in 0..20 {
        assert_eq!(load::fetch(&http, &entry, WORKSPACES[1], PLAIN).await, RequestOutcome::Complete);
    }
    assert_eq!(in_flight.join_all().await, vec![RequestOutcome::Complete; 8]);
    assert!(site.cluster.wait_for_exit("agent-plain-1").await);
}

#[tokio::test]
async fn a_box_listed_as_leaving_by_the_platform_gets_no_new_requests() {
    let site = Site::start(&spec()).await;
    let list = json!([{ "box": "b1", "data_centre": DC, "endpoint": "plain-1", "state": "leaving" }]);
    site.cluster.http().put(format!("{}/boxes", site.platform)).json(&list).send().await.unwrap();
    for entry in 0..2 {
        wait_until("the entry sees the endpoint as leaving", async || {
            let status = site.status(entry).await.unwrap();
            status.endpoints.iter().any(|row| row.endpoint == "plain-1" && row.health == "leaving")
        })
        .await;
    }
    let runs = format!("{}/runs", site.url("plain-1"));
    let before = site.cluster.get_json(&runs).await;
    for number in 0..20 {
        let outcome =
            load::fetch(site.cluster.http(), &site.entries[number % 2].callers_url, WORKSPACES[0], PLAIN).await;
        assert_eq!(outcome, RequestOutcome::Complete);
    }
    assert_eq!(site.cluster.get_json(&runs).await, before);
}
