//! Starts the real programs and the stand-ins on loopback, for the demo and for end-to-end tests.
//!
//! Each cluster has its own address in 127.0.0.0/8. So the ports of clusters that run at the same time, and the ports of
//! outgoing connections, never collide.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use ochreyard_core::hash::sha256_hex;
use ochreyard_operator::OperatorClient;
use serde_json::Value;
use tokio::process::{Child, Command};

use crate::built_program::built_program;
use crate::rank_group::GroupConfig;

/// Token with which entries and agents authenticate to each other.
const PEER_TOKEN: &str = "peer-token";
/// Bearer token of the operators.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Largest number of checks in [`wait_until`].
const MAX_POLLS: u32 = 2_400;

/// The number of the next cluster of this process.
static NEXT_CLUSTER_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Returns the bearer token of a workspace in these clusters.
#[must_use]
pub fn workspace_token(workspace: &str) -> String {
    format!("token-of-{workspace}")
}

/// An endpoint: what it serves, and where its agent listens.
#[derive(Debug, Clone)]
pub struct EndpointSettings {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Service that the endpoint serves.
    pub service: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// `address:port` of the endpoint's agent.
    pub agent_addr: String,
    /// Largest number of concurrent requests.
    pub slots: u32,
}

/// A set of processes on loopback, which are killed when the cluster is dropped.
pub struct Cluster {
    ip: Ipv4Addr,
    dir: PathBuf,
    next_port: u16,
    entry_peers: Vec<String>,
    processes: BTreeMap<String, Process>,
    http: reqwest::Client,
}

struct Process {
    child: Child,
    program: PathBuf,
    args: Vec<String>,
    pid: u32,
}

