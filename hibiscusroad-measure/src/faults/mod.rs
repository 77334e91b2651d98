//! Mixed load under random faults over real processes, judged by its history.
//!
//! Three recorders write the history: callers note how each call ended, plain
//! services note in files what they ran, and watchers note which configuration
//! each entry has in force. The checks in [`check`] read only that.
//!
//! Faults are drawn from a seed, so that a run that fails can be repeated. What
//! a seed fixes is which fault begins when and where; how processes are
//! scheduled is left to the machine.

mod calls;
pub mod check;
pub mod counts;
mod inject;
pub mod plan;
mod watch;

use crate::{
    deployment::{Deployment, Error, Kind, Service, Spec},
    interrupt::Interrupt,
    load::{self, Counters},
};
use check::History;
use counts::Counts;
use hibiscusroad_standins::platform::history::epoch_ms;
use inject::Injector;
use plan::{Kinds, plan};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use watch::Watcher;

const WORKERS: usize = 256;
const START: Duration = Duration::from_secs(20);

/// Time after the last fault in which everything must come right.
const CALM: Duration = Duration::from_secs(5);

/// What is to be run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// How long faults are drawn for.
    pub time: Duration,
    /// What fixes the draw.
    pub seed: u64,
    /// Which faults may be drawn.
    pub kinds: Kinds,
    /// Calls a second.
    pub rate: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            time: Duration::from_secs(30),
            seed: 1,
            kinds: Kinds::All,
            rate: 60.0,
        }
    }
}

/// Runs load and faults, and judges the history.
///
/// # Errors
///
/// Returns an error if the deployment can't be started or read.
pub fn run(options: &Options, interrupt: &Interrupt) -> Result<Counts, Error> {
    let mut deployment = Deployment::start(&spec(), interrupt)?;
    let relays = inject::relays(&deployment)?;
    inject::put_hosts(&deployment, &relays, "live")?;
    deployment.set_up(START)?;

    let faults = plan(options.time, options.seed, options.kinds, &deployment.spec);
    let calls = calls::draw(&deployment, options.time + CALM, options.seed, options.rate);
    let start = Instant::now();
    let epoch_ms = epoch_ms();
    let over = AtomicBool::new(false);
    let watchers = Watcher::all(&deployment);
    let counters = Arc::new(Counters::default());
    let mut injector = Injector::new(&mut deployment, relays, start);
    let (made, seen) = thread::scope(|scope| {
        let load = scope.spawn(|| load::run(calls, WORKERS, &counters, interrupt));
        let watched: Vec<_> = watchers
            .iter()
            .map(|watcher| scope.spawn(|| watcher.run(start, &over)))
            .collect();
        injector.run(&faults, interrupt);
        let made = load.join().unwrap_or_default();
        over.store(true, Ordering::Relaxed);
        let seen = watched.into_iter().map(|w| w.join().unwrap_or_default());
        (made, seen.collect::<Vec<_>>())
    });
    let done = injector.finish();
    let entries = deployment.entries.iter();
    let history = History {
        entries: entries.map(|e| e.daemon.address.to_string()).collect(),
        made,
        seen,
        runs: deployment.runs()?,
        trail: deployment.show(0, "show audit")?,
        done,
        epoch_ms,
    };
    Ok(history.check())
}

/// The deployment that faults are tried on: small enough for one machine beside
/// the load, large enough that any one process can be missed.
fn spec() -> Spec {
    let mut spec = Spec::pobrezie();
    spec.entries = 3;
    spec.restarts = true;
    spec.services = vec![
        Service {
            count: 3,
            ..spec.services[0].clone()
        },
        Service {
            count: 4,
            ..spec.services[1].clone()
        },
    ];
    debug_assert!(spec.service(Kind::Plain).is_some());
    spec
}
