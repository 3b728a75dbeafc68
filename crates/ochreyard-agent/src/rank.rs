//! Runs the agent of a rank whose engine speaks the protocol of the users' platform.

use ochreyard_hosted::HostedEngines;
use ochreyard_process::Settings;

/// Runs the agent of one rank.
pub fn run(settings: &Settings) -> miette::Result<()> {
    ochreyard_rank::serve::run(settings, &HostedEngines)
}
