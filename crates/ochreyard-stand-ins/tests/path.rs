//! The path of a request through the real processes.

use ochreyard_stand_ins::cluster::{wait_until, workspace_token};
use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES};
use reqwest::StatusCode;

const DC: &str = "nantou-1";

fn small() -> SiteSpec {
    SiteSpec { entries: vec![DC], groups: vec![DC], plains: vec![DC], slots: 16, ..SiteSpec::default() }
}

#[tokio::test]
async fn answers_come_back_whole_to_their_own_callers() {
    let site = Site::start(&SiteSpec { entries: vec![DC, DC], ..small() }).await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..60 {
        let http = site.cluster.http().clone();
        let entry = site.entries[number % 2].callers.clone();
        let workspace = WORKSPACES[number % 3];
        callers.spawn(async move {
            match number % 3 {
                0 => load::prompt(&http, &entry, workspace, MODEL, &format!("p{number}"), true).await,
                1 => load::prompt(&http, &entry, workspace, MODEL, &format!("p{number}"), false).await,
                _ => load::fetch(&http, &entry, workspace, PLAIN).await,
            }
        });
    }
    assert_eq!(callers.join_all().await, vec![Fate::Whole; 60]);
}

#[tokio::test]
async fn bad_requests_get_their_kind_and_the_process_goes_on() {
    let site = Site::start(&SiteSpec { entry_extra: "max_body_bytes: 2000".into(), ..small() }).await;
    let entry = &site.entries[0].callers;
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
    for (request, status, says) in cases {
        let answer = request.send().await.unwrap();
        assert_eq!(answer.status(), status, "{says}");
        assert_eq!(answer.headers()["ochreyard-run"], "not-run");
        let body = answer.text().await.unwrap();
        assert!(body.contains(says), "{says}: {body}");
    }
    assert_eq!(load::fetch(http, entry, WORKSPACES[0], PLAIN).await, Fate::Whole);
    let metrics = http.get(format!("{entry}/metrics")).send().await.unwrap().text().await.unwrap();
    assert!(metrics.contains("ochreyard_caller_bad_input_total"), "{metrics}");
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_at_the_engine() {
    let site = Site::start(&small()).await;
    let body = r#"{"model":"trail-map","stream":true,"max_tokens":100000}"#;
    let request = site.cluster.http().post(format!("{}/v1/completions", site.entries[0].callers));
    let mut answer = request.bearer_auth(workspace_token(WORKSPACES[0])).body(body).send().await.unwrap();
    assert!(answer.chunk().await.unwrap().is_some());
    drop(answer);
    let state = format!("{}/control/state", site.url("group-1"));
    wait_until("the engine has cancelled", async || {
        site.cluster.get_json(&state).await["cancelled"].as_u64() == Some(1)
    })
    .await;
}

#[tokio::test]
async fn a_broken_answer_never_looks_whole() {
    let site = Site::start(&small()).await;
    site.cluster.fault(site.url("group-1"), serde_json::json!({ "break_after": 3 })).await;
    let fate = load::prompt(site.cluster.http(), &site.entries[0].callers, WORKSPACES[0], MODEL, "x", true).await;
    assert_eq!(fate, Fate::MayHaveRun);
}

#[tokio::test]
async fn the_deadline_brings_a_final_answer() {
    let site = Site::start(&small()).await;
    site.cluster.fault(site.url("plain-1"), serde_json::json!({ "slow_ms": 60_000 })).await;
    let request = site.cluster.http().get(format!("{}/lifts/form", site.entries[0].callers));
    let request = request.bearer_auth(workspace_token(WORKSPACES[0])).header("ochreyard-deadline-ms", "200");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.headers()["ochreyard-run"], "may-have-run");
    assert_eq!(answer.headers()["retry-after"], "1");
}

/// A caller that does not read holds the endpoint back; nothing on the way fills up.
#[tokio::test]
async fn a_slow_caller_fills_no_memory_and_gets_its_whole_answer_in_the_end() {
    const CHUNKS: u64 = 2_048;
    const SAME_LOOKS: u32 = 20;
    const GROWTH_KIB: u64 = 32 * 1024;
    let site = Site::start(&small()).await;
    let usage = || (site.cluster.usage("entry-1").0, site.cluster.usage("agent-plain-1").0);
    let before = usage();
    let request = site.cluster.http().get(format!("{}/{PLAIN}/big/{CHUNKS}", site.entries[0].callers));
    let answer = request.bearer_auth(workspace_token(WORKSPACES[0])).send().await.unwrap();
    let taken = format!("{}/chunks", site.url("plain-1"));
    let (mut last, mut same) = (0, 0);
    wait_until("the endpoint is held back", async || {
        let now = site.cluster.get_json(&taken).await.as_u64().unwrap();
        same = if now == last { same + 1 } else { 0 };
        last = now;
        same >= SAME_LOOKS
    })
    .await;
    assert!(last < CHUNKS / 2, "{last} of {CHUNKS} chunks were taken for a caller that reads nothing");
    let after = usage();
    assert!(after.0 < before.0 + GROWTH_KIB && after.1 < before.1 + GROWTH_KIB, "{before:?} {after:?}");
    let body = answer.bytes().await.unwrap();
    assert_eq!(body.len(), CHUNKS as usize * ochreyard_stand_ins::plain::CHUNK_BYTES);
}
