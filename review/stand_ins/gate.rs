//! A proxy before the store: while it is shut, it drops what passes in both directions, and new channels say nothing.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The proxy of one entry.
pub struct Gate {
    pub addr: SocketAddr,
    is_shut: Arc<AtomicBool>,
    asked_bytes: Arc<AtomicUsize>,
}

impl Gate {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gate = Self { addr: listener.local_addr().unwrap(), is_shut: Arc::default(), asked_bytes: Arc::default() };
        let (is_shut, asked_bytes) = (Arc::clone(&gate.is_shut), Arc::clone(&gate.asked_bytes));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(target) else { continue };
                let (from, to) = (stream.try_clone().unwrap(), target.try_clone().unwrap());
                pass(from, to, Arc::clone(&is_shut), Some(Arc::clone(&asked_bytes)));
                pass(target, stream, Arc::clone(&is_shut), None);
            }
        });
        gate
    }

    /// Bytes that the entry has sent to the store.
    pub fn asked_bytes(&self) -> usize {
        self.asked_bytes.load(Ordering::SeqCst)
    }

    /// Shuts the gate, or opens it again.
    pub fn set_shut(&self, is_shut: bool) {
        self.is_shut.store(is_shut, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_shut: Arc<AtomicBool>, counter: Option<Arc<AtomicUsize>>) {
    let _ = to.set_nodelay(true);
    std::thread::spawn(move || {
        let mut bytes = [0; 16_384];
        let mut has_dropped = false;
        while let Ok(count) = from.read(&mut bytes) {
            if count == 0 {
                break;
            }
            if let Some(counter) = &counter {
                counter.fetch_add(count, Ordering::SeqCst);
            }
            // A channel that has lost bytes stays silent.
            has_dropped |= is_shut.load(Ordering::SeqCst);
            if !has_dropped && to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
}
