//! `standin`, a program that runs one stand-in.
//!
//! It prints `listening ADDR` once it accepts connections, and exits on SIGTERM or SIGINT.

use hibiscusroad_standins::{
    engine::{self, Engine},
    plain::{self, Plain},
    platform::{self, Platform},
    scorer::Scorer,
    trainer::Trainer,
};
use lexopt::{Arg, Parser, ValueExt};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{any::Any, io::Write, net::SocketAddr, process::ExitCode, time::Duration};

const USAGE: &str = "\
usage: standin KIND [--listen IP:PORT] [OPTIONS]

kinds and their options:
  platform  --lag-ms N  --weights-rate N  --weights-bytes N
  engine    --step-ms N  --sequence-us N  --batch N  --prompt N  --cache N
            --lag-ms N  --version V  --swap-ms N  --fences  --weights URL
  plain     --work-ms N  --limit N  --log FILE
  trainer   --url URL  --step-ms N
  scorer

A free port is chosen unless --listen names one. The first line printed is
`listening IP:PORT`. SIGTERM ends the process.

exit codes: 0 ended by a signal, 1 could not start, 2 wrong usage
";

type Error = Box<dyn std::error::Error + Send + Sync>;

#[derive(Default)]
struct Options {
    platform: platform::Settings,
    engine: engine::Settings,
    plain: plain::Settings,
    url: String,
    step_time: Duration,
}

enum Command {
    Help,
    Run(String, Box<Options>),
}

fn main() -> ExitCode {
    let command = match parse_args(Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("standin: {error}; see standin --help");
            return ExitCode::from(2);
        }
    };
    let result = match command {
        Command::Help => {
            print!("{USAGE}");
            Ok(())
        }
        Command::Run(kind, options) => run(&kind, *options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut kind = None;
    let mut options = Box::<Options>::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) if kind.is_none() => kind = Some(value.string()?),
            Arg::Long("fences") => options.engine.checks_fence = true,
            Arg::Long(name) => {
                let name = name.to_owned();
                set_option(&mut options, &name, &parser.value()?.string()?)?;
            }
            arg => return Err(arg.unexpected()),
        }
    }
    match kind {
        Some(kind) => Ok(Command::Run(kind, options)),
        None => Err("no kind is named".into()),
    }
}

fn set_option(options: &mut Options, name: &str, value: &str) -> Result<(), lexopt::Error> {
    let Options {
        platform,
        engine,
        plain,
        url,
        step_time,
    } = options;
    match name {
        "listen" => {
            let listen: SocketAddr = parse_value(name, value)?;
            (platform.listen, engine.listen, plain.listen) = (listen, listen, listen);
        }
        "lag-ms" => {
            platform.lag = parse_millis(name, value)?;
            engine.load_lag = platform.lag;
        }
        "step-ms" => {
            engine.step_time = parse_millis(name, value)?;
            *step_time = engine.step_time;
        }
        "weights-rate" => platform.rate = parse_value(name, value)?,
        "weights-bytes" => platform.size = parse_value(name, value)?,
        "sequence-us" => engine.sequence_time = Duration::from_micros(parse_value(name, value)?),
        "batch" => engine.max_batch = parse_value(name, value)?,
        "prompt" => engine.prompt_tokens = parse_value(name, value)?,
        "cache" => engine.cache_tokens = parse_value(name, value)?,
        "version" => value.clone_into(&mut engine.version),
        "swap-ms" => engine.swap_time = parse_millis(name, value)?,
        "weights" => engine.weights_url = Some(value.to_owned()),
        "work-ms" => plain.default_work = parse_millis(name, value)?,
        "limit" => plain.max_running = parse_value(name, value)?,
        "log" => plain.log_path = Some(value.into()),
        "url" => value.clone_into(url),
        _ => return Err(format!("unknown option --{name}").into()),
    }
    Ok(())
}

fn parse_value<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, lexopt::Error> {
    let invalid = |_| lexopt::Error::from(format!("--{name} can't be {value:?}"));
    value.parse().map_err(invalid)
}

fn parse_millis(name: &str, value: &str) -> Result<Duration, lexopt::Error> {
    let ms: f64 = parse_value(name, value)?;
    let invalid = |_| lexopt::Error::from(format!("--{name} can't be {value:?}"));
    Duration::try_from_secs_f64(ms / 1e3).map_err(invalid)
}

fn run(kind: &str, options: Options) -> Result<(), Error> {
    // Registered before the address is printed, since a reader may send a signal at once.
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let (addr, standin) = start(kind, options)?;
    println!("listening {addr}");
    std::io::stdout().flush()?;
    let _ = signals.forever().next();
    drop(standin);
    Ok(())
}

fn start(kind: &str, options: Options) -> Result<(SocketAddr, Box<dyn Any>), Error> {
    let listen = options.platform.listen;
    Ok(match kind {
        "platform" => {
            let platform = Platform::start(&options.platform)?;
            (platform.addr(), Box::new(platform))
        }
        "engine" => {
            let engine = Engine::start(options.engine)?;
            (engine.addr(), Box::new(engine))
        }
        "plain" => {
            let plain = Plain::start(options.plain)?;
            (plain.addr(), Box::new(plain))
        }
        "trainer" => {
            let trainer = Trainer::start(listen, &options.url, options.step_time)?;
            (trainer.addr(), Box::new(trainer))
        }
        "scorer" => {
            let scorer = Scorer::start(listen)?;
            (scorer.addr(), Box::new(scorer))
        }
        _ => return Err(format!("unknown kind {kind:?}; see standin --help").into()),
    })
}
