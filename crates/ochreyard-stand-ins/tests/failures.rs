//! What must hold, with the real processes: kills, freezes, cuts, outages.

use ochreyard_operator::{ClientError, OperatorClient};
use ochreyard_stand_ins::cluster::{OPERATOR_TOKEN, wait_until, workspace_token};
use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};
use serde_json::json;

const DC: &str = "nantou-1";

fn spec() -> SiteSpec {
    SiteSpec { entries: vec![DC, DC], groups: vec![DC, DC], plains: vec![DC, DC], slots: 16, ..SiteSpec::default() }
}

async fn fetch(site: &Site, entry: usize) -> Fate {
    load::fetch(site.cluster.http(), &site.entries[entry].callers, WORKSPACES[0], PLAIN).await
}

async fn save(site: &Site, entry: usize, text: &str, key: &str) -> Fate {
    load::save(site.cluster.http(), &site.entries[entry].callers, WORKSPACES[0], PLAIN, text, key).await
}

async fn prompt(site: &Site, entry: usize, text: &str) -> Fate {
    load::prompt(site.cluster.http(), &site.entries[entry].callers, WORKSPACES[1], MODEL, text, true).await
}

#[tokio::test]
async fn repeatable_work_goes_on_when_an_agent_is_killed() {
    let mut site = Site::start(&spec()).await;
    site.cluster.kill("agent-group-1").await;
    site.cluster.kill("agent-plain-1").await;
    for number in 0..20 {
        assert_eq!(prompt(&site, number % 2, &format!("p{number}")).await, Fate::Whole);
        assert_eq!(fetch(&site, number % 2).await, Fate::Whole);
    }
}

#[tokio::test]
async fn a_save_runs_once_while_agents_are_killed_and_restarted_under_it() {
    let mut site = Site::start(&spec()).await;
    site.wait_for_keys().await;
    for at in 0..2 {
        let url = site.url(&format!("plain-{}", at + 1)).to_owned();
        site.cluster.fault(&url, json!({ "slow_ms": 150 })).await;
    }
    let notices: Vec<(String, String)> = (0..12).map(|n| (format!("notice-{n}"), fresh_key())).collect();
    for round in 0..4 {
        let mut callers = tokio::task::JoinSet::new();
        for (at, (text, key)) in notices.iter().enumerate() {
            let (http, entry) = (site.cluster.http().clone(), site.entries[(at + round) % 2].callers.clone());
            let (text, key) = (text.clone(), key.clone());
            callers.spawn(async move { load::save(&http, &entry, WORKSPACES[0], PLAIN, &text, &key).await });
        }
        if round < 2 {
            let victim = format!("agent-plain-{}", round + 1);
            site.cluster.kill(&victim).await;
            site.cluster.restart(&victim).await;
        }
        for fate in callers.join_all().await {
            assert_ne!(fate, Fate::Wrong);
        }
        site.wait_alive().await;
    }
    for (text, _) in &notices {
        assert!(site.runs(text).await <= 1, "{text} ran twice");
    }
}

#[tokio::test]
async fn a_repeat_through_another_entry_gets_the_kept_answer() {
    let site = Site::start(&spec()).await;
    site.wait_for_keys().await;
    let key = fresh_key();
    assert_eq!(save(&site, 0, "once", &key).await, Fate::Whole);
    assert_eq!(save(&site, 1, "once", &key).await, Fate::Whole);
    assert_eq!(site.runs("once").await, 1);
}

#[tokio::test]
async fn a_key_moves_with_the_configuration_and_still_runs_once() {
    let mut site = Site::start(&spec()).await;
    site.wait_for_keys().await;
    let keys: Vec<String> = (0..16).map(|_| fresh_key()).collect();
    for (at, key) in keys.iter().enumerate() {
        assert_eq!(save(&site, 0, &format!("move-{at}"), key).await, Fate::Whole);
    }
    // One of the two homes leaves the configuration.
    let removed = "remove: {endpoints: [plain-2]}";
    site.version = site.cluster.apply(&site.entries[1].operators, removed).await;
    let gone = site.endpoints.iter().position(|(at, _)| at.endpoint == "plain-2").unwrap();
    let gone = site.endpoints.remove(gone);
    site.wait_alive().await;
    let mut refused = 0;
    for (at, key) in keys.iter().enumerate() {
        refused += u32::from(save(&site, at % 2, &format!("move-{at}"), key).await != Fate::Whole);
    }
    site.endpoints.push(gone);
    for at in 0..keys.len() {
        assert_eq!(site.runs(&format!("move-{at}")).await, 1);
    }
    // Found by a cut test: entries stopped talking to the agent that had left, so it
    // never agreed, and fresh keys that would have lived there were refused for ever.
    site.endpoints.retain(|(at, _)| at.endpoint != "plain-2");
    site.wait_for_keys().await;
    assert!(refused > 0 && refused < 16, "keys of the home that stayed are answered, others are not: {refused}");
}

