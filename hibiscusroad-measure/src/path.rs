//! The cost of the path: through an entry and a side against straight to the
//! endpoint, in the same run.

use crate::{
    caller::{Call, Ending, Work},
    deployment::{Deployment, Error, Kind, Member, Service, Spec},
    interrupt::Interrupt,
    load::{self, CompletedCall},
    report::Report,
};
use hdrhistogram::Histogram;
use hibiscusroad::Class;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

const PLAIN: &str = "small";
const MODEL: &str = "tokens";
const WORKERS: usize = 128;
const DEADLINE: Duration = Duration::from_secs(5);
const SPREAD: Duration = Duration::from_secs(15);
const STOP: Duration = Duration::from_secs(20);
// A rate is held if nearly all calls are answered, and none waits much.
const HELD_SHARE: f64 = 0.999;
const HELD_WAIT: Duration = Duration::from_millis(100);
/// Rates that are tried, in requests a second, until one isn't held.
const RATES: [f64; 10] = [
    500.0, 1000.0, 2000.0, 3000.0, 4000.0, 5000.0, 6000.0, 8000.0, 10_000.0, 12_000.0,
];
const STREAMS: usize = 64;
const STREAM_TOKENS: u64 = 400;
const STREAM_DEADLINE: Duration = Duration::from_mins(1);
const MAX_MICROS: u64 = 60_000_000;

/// How the path is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long each rate is tried.
    pub step: Duration,
    /// How long the added latency is measured.
    pub time: Duration,
    /// Plain services, and as many model engines.
    pub endpoints: usize,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            step: Duration::from_secs(3),
            time: Duration::from_secs(10),
            endpoints: 4,
            seed: 1,
        }
    }
}

/// Measures the path.
///
/// # Errors
///
/// Returns an error if the deployment can't be started, set up or stopped.
pub fn run(options: &Options, interrupt: &Interrupt) -> Result<Report, Error> {
    let mut report = Report::default();
    let deployment = Deployment::start(&spec(options), interrupt)?;
    deployment.set_up(SPREAD)?;
    memory(&deployment, "idle", &mut report)?;
    // Connections are opened and caches filled before anything counts.
    let _ = small(&deployment, CallPath::Through, RATES[0], options, interrupt);
    let held = hold(&deployment, options, interrupt, &mut report);
    report.add("held_rate", held, "requests/s");
    added(&deployment, held / 2.0, options, interrupt, &mut report)?;
    memory(&deployment, "loaded", &mut report)?;
    tokens(&deployment, interrupt, &mut report);
    if interrupt.is_requested() {
        return Err(Error::Interrupted);
    }
    deployment.stop(STOP)?;
    Ok(report)
}

