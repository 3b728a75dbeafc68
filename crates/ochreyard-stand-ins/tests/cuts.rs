//! Tests network partitions between entries and agents, and between entries and the platform, in each direction.

use ochreyard_stand_ins::cluster::{EndpointSettings, wait_until};
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::relay::{Partition, Relay};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};
use rstest::rstest;

const DC: &str = "nantou-1";
const FAR: &str = "nantou-2";

/// Starts a site whose endpoint `plain-far` is reached only through a relay.
async fn start_with_far_endpoint(near_plains: usize) -> (Site, Relay) {
    let spec = SiteSpec {
        entries: vec![DC, DC],
        plains: vec![DC; near_plains],
        slots: 16,
        extra_entry_settings: "down_after_ms: 1500\nsuspect_after_ms: 700".into(),
        ..SiteSpec::default()
    };
    let mut site = Site::start(&spec).await;
    let url = site.cluster.start_plain("engine-far").await;
    let (relay_addr, listen_addr) = (site.cluster.new_addr(), site.cluster.new_addr());
    let endpoint = EndpointSettings {
        endpoint: "plain-far".into(),
        service: PLAIN.into(),
        data_centre: FAR.into(),
        agent_addr: relay_addr.clone(),
        slots: 16,
    };
    let relay = Relay::start(&relay_addr, listen_addr.clone()).await;
    site.cluster.start_agent(&endpoint, &url, &format!("listen_addr: {listen_addr}")).await;
    site.endpoints.push((endpoint, url));
    site.configure().await;
    (site, relay)
}

async fn save(site: &Site, entry: usize, text: &str, key: &str) -> RequestOutcome {
    load::save(site.cluster.http(), &site.entries[entry].callers_url, WORKSPACES[0], PLAIN, text, key).await
}

#[rstest]
#[case::to_target(Partition { to_target: true, from_target: false })]
#[case::from_target(Partition { to_target: false, from_target: true })]
#[case::both_directions(Partition { to_target: true, from_target: true })]
#[tokio::test]
async fn repeatable_requests_avoid_a_partitioned_endpoint_which_recovers_afterwards(#[case] partition: Partition) {
    let (site, relay) = start_with_far_endpoint(1).await;
    relay.set_partition(partition);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..12 {
        let (http, entry) = (site.cluster.http().clone(), site.entries[number % 2].callers_url.clone());
        callers.spawn(async move { load::fetch(&http, &entry, WORKSPACES[number % 3], PLAIN).await });
    }
    assert_eq!(callers.join_all().await, vec![RequestOutcome::Complete; 12]);
    relay.set_partition(Partition::default());
    site.wait_until_alive().await;
}

/// The request arrives and runs, but its answer is lost.
#[tokio::test]
async fn a_save_whose_answer_is_lost_runs_once_and_its_retry_gets_the_stored_answer() {
    let (mut site, relay) = start_with_far_endpoint(1).await;
    let intent = "remove: {endpoints: [plain-1]}";
    site.version = site.cluster.apply_intent(&site.entries[0].operators_url, intent).await;
    site.endpoints.retain(|(endpoint, _)| endpoint.endpoint != "plain-1");
    site.wait_until_alive().await;
    site.wait_until_keys_accepted().await;
    relay.set_partition(Partition { to_target: false, from_target: true });
    let key = fresh_key();
    assert_eq!(save(&site, 0, "cut-off", &key).await, RequestOutcome::MayHaveRun);
    relay.set_partition(Partition::default());
    site.wait_until_alive().await;
    wait_until("the stored answer arrives", async || save(&site, 1, "cut-off", &key).await == RequestOutcome::Complete)
        .await;
    assert_eq!(site.run_count("cut-off").await, 1);
}

/// An entry without a connection to the platform still has the old permission. The agent, which has the newer
/// configuration, refuses the request.
#[tokio::test]
async fn the_stricter_of_two_configurations_wins() {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC, FAR], slots: 16, ..SiteSpec::default() };
    let mut site = Site::start(&spec).await;
    let relay_addr = site.cluster.new_addr();
    let target = site.platform.trim_start_matches("http://").to_owned();
    let relay = Relay::start(&relay_addr, target).await;
    let extra = "log_poll_ms: 50\nheartbeat_ms: 100\nplatform_timeout_ms: 200";
    let (stale_entry, stale_operators) =
        site.cluster.start_entry("stale", DC, &format!("http://{relay_addr}"), extra).await;
    site.cluster.wait_until_alive(&stale_operators, &["plain-1", "plain-2"], site.version).await;
    relay.set_partition(Partition { to_target: true, from_target: true });
    site.restrict_workspace(WORKSPACES[0], DC).await;
    let runs = format!("{}/runs", site.url("plain-2"));
    let before = site.cluster.get_json(&runs).await;
    let mut outcomes = Vec::new();
    for _ in 0..20 {
        outcomes.push(load::fetch(site.cluster.http(), &stale_entry, WORKSPACES[0], PLAIN).await);
    }
    assert_eq!(
        site.cluster.get_json(&runs).await,
        before,
        "no request ran in the data centre that is no longer permitted"
    );
    assert!(
        outcomes.iter().all(|outcome| matches!(outcome, RequestOutcome::Complete | RequestOutcome::NotRun)),
        "{outcomes:?}"
    );
    relay.set_partition(Partition::default());
    site.cluster.wait_until_alive(&stale_operators, &["plain-1"], site.version).await;
    assert_eq!(load::fetch(site.cluster.http(), &stale_entry, WORKSPACES[0], PLAIN).await, RequestOutcome::Complete);
}
