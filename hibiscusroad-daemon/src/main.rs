//! `hibiscusroadd`: the daemon.
//!
//! Exit codes: 0 fine, 1 failure while running, 2 usage or settings, 3 ended by
//! a second signal.

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

enum Job {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
}

fn main() -> ExitCode {
    let job = match parse(std::env::args_os().skip(1)) {
        Ok(job) => job,
        Err(error) => {
            eprintln!("hibiscusroadd: {error}; see hibiscusroadd --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match job {
        Job::Help => println!("{HELP}"),
        Job::Version => println!("hibiscusroadd {}", env!("CARGO_PKG_VERSION")),
        Job::Check(file) => match Settings::load(&file) {
            Ok(_) => println!("{}: fine", file.display()),
            Err(error) => return refuse(&error),
        },
        Job::Run(file) => match Settings::load(&file) {
            Ok(settings) => return run(&settings, &file),
            Err(error) => return refuse(&error),
        },
    }
    ExitCode::SUCCESS
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Job, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut check = false;
    let mut file = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Job::Help),
            Short('V') | Long("version") => return Ok(Job::Version),
            Long("check") => check = true,
            Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
            other => return Err(other.unexpected()),
        }
    }
    let file = file.ok_or("the settings file is missing")?;
    Ok(if check {
        Job::Check(file)
    } else {
        Job::Run(file)
    })
}

fn refuse(error: &dyn Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: &Settings, file: &Path) -> ExitCode {
    let (role, started) = match (&settings.entry, &settings.gateway) {
        (Some(_), _) => ("entry", logs::start(&settings.log)),
        (None, Some(_)) => ("gateway", logs::start_structured(&settings.log)),
        (None, None) => ("side", logs::start(&settings.log)),
    };
    if let Err(error) = started {
        return refuse(&error);
    }
    log::info!(target: logs::PROCESS, "{} starts as {role} in {}.", settings.name, settings.place);
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
    if let Some(own) = &settings.gateway {
        return Ok(gateway::run(settings, own, file)?);
    }
    if settings.entry.is_some() {
        return Ok(entry::run(settings)?);
    }
    let budget = Arc::new(Budget::new(Instant::now()));
    let table = Table::new(&settings.platform.table, budget);
    let lease = Arc::new(move |duty: &str| leases::fence(&table, duty).ok());
    Ok(side::run(settings, lease)?)
}
