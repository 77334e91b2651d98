//! The cost of the path: through an entry and a side against straight to the
//! endpoint, in the same run.

use crate::{
    caller::{Call, Ending, Work},
    deployment::{Deployment, Error, Kind, Service, Spec},
    interrupt::Interrupt,
    load::{self, Counters, Made},
    report::Report,
};
use hdrhistogram::Histogram;
use hibiscusroad::Class;
use std::{
    sync::Arc,
    thread,
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
const RATES: [f64; 9] = [
    500.0, 1000.0, 2000.0, 3000.0, 4000.0, 5000.0, 6000.0, 8000.0, 10_000.0,
];
const STREAMS: usize = 64;
const STREAM_TOKENS: u64 = 400;
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
    let _ = small(&deployment, Way::Through, RATES[0], options, interrupt);
    let held = hold(&deployment, options, interrupt, &mut report);
    report.add("held_rate", held, "requests/s");
    added(&deployment, held / 2.0, options, interrupt, &mut report);
    memory(&deployment, "loaded", &mut report)?;
    tokens(&deployment, interrupt, &mut report);
    if interrupt.is_asked() {
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
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Through,
    Direct,
}

impl Way {
    const BOTH: [Self; 2] = [Self::Through, Self::Direct];

    const fn name(self) -> &'static str {
        match self {
            Self::Through => "through",
            Self::Direct => "direct",
        }
    }
}

fn base(deployment: &Deployment, way: Way, kind: Kind, number: usize) -> String {
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
    match (way, endpoint) {
        (Way::Direct, Some(endpoint)) => format!("http://{}", endpoint.address),
        _ => deployment.base(0, service),
    }
}

fn calls(deployment: &Deployment, way: Way, rate: f64, time: Duration, seed: u64) -> Vec<Call> {
    let times = load::arrivals(rate, time, seed);
    let call = |(number, at)| Call {
        at,
        base: base(deployment, way, Kind::Plain, number),
        path: "/small".to_owned(),
        work: Work::Get,
        request: format!("{}{number}", way.name()),
        class: Class::Interactive,
        deadline: DEADLINE,
        size: 0,
    };
    times.into_iter().enumerate().map(call).collect()
}

fn small(
    deployment: &Deployment,
    way: Way,
    rate: f64,
    options: &Options,
    interrupt: &Interrupt,
) -> Vec<Made> {
    let calls = calls(deployment, way, rate, options.step, options.seed);
    load::run(calls, WORKERS, &Arc::new(Counters::default()), interrupt)
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
        let made = small(deployment, Way::Through, rate, options, interrupt);
        let latency = latency(&made);
        let answered = answered(&made) as f64 / made.len().max(1) as f64;
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

fn added(
    deployment: &Deployment,
    rate: f64,
    options: &Options,
    interrupt: &Interrupt,
    report: &mut Report,
) {
    // Both ways at once, so that both meet the same machine.
    let run = |way, seed| {
        let calls = calls(deployment, way, rate, options.time, seed);
        load::run(calls, WORKERS, &Arc::new(Counters::default()), interrupt)
    };
    let [through, direct] = thread::scope(|scope| {
        let direct = scope.spawn(|| run(Way::Direct, options.seed + 1));
        let through = run(Way::Through, options.seed);
        [through, direct.join().unwrap_or_default()]
    });
    report.add("half_rate", rate, "requests/s");
    report.add(
        "half_failed",
        (through.len() - answered(&through)) as f64,
        "",
    );
    let [through, direct] = [through, direct].map(|made| latency(&made));
    quantiles(&through, "through", report);
    quantiles(&direct, "direct", report);
    for (name, quantile) in QUANTILES {
        let ours = through.value_at_quantile(quantile) as f64;
        let theirs = direct.value_at_quantile(quantile) as f64;
        report.add(format!("added_{name}"), (ours - theirs) / 1e3, "ms");
    }
}

const QUANTILES: [(&str, f64); 2] = [("p50", 0.5), ("p99", 0.99)];

fn quantiles(latency: &Histogram<u64>, name: &str, report: &mut Report) {
    for (quantile, at) in QUANTILES {
        let ms = latency.value_at_quantile(at) as f64 / 1e3;
        report.add(format!("{name}_{quantile}"), ms, "ms");
    }
}

fn answered(made: &[Made]) -> usize {
    let whole = |made: &&Made| made.outcome.ending == Ending::Answered;
    made.iter().filter(whole).count()
}

// In microseconds from the time that was set for each call.
fn latency(made: &[Made]) -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3);
    let mut histogram = histogram.unwrap_or_else(|_| unreachable!("the bounds are constant"));
    for made in made {
        let micros = u64::try_from(made.outcome.latency.as_micros());
        histogram.saturating_record(micros.unwrap_or(MAX_MICROS));
    }
    histogram
}

// Streams that all begin at once and generate for some seconds.
fn tokens(deployment: &Deployment, interrupt: &Interrupt, report: &mut Report) {
    for way in Way::BOTH {
        let call = |number| Call {
            at: Duration::ZERO,
            base: base(deployment, way, Kind::Model, number),
            path: "/v1/completions".to_owned(),
            work: Work::Complete {
                prompt: format!("stream {number}"),
                tokens: STREAM_TOKENS,
                stream: true,
            },
            request: format!("{}{number}", way.name()),
            class: Class::Interactive,
            deadline: DEADLINE * 12,
            size: 0,
        };
        let start = Instant::now();
        let calls = (0..STREAMS).map(call).collect();
        let made = load::run(calls, STREAMS, &Arc::new(Counters::default()), interrupt);
        let time = start.elapsed().as_secs_f64();
        let tokens: u64 = made.iter().map(|made| made.outcome.tokens).sum();
        let whole = answered(&made) as f64;
        report.add(
            format!("{}_tokens", way.name()),
            tokens as f64 / time,
            "tokens/s",
        );
        report.add(format!("{}_streams", way.name()), whole, "");
    }
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