impl Cluster {
    /// Creates a cluster without processes.
    ///
    /// # Panics
    ///
    /// Panics if the cluster's folder cannot be created.
    #[must_use]
    pub fn new() -> Self {
        let pid = std::process::id();
        let number = NEXT_CLUSTER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, number);
        let dir = std::env::temp_dir().join(format!("ochreyard-{pid}-{number}"));
        std::fs::create_dir_all(&dir).expect("the cluster's folder must be created");
        std::fs::write(dir.join("peer-token"), PEER_TOKEN).expect("the token file must be written");
        std::fs::write(dir.join("operator-token"), OPERATOR_TOKEN).expect("the token file must be written");
        let http = reqwest::Client::builder().no_proxy().build().expect("the HTTP client must be built");
        Self { ip, dir, next_port: 7000, entry_peers: Vec::new(), processes: BTreeMap::new(), http }
    }

    /// Returns an HTTP client that uses no proxy.
    #[must_use]
    pub const fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Returns the folder of settings, tokens and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns an `address:port` that is not used in this cluster yet.
    pub fn new_addr(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }

    /// Starts the platform stand-in and returns its URL.
    pub async fn start_platform(&mut self) -> String {
        let addr = self.new_addr();
        self.start_stand_in("platform", "platform", vec![addr.clone()]).await;
        format!("http://{addr}")
    }

    /// Starts a rank group stand-in and returns its URL.
    pub async fn start_rank_group(&mut self, name: &str, config: GroupConfig) -> String {
        let addr = self.new_addr();
        let group_args = [
            config.ranks.to_string(),
            config.step_ms.to_string(),
            config.max_batch.to_string(),
            config.prefill_steps.to_string(),
            config.cached_prompts.to_string(),
        ];
        let args = std::iter::once(addr.clone()).chain(group_args).collect();
        self.start_stand_in(name, "rank_group", args).await;
        format!("http://{addr}")
    }

    /// Starts a plain service stand-in and returns its URL.
    pub async fn start_plain(&mut self, name: &str) -> String {
        let addr = self.new_addr();
        self.start_stand_in(name, "plain", vec![addr.clone()]).await;
        format!("http://{addr}")
    }

    async fn start_stand_in(&mut self, name: &str, example: &str, args: Vec<String>) {
        let addr = args[0].clone();
        self.spawn(name, built_program(&format!("examples/{example}")), args);
        wait_for_port(&addr).await;
    }

    /// Starts an entry; `extra_settings` are further lines of its settings. Returns the URLs for callers and for
    /// operators.
    pub async fn start_entry(
        &mut self,
        name: &str,
        data_centre: &str,
        platform_url: &str,
        extra_settings: &str,
    ) -> (String, String) {
        let (callers_addr, operators_addr, peer_addr) = (self.new_addr(), self.new_addr(), self.new_addr());
        let peers = self.entry_peers.join(", ");
        self.entry_peers.push(peer_addr.clone());
        let token_hash = sha256_hex(OPERATOR_TOKEN);
        let settings = format!(
            "entry: {name}\ndata_centre: {data_centre}\ncallers_addr: {callers_addr}\noperators_addr: {operators_addr}\n\
             peer_addr: {peer_addr}\npeers: [{peers}]\n\
             platform_url: {platform_url}\npeer_token_file: {}\noperator_token_sha256: {token_hash}\n{extra_settings}\n",
            self.dir.join("peer-token").display()
        );
        self.start_program(name, "ochreyard", &settings);
        wait_for_port(&callers_addr).await;
        (format!("http://{callers_addr}"), format!("http://{operators_addr}"))
    }

    /// Starts the agent of an endpoint; `extra_settings` are further lines of its settings.
    pub async fn start_agent(&mut self, endpoint: &EndpointSettings, endpoint_url: &str, extra_settings: &str) {
        let ops_addr = self.new_addr();
        let settings = format!(
            "agent: agent-{}\nendpoint: {}\ndata_centre: {}\nagent_addr: {}\nops_addr: {ops_addr}\n\
             endpoint_url: {endpoint_url}\npeer_token_file: {}\n{extra_settings}\n",
            endpoint.endpoint,
            endpoint.endpoint,
            endpoint.data_centre,
            endpoint.agent_addr,
            self.dir.join("peer-token").display()
        );
        self.start_program(&format!("agent-{}", endpoint.endpoint), "ochreyard-agent", &settings);
        wait_for_port(&endpoint.agent_addr).await;
    }

    fn start_program(&mut self, name: &str, program: &str, settings: &str) {
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("the settings file must be written");
        let args = vec!["serve".to_owned(), path.display().to_string()];
        self.spawn(name, built_program(program), args);
    }

    fn spawn(&mut self, name: &str, program: PathBuf, args: Vec<String>) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let mut command = Command::new(&program);
        command.args(&args).kill_on_drop(true).stdin(std::process::Stdio::null());
        command.stderr(log.expect("the log file must be opened"));
        let child = command.spawn().unwrap_or_else(|error| panic!("{} cannot be started: {error}", program.display()));
        let pid = child.id().expect("a running process has an id");
        self.processes.insert(name.to_owned(), Process { child, program, args, pid });
    }

    fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process is called {name}"))
    }

    /// Kills a process without a chance to clean up, as in a power failure.
    pub async fn kill(&mut self, name: &str) {
        let process = self.process(name);
        process.child.kill().await.expect("a process of this cluster can be killed");
    }

    /// Restarts an ended process with no state.
    pub async fn restart(&mut self, name: &str) {
        let process = self.processes.remove(name).unwrap_or_else(|| panic!("no process is called {name}"));
        self.spawn(name, process.program, process.args);
    }

    /// Returns the resident memory of a process, in KiB, and the processor time that it has used, in ticks of 10 ms.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    #[must_use]
    pub fn usage(&self, name: &str) -> (u64, u64) {
        let pid = self.processes[name].pid;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process must be running");
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        let rss_kib = rss.trim().trim_end_matches(" kB").parse().unwrap_or(0);
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process must be running");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<u64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect();
        (rss_kib, fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0))
    }

    /// Sends SIGTERM to a process, which starts its planned stop.
    pub async fn terminate(&mut self, name: &str) {
        self.signal(name, "TERM").await;
    }

    /// Freezes a process by SIGSTOP.
    pub async fn freeze(&mut self, name: &str) {
        self.signal(name, "STOP").await;
    }

    /// Resumes a frozen process by SIGCONT.
    pub async fn thaw(&mut self, name: &str) {
        self.signal(name, "CONT").await;
    }

    async fn signal(&mut self, name: &str, signal: &str) {
        let pid = self.process(name).pid;
        let status = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status().await;
        assert!(status.is_ok_and(|status| status.success()), "{name} must accept the signal {signal}");
    }

    /// Waits until a process has exited, and returns whether its exit code was 0.
    pub async fn wait_for_exit(&mut self, name: &str) -> bool {
        let process = self.process(name);
        process.child.wait().await.is_ok_and(|status| status.success())
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_fault(&self, url: &str, fault: Value) {
        let sent = self.http.post(format!("{url}/fault")).json(&fault).send().await;
        assert!(sent.is_ok_and(|answer| answer.status().is_success()), "the fault of {url} must be set");
    }

    /// Sends a GET request to `url` and returns the answer as JSON.
    pub async fn get_json(&self, url: &str) -> Value {
        let answer = self.http.get(url).send().await.expect("the stand-in must answer");
        answer.json().await.expect("the answer must be JSON")
    }

    /// Plans and confirms an intent, and returns the new version of the configuration.
    ///
    /// # Panics
    ///
    /// Panics if the intent or its confirmation is refused.
    pub async fn apply_intent(&self, operators_url: &str, intent: &str) -> u64 {
        let client = OperatorClient::new(operators_url, OPERATOR_TOKEN);
        let plan = client.plan(intent.to_owned()).await.unwrap_or_else(|error| panic!("plan: {error}"));
        let id = plan.record.plan_id.to_string();
        client.confirm(&id).await.unwrap_or_else(|error| panic!("confirm: {error}"))
    }

    /// Waits until an entry sees these endpoints alive with a configuration of at least `version`.
    pub async fn wait_until_alive(&self, operators_url: &str, endpoints: &[&str], version: u64) {
        let client = OperatorClient::new(operators_url, OPERATOR_TOKEN);
        wait_until("the endpoints are alive", async || {
            let Ok(status) = client.status().await else { return false };
            let is_alive = |name: &&str| {
                status
                    .endpoints
                    .iter()
                    .any(|row| row.endpoint == **name && row.health == "alive" && row.config_version >= version)
            };
            status.config_version >= version && endpoints.iter().all(is_alive)
        })
        .await;
    }
}

