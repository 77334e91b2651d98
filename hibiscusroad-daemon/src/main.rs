//! `hibiscusroadd`, the hibiscusroad daemon.
//!
//! Exit codes: 0 success, 1 failure while running, 2 invalid usage or settings, 3 forced
//! exit by a second signal.

use hibiscusroad_daemon::{
    entry, gateway, logs,
    platform::{Budget, Table, leases},
    settings::Settings,
    side,
};
use lexopt::prelude::*;
use std::{
    error::Error,
    ffi::OsString,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Instant,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
hibiscusroadd: one process of hibiscusroad, its role by its settings

Usage: hibiscusroadd [--check] FILE

  FILE       settings, in TOML; a table [entry], [side] or [gateway]
             chooses the role
  --check    check the settings and exit
  --help     print this and exit
  --version  print the version and exit

SIGTERM or SIGINT: no new work is taken, work in flight completes, then the
process exits. A second one ends it at once.

Exit codes: 0 fine, 1 failure while running, 2 usage or settings, 3 ended by a
second signal.";

enum Command {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
}

fn main() -> ExitCode {
    let command = match parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("hibiscusroadd: {error}; see hibiscusroadd --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match command {
        Command::Help => println!("{HELP}"),
        Command::Version => println!("hibiscusroadd {}", env!("CARGO_PKG_VERSION")),
        Command::Check(file) => match Settings::load(&file) {
            Ok(_) => println!("{}: fine", file.display()),
            Err(error) => return exit_usage(&error),
        },
        Command::Run(file) => match Settings::load(&file) {
            Ok(settings) => return run(&settings, &file),
            Err(error) => return exit_usage(&error),
        },
    }
    ExitCode::SUCCESS
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut check = false;
    let mut file = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("check") => check = true,
            Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    let file = file.ok_or("no settings file given")?;
    Ok(if check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn exit_usage(error: &dyn Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: &Settings, file: &Path) -> ExitCode {
    let (role, logging) = match (&settings.entry, &settings.gateway) {
        (Some(_), _) => ("entry", logs::start(&settings.log)),
        (None, Some(_)) => ("gateway", logs::start_structured(&settings.log)),
        (None, None) => ("side", logs::start(&settings.log)),
    };
    if let Err(error) = logging {
        return exit_usage(&error);
    }
    log::info!(target: logs::PROCESS,
        "{} starts as {role} in {}.", settings.name, settings.data_centre);
    match serve(settings, file) {
        Ok(()) => {
            log::info!(target: logs::PROCESS, "{} stopped.", settings.name);
            logs::flush_now();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(target: logs::PROCESS, "{} failed: {error}.", settings.name);
            logs::flush_now();
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn serve(settings: &Settings, file: &Path) -> Result<(), Box<dyn Error>> {
    if let Some(gateway) = &settings.gateway {
        return Ok(gateway::run(settings, gateway, file)?);
    }
    if settings.entry.is_some() {
        return Ok(entry::run(settings)?);
    }
    let budget = Arc::new(Budget::new(Instant::now()));
    let table = Table::new(&settings.platform.table, budget);
    let fencing_token = Arc::new(move |duty: &str| leases::fencing_token(&table, duty).ok());
    Ok(side::run(settings, fencing_token)?)
}
