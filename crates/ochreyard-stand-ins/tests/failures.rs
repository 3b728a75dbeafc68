//! Tests the guarantees of the real processes under kills, freezes, platform outages and bad input.

use ochreyard_operator::{ClientError, OperatorClient};
use ochreyard_stand_ins::cluster::{OPERATOR_TOKEN, wait_until, workspace_token};
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};
use serde_json::json;

const DC: &str = "nantou-1";

fn spec() -> SiteSpec {
    SiteSpec { entries: vec![DC, DC], groups: vec![DC, DC], plains: vec![DC, DC], slots: 16, ..SiteSpec::default() }
}

async fn fetch(site: &Site, entry: usize) -> RequestOutcome {
    load::fetch(site.cluster.http(), &site.entries[entry].callers_url, WORKSPACES[0], PLAIN).await
}

async fn save(site: &Site, entry: usize, text: &str, key: &str) -> RequestOutcome {
    load::save(site.cluster.http(), &site.entries[entry].callers_url, WORKSPACES[0], PLAIN, text, key).await
}

async fn prompt(site: &Site, entry: usize, text: &str) -> RequestOutcome {
    load::prompt(site.cluster.http(), &site.entries[entry].callers_url, WORKSPACES[1], MODEL, text, true).await
}

#[tokio::test]
async fn repeatable_requests_succeed_after_an_agent_is_killed() {
    let mut site = Site::start(&spec()).await;
    site.cluster.kill("agent-group-1").await;
    site.cluster.kill("agent-plain-1").await;
    for number in 0..20 {
        assert_eq!(prompt(&site, number % 2, &format!("p{number}")).await, RequestOutcome::Complete);
        assert_eq!(fetch(&site, number % 2).await, RequestOutcome::Complete);
    }
}

#[tokio::test]
async fn a_save_runs_at_most_once_while_agents_are_killed_and_restarted() {
    let mut site = Site::start(&spec()).await;
    site.wait_until_keys_accepted().await;
    for index in 0..2 {
        let url = site.url(&format!("plain-{}", index + 1)).to_owned();
        site.cluster.set_fault(&url, json!({ "slow_ms": 150 })).await;
    }
    let notices: Vec<(String, String)> = (0..12).map(|n| (format!("notice-{n}"), fresh_key())).collect();
    for round in 0..4 {
        let mut callers = tokio::task::JoinSet::new();
        for (index, (text, key)) in notices.iter().enumerate() {
            let (http, entry) = (site.cluster.http().clone(), site.entries[(index + round) % 2].callers_url.clone());
            let (text, key) = (text.clone(), key.clone());
            callers.spawn(async move { load::save(&http, &entry, WORKSPACES[0], PLAIN, &text, &key).await });
        }
        if round < 2 {
            let killed_agent = format!("agent-plain-{}", round + 1);
            site.cluster.kill(&killed_agent).await;
            site.cluster.restart(&killed_agent).await;
        }
        for outcome in callers.join_all().await {
            assert_ne!(outcome, RequestOutcome::Wrong);
        }
        site.wait_until_alive().await;
    }
    for (text, _) in &notices {
        assert!(site.run_count(text).await <= 1, "{text} ran twice");
    }
}

#[tokio::test]
async fn a_retry_through_another_entry_gets_the_stored_answer() {
    let site = Site::start(&spec()).await;
    site.wait_until_keys_accepted().await;
    let key = fresh_key();
    assert_eq!(save(&site, 0, "once", &key).await, RequestOutcome::Complete);
    assert_eq!(save(&site, 1, "once", &key).await, RequestOutcome::Complete);
    assert_eq!(site.run_count("once").await, 1);
}

