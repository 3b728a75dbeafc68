//! An engine whose workers crash, and whose listener closes a while after their channels.
//!
//! The engine is a process that listens, and starts a process for each channel. Once one of these is killed, it ends.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::config;
use crate::crash_in_a_freeze::{DEADLINE_MS, EVENTS, SLOTS, holds, serve};
use crate::http::{self, Connection};
use crate::process::{Entry, Process, TempFolder, free_port, unable};
use crate::store::Store;

/// One of six engines crashes: the share of 0.17 that the site names.
const ENGINES: usize = 6;
const STREAMS: usize = 36;
const UNTIL_CRASH: Duration = Duration::from_millis(800);
/// How long the engine's process needs to notice and to end.
const LISTENER_DELAY: Duration = Duration::from_millis(100);

/// Runs the process that listens.
pub fn run_engine(addr: &str, id: &str) {
    let Ok(listener) = TcpListener::bind(addr) else { unable("an engine can't bind its address") };
    let program = std::env::current_exe().unwrap_or_else(|_| unable("the program's own path is unknown"));
    println!("listening");
    for stream in listener.incoming().flatten() {
        let mut command = Command::new(&program);
        command.args(["worker", id]).stdin(Stdio::from(OwnedFd::from(stream)));
        let Some(mut worker) = Process::spawn(&mut command) else { continue };
        // The command keeps a descriptor of the channel, which has to end with the worker.
        drop(command);
        println!("worker {}", worker.0.id());
        thread::spawn(move || {
            if worker.0.wait().is_ok_and(|status| !status.success()) {
                thread::sleep(LISTENER_DELAY);
                std::process::exit(1);
            }
        });
    }
}

/// Runs the process of one channel, which is its standard input.
pub fn run_worker(id: &str) {
    let Ok(channel) = std::io::stdin().as_fd().try_clone_to_owned() else { return };
    serve(Connection::new(TcpStream::from(channel)), id);
}

struct Engine {
    process: Process,
    workers: Arc<Mutex<Vec<String>>>,
}

fn start(id: &str, store: &Store) -> Engine {
    let addr = format!("127.0.0.1:{}", free_port("127.0.0.1"));
    let program = std::env::current_exe().unwrap_or_else(|_| unable("the program's own path is unknown"));
    let mut command = Command::new(program);
    command.args(["forking-engine", &addr, id]).stdout(Stdio::piped());
    let mut process = Process::spawn(&mut command).unwrap_or_else(|| unable("an engine doesn't start"));
    let Some(output) = process.0.stdout.take() else { unable("an engine has no output") };
    let mut lines = BufReader::new(output).lines();
    if !matches!(lines.next(), Some(Ok(line)) if line == "listening") {
        unable("an engine doesn't listen");
    }
    let workers: Arc<Mutex<Vec<String>>> = Arc::default();
    let known = Arc::clone(&workers);
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            known.lock().expect("the workers").extend(line.strip_prefix("worker ").map(str::to_owned));
        }
    });
    store.put("keyed.servers", id, &config::engine_record(&addr, SLOTS, 1));
    Engine { process, workers }
}

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    let mut faulty = start("i-1", &store);
    let _sound: Vec<Engine> = (2..=ENGINES).map(|number| start(&format!("i-{number}"), &store)).collect();
    let peer_port = free_port("127.0.0.10");
    let mut entry = Entry::start(&folder, 0, &store.addr, &format!("127.0.0.10:{peer_port}"), peer_port);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(12));
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (addr, id) = (entry.callers_addr.clone(), format!("s-{number}"));
            thread::spawn(move || {
                let request = config::request("/stream/brief", &id, DEADLINE_MS);
                (id, http::call(&addr, &request, Duration::from_millis(DEADLINE_MS)))
            })
        })
        .collect();
    thread::sleep(UNTIL_CRASH);
    if trouble {
        let workers = faulty.workers.lock().expect("the workers").clone();
        let _ = writeln!(record, "{} worker processes of i-1 are killed; it ends 100 ms later", workers.len());
        let _ = Command::new("kill").arg("-KILL").args(&workers).stderr(Stdio::null()).status();
    }
    let broken = streams.into_iter().filter_map(|stream| stream.join().ok());
    let broken = broken.filter(|(id, answer)| !holds(id, answer, record)).count();
    let _ = writeln!(record, "i-1 has ended: {}; streams have {EVENTS} events", faulty.process.has_ended());
    let _ = writeln!(record, "broken: {broken} of {STREAMS} streams");
    broken == 0
}
