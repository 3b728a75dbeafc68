//! Processes of the project and of the stand-ins, each ended by its id.

use std::ffi::{c_int, c_ulong};
use std::fs::File;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

unsafe extern "C" {
    fn prctl(option: c_int, argument: c_ulong) -> c_int;
}

/// A process, killed when dropped, and by the system if this process ends before.
pub struct Process(pub Child);

impl Process {
    /// Starts a process; `None` if it doesn't start.
    pub fn spawn(command: &mut Command) -> Option<Self> {
        // SAFETY: the closure makes one system call, which allocates nothing.
        let command = unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command.spawn().ok()?;
        RUNNING.lock().expect("the running processes").push(child.id());
        Some(Self(child))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        RUNNING.lock().expect("the running processes").retain(|id| *id != self.0.id());
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.0.id().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder for settings and logs, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("ochreyard-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a free port of a loopback address.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// An entry, started by the command of the deploy file.
pub struct Entry {
    pub process: Process,
    pub callers_addr: String,
    ready_addr: String,
}

impl Entry {
    /// Starts an entry with the settings of a small deployment. Each entry has a loopback address of its own, and all
    /// have the same peer port.
    pub fn start(folder: &TempFolder, number: u8, store: &str, seed: &str, peer_port: u16) -> Self {
        let ip = format!("127.0.0.{}", 10 + number);
        let addr = |port: u16| format!("{ip}:{port}");
        let (callers_addr, ready_addr) = (addr(free_port(&ip)), addr(free_port(&ip)));
        let (metrics_addr, peer_addr) = (addr(free_port(&ip)), addr(peer_port));
        let settings = format!(
            "entry: edge-{number}\ndata_centre: a\nregions: [\"a=north\"]\ncallers_addr: \"{callers_addr}\"\n\
             ready_addr: \"{ready_addr}\"\npeer_addr: \"{peer_addr}\"\nseeds: [\"{seed}\"]\n\
             metrics_addr: \"{metrics_addr}\"\nplatform_addr: \"{store}\"\nleaving_known_ms: 2000\nrepeat_ratio: 0.2\n\
             repeat_fixed: 92\nrepeat_window_s: 10\ncores: 0.25\nmemory_mb: 260\nlink_mbps: 1000\ndrain_grace_s: 8\n\
             log_target: stdout\n"
        );
        let file = folder.0.join(format!("edge-{number}.yaml"));
        std::fs::write(&file, settings).expect("the settings file");
        let log = File::create(folder.0.join(format!("edge-{number}.log"))).expect("the log file");
        let mut command = Command::new("target/release/ochreyard");
        command.arg("direct").arg(&file).stdout(log.try_clone().expect("the log file")).stderr(Stdio::from(log));
        let process = Process::spawn(&mut command).unwrap_or_else(|| unable("target/release/ochreyard doesn't start"));
        Self { process, callers_addr, ready_addr }
    }

    pub fn wait_until_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(15);
        let request = format!("GET /readyz HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", self.ready_addr);
        while http::call(&self.ready_addr, &request, Duration::from_secs(1)).status != 200 {
            if Instant::now() > until || self.process.has_ended() {
                unable("an entry does not become ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Ends the case: it could not run.
pub fn unable(why: &str) -> ! {
    eprintln!("not run: {why}");
    if let Ok(running) = RUNNING.lock() {
        running.iter().for_each(|id| drop(Command::new("kill").arg("-KILL").arg(id.to_string()).status()));
    }
    std::process::exit(2);
}

/// Ends the case if it takes longer than it may.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        unable("it takes too long");
    });
}
