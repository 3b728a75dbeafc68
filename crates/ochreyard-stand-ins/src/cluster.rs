//! Starts the real programs and the stand-ins on loopback, for the demo and for
//! tests of the whole.
//!
//! Each cluster has an address of its own in 127.0.0.0/8, so that clusters side
//! by side, and the ports of outgoing connections, never collide.

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

use crate::rank_group::GroupSize;

/// Token between entries and agents.
const PEER_TOKEN: &str = "peer-token";
/// Token of the operators.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// How often a condition is looked at, and how many times at the most.
const POLL: Duration = Duration::from_millis(25);
const MAX_POLLS: u32 = 2_400;

static CLUSTERS: AtomicU8 = AtomicU8::new(1);

/// The bearer token of a workspace in these clusters.
#[must_use]
pub fn workspace_token(workspace: &str) -> String {
    format!("token-of-{workspace}")
}

/// Where an endpoint's agent is, and what it serves.
#[derive(Debug, Clone)]
pub struct EndpointAt {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// `address:port` of its agent.
    pub agent_addr: String,
    /// Requests at the same time.
    pub slots: u32,
}

/// Processes on loopback. All of them end when this is dropped.
pub struct Cluster {
    ip: Ipv4Addr,
    dir: PathBuf,
    programs: PathBuf,
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
    /// An empty cluster.
    ///
    /// # Panics
    ///
    /// When its folder cannot be made.
    #[must_use]
    pub fn new() -> Self {
        let pid = std::process::id();
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, number);
        let dir = std::env::temp_dir().join(format!("ochreyard-{pid}-{number}"));
        std::fs::create_dir_all(&dir).expect("the cluster's folder can be made");
        std::fs::write(dir.join("peer-token"), PEER_TOKEN).expect("the token file can be written");
        std::fs::write(dir.join("operator-token"), OPERATOR_TOKEN).expect("the token file can be written");
        let http = reqwest::Client::builder().no_proxy().build().expect("an HTTP client can be made");
        Self {
            ip,
            dir,
            programs: programs(),
            next_port: 7000,
            entry_peers: Vec::new(),
            processes: BTreeMap::new(),
            http,
        }
    }

    /// An HTTP client without a proxy.
    #[must_use]
    pub const fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// The folder of settings, tokens and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// A fresh address.
    pub fn addr(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }

    /// The path of a program or, under `examples/`, of a stand-in.
    #[must_use]
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Starts the platform stand-in and returns its URL.
    pub async fn start_platform(&mut self) -> String {
        let addr = self.addr();
        self.start_stand_in("platform", "platform", vec![addr.clone()]).await;
        format!("http://{addr}")
    }

    /// Starts a rank group stand-in and returns its URL.
    pub async fn start_rank_group(&mut self, name: &str, size: GroupSize) -> String {
        let addr = self.addr();
        let numbers = [
            size.ranks.to_string(),
            size.step_ms.to_string(),
            size.max_batch.to_string(),
            size.prefill_steps.to_string(),
            size.cached_prompts.to_string(),
        ];
        let args = std::iter::once(addr.clone()).chain(numbers).collect();
        self.start_stand_in(name, "rank_group", args).await;
        format!("http://{addr}")
    }

    /// Starts a plain service stand-in and returns its URL.
    pub async fn start_plain(&mut self, name: &str) -> String {
        let addr = self.addr();
        self.start_stand_in(name, "plain", vec![addr.clone()]).await;
        format!("http://{addr}")
    }

    async fn start_stand_in(&mut self, name: &str, example: &str, args: Vec<String>) {
        let addr = args[0].clone();
        self.spawn(name, self.program(&format!("examples/{example}")), args);
        wait_for_port(&addr).await;
    }

    /// Starts an entry; `extra` are further lines of its settings. Returns the
    /// URLs for callers and for operators.
    pub async fn start_entry(&mut self, name: &str, dc: &str, platform: &str, extra: &str) -> (String, String) {
        let (callers, operators, peer) = (self.addr(), self.addr(), self.addr());
        let peers = self.entry_peers.join(", ");
        self.entry_peers.push(peer.clone());
        let token_hash = sha256_hex(OPERATOR_TOKEN);
        let settings = format!(
            "entry: {name}\ndata_centre: {dc}\ncallers_addr: {callers}\noperators_addr: {operators}\n\
             peer_addr: {peer}\npeers: [{peers}]\n\
             platform_url: {platform}\npeer_token_file: {}\noperator_token_sha256: {token_hash}\n{extra}\n",
            self.dir.join("peer-token").display()
        );
        self.start_program(name, "ochreyard", &settings);
        wait_for_port(&callers).await;
        (format!("http://{callers}"), format!("http://{operators}"))
    }

    /// Starts the agent of an endpoint; `extra` are further lines of its settings.
    pub async fn start_agent(&mut self, at: &EndpointAt, endpoint_url: &str, extra: &str) {
        let ops = self.addr();
        let settings = format!(
            "agent: agent-{}\nendpoint: {}\ndata_centre: {}\nagent_addr: {}\nops_addr: {ops}\n\
             endpoint_url: {endpoint_url}\npeer_token_file: {}\n{extra}\n",
            at.endpoint,
            at.endpoint,
            at.data_centre,
            at.agent_addr,
            self.dir.join("peer-token").display()
        );
        self.start_program(&format!("agent-{}", at.endpoint), "ochreyard-agent", &settings);
        wait_for_port(&at.agent_addr).await;
    }

    fn start_program(&mut self, name: &str, program: &str, settings: &str) {
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings can be written");
        let args = vec!["serve".to_owned(), path.display().to_string()];
        self.spawn(name, self.program(program), args);
    }

    fn spawn(&mut self, name: &str, program: PathBuf, args: Vec<String>) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let mut command = Command::new(&program);
        command.args(&args).kill_on_drop(true).stdin(std::process::Stdio::null());
        command.stderr(log.expect("a log file can be opened"));
        let child = command.spawn().unwrap_or_else(|error| {
            panic!("{} cannot be started ({error}); run `cargo test --workspace`", program.display())
        });
        let pid = child.id().expect("a process that was just started has an id");
        self.processes.insert(name.to_owned(), Process { child, program, args, pid });
    }

    fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process is called {name}"))
    }

    /// Ends a process at once, as a power cut would.
    pub async fn kill(&mut self, name: &str) {
        let process = self.process(name);
        process.child.kill().await.expect("a process of this cluster can be ended");
    }

    /// Starts an ended process again, with nothing kept.
    pub async fn restart(&mut self, name: &str) {
        let process = self.processes.remove(name).unwrap_or_else(|| panic!("no process is called {name}"));
        self.spawn(name, process.program, process.args);
    }

    /// Memory of a process that is in use, in KiB, and the processor time that it
    /// has used, in ticks of 10 ms.
    ///
    /// # Panics
    ///
    /// When the process has ended.
    #[must_use]
    pub fn usage(&self, name: &str) -> (u64, u64) {
        let pid = self.processes[name].pid;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        let rss_kib = rss.trim().trim_end_matches(" kB").parse().unwrap_or(0);
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<u64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect();
        (rss_kib, fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0))
    }

    /// Starts the planned stop of a process.
    pub async fn terminate(&mut self, name: &str) {
        self.signal(name, "TERM").await;
    }

    /// Freezes a process.
    pub async fn freeze(&mut self, name: &str) {
        self.signal(name, "STOP").await;
    }

    /// Lets a frozen process go on.
    pub async fn thaw(&mut self, name: &str) {
        self.signal(name, "CONT").await;
    }

    async fn signal(&mut self, name: &str, signal: &str) {
        let pid = self.process(name).pid;
        let status = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status().await;
        assert!(status.is_ok_and(|status| status.success()), "{name} can be sent {signal}");
    }

    /// Waits until a process has ended by itself, and says whether it ended well.
    pub async fn wait_ended(&mut self, name: &str) -> bool {
        let process = self.process(name);
        process.child.wait().await.is_ok_and(|status| status.success())
    }

    /// Sets the fault of a stand-in.
    pub async fn fault(&self, url: &str, fault: Value) {
        let sent = self.http.post(format!("{url}/fault")).json(&fault).send().await;
        assert!(sent.is_ok_and(|answer| answer.status().is_success()), "the fault of {url} can be set");
    }

    /// Reads JSON.
    pub async fn get_json(&self, url: &str) -> Value {
        let answer = self.http.get(url).send().await.expect("the stand-in answers");
        answer.json().await.expect("the answer is JSON")
    }

    /// Plans and confirms an intent, and returns the version.
    ///
    /// # Panics
    ///
    /// When it is refused.
    pub async fn apply(&self, operators: &str, intent: &str) -> u64 {
        let client = OperatorClient::new(operators, OPERATOR_TOKEN);
        let plan = client.plan(intent.to_owned()).await.unwrap_or_else(|error| panic!("plan: {error}"));
        let id = plan.record.plan_id.to_string();
        client.confirm(&id).await.unwrap_or_else(|error| panic!("confirm: {error}"))
    }

    /// Waits until an entry sees these endpoints alive with a configuration of at least `version`.
    pub async fn wait_alive(&self, operators: &str, endpoints: &[&str], version: u64) {
        let client = OperatorClient::new(operators, OPERATOR_TOKEN);
        wait_until("the endpoints are alive", async || {
            let Ok(status) = client.status().await else { return false };
            let is_up = |name: &&str| {
                status
                    .endpoints
                    .iter()
                    .any(|row| row.endpoint == **name && row.health == "alive" && row.config_version >= version)
            };
            status.config_version >= version && endpoints.iter().all(is_up)
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
            // A frozen process is ended by this too.
            let _ = process.child.start_kill();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The folder of the built programs, seen from a test or an example.
fn programs() -> PathBuf {
    let own = std::env::current_exe().expect("the own program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    folder.parent().unwrap_or(folder).to_path_buf()
}

/// Looks at a condition until it holds.
///
/// # Panics
///
/// When it does not hold after all looks.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds().await {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("waited in vain until {what}");
}

async fn wait_for_port(addr: &str) {
    wait_until(&format!("{addr} listens"), async || tokio::net::TcpStream::connect(addr).await.is_ok()).await;
}

/// An intent in YAML: services, workspaces that may use all of them in
/// `places`, and endpoints.
#[must_use]
pub fn intent(
    places: &[&str],
    models: &[&str],
    plains: &[&str],
    workspaces: &[&str],
    endpoints: &[EndpointAt],
) -> String {
    let list = |names: &[&str]| names.join(", ");
    let services = [models, plains].concat();
    let mut out = String::from("services:\n");
    for name in models {
        let _ = writeln!(out, "  - {{service: {name}, kind: model}}");
    }
    for name in plains {
        let _ = writeln!(out, "  - {{service: {name}, kind: plain}}");
    }
    out.push_str("places:\n");
    for place in places {
        let _ = writeln!(out, "  - data_centre: {place}\n    may_hold:");
        for service in &services {
            let _ = writeln!(out, "      - {{service: {service}, model_versions: [v1], roles: [mixed]}}");
        }
    }
    out.push_str("workspaces:\n");
    for name in workspaces {
        let hash = sha256_hex(&workspace_token(name));
        let _ = writeln!(
            out,
            "  - {{workspace: {name}, token_sha256: {hash}, services: [{}], run_in: [{}], keep_in: [{}]}}",
            list(&services),
            list(places),
            list(places)
        );
    }
    out.push_str("endpoints:\n");
    for at in endpoints {
        let version = if models.contains(&at.service.as_str()) { "v1" } else { "''" };
        let _ = writeln!(
            out,
            "  - {{endpoint: {}, service: {}, data_centre: {}, agent_addr: '{}', model_version: {version}, slots: {}}}",
            at.endpoint, at.service, at.data_centre, at.agent_addr, at.slots
        );
    }
    out
}
