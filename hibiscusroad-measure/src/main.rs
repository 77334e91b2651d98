//! `measure`: load, experiments and the demonstration.

use hibiscusroad_measure::{
    control, demo,
    deployment::{Error, Spec},
    faults::{self, plan::Kinds},
    interrupt::Interrupt,
    path, policy,
    report::Report,
    soak, train,
};
use lexopt::{Arg, Parser, ValueExt};
use std::{process::ExitCode, time::Duration};

const USAGE: &str = "\
usage: measure demo [pobrezie|lakeshore] [--seconds N] [--keep]
       measure control [--seconds N] [--json]
       measure path [--seconds N] [--step-seconds N] [--endpoints N] [--seed N]
                    [--json]
       measure faults [--seconds N] [--seed N] [--rate N] [--kinds KINDS]
                      [--trace] [--json]
       measure soak [--seconds N] [--seed N] [--processes N] [--contention]
                    [--engines] [--long-prompts] [--late-writes]
       measure policy [--seed N] [--scenario NAME]
       measure train [--deployment pobrezie|lakeshore] [--seed N]
                     [--outage SECONDS]

demo    starts a deployment on this machine, puts mixed load on it and stops it;
        --keep leaves it running until Ctrl-C
control measures what a daemon costs that has nothing to do
path    measures what an entry and a side add to a request
faults  puts mixed load and random faults on a deployment and checks the
        promises; --trace tells what happened; KINDS is all, none, kill, freeze, store, link, stop or operate
soak    puts callers and trainers on gateways, injects faults from outside and
        checks the promises while they run; --engines makes engines like real
        ones, which load weights, fill up and fail in series; with
        --long-prompts, engines read one in 25 for 0.8 s; --late-writes makes
        the store carry out writes of texts late, while gateways stop
policy  runs the decisions under load in virtual time
train   runs the training decisions in virtual time

The programs hibiscusroadd, hibiscusroad and standin must lie beside this one.

exit codes: 0 as it should be, 1 a promise was broken, 2 wrong usage,
            3 it could not be run to its end
";

const BROKEN: u8 = 1;
const WRONG_USAGE: u8 = 2;
const NOT_RUN: u8 = 3;

#[derive(Clone, Copy, Default)]
struct Print {
    json: bool,
    trace: bool,
}

enum Command {
    Help,
    Version,
    Demo(demo::Options),
    Faults(faults::Options, Print),
    Control(control::Options, bool),
    Path(path::Options, bool),
    Soak(soak::Options),
    Policy(Parser),
    Train(Parser),
}

fn main() -> ExitCode {
    let command = match parse(Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("measure: {error}; see measure --help");
            return ExitCode::from(WRONG_USAGE);
        }
    };
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("measure {}", env!("CARGO_PKG_VERSION")),
        Command::Demo(options) => {
            let found = demo::run(&options, &Interrupt::watch()?)?;
            println!("{}", found.line());
            if !found.is_clean() {
                return Ok(ExitCode::from(BROKEN));
            }
        }
        Command::Policy(args) => {
            if let Err(error) = policy::run(args) {
                eprintln!("measure: {error}; see measure --help");
                return Ok(ExitCode::from(WRONG_USAGE));
            }
        }
        Command::Train(args) => {
            if let Err(error) = train::run(args) {
                eprintln!("measure: {error}; see measure --help");
                return Ok(ExitCode::from(WRONG_USAGE));
            }
        }
        Command::Faults(options, Print { json, trace }) => {
            let counts = faults::run(&options, &Interrupt::watch()?)?;
            for (at, text) in counts.trace.iter().filter(|_| trace) {
                println!("# {at:.2?} {text}");
            }
            for remark in &counts.remarks {
                println!("# {remark}");
            }
            print(&counts.report(), json);
            if !counts.is_clean() {
                return Ok(ExitCode::from(BROKEN));
            }
        }
        Command::Soak(options) => {
            let found = soak::run(&options, &Interrupt::watch()?)?;
            print!("{}", found.text());
            if !found.is_clean() {
                return Ok(ExitCode::from(BROKEN));
            }
        }
        Command::Path(options, json) => {
            print(&path::run(&options, &Interrupt::watch()?)?, json);
        }
        Command::Control(options, json) => {
            print(&control::run(options, &Interrupt::watch()?)?, json);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print(report: &Report, json: bool) {
    if json {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
}

fn parse(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let Some(arg) = parser.next()? else {
        return Ok(Command::Help);
    };
    match arg {
        Arg::Short('h') | Arg::Long("help") => Ok(Command::Help),
        Arg::Short('V') | Arg::Long("version") => Ok(Command::Version),
        Arg::Value(word) if word == "demo" => demo_options(parser),
        Arg::Value(word) if word == "faults" => faults_options(parser),
        Arg::Value(word) if word == "control" => control_options(parser),
        Arg::Value(word) if word == "path" => path_options(parser),
        Arg::Value(word) if word == "soak" => soak_options(parser),
        Arg::Value(word) if word == "policy" => Ok(Command::Policy(parser)),
        Arg::Value(word) if word == "train" => Ok(Command::Train(parser)),
        arg => Err(arg.unexpected()),
    }
}

fn demo_options(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut options = demo::Options {
        spec: Spec::pobrezie(),
        time: Duration::from_secs(8),
        keep: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("keep") => options.keep = true,
            Arg::Long("seconds") => options.time = seconds(&mut parser)?,
            Arg::Value(name) => {
                let name = name.string()?;
                let unknown = || format!("no deployment {name:?}; pobrezie or lakeshore");
                options.spec = Spec::named(&name).ok_or_else(unknown)?;
            }
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Command::Demo(options))
}

fn faults_options(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut options = faults::Options::default();
    let mut print = Print::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("json") => print.json = true,
            Arg::Long("trace") => print.trace = true,
            Arg::Long("seconds") => options.time = seconds(&mut parser)?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("kinds") => {
                let name = parser.value()?.string()?;
                let unknown = || format!("no kinds {name:?}; see measure --help");
                options.kinds = Kinds::named(&name).ok_or_else(unknown)?;
            }
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Command::Faults(options, print))
}

fn soak_options(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut options = soak::Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("seconds") => options.time = seconds(&mut parser)?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("processes") => options.processes = parser.value()?.parse()?,
            Arg::Long("contention") => options.contention = true,
            Arg::Long("late-writes") => options.late_writes = true,
            Arg::Long("engines") => {
                options.engines.get_or_insert_default();
            }
            Arg::Long("long-prompts") => {
                options.engines.get_or_insert_default().long_prompts = true;
            }
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Command::Soak(options))
}

fn control_options(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut options = control::Options::default();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("json") => json = true,
            Arg::Long("seconds") => options.time = seconds(&mut parser)?,
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Command::Control(options, json))
}

fn path_options(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut options = path::Options::default();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("json") => json = true,
            Arg::Long("seconds") => options.time = seconds(&mut parser)?,
            Arg::Long("step-seconds") => options.step = seconds(&mut parser)?,
            Arg::Long("endpoints") => options.endpoints = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Command::Path(options, json))
}

// Shorter than this nothing is seen; longer than a day is a slip.
const SECONDS: std::ops::RangeInclusive<u64> = 1..=86_400;

fn seconds(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    let seconds: u64 = parser.value()?.parse()?;
    if SECONDS.contains(&seconds) {
        return Ok(Duration::from_secs(seconds));
    }
    Err(format!("{seconds} s is not within 1 to 86400").into())
}
