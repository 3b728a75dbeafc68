//! Processes that a case starts, each ended by its id when the case is over.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, with all processes that it started, if it takes longer than `longest`.
pub fn limit_time(longest: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(longest);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
        println!("the case took longer than {} s", longest.as_secs());
        std::process::exit(2);
    });
}

/// A child process, killed on drop.
pub struct Process(Child);

impl Process {
    pub fn start(command: &mut Command) -> Self {
        let child = command.stdin(Stdio::null()).spawn().expect("the process starts");
        RUNNING.lock().unwrap().push(child.id());
        Self(child)
    }

    /// Sends a signal with the given name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.0.id().to_string()).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal {name} is sent");
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _ = self.0.wait();
        let id = self.0.id();
        RUNNING.lock().unwrap().retain(|other| *other != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        self.wait();
    }
}

/// A folder for the files of one run, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("ochreyard-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Ports that were handed out.
static GIVEN_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// A free loopback address that was not handed out before.
pub fn free_addr() -> SocketAddr {
    loop {
        let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut given = GIVEN_PORTS.lock().unwrap();
        if !given.contains(&addr.port()) {
            given.push(addr.port());
            return addr;
        }
    }
}

/// An entry, started with the command of `deploy/system.toml`.
pub struct Entry {
    process: Process,
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
}

impl Entry {
    /// Starts an entry with the settings that `deploy/entry.yaml` gives for an entry box of hehuan-maps, in the zone
    /// wuling-hall. All boxes have the same peer port, and each has an address of its own; `seeds` names some of them.
    pub fn start(folder: &Path, store: SocketAddr, name: &str, peer: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let [callers, ready, metrics] = [(); 3].map(|()| free_addr());
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "entry: \"{name}\"\ndata_centre: \"wuling-hall\"\nregions: [\"wuling-hall=nantou\"]\n\
             callers_addr: \"{callers}\"\nready_addr: \"{ready}\"\npeer_addr: \"{peer}\"\nseeds: [{}]\n\
             metrics_addr: \"{metrics}\"\nplatform_addr: \"{store}\"\nleaving_known_ms: 2000\nrepeat_ratio: 0.2\n\
             repeat_fixed: 92\nrepeat_window_s: 10\ncores: 0.25\nmemory_mb: 260\nlink_mbps: 1000\n\
             drain_grace_s: 8\nlog_target: stdout\n",
            seeds.join(", ")
        );
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).unwrap();
        let log = folder.join(format!("{name}.log"));
        let mut command = Command::new("target/release/ochreyard");
        command.arg("direct").arg(&file).stdout(File::create(&log).unwrap());
        command.stderr(File::create(folder.join(format!("{name}.err"))).unwrap());
        Self { process: Process::start(&mut command), name: name.to_owned(), callers, ready, log }
    }

    /// Waits until the platform would call the entry ready, and it knows this many engines.
    pub fn wait_until_ready(&self, engines: usize) -> bool {
        let is_ready = || {
            let head = "GET /readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n";
            let answer = crate::http::call(self.ready, head, b"", Duration::from_secs(1));
            matches!(answer, Ok(Some(answer)) if answer.status() == 200)
        };
        let has_begun = wait_until(Duration::from_secs(15), || {
            is_ready() && self.log_lines("event=endpoint_known").len() >= engines
        });
        if !has_begun {
            println!("{} did not become ready; its log:\n{}", self.name, self.log_lines("").join("\n"));
        }
        has_begun
    }

    /// Sends a signal with the given name.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// The lines of its log that hold this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

/// Waits until `is_done`, for this long at most; returns whether it was.
pub fn wait_until(longest: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + longest;
    while !is_done() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
