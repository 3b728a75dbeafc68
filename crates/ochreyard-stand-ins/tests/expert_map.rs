//! The expert map of a real group is changed by its real agent.

use ochreyard_stand_ins::cluster::wait_until;
use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::site::{MODEL, Site, SiteSpec, WORKSPACES};
use serde_json::{Value, json};

const DC: &str = "nantou-1";

async fn start() -> Site {
    let mut spec = SiteSpec { entries: vec![DC], groups: vec![DC], slots: 16, ..SiteSpec::default() };
    spec.agent_extra =
        "rebalance: weigh_skew\nrebalance_every_ms: 100\nlease_ttl_ms: 4000\nplatform_url: PLATFORM".into();
    Site::start(&spec).await
}

async fn state(site: &Site) -> Value {
    site.cluster.get_json(&format!("{}/control/state", site.url("group-1"))).await
}

async fn wait_for_new_map(site: &Site, old: u64) {
    wait_until("the group uses another map", async || state(site).await["map"].as_u64() != Some(old)).await;
}

async fn prompts_come_back_whole(site: &Site) {
    for number in 0..5 {
        let entry = &site.entries[0].callers;
        let fate = load::prompt(site.cluster.http(), entry, WORKSPACES[0], MODEL, &format!("m{number}"), true).await;
        assert_eq!(fate, Fate::Whole);
    }
}

#[tokio::test]
async fn a_hot_expert_leads_to_a_new_map_and_no_step_has_two() {
    let site = start().await;
    site.cluster.fault(site.url("group-1"), json!({ "hot_expert": 3 })).await;
    wait_for_new_map(&site, 1).await;
    prompts_come_back_whole(&site).await;
    let state = state(&site).await;
    assert_eq!(state["mixed_steps"], 0);
}

#[tokio::test]
async fn a_deaf_rank_leaves_the_group_with_one_map_and_going_on() {
    let site = start().await;
    site.cluster.fault(site.url("group-1"), json!({ "hot_expert": 3, "deaf_rank": 2 })).await;
    let before = state(&site).await["step"].as_u64().unwrap();
    wait_until("the group goes on", async || state(&site).await["step"].as_u64().unwrap() > before + 50).await;
    site.cluster.fault(site.url("group-1"), json!({ "hot_expert": 3 })).await;
    wait_for_new_map(&site, 1).await;
    prompts_come_back_whole(&site).await;
    assert_eq!(state(&site).await["mixed_steps"], 0);
}

#[tokio::test]
async fn an_agent_killed_in_the_middle_of_a_change_leaves_no_gate_behind() {
    let mut site = start().await;
    // Rank 3 hears of the gate, but not of the new map: the change hangs half-way.
    let half_way = json!({ "hot_expert": 3, "deaf_rank": 3, "deaf_to_activate_only": true });
    site.cluster.fault(site.url("group-1"), half_way).await;
    wait_until("the group is held", async || state(&site).await["held_steps"].as_u64().unwrap() > 20).await;
    site.cluster.kill("agent-group-1").await;
    site.cluster.restart("agent-group-1").await;
    site.cluster.fault(site.url("group-1"), json!({ "hot_expert": 5 })).await;
    wait_until("the entry has found the new agent", async || {
        load::prompt(site.cluster.http(), &site.entries[0].callers, WORKSPACES[0], MODEL, "again", true).await
            == Fate::Whole
    })
    .await;
    wait_until("no gate is left and the group goes on", async || {
        let first = state(&site).await;
        let second = state(&site).await;
        first["gated"] == false && second["step"].as_u64() >= first["step"].as_u64()
    })
    .await;
    prompts_come_back_whole(&site).await;
    assert_eq!(state(&site).await["mixed_steps"], 0);
}

#[tokio::test]
async fn a_stalled_rank_is_not_answered_with_moves() {
    let site = start().await;
    site.cluster.fault(site.url("group-1"), json!({ "stalled_rank": 1, "stall_ms": 20 })).await;
    let before = state(&site).await["step"].as_u64().unwrap();
    wait_until("some intervals have passed", async || state(&site).await["step"].as_u64().unwrap() > before + 40).await;
    assert_eq!(state(&site).await["map"], 1);
}
