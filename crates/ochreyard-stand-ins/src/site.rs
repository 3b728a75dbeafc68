//! A complete installation on loopback: a platform, entries, agents, endpoints, and a confirmed configuration.

use ochreyard_core::hash::sha256_hex;
use ochreyard_operator::{OperatorClient, Status};

use crate::cluster::{Cluster, EndpointSettings, OPERATOR_TOKEN, intent, wait_until, workspace_token};
use crate::load::{self, RequestOutcome};
use crate::rank_group::GroupConfig;

/// The model service of every site.
pub const MODEL: &str = "trail-map";
/// The plain service of every site.
pub const PLAIN: &str = "lifts";
/// The workspaces of every site.
pub const WORKSPACES: [&str; 3] = ["resort-a", "resort-b", "resort-c"];

/// The processes and settings of a site. All workspaces may run in all data centres of the site.
#[derive(Debug, Clone, Default)]
pub struct SiteSpec {
    /// Data centre of each entry; the entries are called `entry-1`, `entry-2`, …
    pub entries: Vec<&'static str>,
    /// Data centre of each rank group; the groups are called `group-1`, …
    pub groups: Vec<&'static str>,
    /// Data centre of each plain endpoint; the endpoints are called `plain-1`, …
    pub plains: Vec<&'static str>,
    /// Size and speed of each rank group.
    pub group_config: GroupConfig,
    /// Largest number of concurrent requests at each endpoint.
    pub slots: u32,
    /// Further lines of the entries' settings.
    pub extra_entry_settings: String,
    /// Further lines of the agents' settings; `PLATFORM` stands for the platform's URL.
    pub extra_agent_settings: String,
    /// Interval of heartbeats to agents, in milliseconds; 0 means 100.
    pub heartbeat_ms: u64,
    /// Interval at which entries read the log, in milliseconds; `None` means 50.
    pub log_poll_ms: Option<u64>,
}

/// The URLs of one entry.
#[derive(Debug, Clone)]
pub struct EntryUrls {
    /// URL for callers.
    pub callers_url: String,
    /// URL for operators.
    pub operators_url: String,
}

/// A running site.
pub struct Site {
    /// The processes of the site.
    pub cluster: Cluster,
    /// URL of the platform.
    pub platform: String,
    /// The URLs of the entries.
    pub entries: Vec<EntryUrls>,
    /// The endpoints, each with its URL.
    pub endpoints: Vec<(EndpointSettings, String)>,
    /// The last confirmed version of the configuration.
    pub version: u64,
}

impl Site {
    /// Starts a site and waits until every entry sees every endpoint alive.
    pub async fn start(spec: &SiteSpec) -> Self {
        let mut cluster = Cluster::new();
        let platform = cluster.start_platform().await;
        let mut entries = Vec::new();
        let heartbeat_ms = if spec.heartbeat_ms == 0 { 100 } else { spec.heartbeat_ms };
        let log_poll_ms = spec.log_poll_ms.unwrap_or(50);
        let extra_settings =
            format!("log_poll_ms: {log_poll_ms}\nheartbeat_ms: {heartbeat_ms}\n{}", spec.extra_entry_settings);
        for (index, data_centre) in spec.entries.iter().enumerate() {
            let name = format!("entry-{}", index + 1);
            let (callers_url, operators_url) =
                cluster.start_entry(&name, data_centre, &platform, &extra_settings).await;
            entries.push(EntryUrls { callers_url, operators_url });
        }
        let mut site = Self { cluster, platform, entries, endpoints: Vec::new(), version: 0 };
        for (index, data_centre) in spec.groups.iter().enumerate() {
            let name = format!("group-{}", index + 1);
            let url = site.cluster.start_rank_group(&format!("engine-{name}"), spec.group_config).await;
            site.start_endpoint(&name, MODEL, data_centre, url, spec).await;
        }
        for (index, data_centre) in spec.plains.iter().enumerate() {
            let name = format!("plain-{}", index + 1);
            let url = site.cluster.start_plain(&format!("engine-{name}")).await;
            site.start_endpoint(&name, PLAIN, data_centre, url, spec).await;
        }
        site.configure().await;
        site
    }

