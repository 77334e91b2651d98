//! What a daemon costs that has nothing to do: its share of control.
//!
//! Deployments of several sizes are started and left alone for some seconds.
//! Figures per daemon against the number of its links give the slopes from
//! which the cost at other sizes is worked out. Bytes are read off the loopback
//! interface, headers included, so nothing else may run beside.

use crate::{
    deployment::{Deployment, Error, Kind, Member, Service, Spec},
    interrupt::Interrupt,
    report::Report,
};
use serde_json::Value;
use std::{
    fs, io,
    time::{Duration, Instant},
};

const SPREAD: Duration = Duration::from_secs(30);
const STOP: Duration = Duration::from_mins(1);

/// Time in which links come up and first polls pass.
const SETTLE: Duration = Duration::from_secs(4);

/// Entries, services, and sides of each service.
const SIZES: [(usize, usize, usize); 5] =
    [(2, 1, 8), (2, 1, 24), (8, 1, 24), (16, 1, 24), (8, 4, 24)];

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// How control is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long each size is watched.
    pub time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            time: Duration::from_secs(10),
        }
    }
}

/// Measures all sizes.
///
/// # Errors
///
/// Returns an error if a deployment can't be started, watched or stopped.
pub fn run(options: Options, interrupt: &Interrupt) -> Result<Report, Error> {
    let mut report = Report::default();
    for (entries, services, sides) in SIZES {
        let deployment = Deployment::start(&spec(entries, services, sides), interrupt)?;
        deployment.set_up(SPREAD)?;
        interrupt.sleep_until(Instant::now() + SETTLE);
        let name = format!("{entries}x{services}x{sides}");
        watch(&deployment, &name, options.time, interrupt, &mut report)?;
        change(&deployment, &name, services as u64, &mut report)?;
        if interrupt.is_requested() {
            return Err(Error::Interrupted);
        }
        deployment.stop(STOP)?;
    }
    Ok(report)
}

fn spec(entries: usize, services: usize, sides: usize) -> Spec {
    let service = |name: &&'static str| Service {
        name,
        kind: Kind::Plain,
        count: sides,
        limit: 64,
        options: Vec::new(),
        rule: "",
    };
    Spec {
        name: "control",
        region: "zapad",
        places: vec!["senec", "trnava", "piestany"],
        entries,
        services: NAMES.iter().take(services).map(service).collect(),
        lag: Duration::ZERO,
        restarts: false,
        shared: true,
    }
}

/// One reading of all that is watched.
struct Reading {
    at: Instant,
    entries: Duration,
    sides: Duration,
    bytes: u64,
    reads: u64,
    lists: u64,
}

impl Reading {
    fn read(deployment: &Deployment) -> Result<Self, Error> {
        let counts = counts(deployment)?;
        let count = |name: &str| counts[name].as_u64().unwrap_or(0);
        Ok(Self {
            at: Instant::now(),
            entries: processor(&deployment.entries)?,
            sides: processor(&deployment.sides)?,
            bytes: loopback()?,
            reads: count("reads") + count("unchanged"),
            lists: count("host_reads"),
        })
    }
}

fn watch(
    deployment: &Deployment,
    name: &str,
    time: Duration,
    interrupt: &Interrupt,
    report: &mut Report,
) -> Result<(), Error> {
    let before = Reading::read(deployment)?;
    interrupt.sleep_until(before.at + time);
    let after = Reading::read(deployment)?;
    let seconds = (after.at - before.at).as_secs_f64();
    let (entries, sides) = (deployment.entries.len(), deployment.sides.len());
    let share = |used: Duration, n: usize| 100.0 * used.as_secs_f64() / seconds / n as f64;
    let rate = |n: u64| n as f64 / seconds;
    let links = links(deployment)?;
    let mut add = |what: &str, value: f64, unit| report.add(format!("{name}_{what}"), value, unit);
    add("links", links as f64, "");
    add(
        "entry_cpu",
        share(after.entries.saturating_sub(before.entries), entries),
        "% of a core",
    );
    add(
        "side_cpu",
        share(after.sides.saturating_sub(before.sides), sides),
        "% of a core",
    );
    add("entry_rss", memory(&deployment.entries)?, "MiB");
    add("side_rss", memory(&deployment.sides)?, "MiB");
    let bytes = rate(after.bytes - before.bytes) / 1e3;
    add("bytes_per_daemon", bytes / (entries + sides) as f64, "KB/s");
    add("bytes_per_link", bytes * 1e3 / links.max(1) as f64, "B/s");
    add("table_reads", rate(after.reads - before.reads), "1/s");
    add("host_list_reads", rate(after.lists - before.lists), "1/s");
    Ok(())
}

fn change(
    deployment: &Deployment,
    name: &str,
    version: u64,
    report: &mut Report,
) -> Result<(), Error> {
    let start = Instant::now();
    deployment.operate(0, "alter service a set depth = 99")?;
    deployment.wait_version(version + 1, SPREAD)?;
    let spread = start.elapsed().as_secs_f64();
    report.add(format!("{name}_config_spread"), spread, "s");
    Ok(())
}

fn links(deployment: &Deployment) -> Result<u64, Error> {
    let mut links = 0;
    for entry in 0..deployment.entries.len() {
        let rows = deployment.query_local(entry, "entries")?;
        let own = rows.first().and_then(|row| row.get("links")?.as_u64());
        links += own.unwrap_or(0);
    }
    Ok(links)
}

fn processor(members: &[Member]) -> Result<Duration, Error> {
    members.iter().map(|m| m.process.processor()).sum()
}

fn memory(members: &[Member]) -> Result<f64, Error> {
    let mut most = 0;
    for member in members {
        most = most.max(member.process.memory()?);
    }
    Ok(most as f64 / 1024.0)
}

fn counts(deployment: &Deployment) -> Result<Value, Error> {
    let url = format!("http://{}/control/history", deployment.platform);
    let text = ureq::get(url).call()?.body_mut().read_to_string()?;
    let value: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
    Ok(value["counts"].clone())
}

/// Bytes that went over the loopback interface since the machine started.
fn loopback() -> Result<u64, Error> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.ok_or_else(|| io::Error::other("/proc/net/dev has no line of lo").into())
}
