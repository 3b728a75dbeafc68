//! `ochreyard`, the entry process and the command line for operators.

mod balancer;
mod control;
mod direct;
mod fields;
mod flags;
mod forward;
mod late_deadline;
mod operate;
mod quarantine;
mod serve;
mod state;
mod upkeep;

use std::process::ExitCode;

use ochreyard_process::{Settings, exit_for_usage, exit_for_version, ignore_hangup};

use crate::fields::FIELDS;
use crate::flags::{Ochreyard, OchreyardCmd, QuarantineCmd, ReportCmd};

fn main() -> ExitCode {
    if let Err(error) = ignore_hangup() {
        eprintln!("ochreyard: cannot install the handler for SIGHUP: {error}");
        return ExitCode::FAILURE;
    }
    exit_for_version("ochreyard", env!("CARGO_PKG_VERSION"));
    let flags = Ochreyard::from_env().unwrap_or_else(|error| exit_for_usage("ochreyard", &error));
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: Ochreyard) -> miette::Result<()> {
    match flags.subcommand {
        OchreyardCmd::Serve(args) => serve::run(read_settings(&args.settings)?),
        OchreyardCmd::Direct(args) => direct::run(&Settings::read(&args.settings, &direct::fields())?),
        OchreyardCmd::Check(args) => {
            let fields = if args.direct { direct::fields() } else { FIELDS.to_vec() };
            Settings::read(&args.settings, &fields)?;
            println!("{}: ok", args.settings.display());
            Ok(())
        }
        OchreyardCmd::Fields(args) => {
            let fields = if args.direct { direct::fields() } else { FIELDS.to_vec() };
            print!("{}", ochreyard_process::settings_reference(&fields));
            Ok(())
        }
        OchreyardCmd::Plan(args) => operate::plan(&args),
        OchreyardCmd::Confirm(args) => operate::confirm(&args),
        OchreyardCmd::Status(args) => operate::status(&args),
        OchreyardCmd::Explain(args) => operate::explain(&args),
        OchreyardCmd::Quarantine(args) => match args.subcommand {
            QuarantineCmd::List(args) => quarantine::list(&args),
            QuarantineCmd::Release(args) => quarantine::release(&args),
        },
        OchreyardCmd::Report(args) => match args.subcommand {
            ReportCmd::Burn(args) => operate::burn(&args),
        },
    }
}

fn read_settings(path: &std::path::Path) -> miette::Result<Settings> {
    Ok(Settings::read(path, FIELDS)?)
}
