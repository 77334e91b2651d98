//! Mixed load under random faults on real processes, checked by its history.
//!
//! The history holds how each call ended, what the plain services ran by their
//! log files, which configuration each entry had in force, the audit trail and
//! the injected faults. The checks in [`check`] read only that.
//!
//! Faults are drawn from a seed, so that a failed run can be repeated. The seed
//! fixes which fault begins when and where, but not how processes are scheduled.

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

const CALL_WORKERS: usize = 256;
const SETUP_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the load goes on after the time in which faults are drawn.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The options of a fault run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The time in which faults begin.
    pub time: Duration,
    /// The seed of load and faults.
    pub seed: u64,
    /// The kinds of faults that may be drawn.
    pub kinds: Kinds,
    /// Calls per second.
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

/// Runs load and faults, and checks the history.
///
/// # Errors
///
/// Returns an error if the deployment can't be started or read.
pub fn run(options: &Options, interrupt: &Interrupt) -> Result<Counts, Error> {
    let mut deployment = Deployment::start(&deployment_spec(), interrupt)?;
    let relays = inject::start_relays(&deployment)?;
    inject::put_hosts(&deployment, &relays, "live")?;
    deployment.set_up(SETUP_TIMEOUT)?;

    let faults = plan(options.time, options.seed, options.kinds, &deployment.spec);
    let calls = calls::draw_calls(
        &deployment,
        options.time + SETTLE_TIME,
        options.seed,
        options.rate,
    );
    let start = Instant::now();
    let epoch_ms = epoch_ms();
    let finished = AtomicBool::new(false);
    let watchers = Watcher::for_entries(&deployment);
    let counters = Arc::new(Counters::default());
    let mut injector = Injector::new(&mut deployment, relays, start);
    let (calls, versions) = thread::scope(|scope| {
        let load = scope.spawn(|| load::run(calls, CALL_WORKERS, &counters, interrupt));
        let watched: Vec<_> = watchers
            .iter()
            .map(|watcher| scope.spawn(|| watcher.run(start, &finished)))
            .collect();
        injector.run(&faults, interrupt);
        let calls = load.join().unwrap_or_default();
        finished.store(true, Ordering::Relaxed);
        let versions = watched.into_iter().map(|w| w.join().unwrap_or_default());
        (calls, versions.collect::<Vec<_>>())
    });
    let faults = injector.finish();
    let entries = deployment.entries.iter();
    let history = History {
        entries: entries.map(|e| e.daemon.address.to_string()).collect(),
        calls,
        versions,
        endpoint_logs: deployment.runs()?,
        audit_rows: deployment.show(0, "show audit")?,
        faults,
        epoch_ms,
    };
    Ok(history.check())
}

/// Returns the deployment for fault runs: small enough for one host together
/// with the load, with enough processes that the loss of one can be tolerated.
fn deployment_spec() -> Spec {
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
