//! The signals that a process gets from its surroundings.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::SIGHUP;
use tokio::signal::unix::{SignalKind, signal};

/// From now on SIGHUP does not end the process. Called first of all: the signal may
/// come while the settings are still being read, long before anything waits for it.
///
/// # Errors
///
/// When the system refuses it.
pub fn ignore_hangup() -> std::io::Result<()> {
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false))).map(drop)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// When the signals cannot be waited for.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