#[tokio::test]
async fn a_frozen_agent_holds_nobody_up_for_good_and_doubles_nothing_when_it_thaws() {
    let mut site = Site::start(&SiteSpec { entry_extra: "down_after_ms: 1500".into(), ..spec() }).await;
    site.wait_for_keys().await;
    site.cluster.freeze("agent-plain-1").await;
    let keys: Vec<String> = (0..8).map(|_| fresh_key()).collect();
    let mut callers = tokio::task::JoinSet::new();
    for (at, key) in keys.iter().enumerate() {
        let request = site.cluster.http().post(format!("{}/{PLAIN}/save", site.entries[0].callers));
        let request = request.bearer_auth(workspace_token(WORKSPACES[0])).header("idempotency-key", key);
        let request = request.header("ochreyard-deadline-ms", "700").body(format!("frozen-{at}"));
        callers.spawn(
            async move { request.send().await.unwrap().headers()["ochreyard-run"].to_str().unwrap().to_owned() },
        );
    }
    let claims = callers.join_all().await;
    assert!(claims.iter().all(|claim| claim != "not-run"), "{claims:?}");
    // Found here: dropping the connection to a silent agent did not end the calls on it.
    let mut under_way = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (http, entry) = (site.cluster.http().clone(), site.entries[1].callers.clone());
        under_way.spawn(async move { load::fetch(&http, &entry, WORKSPACES[2], PLAIN).await });
    }
    assert_eq!(under_way.join_all().await, vec![Fate::Whole; 8]);
    site.cluster.thaw("agent-plain-1").await;
    site.wait_alive().await;
    for (at, key) in keys.iter().enumerate() {
        save(&site, 1, &format!("frozen-{at}"), key).await;
        assert!(site.runs(&format!("frozen-{at}")).await <= 1);
    }
}

#[tokio::test]
async fn an_outage_of_the_platform_stops_no_request_and_no_new_entry() {
    let mut site = Site::start(&spec()).await;
    site.wait_for_keys().await;
    site.cluster.fault(&site.platform, json!({ "outage": true })).await;
    let operator = OperatorClient::new(&site.entries[0].operators, OPERATOR_TOKEN);
    let Err(ClientError::Refused(error)) = operator.plan(site.intent()).await else { panic!("a plan in an outage") };
    assert_eq!(error.kind, "platform_unavailable");
    for entry in 0..2 {
        assert_eq!(fetch(&site, entry).await, Fate::Whole);
        assert_eq!(save(&site, entry, &format!("outage-{entry}"), &fresh_key()).await, Fate::Whole);
    }
    // A new entry takes the configuration from its peers.
    let extra = "log_poll_ms: 50\nheartbeat_ms: 100";
    let platform = site.platform.clone();
    let (callers, _) = site.cluster.start_entry("entry-3", DC, &platform, extra).await;
    wait_until("the new entry serves", async || {
        load::fetch(site.cluster.http(), &callers, WORKSPACES[0], PLAIN).await == Fate::Whole
    })
    .await;
}

/// At most once comes first: an agent that restarts in an outage cannot be shown the log's end.
#[tokio::test]
async fn an_agent_restarted_in_an_outage_takes_no_keys_until_it_is_over() {
    let mut site = Site::start(&SiteSpec { plains: vec![DC], ..spec() }).await;
    site.wait_for_keys().await;
    site.cluster.fault(&site.platform, json!({ "outage": true })).await;
    site.cluster.kill("agent-plain-1").await;
    site.cluster.restart("agent-plain-1").await;
    wait_until("it serves what is repeatable", async || fetch(&site, 0).await == Fate::Whole).await;
    assert_eq!(save(&site, 0, "in-outage", &fresh_key()).await, Fate::MayHaveRun);
    assert_eq!(site.runs("in-outage").await, 0);
    site.cluster.fault(&site.platform, json!({})).await;
    site.wait_for_keys().await;
}

#[tokio::test]
async fn after_the_log_has_lost_all_records_the_entries_bring_the_state_back() {
    let mut site = Site::start(&spec()).await;
    let version = site.version;
    site.cluster.fault(&site.platform, json!({ "expire_to": 0 })).await;
    let extra = "log_poll_ms: 50\nheartbeat_ms: 100";
    let platform = site.platform.clone();
    let (callers, operators) = site.cluster.start_entry("entry-3", DC, &platform, extra).await;
    site.cluster.wait_alive(&operators, &["plain-1", "group-2"], version).await;
    assert_eq!(load::fetch(site.cluster.http(), &callers, WORKSPACES[0], PLAIN).await, Fate::Whole);
    // What is confirmed now builds on the state from before.
    let intent = "services: [{service: lifts, kind: plain, first_byte_ms: 900}]";
    let next = site.cluster.apply(&operators, intent).await;
    assert!(next > version);
    site.version = next;
    site.wait_alive().await;
}

