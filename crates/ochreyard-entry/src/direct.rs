//! Runs the entry in the dialect of the users' platform.

use std::time::Duration;

use ochreyard_hosted::{HostedDialect, HostedLog};
use ochreyard_process::Settings;

/// Runs an entry that calls endpoints itself.
pub fn run(settings: &Settings) -> miette::Result<()> {
    let timeout = Duration::from_millis(settings.number("platform_timeout_ms"));
    let log = HostedLog::new(settings.addr("platform_addr"), timeout);
    ochreyard_direct::serve::run(settings, HostedDialect::default(), log)
}