impl Default for Cluster {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            // SIGKILL ends a frozen process too.
            let _ = process.child.start_kill();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Checks a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold after [`MAX_POLLS`] checks.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {what}");
}

async fn wait_for_port(addr: &str) {
    wait_until(&format!("{addr} listens"), async || tokio::net::TcpStream::connect(addr).await.is_ok()).await;
}

/// Returns an intent in YAML with these services and endpoints, and with workspaces that may use all services in all
/// `data_centres`.
#[must_use]
pub fn intent(
    data_centres: &[&str],
    model_services: &[&str],
    plain_services: &[&str],
    workspaces: &[&str],
    endpoints: &[EndpointSettings],
) -> String {
    let comma_separated = |names: &[&str]| names.join(", ");
    let services = [model_services, plain_services].concat();
    let mut yaml = String::from("services:\n");
    for name in model_services {
        let _ = writeln!(yaml, "  - {{service: {name}, kind: model}}");
    }
    for name in plain_services {
        let _ = writeln!(yaml, "  - {{service: {name}, kind: plain}}");
    }
    yaml.push_str("places:\n");
    for data_centre in data_centres {
        let _ = writeln!(yaml, "  - data_centre: {data_centre}\n    may_hold:");
        for service in &services {
            let _ = writeln!(yaml, "      - {{service: {service}, model_versions: [v1], roles: [mixed]}}");
        }
    }
    yaml.push_str("workspaces:\n");
    for name in workspaces {
        let token_hash = sha256_hex(&workspace_token(name));
        let _ = writeln!(
            yaml,
            "  - {{workspace: {name}, token_sha256: {token_hash}, services: [{}], run_in: [{}], keep_in: [{}]}}",
            comma_separated(&services),
            comma_separated(data_centres),
            comma_separated(data_centres)
        );
    }
    yaml.push_str("endpoints:\n");
    for endpoint in endpoints {
        let version = if model_services.contains(&endpoint.service.as_str()) { "v1" } else { "''" };
        let _ = writeln!(
            yaml,
            "  - {{endpoint: {}, service: {}, data_centre: {}, agent_addr: '{}', model_version: {version}, slots: {}}}",
            endpoint.endpoint, endpoint.service, endpoint.data_centre, endpoint.agent_addr, endpoint.slots
        );
    }
    yaml
}