#[tokio::test]
async fn a_request_runs_once_when_the_home_of_its_key_changes() {
    let mut site = Site::start(&spec()).await;
    site.wait_until_keys_accepted().await;
    let keys: Vec<String> = (0..16).map(|_| fresh_key()).collect();
    for (index, key) in keys.iter().enumerate() {
        assert_eq!(save(&site, 0, &format!("move-{index}"), key).await, RequestOutcome::Complete);
    }
    // One of the two agents that store keys is removed from the configuration.
    let intent = "remove: {endpoints: [plain-2]}";
    site.version = site.cluster.apply_intent(&site.entries[1].operators_url, intent).await;
    let removed = site.endpoints.iter().position(|(endpoint, _)| endpoint.endpoint == "plain-2").unwrap();
    let removed = site.endpoints.remove(removed);
    site.wait_until_alive().await;
    let mut refused = 0;
    for (index, key) in keys.iter().enumerate() {
        refused += u32::from(save(&site, index % 2, &format!("move-{index}"), key).await != RequestOutcome::Complete);
    }
    site.endpoints.push(removed);
    for index in 0..keys.len() {
        assert_eq!(site.run_count(&format!("move-{index}")).await, 1);
    }
    // Guards against a fault: entries stopped calling the removed agent, so it never agreed to the change, and fresh keys
    // that would have been stored there were refused for ever.
    site.endpoints.retain(|(endpoint, _)| endpoint.endpoint != "plain-2");
    site.wait_until_keys_accepted().await;
    assert!(
        refused > 0 && refused < 16,
        "keys of the remaining agent are answered, keys of the removed agent are refused: {refused}"
    );
}

#[tokio::test]
async fn a_frozen_agent_blocks_no_request_for_good_and_runs_nothing_twice_when_it_resumes() {
    let mut site = Site::start(&SiteSpec { extra_entry_settings: "down_after_ms: 1500".into(), ..spec() }).await;
    site.wait_until_keys_accepted().await;
    site.cluster.freeze("agent-plain-1").await;
    let keys: Vec<String> = (0..8).map(|_| fresh_key()).collect();
    let mut callers = tokio::task::JoinSet::new();
    for (index, key) in keys.iter().enumerate() {
        let request = site.cluster.http().post(format!("{}/{PLAIN}/save", site.entries[0].callers_url));
        let request = request.bearer_auth(workspace_token(WORKSPACES[0])).header("idempotency-key", key);
        let request = request.header("ochreyard-deadline-ms", "700").body(format!("frozen-{index}"));
        callers.spawn(
            async move { request.send().await.unwrap().headers()["ochreyard-run"].to_str().unwrap().to_owned() },
        );
    }
    let run_headers = callers.join_all().await;
    assert!(run_headers.iter().all(|header| header != "not-run"), "{run_headers:?}");
    // Guards against a fault: closing the connection to a silent agent did not end the calls on it.
    let mut in_flight = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (http, entry) = (site.cluster.http().clone(), site.entries[1].callers_url.clone());
        in_flight.spawn(async move { load::fetch(&http, &entry, WORKSPACES[2], PLAIN).await });
    }
    assert_eq!(in_flight.join_all().await, vec![RequestOutcome::Complete; 8]);
    site.cluster.thaw("agent-plain-1").await;
    site.wait_until_alive().await;
    for (index, key) in keys.iter().enumerate() {
        save(&site, 1, &format!("frozen-{index}"), key).await;
        assert!(site.run_count(&format!("frozen-{index}")).await <= 1);
    }
}