    async fn start_endpoint(&mut self, endpoint: &str, service: &str, data_centre: &str, url: String, spec: &SiteSpec) {
        let agent_addr = self.cluster.new_addr();
        let settings = EndpointSettings {
            endpoint: endpoint.into(),
            service: service.into(),
            data_centre: data_centre.into(),
            agent_addr,
            slots: spec.slots.max(1),
        };
        let extra_settings = spec.extra_agent_settings.replace("PLATFORM", &self.platform);
        self.cluster.start_agent(&settings, &url, &extra_settings).await;
        self.endpoints.push((settings, url));
    }

    /// Plans and confirms an intent with the present endpoints, and waits until all are alive with the new version.
    pub async fn configure(&mut self) {
        let intent = self.intent();
        self.version = self.cluster.apply_intent(&self.entries[0].operators_url, &intent).await;
        self.wait_until_alive().await;
    }

    /// Restricts a workspace to run and to keep data in one data centre.
    pub async fn restrict_workspace(&mut self, workspace: &str, data_centre: &str) {
        let token_hash = sha256_hex(&workspace_token(workspace));
        let intent = format!(
            "workspaces: [{{workspace: {workspace}, token_sha256: {token_hash}, services: [{MODEL}, {PLAIN}], \
             run_in: [{data_centre}], keep_in: [{data_centre}]}}]"
        );
        self.version = self.cluster.apply_intent(&self.entries[0].operators_url, &intent).await;
        self.wait_until_alive().await;
    }

    /// Waits until every entry sees every endpoint alive with the present version.
    pub async fn wait_until_alive(&self) {
        let names: Vec<&str> = self.endpoints.iter().map(|(endpoint, _)| endpoint.endpoint.as_str()).collect();
        for entry in &self.entries {
            self.cluster.wait_until_alive(&entry.operators_url, &names, self.version).await;
        }
    }

    /// Returns an intent with all present endpoints, in YAML.
    #[must_use]
    pub fn intent(&self) -> String {
        let endpoints: Vec<EndpointSettings> = self.endpoints.iter().map(|(endpoint, _)| endpoint.clone()).collect();
        let mut data_centres: Vec<&str> = endpoints.iter().map(|endpoint| endpoint.data_centre.as_str()).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        intent(&data_centres, &[MODEL], &[PLAIN], &WORKSPACES, &endpoints)
    }

    /// Returns the URL of an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the site has no such endpoint.
    #[must_use]
    pub fn url(&self, endpoint: &str) -> &str {
        &self
            .endpoints
            .iter()
            .find(|(settings, _)| settings.endpoint == endpoint)
            .expect("the site must have this endpoint")
            .1
    }

    /// Returns the status as an entry reports it, or `None` if the entry does not answer.
    pub async fn status(&self, entry: usize) -> Option<Status> {
        OperatorClient::new(&self.entries[entry].operators_url, OPERATOR_TOKEN).status().await.ok()
    }

    /// Waits until fresh idempotency keys are accepted by every agent that may store them. An agent that has just started
    /// refuses keys that may be older than itself.
    pub async fn wait_until_keys_accepted(&self) {
        const REQUIRED_IN_A_ROW: u32 = 16;
        let mut accepted_in_a_row = 0;
        wait_until("fresh keys are accepted", async || {
            let key = fresh_key();
            let entry = &self.entries[0].callers_url;
            let outcome = load::save(self.cluster.http(), entry, WORKSPACES[0], PLAIN, "warm-up", &key).await;
            accepted_in_a_row = if outcome == RequestOutcome::Complete { accepted_in_a_row + 1 } else { 0 };
            accepted_in_a_row >= REQUIRED_IN_A_ROW
        })
        .await;
    }

    /// Returns how often all plain endpoints together ran a request with this body.
    pub async fn run_count(&self, body: &str) -> u64 {
        let mut runs = 0;
        for (endpoint, url) in &self.endpoints {
            if endpoint.service == PLAIN {
                let run_counts = self.cluster.get_json(&format!("{url}/runs")).await;
                runs += run_counts[body].as_u64().unwrap_or(0);
            }
        }
        runs
    }
}

/// Returns a new idempotency key that contains its time of creation: a UUID of version 7.
#[must_use]
pub fn fresh_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