fn spec(options: &Options) -> Spec {
    let service = |name, kind, args: &[&str]| Service {
        name,
        kind,
        count: options.endpoints,
        limit: 256,
        options: args.iter().map(|&arg| arg.to_owned()).collect(),
        rule: "limit = 256, depth = 4096",
    };
    Spec {
        name: "path",
        region: "zapad",
        places: vec!["senec"],
        entries: 1,
        services: vec![
            service(PLAIN, Kind::Plain, &["--work-ms", "0", "--limit", "256"]),
            service(MODEL, Kind::Model, &["--step-ms", "5", "--batch", "64"]),
        ],
        lag: Duration::ZERO,
        restarts: false,
        shared: false,
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallPath {
    Through,
    Direct,
}

impl CallPath {
    const BOTH: [Self; 2] = [Self::Through, Self::Direct];

    const fn name(self) -> &'static str {
        match self {
            Self::Through => "through",
            Self::Direct => "direct",
        }
    }
}

fn base(deployment: &Deployment, via: CallPath, kind: Kind, number: usize) -> String {
    let mut endpoints = deployment.endpoints.iter().filter(|e| e.kind == kind);
    let service = deployment
        .spec
        .service(kind)
        .map_or("", |service| service.name);
    let count = deployment
        .spec
        .service(kind)
        .map_or(1, |service| service.count);
    let endpoint = endpoints.nth(number % count);
    match (via, endpoint) {
        (CallPath::Direct, Some(endpoint)) => format!("http://{}", endpoint.address),
        _ => deployment.base(0, service),
    }
}

fn calls(
    deployment: &Deployment,
    via: CallPath,
    rate: f64,
    time: Duration,
    seed: u64,
) -> Vec<Call> {
    let times = load::arrivals(rate, time, seed);
    let call = |(number, at)| Call {
        at,
        base: base(deployment, via, Kind::Plain, number),
        path: "/small".to_owned(),
        work: Work::Get,
        request: format!("{}{number}", via.name()),
        class: Class::Interactive,
        deadline: DEADLINE,
        size: 0,
    };
    times.into_iter().enumerate().map(call).collect()
}

fn small(
    deployment: &Deployment,
    via: CallPath,
    rate: f64,
    options: &Options,
    interrupt: &Interrupt,
) -> Vec<CompletedCall> {
    let calls = calls(deployment, via, rate, options.step, options.seed);
    load::run(calls, WORKERS, &Arc::default(), interrupt)
}

// The highest rate that is held, of those tried.
fn hold(
    deployment: &Deployment,
    options: &Options,
    interrupt: &Interrupt,
    report: &mut Report,
) -> f64 {
    let mut held = 0.0;
    for rate in RATES {
        let made = small(deployment, CallPath::Through, rate, options, interrupt);
        let latency = latency(&made);
        let whole = made.len() - explain(&made);
        let answered = whole as f64 / made.len().max(1) as f64;
        report.add(format!("at_{rate}_answered"), answered, "share");
        quantiles(&latency, &format!("at_{rate}"), report);
        let wait = Duration::from_micros(latency.value_at_quantile(0.99));
        if answered < HELD_SHARE || wait > HELD_WAIT {
            break;
        }
        held = rate;
    }
    held
}

// Ways are tried in turn, a second each, and the median over the turns is
// given: what else the machine does for a moment then spoils a turn or two of
// either way, not the difference between them.
fn added(
    deployment: &Deployment,
    rate: f64,
    options: &Options,
    interrupt: &Interrupt,
    report: &mut Report,
) -> Result<(), Error> {
    let start = processor(deployment)?;
    let mut failed = 0;
    let mut count = 0;
    let mut turns = [Vec::new(), Vec::new()];
    for turn in 0..options.time.as_secs() {
        for (via, turns) in CallPath::BOTH.into_iter().zip(&mut turns) {
            let seed = options.seed + turn;
            let calls = calls(deployment, via, rate, ROUND_DURATION, seed);
            let made = load::run(calls, WORKERS, &Arc::default(), interrupt);
            if via == CallPath::Through {
                failed += explain(&made);
                count += made.len();
            }
            turns.push(latency(&made));
        }
    }
    report.add("half_rate", rate, "requests/s");
    report.add("half_failed", failed as f64, "");
    for (name, quantile) in QUANTILES {
        let [through, direct] = turns.each_ref().map(|turns| median(turns, quantile));
        report.add(format!("through_{name}"), through, "ms");
        report.add(format!("direct_{name}"), direct, "ms");
        report.add(format!("added_{name}"), through - direct, "ms");
    }
    for ((name, before), (_, after)) in start.into_iter().zip(processor(deployment)?) {
        let micros = after.saturating_sub(before).as_secs_f64() * 1e6;
        report.add(
            format!("{name}_cpu"),
            micros / count.max(1) as f64,
            "us/request",
        );
    }
    Ok(())
}

/// Duration of one round of a comparison.
const ROUND_DURATION: Duration = Duration::from_secs(1);

// In milliseconds.
fn median(turns: &[Histogram<u64>], quantile: f64) -> f64 {
    let mut values: Vec<u64> = turns
        .iter()
        .map(|t| t.value_at_quantile(quantile))
        .collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0) as f64 / 1e3
}

