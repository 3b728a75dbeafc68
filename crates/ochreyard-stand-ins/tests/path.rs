//! Tests the path of a request through the real processes.

use ochreyard_stand_ins::cluster::{wait_until, workspace_token};
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES};
use reqwest::StatusCode;

const DC: &str = "nantou-1";

fn single_entry_spec() -> SiteSpec {
    SiteSpec { entries: vec![DC], groups: vec![DC], plains: vec![DC], slots: 16, ..SiteSpec::default() }
}

#[tokio::test]
async fn callers_get_the_complete_answers_to_their_own_requests() {
    let site = Site::start(&SiteSpec { entries: vec![DC, DC], ..single_entry_spec() }).await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..60 {
        let http = site.cluster.http().clone();
        let entry = site.entries[number % 2].callers_url.clone();
        let workspace = WORKSPACES[number % 3];
        callers.spawn(async move {
            match number % 3 {
                0 => load::prompt(&http, &entry, workspace, MODEL, &format!("p{number}"), true).await,
                1 => load::prompt(&http, &entry, workspace, MODEL, &format!("p{number}"), false).await,
                _ => load::fetch(&http, &entry, workspace, PLAIN).await,
            }
        });
    }
    assert_eq!(callers.join_all().await, vec![RequestOutcome::Complete; 60]);
}

#[tokio::test]
async fn bad_requests_are_refused_with_their_kind_and_the_entry_keeps_serving() {
    let site =
        Site::start(&SiteSpec { extra_entry_settings: "max_body_bytes: 2000".into(), ..single_entry_spec() }).await;
    let entry = &site.entries[0].callers_url;
    let http = site.cluster.http();
    let token = workspace_token(WORKSPACES[0]);
    let completions = || http.post(format!("{entry}/v1/completions"));
    let good_body = r#"{"model":"trail-map"}"#;
    let cases = [
        (completions().body(good_body), StatusCode::UNAUTHORIZED, "unauthenticated"),
        (completions().bearer_auth("nobody").body(good_body), StatusCode::UNAUTHORIZED, "unauthenticated"),
        (completions().bearer_auth(&token).body("{"), StatusCode::BAD_REQUEST, "bad_request"),
        (completions().bearer_auth(&token).body("{}"), StatusCode::BAD_REQUEST, "`model` is missing"),
        (completions().bearer_auth(&token).body(r#"{"model":"x"}"#), StatusCode::NOT_FOUND, "unknown_service"),
        (completions().bearer_auth(&token).body(r#"{"model":"lifts"}"#), StatusCode::NOT_FOUND, "unknown_service"),
        (completions().bearer_auth(&token).body("x".repeat(3000)), StatusCode::PAYLOAD_TOO_LARGE, "2000 bytes"),
        (
            completions().bearer_auth(&token).header("x-filler", "x".repeat(20_000)).body(good_body),
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head_too_large",
        ),
        (
            completions().bearer_auth(&token).header("ochreyard-deadline-ms", "soon").body(good_body),
            StatusCode::BAD_REQUEST,
            "ochreyard-deadline-ms",
        ),
        (
            http.post(format!("{entry}/lifts/save")).bearer_auth(&token).header("idempotency-key", ""),
            StatusCode::BAD_REQUEST,
            "idempotency-key",
        ),
    ];
    for (request, status, expected_text) in cases {
        let answer = request.send().await.unwrap();
        assert_eq!(answer.status(), status, "{expected_text}");
        assert_eq!(answer.headers()["ochreyard-run"], "not-run");
        let body = answer.text().await.unwrap();
        assert!(body.contains(expected_text), "{expected_text}: {body}");
    }
    assert_eq!(load::fetch(http, entry, WORKSPACES[0], PLAIN).await, RequestOutcome::Complete);
    let metrics = http.get(format!("{entry}/metrics")).send().await.unwrap().text().await.unwrap();
    assert!(metrics.contains("ochreyard_caller_bad_input_total"), "{metrics}");
}

#[tokio::test]
async fn a_request_is_cancelled_at_the_engine_when_its_caller_disconnects() {
    let site = Site::start(&single_entry_spec()).await;
    let body = r#"{"model":"trail-map","stream":true,"max_tokens":100000}"#;
    let request = site.cluster.http().post(format!("{}/v1/completions", site.entries[0].callers_url));
    let mut answer = request.bearer_auth(workspace_token(WORKSPACES[0])).body(body).send().await.unwrap();
    assert!(answer.chunk().await.unwrap().is_some());
    drop(answer);
    let state = format!("{}/control/state", site.url("group-1"));
    wait_until("the engine has cancelled the request", async || {
        site.cluster.get_json(&state).await["cancelled"].as_u64() == Some(1)
    })
    .await;
}

#[tokio::test]
async fn an_aborted_stream_is_never_reported_as_complete() {
    let site = Site::start(&single_entry_spec()).await;
    site.cluster.set_fault(site.url("group-1"), serde_json::json!({ "break_after": 3 })).await;
    let outcome =
        load::prompt(site.cluster.http(), &site.entries[0].callers_url, WORKSPACES[0], MODEL, "x", true).await;
    assert_eq!(outcome, RequestOutcome::MayHaveRun);
}

#[tokio::test]
async fn a_request_is_answered_when_its_deadline_passes() {
    let site = Site::start(&single_entry_spec()).await;
    site.cluster.set_fault(site.url("plain-1"), serde_json::json!({ "slow_ms": 60_000 })).await;
    let request = site.cluster.http().get(format!("{}/lifts/form", site.entries[0].callers_url));
    let request = request.bearer_auth(workspace_token(WORKSPACES[0])).header("ochreyard-deadline-ms", "200");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.headers()["ochreyard-run"], "may-have-run");
    assert_eq!(answer.headers()["retry-after"], "1");
}

/// A caller that does not read must block the endpoint by backpressure; no buffer on the way may grow without bound.
#[tokio::test]
async fn a_slow_caller_uses_bounded_memory_and_gets_its_complete_answer() {
    const CHUNKS: u64 = 2_048;
    const STABLE_POLLS: u32 = 20;
    const GROWTH_KIB: u64 = 32 * 1024;
    let site = Site::start(&single_entry_spec()).await;
    let usage = || (site.cluster.usage("entry-1").0, site.cluster.usage("agent-plain-1").0);
    let before = usage();
    let request = site.cluster.http().get(format!("{}/{PLAIN}/big/{CHUNKS}", site.entries[0].callers_url));
    let answer = request.bearer_auth(workspace_token(WORKSPACES[0])).send().await.unwrap();
    let chunks_url = format!("{}/chunks", site.url("plain-1"));
    let (mut last_count, mut stable_polls) = (0, 0);
    wait_until("the endpoint is blocked by backpressure", async || {
        let count = site.cluster.get_json(&chunks_url).await.as_u64().unwrap();
        stable_polls = if count == last_count { stable_polls + 1 } else { 0 };
        last_count = count;
        stable_polls >= STABLE_POLLS
    })
    .await;
    assert!(last_count < CHUNKS / 2, "{last_count} of {CHUNKS} chunks were read for a caller that reads nothing");
    let after = usage();
    assert!(after.0 < before.0 + GROWTH_KIB && after.1 < before.1 + GROWTH_KIB, "{before:?} {after:?}");
    let body = answer.bytes().await.unwrap();
    assert_eq!(body.len(), CHUNKS as usize * ochreyard_stand_ins::plain::CHUNK_BYTES);
}
