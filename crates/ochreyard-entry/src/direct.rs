//! Runs the entry in the dialect of the users' platform.

use std::time::Duration;

use ochreyard_hosted::{HostedDialect, HostedEngines, HostedLog};
use ochreyard_process::{FieldSpec, Settings};

/// Every field of an entry that calls endpoints itself: as an entry, and as a leader of groups.
pub fn fields() -> Vec<FieldSpec> {
    [ochreyard_direct::FIELDS, ochreyard_lead::FIELDS].concat()
}

/// Runs an entry that calls endpoints itself.
pub fn run(settings: &Settings) -> miette::Result<()> {
    let timeout = Duration::from_millis(settings.number("platform_timeout_ms"));
    let log = HostedLog::new(settings.addr("platform_addr"), timeout);
    ochreyard_direct::serve::run(settings, HostedDialect::default(), log, |entry| {
        ochreyard_lead::start(entry, HostedEngines, settings);
    })
}
