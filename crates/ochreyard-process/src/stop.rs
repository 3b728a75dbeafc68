//! Signals that the process handles.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::SIGHUP;
use tokio::signal::unix::{SignalKind, signal};

/// Keeps SIGHUP from ending the process. Programs call this first: the signal may arrive while the settings are still
/// being read, long before any task waits for it.
///
/// # Errors
///
/// Fails if the signal handler cannot be registered.
pub fn ignore_hangup() -> std::io::Result<()> {
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false))).map(drop)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers cannot be registered.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
