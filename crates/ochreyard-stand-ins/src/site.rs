//! A whole installation on loopback: platform, entries, agents, endpoints, and a
//! confirmed configuration.

use ochreyard_core::hash::sha256_hex;
use ochreyard_operator::{OperatorClient, Status};

use crate::cluster::{Cluster, EndpointAt, OPERATOR_TOKEN, intent, wait_until, workspace_token};
use crate::load::{self, Fate};
use crate::rank_group::GroupSize;

/// The model service of every site.
pub const MODEL: &str = "trail-map";
/// The plain service of every site.
pub const PLAIN: &str = "lifts";
/// The workspaces of every site.
pub const WORKSPACES: [&str; 3] = ["resort-a", "resort-b", "resort-c"];

/// What a site is made of. All places are permitted to all workspaces.
#[derive(Debug, Clone, Default)]
pub struct SiteSpec {
    /// Data centre of each entry; they are called `entry-1`, `entry-2`, …
    pub entries: Vec<&'static str>,
    /// Data centre of each rank group; they are called `group-1`, …
    pub groups: Vec<&'static str>,
    /// Data centre of each plain endpoint; they are called `plain-1`, …
    pub plains: Vec<&'static str>,
    /// What each rank group can do.
    pub group_size: GroupSize,
    /// Requests at the same time at each endpoint.
    pub slots: u32,
    /// Further lines of the entries' settings.
    pub entry_extra: String,
    /// Further lines of the agents' settings; `PLATFORM` stands for the platform's URL.
    pub agent_extra: String,
    /// How often agents are asked for a report, in milliseconds; 0 for 100.
    pub heartbeat_ms: u64,
    /// How often entries read the log, in milliseconds; 50 unless given.
    pub log_poll_ms: Option<u64>,
}

/// The addresses of one entry.
#[derive(Debug, Clone)]
pub struct EntryAt {
    /// URL for callers.
    pub callers: String,
    /// URL for operators.
    pub operators: String,
}

/// A running site.
pub struct Site {
    /// The processes.
    pub cluster: Cluster,
    /// URL of the platform.
    pub platform: String,
    /// The entries.
    pub entries: Vec<EntryAt>,
    /// The endpoints, with the URL of each.
    pub endpoints: Vec<(EndpointAt, String)>,
    /// The version of the configuration that was confirmed last.
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
        let extra = format!("log_poll_ms: {log_poll_ms}\nheartbeat_ms: {heartbeat_ms}\n{}", spec.entry_extra);
        for (at, dc) in spec.entries.iter().enumerate() {
            let name = format!("entry-{}", at + 1);
            let (callers, operators) = cluster.start_entry(&name, dc, &platform, &extra).await;
            entries.push(EntryAt { callers, operators });
        }
        let mut site = Self { cluster, platform, entries, endpoints: Vec::new(), version: 0 };
        for (at, dc) in spec.groups.iter().enumerate() {
            let name = format!("group-{}", at + 1);
            let url = site.cluster.start_rank_group(&format!("engine-{name}"), spec.group_size).await;
            site.start_endpoint(&name, MODEL, dc, url, spec).await;
        }
        for (at, dc) in spec.plains.iter().enumerate() {
            let name = format!("plain-{}", at + 1);
            let url = site.cluster.start_plain(&format!("engine-{name}")).await;
            site.start_endpoint(&name, PLAIN, dc, url, spec).await;
        }
        site.configure().await;
        site
    }

    async fn start_endpoint(&mut self, endpoint: &str, service: &str, dc: &str, url: String, spec: &SiteSpec) {
        let agent_addr = self.cluster.addr();
        let at = EndpointAt {
            endpoint: endpoint.into(),
            service: service.into(),
            data_centre: dc.into(),
            agent_addr,
            slots: spec.slots.max(1),
        };
        let extra = spec.agent_extra.replace("PLATFORM", &self.platform);
        self.cluster.start_agent(&at, &url, &extra).await;
        self.endpoints.push((at, url));
    }

    /// Plans and confirms the present endpoints, and waits until all are alive with that version.
    pub async fn configure(&mut self) {
        let intent = self.intent();
        self.version = self.cluster.apply(&self.entries[0].operators, &intent).await;
        self.wait_alive().await;
    }

    /// Lets a workspace run, and keep data, in one place only.
    pub async fn restrict(&mut self, workspace: &str, place: &str) {
        let hash = sha256_hex(&workspace_token(workspace));
        let intent = format!(
            "workspaces: [{{workspace: {workspace}, token_sha256: {hash}, services: [{MODEL}, {PLAIN}], \
             run_in: [{place}], keep_in: [{place}]}}]"
        );
        self.version = self.cluster.apply(&self.entries[0].operators, &intent).await;
        self.wait_alive().await;
    }

    /// Waits until every entry sees every endpoint alive with the present version.
    pub async fn wait_alive(&self) {
        let names: Vec<&str> = self.endpoints.iter().map(|(at, _)| at.endpoint.as_str()).collect();
        for entry in &self.entries {
            self.cluster.wait_alive(&entry.operators, &names, self.version).await;
        }
    }

    /// The intent that names all present endpoints.
    #[must_use]
    pub fn intent(&self) -> String {
        let placed: Vec<EndpointAt> = self.endpoints.iter().map(|(at, _)| at.clone()).collect();
        let mut places: Vec<&str> = placed.iter().map(|at| at.data_centre.as_str()).collect();
        places.sort_unstable();
        places.dedup();
        intent(&places, &[MODEL], &[PLAIN], &WORKSPACES, &placed)
    }

    /// The URL of an endpoint.
    ///
    /// # Panics
    ///
    /// When there is no such endpoint.
    #[must_use]
    pub fn url(&self, endpoint: &str) -> &str {
        &self.endpoints.iter().find(|(at, _)| at.endpoint == endpoint).expect("the site has this endpoint").1
    }

    /// The status as an entry sees it.
    pub async fn status(&self, entry: usize) -> Option<Status> {
        OperatorClient::new(&self.entries[entry].operators, OPERATOR_TOKEN).status().await.ok()
    }

    /// An agent that has just started takes no key that may be older than
    /// itself; waits until fresh keys are taken at every home.
    pub async fn wait_for_keys(&self) {
        const IN_A_ROW: u32 = 16;
        let mut taken = 0;
        wait_until("fresh keys are taken", async || {
            let key = fresh_key();
            let entry = &self.entries[0].callers;
            let fate = load::save(self.cluster.http(), entry, WORKSPACES[0], PLAIN, "warm-up", &key).await;
            taken = if fate == Fate::Whole { taken + 1 } else { 0 };
            taken >= IN_A_ROW
        })
        .await;
    }

    /// How often the plain endpoints ran a request with this body, all together.
    pub async fn runs(&self, body: &str) -> u64 {
        let mut runs = 0;
        for (at, url) in &self.endpoints {
            if at.service == PLAIN {
                let counted = self.cluster.get_json(&format!("{url}/runs")).await;
                runs += counted[body].as_u64().unwrap_or(0);
            }
        }
        runs
    }
}

/// An idempotency key that dates itself: a UUID of version 7.
#[must_use]
pub fn fresh_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