#[tokio::test]
async fn snapshots_let_records_expire() {
    let mut site = Site::start(&SiteSpec { entry_extra: "snapshot_every_ms: 1000".into(), ..spec() }).await;
    let url = format!("{}/log/config?from=0&limit=500", site.platform);
    wait_until("a snapshot is written", async || {
        let page = site.cluster.get_json(&url).await;
        page["records"].as_array().unwrap().iter().any(|r| r["text"].as_str().unwrap().contains("\"snapshot\""))
    })
    .await;
    site.cluster.fault(&site.platform, json!({ "expire_to": 1 })).await;
    let platform = site.platform.clone();
    let (_, operators) = site.cluster.start_entry("entry-3", DC, &platform, "log_poll_ms: 50\nheartbeat_ms: 100").await;
    site.cluster.wait_alive(&operators, &["plain-1"], site.version).await;
}

#[tokio::test]
async fn a_confirm_whose_answers_are_lost_takes_effect_once() {
    let site = Site::start(&spec()).await;
    let operator = OperatorClient::new(&site.entries[0].operators, OPERATOR_TOKEN);
    let plan = operator.plan("services: [{service: lifts, kind: plain, first_byte_ms: 700}]".into()).await.unwrap();
    site.cluster.fault(&site.platform, json!({ "lose_append_answers": true })).await;
    let id = plan.record.plan_id.to_string();
    let version = operator.confirm(&id).await.unwrap();
    let other = OperatorClient::new(&site.entries[1].operators, OPERATOR_TOKEN);
    assert_eq!(other.confirm(&id).await.unwrap(), version);
}

#[tokio::test]
async fn of_racing_operators_one_wins_and_the_other_is_told_what_overtook_it() {
    let site = Site::start(&spec()).await;
    let operators: Vec<OperatorClient> =
        site.entries.iter().map(|entry| OperatorClient::new(&entry.operators, OPERATOR_TOKEN)).collect();
    let mut ids = Vec::new();
    for (at, operator) in operators.iter().enumerate() {
        let intent = format!("services: [{{service: lifts, kind: plain, first_byte_ms: {}}}]", 700 + at);
        ids.push(operator.plan(intent).await.unwrap().record.plan_id.to_string());
    }
    let results = futures::future::join(operators[0].confirm(&ids[0]), operators[1].confirm(&ids[1])).await;
    let (won, lost): (Vec<_>, Vec<_>) = [results.0, results.1].into_iter().partition(Result::is_ok);
    assert_eq!((won.len(), lost.len()), (1, 1));
    let Err(ClientError::Refused(error)) = &lost[0] else { panic!("{lost:?}") };
    assert_eq!(error.kind, "plan_overtaken");
    assert!(error.message.contains("service/lifts"), "{}", error.message);
}

#[tokio::test]
async fn bad_intents_and_bad_records_are_reported_and_change_nothing() {
    let site = Site::start(&spec()).await;
    let operator = OperatorClient::new(&site.entries[0].operators, OPERATOR_TOKEN);
    for (intent, says) in [
        ("services: [{service: x}]", "kind"),
        ("nonsense: 1", "nonsense"),
        ("workspaces: [{workspace: w, token_sha256: abc, services: [no], run_in: [mars]}]", "`mars` is unknown"),
        ("remove: {services: [lifts]}", "`lifts` is unknown"),
        ("{}", "changes nothing"),
    ] {
        let Err(ClientError::Refused(error)) = operator.plan(intent.into()).await else { panic!("{intent}") };
        assert_eq!(error.kind, "bad_intent");
        let faults: String = error.faults.iter().map(ToString::to_string).collect();
        assert!(faults.contains(says), "{says}: {faults}");
    }
    let append = site.cluster.http().post(format!("{}/log/config", site.platform)).body("{\"kind\":");
    append.send().await.unwrap();
    let next = site.cluster.apply(&site.entries[1].operators, "services: [{service: more, kind: plain}]").await;
    assert!(next > site.version);
    let stranger = OperatorClient::new(&site.entries[0].operators, "wrong");
    assert!(matches!(stranger.status().await, Err(ClientError::Refused(error)) if error.kind == "unauthenticated"));
}

/// Readers come and go for a while after a change; nobody serves the old state after the new.
#[tokio::test]
async fn places_hold_through_a_change_of_permission() {
    let far = "nantou-2";
    let mut site = Site::start(&SiteSpec { plains: vec![DC, far], ..spec() }).await;
    site.restrict(WORKSPACES[0], DC).await;
    let before = site.cluster.get_json(&format!("{}/runs", site.url("plain-2"))).await;
    for number in 0..30 {
        assert_eq!(fetch(&site, number % 2).await, Fate::Whole);
    }
    assert_eq!(site.cluster.get_json(&format!("{}/runs", site.url("plain-2"))).await, before);
}
