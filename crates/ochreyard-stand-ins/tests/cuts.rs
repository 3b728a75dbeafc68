//! Cuts between entries and agents, and between entries and the platform, each
//! direction by itself.

use ochreyard_stand_ins::cluster::{EndpointAt, wait_until};
use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::relay::{Partition, Relay};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};
use rstest::rstest;

const DC: &str = "nantou-1";
const FAR: &str = "nantou-2";

/// A site whose endpoint `plain-far` is reached only through a relay.
async fn start_with_far_endpoint(near_plains: usize) -> (Site, Relay) {
    let spec = SiteSpec {
        entries: vec![DC, DC],
        plains: vec![DC; near_plains],
        slots: 16,
        entry_extra: "down_after_ms: 1500\nsuspect_after_ms: 700".into(),
        ..SiteSpec::default()
    };
    let mut site = Site::start(&spec).await;
    let url = site.cluster.start_plain("engine-far").await;
    let (relay_addr, listen_addr) = (site.cluster.addr(), site.cluster.addr());
    let at = EndpointAt {
        endpoint: "plain-far".into(),
        service: PLAIN.into(),
        data_centre: FAR.into(),
        agent_addr: relay_addr.clone(),
        slots: 16,
    };
    let relay = Relay::start(&relay_addr, listen_addr.clone()).await;
    site.cluster.start_agent(&at, &url, &format!("listen_addr: {listen_addr}")).await;
    site.endpoints.push((at, url));
    site.configure().await;
    (site, relay)
}

async fn save(site: &Site, entry: usize, text: &str, key: &str) -> Fate {
    load::save(site.cluster.http(), &site.entries[entry].callers, WORKSPACES[0], PLAIN, text, key).await
}

#[rstest]
#[case::there(Partition { to_target: true, from_target: false })]
#[case::back(Partition { to_target: false, from_target: true })]
#[case::both(Partition { to_target: true, from_target: true })]
#[tokio::test]
async fn repeatable_work_goes_round_a_cut_and_comes_back_after_it(#[case] cut: Partition) {
    let (site, relay) = start_with_far_endpoint(1).await;
    relay.set_partition(cut);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..12 {
        let (http, entry) = (site.cluster.http().clone(), site.entries[number % 2].callers.clone());
        callers.spawn(async move { load::fetch(&http, &entry, WORKSPACES[number % 3], PLAIN).await });
    }
    assert_eq!(callers.join_all().await, vec![Fate::Whole; 12]);
    relay.set_partition(Partition::default());
    site.wait_alive().await;
}

/// The call arrives and runs, and its answer does not come back.
#[tokio::test]
async fn a_save_whose_answer_is_cut_off_ran_once_and_its_repeat_gets_the_kept_answer() {
    let (mut site, relay) = start_with_far_endpoint(1).await;
    let removed = "remove: {endpoints: [plain-1]}";
    site.version = site.cluster.apply(&site.entries[0].operators, removed).await;
    site.endpoints.retain(|(at, _)| at.endpoint != "plain-1");
    site.wait_alive().await;
    site.wait_for_keys().await;
    relay.set_partition(Partition { to_target: false, from_target: true });
    let key = fresh_key();
    assert_eq!(save(&site, 0, "cut-off", &key).await, Fate::MayHaveRun);
    relay.set_partition(Partition::default());
    site.wait_alive().await;
    wait_until("the kept answer comes", async || save(&site, 1, "cut-off", &key).await == Fate::Whole).await;
    assert_eq!(site.runs("cut-off").await, 1);
}

/// An entry that is cut off from the platform still holds the old permission;
/// the agent, which knows better, refuses.
#[tokio::test]
async fn the_stricter_of_two_configurations_wins() {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC, FAR], slots: 16, ..SiteSpec::default() };
    let mut site = Site::start(&spec).await;
    let relay_addr = site.cluster.addr();
    let target = site.platform.trim_start_matches("http://").to_owned();
    let relay = Relay::start(&relay_addr, target).await;
    let extra = "log_poll_ms: 50\nheartbeat_ms: 100\nplatform_timeout_ms: 200";
    let (stale, stale_operators) = site.cluster.start_entry("stale", DC, &format!("http://{relay_addr}"), extra).await;
    site.cluster.wait_alive(&stale_operators, &["plain-1", "plain-2"], site.version).await;
    relay.set_partition(Partition { to_target: true, from_target: true });
    site.restrict(WORKSPACES[0], DC).await;
    let runs = format!("{}/runs", site.url("plain-2"));
    let before = site.cluster.get_json(&runs).await;
    let mut fates = Vec::new();
    for _ in 0..20 {
        fates.push(load::fetch(site.cluster.http(), &stale, WORKSPACES[0], PLAIN).await);
    }
    assert_eq!(site.cluster.get_json(&runs).await, before, "nothing ran in the place that is no longer permitted");
    assert!(fates.iter().all(|fate| matches!(fate, Fate::Whole | Fate::NotRun)), "{fates:?}");
    relay.set_partition(Partition::default());
    site.cluster.wait_alive(&stale_operators, &["plain-1"], site.version).await;
    assert_eq!(load::fetch(site.cluster.http(), &stale, WORKSPACES[0], PLAIN).await, Fate::Whole);
}
