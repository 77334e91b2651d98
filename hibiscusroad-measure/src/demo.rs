//! The demonstration: a whole deployment under mixed load.

use crate::{
    caller::{Call, Work},
    deployment::{Deployment, Error, Kind, Spec},
    interrupt::Interrupt,
    judge::{Verdict, judge},
    load::{self, CompletedCall, Counters},
};
use hibiscusroad::Class;
use hibiscusroad_standins::{plain::LogEntry, platform::history::epoch_ms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::BTreeSet,
    io::{self, IsTerminal, Write},
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const RATE: f64 = 150.0;
const WORKERS: usize = 192;
const SEED: u64 = 1;
/// Aim of the configuration's spread, and some time to see that it is missed.
const SPREAD: Duration = Duration::from_secs(15);
const STOP: Duration = Duration::from_secs(40);
// The plain endpoint that is drained, and how long work may still begin there.
const DRAINED: usize = 0;
const DRAIN_MS: u64 = 1000;
const TICK: Duration = Duration::from_millis(200);
// A repeat comes while the first is running, or when it has been answered.
const REPEATS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(300)];

/// What the demonstration is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The deployment.
    pub spec: Spec,
    /// How long the load lasts.
    pub time: Duration,
    /// Whether it is left running afterwards, until a signal comes.
    pub keep: bool,
}

/// What the demonstration found.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// What callers saw and endpoints ran.
    pub verdict: Verdict,
    /// From a change of the configuration to its being in force everywhere.
    pub spread: Duration,
    /// Requests that a drained endpoint began later than it may.
    pub drained: usize,
}

impl Found {
    /// Says whether all promises were kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.drained == 0
    }

    /// Returns the last line that the demonstration prints.
    #[must_use]
    pub fn line(&self) -> String {
        let Verdict {
            answered,
            refused,
            late,
            doubled,
            short,
            ..
        } = &self.verdict;
        let spread = self.spread.as_secs_f64();
        format!(
            "demo: answered={answered} refused={refused} late={late} doubled={doubled} \
             short={short} config_s={spread:.2}"
        )
    }
}

/// Runs the demonstration and prints what it does.
///
/// # Errors
///
/// Returns an error if anything but a call fails: a process, a statement, the
/// spread of the configuration, or a graceful shutdown.
pub fn run(options: &Options, interrupt: &Interrupt) -> Result<Found, Error> {
    let spec = &options.spec;
    let (entries, endpoints) = (spec.entries, spec.endpoints());
    println!(
        "{}: starting {entries} entries and {endpoints} sides",
        spec.name
    );
    let deployment = Deployment::start(spec, interrupt)?;
    deployment.set_up(SPREAD)?;
    let calls = mix(&deployment, options.time);
    let total = calls.len();
    let repeats = repeats(&calls);
    println!("{total} calls, {repeats} of them repeat a key through the other entry");
    let counters = Arc::new(Counters::default());
    let (made, operated) = thread::scope(|scope| {
        let load = scope.spawn(|| load::run(calls, WORKERS, &counters, interrupt));
        let operated = operate(&deployment, options.time, interrupt);
        while !load.is_finished() {
            progress(counters.ended.load(Ordering::Relaxed), total);
            thread::sleep(TICK);
        }
        (load.join().unwrap_or_default(), operated)
    });
    println!("\r{} calls have ended", made.len());
    let operated = operated?;
    let logs = deployment.logs()?;
    let found = Found {
        spread: operated.spread,
        verdict: judge(&made, &logs),
        drained: begun_after(&logs[DRAINED], operated.drained),
    };
    explain(&found, &made);
    if options.keep {
        run_until_interrupt(&deployment, interrupt);
    }
    let asked = Instant::now();
    deployment.stop(STOP)?;
    println!("all stopped gracefully in {:.1?}", asked.elapsed());
    if interrupt.is_requested() && !options.keep {
        return Err(Error::Interrupted);
    }
    Ok(found)
}

fn repeats(calls: &[Call]) -> usize {
    let names: BTreeSet<&str> = calls.iter().map(|call| call.request.as_str()).collect();
    calls.len() - names.len()
}

fn begun_after(log: &[LogEntry], drained: u64) -> usize {
    log.iter()
        .filter(|ran| ran.at_ms > drained + DRAIN_MS)
        .count()
}

#[derive(Clone, Copy, Debug)]
struct Operated {
    spread: Duration,
    // When the drain was accepted, in milliseconds since the epoch.
    drained: u64,
}