// Processor time that the entries, and the sides, have used so far.
fn processor(deployment: &Deployment) -> Result<[(&'static str, Duration); 2], Error> {
    let sum = |members: &[Member]| {
        let times = members.iter().map(|member| member.process.processor());
        times.sum::<Result<Duration, Error>>()
    };
    let (entries, sides) = (sum(&deployment.entries)?, sum(&deployment.sides)?);
    Ok([("entry", entries), ("side", sides)])
}

// Says why calls failed, and returns how many did.
fn explain(made: &[CompletedCall]) -> usize {
    let mut failures = BTreeMap::new();
    for CompletedCall { outcome, .. } in made {
        if outcome.ending != Ending::Answered {
            *failures.entry(format!("{:?}", outcome.ending)).or_insert(0) += 1;
        }
    }
    for (ending, count) in &failures {
        eprintln!("{count} times {ending}");
    }
    failures.values().sum()
}

const QUANTILES: [(&str, f64); 2] = [("p50", 0.5), ("p99", 0.99)];

fn quantiles(latency: &Histogram<u64>, name: &str, report: &mut Report) {
    for (quantile, at) in QUANTILES {
        let ms = latency.value_at_quantile(at) as f64 / 1e3;
        report.add(format!("{name}_{quantile}"), ms, "ms");
    }
}

fn answered(made: &[CompletedCall]) -> usize {
    let whole = |made: &&CompletedCall| made.outcome.ending == Ending::Answered;
    made.iter().filter(whole).count()
}

// From the time that was set for each call.
fn latency(made: &[CompletedCall]) -> Histogram<u64> {
    histogram(made.iter().map(|made| made.outcome.latency))
}

// In microseconds.
fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3);
    let mut histogram = histogram.unwrap_or_else(|_| unreachable!("the bounds are constant"));
    for time in times {
        let micros = u64::try_from(time.as_micros());
        histogram.saturating_record(micros.unwrap_or(MAX_MICROS));
    }
    histogram
}

// Streams that all begin at once and generate for some seconds: first on an
// entry that has sent the engines nothing yet, then again.
fn tokens(deployment: &Deployment, interrupt: &Interrupt, report: &mut Report) {
    for (name, via) in [
        ("cold", CallPath::Through),
        ("through", CallPath::Through),
        ("direct", CallPath::Direct),
    ] {
        let start = Instant::now();
        let calls = streams(deployment, via);
        let made = load::run(calls, STREAMS, &Arc::default(), interrupt);
        let time = start.elapsed().as_secs_f64();
        let tokens: u64 = made.iter().map(|made| made.outcome.tokens).sum();
        let first = made.iter().filter_map(|made| made.outcome.first);
        report.add(format!("{name}_tokens"), tokens as f64 / time, "tokens/s");
        report.add(format!("{name}_streams"), answered(&made) as f64, "");
        quantiles(&histogram(first), &format!("{name}_first"), report);
        quantiles(&latency(&made), &format!("{name}_stream"), report);
    }
}

fn streams(deployment: &Deployment, via: CallPath) -> Vec<Call> {
    let call = |number| Call {
        at: Duration::ZERO,
        base: base(deployment, via, Kind::Model, number),
        path: "/v1/completions".to_owned(),
        work: Work::Complete {
            prompt: format!("stream {number}"),
            tokens: STREAM_TOKENS,
            stream: true,
        },
        request: format!("{}{number}", via.name()),
        class: Class::Interactive,
        deadline: STREAM_DEADLINE,
        size: 0,
    };
    (0..STREAMS).map(call).collect()
}

fn memory(deployment: &Deployment, when: &str, report: &mut Report) -> Result<(), Error> {
    let groups = [("entry", &deployment.entries), ("side", &deployment.sides)];
    for (name, members) in groups {
        let mut most = 0;
        for member in members {
            most = most.max(member.process.memory()?);
        }
        report.add(format!("{name}_rss_{when}"), most as f64 / 1024.0, "MiB");
    }
    Ok(())
}
