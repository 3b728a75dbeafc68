//! Runs the agent of a rank until it receives a stop signal.

use std::rc::Rc;

use miette::{Context, IntoDiagnostic, Result};
use ochreyard_direct::supervise;
use ochreyard_process::{Clock, ListenerGate, Settings, close_listeners, new_incarnation, start_logging, stop_signal};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::agent::Agent;
use crate::engine::EngineFactory;
use crate::server;

/// Runs the agent on the current thread until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if logging, the runtime or the signal handlers cannot be set up, or if
/// `peer_addr` cannot be bound.
pub fn run<F: EngineFactory>(settings: &Settings, engine_factory: &F) -> Result<()> {
    start_logging(settings).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(settings, engine_factory))
}

async fn serve<F: EngineFactory>(settings: &Settings, engine_factory: &F) -> Result<()> {
    let (engine_addr, peer_addr) = (settings.addr("engine_addr"), settings.addr("peer_addr"));
    let incarnation = new_incarnation(settings.text("agent"));
    log::info!("event=agent_started agent={} life={incarnation} engine={engine_addr}", settings.text("agent"));
    let agent =
        Agent::new(engine_factory.client_at(engine_addr), engine_addr, settings.number("lease_ms"), Clock::start());
    let problem = || format!("field `peer_addr`: {peer_addr} cannot be bound; choose a free address");
    let listener = TcpListener::bind(peer_addr).await.into_diagnostic().wrap_err_with(problem)?;
    let listener = Rc::new(listener);
    let (served, accepting) = (Rc::clone(&agent), Rc::clone(&listener));
    tokio::task::spawn_local(supervise("serve_leaders", move || {
        server::serve(Rc::clone(&served), Rc::clone(&accepting))
    }));
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    tokio::select! {
        result = stop_signal() => result.into_diagnostic()?,
        () = async { while hangup.recv().await.is_some() { log::info!("event=reload_ignored"); } } => {}
    }
    close_listeners([ListenerGate::new(listener)]).await;
    agent.wait_until_idle().await;
    log::info!("event=agent_stopped");
    Ok(())
}