#[tokio::test]
async fn requests_and_new_entries_work_during_an_outage_of_the_platform() {
    let mut site = Site::start(&spec()).await;
    site.wait_until_keys_accepted().await;
    site.cluster.set_fault(&site.platform, json!({ "outage": true })).await;
    let operator = OperatorClient::new(&site.entries[0].operators_url, OPERATOR_TOKEN);
    let Err(ClientError::Refused(error)) = operator.plan(site.intent()).await else {
        panic!("a plan was accepted during an outage")
    };
    assert_eq!(error.kind, "platform_unavailable");
    for entry in 0..2 {
        assert_eq!(fetch(&site, entry).await, RequestOutcome::Complete);
        assert_eq!(save(&site, entry, &format!("outage-{entry}"), &fresh_key()).await, RequestOutcome::Complete);
    }
    // A new entry gets the configuration from its peers.
    let extra = "log_poll_ms: 50\nheartbeat_ms: 100";
    let platform = site.platform.clone();
    let (callers, _) = site.cluster.start_entry("entry-3", DC, &platform, extra).await;
    wait_until("the new entry serves", async || {
        load::fetch(site.cluster.http(), &callers, WORKSPACES[0], PLAIN).await == RequestOutcome::Complete
    })
    .await;
}

/// An agent that restarts during an outage cannot learn the end of the log. It refuses keys, since requests must run at
/// most once.
#[tokio::test]
async fn an_agent_restarted_during_an_outage_accepts_no_keys_until_it_is_over() {
    let mut site = Site::start(&SiteSpec { plains: vec![DC], ..spec() }).await;
    site.wait_until_keys_accepted().await;
    site.cluster.set_fault(&site.platform, json!({ "outage": true })).await;
    site.cluster.kill("agent-plain-1").await;
    site.cluster.restart("agent-plain-1").await;
    wait_until("the agent serves repeatable requests", async || fetch(&site, 0).await == RequestOutcome::Complete)
        .await;
    assert_eq!(save(&site, 0, "in-outage", &fresh_key()).await, RequestOutcome::MayHaveRun);
    assert_eq!(site.run_count("in-outage").await, 0);
    site.cluster.set_fault(&site.platform, json!({})).await;
    site.wait_until_keys_accepted().await;
}

#[tokio::test]
async fn entries_restore_the_configuration_after_the_log_lost_all_records() {
    let mut site = Site::start(&spec()).await;
    let version = site.version;
    site.cluster.set_fault(&site.platform, json!({ "expire_to": 0 })).await;
    let extra = "log_poll_ms: 50\nheartbeat_ms: 100";
    let platform = site.platform.clone();
    let (callers, operators) = site.cluster.start_entry("entry-3", DC, &platform, extra).await;
    site.cluster.wait_until_alive(&operators, &["plain-1", "group-2"], version).await;
    assert_eq!(load::fetch(site.cluster.http(), &callers, WORKSPACES[0], PLAIN).await, RequestOutcome::Complete);
    // A change confirmed now builds on the configuration from before.
    let intent = "services: [{service: lifts, kind: plain, first_byte_ms: 900}]";
    let next = site.cluster.apply_intent(&operators, intent).await;
    assert!(next > version);
    site.version = next;
    site.wait_until_alive().await;
}

#[tokio::test]
async fn a_new_entry_starts_from_a_snapshot_after_older_records_expired() {
    let mut site = Site::start(&SiteSpec { extra_entry_settings: "snapshot_every_ms: 1000".into(), ..spec() }).await;
    let url = format!("{}/log/config?from=0&limit=500", site.platform);
    wait_until("a snapshot is written", async || {
        let page = site.cluster.get_json(&url).await;
        page["records"]
            .as_array()
            .unwrap()
            .iter()
            .any(|record| record["text"].as_str().unwrap().contains("\"snapshot\""))
    })
    .await;
    site.cluster.set_fault(&site.platform, json!({ "expire_to": 1 })).await;
    let platform = site.platform.clone();
    let (_, operators) = site.cluster.start_entry("entry-3", DC, &platform, "log_poll_ms: 50\nheartbeat_ms: 100").await;
    site.cluster.wait_until_alive(&operators, &["plain-1"], site.version).await;
}

