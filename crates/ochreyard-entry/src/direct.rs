//! Runs an entry that calls endpoints directly, in the dialect of the hosting platform.

use std::time::Duration;

use ochreyard_hosted::{HostedDialect, HostedEngines, HostedLog};
use ochreyard_process::{FieldSpec, Settings};

/// All settings of an entry that calls endpoints directly, including those for its role as a leader of groups.
pub fn fields() -> Vec<FieldSpec> {
    [ochreyard_direct::FIELDS, ochreyard_lead::FIELDS].concat()
}

/// Runs the entry until it is shut down.
pub fn run(settings: &Settings) -> miette::Result<()> {
    let timeout = Duration::from_millis(settings.number("platform_timeout_ms"));
    let log = HostedLog::new(settings.addr("platform_addr"), timeout);
    ochreyard_direct::serve::run(settings, HostedDialect::default(), log, |entry| {
        ochreyard_lead::start(entry, HostedEngines, settings);
    })
}