// What an operator does while the load goes on.
fn operate(
    deployment: &Deployment,
    time: Duration,
    interrupt: &Interrupt,
) -> Result<Operated, Error> {
    let start = Instant::now();
    let service = deployment
        .spec
        .service(Kind::Plain)
        .map_or("", |service| service.name);
    let endpoint = format!("{service}-{}", DRAINED + 1);
    interrupt.sleep_until(start + time / 4);
    println!(
        "\r> show endpoints\n{}",
        deployment.operate(0, "show endpoints")?
    );

    let version = deployment.spec.statements().len() as u64 + 1;
    let change = format!("alter service {service} set depth = 128");
    let asked = Instant::now();
    println!("> {change}\n{}", deployment.operate(0, &change)?);
    deployment.wait_version(version, SPREAD)?;
    // From the request on: when it was accepted, nobody outside can say.
    let spread = asked.elapsed();

    interrupt.sleep_until(start + time / 2);
    let drain = format!("drain endpoint {endpoint}");
    println!("\r> {drain}\n{}", deployment.operate(1, &drain)?);
    let drained = epoch_ms();
    interrupt.sleep_until(start + time * 3 / 4);
    let shown = format!("show endpoints where endpoint = {endpoint}");
    println!("\r> {shown}\n{}", deployment.operate(1, &shown)?);
    Ok(Operated { spread, drained })
}

fn progress(ended: usize, total: usize) {
    if io::stderr().is_terminal() {
        eprint!("\r{ended} of {total} calls ");
        // A progress line that isn't shown does no harm.
        let _ = io::stderr().flush();
    }
}

fn explain(found: &Found, made: &[CompletedCall]) {
    let Found {
        verdict, drained, ..
    } = found;
    for ((status, problem), count) in &verdict.refusals {
        println!("refused {count} times with {status} {problem}");
    }
    for remark in &verdict.remarks {
        println!("{remark}");
    }
    let tokens: u64 = made.iter().map(|made| made.outcome.tokens).sum();
    println!("{tokens} tokens were generated");
    println!("{drained} requests began at the drained endpoint after {DRAIN_MS} ms");
}

fn run_until_interrupt(deployment: &Deployment, interrupt: &Interrupt) {
    let client = deployment.bins.client.display();
    println!("\nit goes on until Ctrl-C; type in another shell:");
    for entry in &deployment.entries {
        println!(
            "  {client} --entry {} 'show endpoints'",
            entry.daemon.operators
        );
    }
    for service in &deployment.spec.services {
        let base = deployment.base(0, service.name);
        match service.kind {
            Kind::Plain => println!("  curl {base}/any/path"),
            Kind::Model => {
                println!(
                    "  curl -N {base}/v1/completions -d '{{\"prompt\": \"hello\", \"stream\": true}}'"
                );
            }
        }
    }
    while !interrupt.is_requested() {
        thread::sleep(TICK);
    }
}

/// Draws the calls of a mixed load on a deployment.
#[must_use]
pub fn mix(deployment: &Deployment, time: Duration) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut calls = Vec::new();
    for (number, at) in load::arrivals(RATE, time, SEED).into_iter().enumerate() {
        let call = draw(deployment, number, at, &mut rng);
        if matches!(call.work, Work::Post { .. }) && rng.random_bool(0.3) {
            calls.push(repeat(deployment, number, &call, &mut rng));
        }
        calls.push(call);
    }
    calls
}

fn draw(deployment: &Deployment, number: usize, at: Duration, rng: &mut Pcg64Mcg) -> Call {
    let name = |kind| {
        deployment
            .spec
            .service(kind)
            .map_or("", |service| service.name)
    };
    let entry = number % deployment.entries.len();
    let (kind, class, work, wait) = match rng.random_range(0..100) {
        0..50 => (Kind::Plain, Class::Interactive, Work::Get, 1500),
        50..60 => (Kind::Plain, Class::Partner, Work::Get, 3000),
        60..80 => (Kind::Plain, Class::Interactive, post(number), 1500),
        80..85 => (Kind::Plain, Class::Partner, post(number), 3000),
        85..95 => (
            Kind::Model,
            Class::Interactive,
            complete(number, true, rng),
            5000,
        ),
        _ => (
            Kind::Model,
            Class::Rollout,
            complete(number, false, rng),
            10_000,
        ),
    };
    let path = match kind {
        Kind::Plain => format!("/items/{number}"),
        Kind::Model => "/v1/completions".to_owned(),
    };
    Call {
        at,
        base: deployment.base(entry, name(kind)),
        path,
        work,
        request: format!("r{number}"),
        class,
        deadline: Duration::from_millis(wait),
        size: rng.random_range(0..4000),
    }
}

fn post(number: usize) -> Work {
    Work::Post {
        key: format!("key-{number}"),
    }
}

fn complete(number: usize, stream: bool, rng: &mut Pcg64Mcg) -> Work {
    Work::Complete {
        prompt: format!("guest {number} asks for a hut by the lake"),
        tokens: rng.random_range(10..60),
        stream,
    }
}

// The same request once more, through the next entry.
fn repeat(deployment: &Deployment, number: usize, call: &Call, rng: &mut Pcg64Mcg) -> Call {
    let entry = (number + 1) % deployment.entries.len();
    let service = deployment
        .spec
        .service(Kind::Plain)
        .map_or("", |service| service.name);
    let later = REPEATS[rng.random_range(0..REPEATS.len())];
    Call {
        at: call.at + later,
        base: deployment.base(entry, service),
        ..call.clone()
    }
}
