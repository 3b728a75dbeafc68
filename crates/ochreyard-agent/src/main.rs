//! `ochreyard-agent`, the process that runs next to each endpoint.

mod admission_actor;
mod call;
mod fields;
mod flags;
mod leases;
mod ops;
mod rank;
mod rebalancer;
mod serve;

use std::process::ExitCode;

use ochreyard_process::{Settings, exit_for_usage, exit_for_version, ignore_hangup};

use crate::fields::FIELDS;
use crate::flags::{OchreyardAgent, OchreyardAgentCmd};

fn main() -> ExitCode {
    if let Err(error) = ignore_hangup() {
        eprintln!("ochreyard-agent: cannot install the handler for SIGHUP: {error}");
        return ExitCode::FAILURE;
    }
    exit_for_version("ochreyard-agent", env!("CARGO_PKG_VERSION"));
    let flags = OchreyardAgent::from_env().unwrap_or_else(|error| exit_for_usage("ochreyard-agent", &error));
    let result = match flags.subcommand {
        OchreyardAgentCmd::Serve(args) => read_settings(&args.settings).and_then(serve::run),
        OchreyardAgentCmd::Rank(args) => {
            Settings::read(&args.settings, ochreyard_rank::FIELDS).map_err(Into::into).and_then(|s| rank::run(&s))
        }
        OchreyardAgentCmd::Check(args) => {
            let fields = if args.rank { ochreyard_rank::FIELDS } else { FIELDS };
            let checked = Settings::read(&args.settings, fields).map_err(Into::into);
            checked.map(|_| println!("{}: ok", args.settings.display()))
        }
        OchreyardAgentCmd::Fields(args) => {
            let fields = if args.rank { ochreyard_rank::FIELDS } else { FIELDS };
            print!("{}", ochreyard_process::settings_reference(fields));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &std::path::Path) -> miette::Result<Settings> {
    Ok(Settings::read(path, FIELDS)?)
}