#[tokio::test]
async fn a_confirmation_whose_answers_are_lost_takes_effect_once() {
    let site = Site::start(&spec()).await;
    let operator = OperatorClient::new(&site.entries[0].operators_url, OPERATOR_TOKEN);
    let plan = operator.plan("services: [{service: lifts, kind: plain, first_byte_ms: 700}]".into()).await.unwrap();
    site.cluster.set_fault(&site.platform, json!({ "lose_append_answers": true })).await;
    let id = plan.record.plan_id.to_string();
    let version = operator.confirm(&id).await.unwrap();
    let other = OperatorClient::new(&site.entries[1].operators_url, OPERATOR_TOKEN);
    assert_eq!(other.confirm(&id).await.unwrap(), version);
}

#[tokio::test]
async fn of_two_concurrent_confirmations_one_succeeds_and_the_other_is_told_the_conflict() {
    let site = Site::start(&spec()).await;
    let operators: Vec<OperatorClient> =
        site.entries.iter().map(|entry| OperatorClient::new(&entry.operators_url, OPERATOR_TOKEN)).collect();
    let mut ids = Vec::new();
    for (index, operator) in operators.iter().enumerate() {
        let intent = format!("services: [{{service: lifts, kind: plain, first_byte_ms: {}}}]", 700 + index);
        ids.push(operator.plan(intent).await.unwrap().record.plan_id.to_string());
    }
    let results = futures::future::join(operators[0].confirm(&ids[0]), operators[1].confirm(&ids[1])).await;
    let (succeeded, refused): (Vec<_>, Vec<_>) = [results.0, results.1].into_iter().partition(Result::is_ok);
    assert_eq!((succeeded.len(), refused.len()), (1, 1));
    let Err(ClientError::Refused(error)) = &refused[0] else { panic!("{refused:?}") };
    assert_eq!(error.kind, "plan_overtaken");
    assert!(error.message.contains("service/lifts"), "{}", error.message);
}

#[tokio::test]
async fn bad_intents_and_bad_records_are_reported_and_change_nothing() {
    let site = Site::start(&spec()).await;
    let operator = OperatorClient::new(&site.entries[0].operators_url, OPERATOR_TOKEN);
    for (intent, expected_text) in [
        ("services: [{service: x}]", "kind"),
        ("nonsense: 1", "nonsense"),
        ("workspaces: [{workspace: w, token_sha256: abc, services: [no], run_in: [mars]}]", "`mars` is unknown"),
        ("remove: {services: [lifts]}", "`lifts` is unknown"),
        ("{}", "changes nothing"),
    ] {
        let Err(ClientError::Refused(error)) = operator.plan(intent.into()).await else { panic!("{intent}") };
        assert_eq!(error.kind, "bad_intent");
        let faults: String = error.faults.iter().map(ToString::to_string).collect();
        assert!(faults.contains(expected_text), "{expected_text}: {faults}");
    }
    let append = site.cluster.http().post(format!("{}/log/config", site.platform)).body("{\"kind\":");
    append.send().await.unwrap();
    let next =
        site.cluster.apply_intent(&site.entries[1].operators_url, "services: [{service: more, kind: plain}]").await;
    assert!(next > site.version);
    let unauthenticated = OperatorClient::new(&site.entries[0].operators_url, "wrong");
    assert!(
        matches!(unauthenticated.status().await, Err(ClientError::Refused(error)) if error.kind == "unauthenticated")
    );
}

/// Requests of both entries follow the new permission after the change.
#[tokio::test]
async fn no_request_runs_in_a_data_centre_after_its_permission_is_withdrawn() {
    let far = "nantou-2";
    let mut site = Site::start(&SiteSpec { plains: vec![DC, far], ..spec() }).await;
    site.restrict_workspace(WORKSPACES[0], DC).await;
    let before = site.cluster.get_json(&format!("{}/runs", site.url("plain-2"))).await;
    for number in 0..30 {
        assert_eq!(fetch(&site, number % 2).await, RequestOutcome::Complete);
    }
    assert_eq!(site.cluster.get_json(&format!("{}/runs", site.url("plain-2"))).await, before);
}
