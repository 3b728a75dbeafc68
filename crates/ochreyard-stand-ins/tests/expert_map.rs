//! Tests changes of the expert map of a rank group by its real agent.

use ochreyard_stand_ins::cluster::wait_until;
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{MODEL, Site, SiteSpec, WORKSPACES};
use serde_json::{Value, json};

const DC: &str = "nantou-1";

async fn start() -> Site {
    let mut spec = SiteSpec { entries: vec![DC], groups: vec![DC], slots: 16, ..SiteSpec::default() };
    spec.extra_agent_settings =
        "rebalance: weigh_skew\nrebalance_every_ms: 100\nlease_ttl_ms: 4000\nplatform_url: PLATFORM".into();
    Site::start(&spec).await
}

async fn state(site: &Site) -> Value {
    site.cluster.get_json(&format!("{}/control/state", site.url("group-1"))).await
}

async fn wait_for_new_map(site: &Site, old_map: u64) {
    wait_until("the group uses another map", async || state(site).await["map"].as_u64() != Some(old_map)).await;
}

async fn assert_prompts_complete(site: &Site) {
    for number in 0..5 {
        let entry = &site.entries[0].callers_url;
        let outcome = load::prompt(site.cluster.http(), entry, WORKSPACES[0], MODEL, &format!("m{number}"), true).await;
        assert_eq!(outcome, RequestOutcome::Complete);
    }
}

#[tokio::test]
async fn a_hot_expert_causes_a_new_map_and_no_step_mixes_maps() {
    let site = start().await;
    site.cluster.set_fault(site.url("group-1"), json!({ "hot_expert": 3 })).await;
    wait_for_new_map(&site, 1).await;
    assert_prompts_complete(&site).await;
    let state = state(&site).await;
    assert_eq!(state["mixed_steps"], 0);
}

#[tokio::test]
async fn a_group_with_a_rank_that_drops_orders_keeps_one_map_and_keeps_running() {
    let site = start().await;
    site.cluster.set_fault(site.url("group-1"), json!({ "hot_expert": 3, "deaf_rank": 2 })).await;
    let start_step = state(&site).await["step"].as_u64().unwrap();
    wait_until("the group has run 50 further steps", async || {
        state(&site).await["step"].as_u64().unwrap() > start_step + 50
    })
    .await;
    site.cluster.set_fault(site.url("group-1"), json!({ "hot_expert": 3 })).await;
    wait_for_new_map(&site, 1).await;
    assert_prompts_complete(&site).await;
    assert_eq!(state(&site).await["mixed_steps"], 0);
}

#[tokio::test]
async fn a_gate_is_released_after_the_agent_is_killed_during_a_map_change() {
    let mut site = start().await;
    // Rank 3 gets the gate but not the order that schedules the new map, so the change cannot complete.
    let drops_activation = json!({ "hot_expert": 3, "deaf_rank": 3, "deaf_to_activate_only": true });
    site.cluster.set_fault(site.url("group-1"), drops_activation).await;
    wait_until("the group is held at the gate", async || state(&site).await["held_steps"].as_u64().unwrap() > 20).await;
    site.cluster.kill("agent-group-1").await;
    site.cluster.restart("agent-group-1").await;
    site.cluster.set_fault(site.url("group-1"), json!({ "hot_expert": 5 })).await;
    wait_until("the entry has connected to the new agent", async || {
        load::prompt(site.cluster.http(), &site.entries[0].callers_url, WORKSPACES[0], MODEL, "again", true).await
            == RequestOutcome::Complete
    })
    .await;
    wait_until("the gate is released and the group continues", async || {
        let first = state(&site).await;
        let second = state(&site).await;
        first["gated"] == false && second["step"].as_u64() >= first["step"].as_u64()
    })
    .await;
    assert_prompts_complete(&site).await;
    assert_eq!(state(&site).await["mixed_steps"], 0);
}

#[tokio::test]
async fn a_stalled_rank_causes_no_map_change() {
    let site = start().await;
    site.cluster.set_fault(site.url("group-1"), json!({ "stalled_rank": 1, "stall_ms": 20 })).await;
    let start_step = state(&site).await["step"].as_u64().unwrap();
    wait_until("the group has run 40 further steps", async || {
        state(&site).await["step"].as_u64().unwrap() > start_step + 40
    })
    .await;
    assert_eq!(state(&site).await["map"], 1);
}
