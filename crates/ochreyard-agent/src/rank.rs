//! Runs the agent of a rank in the dialect of the users' platform.

use std::time::Duration;

use ochreyard_hosted::{HostedDialect, HostedEngines, HostedLog};
use ochreyard_process::Settings;

/// Runs the agent of one rank.
pub fn run(settings: &Settings) -> miette::Result<()> {
    let timeout = Duration::from_millis(settings.number("platform_timeout_ms"));
    let log = HostedLog::new(settings.addr("platform_addr"), timeout);
    ochreyard_rank::serve::run(settings, HostedDialect::default(), log, HostedEngines)
}
