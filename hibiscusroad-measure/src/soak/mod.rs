//! Soak test of real gateways under injected faults.
//!
//! A seed determines a plan of overlapping faults of the gateways, their connections, the
//! store, the endpoints and the configuration. One request crashes every plain endpoint
//! that runs it and is sent repeatedly. The guarantees to callers and trainers are checked
//! during the run, and every batch must end once the faults are over.
//!
//! Clock faults are left out: changing the machine's clock would affect other programs.

mod check;
mod clients;
mod departures;
mod keys;
mod late;
mod plan;
mod stranded;
mod texts;
mod world;

pub use self::check::Found;

use self::{clients::StepShape, stranded::Steps, world::World};

use crate::{deployment::Error, interrupt::Interrupt};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Limit on the time that clients take to finish after the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between two looks whether faults are due to end.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALLER_COUNT: usize = 6;
const TRAINER_COUNT: usize = 2;
/// Number of crashes from which on a request must be in quarantine.
const QUARANTINE_CRASHES: usize = 3;
/// Limit on sends of a quarantined request during one `QUARANTINE_DELAY`.
const MAX_SENDS: usize = 3;
/// Time in which all gateways learn of a quarantine.
const QUARANTINE_DELAY: Duration = Duration::from_secs(3);

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of fault injection.
    pub time: Duration,
    /// Seed of the fault plan and the clients.
    pub seed: u64,
    /// Number of gateway processes.
    pub processes: usize,
    /// Whether gateways expect contention, and hosts turn slow by turns.
    pub contention: bool,
    /// Whether writes of texts are carried out late, beside gateways that are stopped and killed,
    /// while engines send events in bursts.
    pub late_writes: bool,
    /// How engines behave where they are like real ones: they take time to load weights, have few
    /// slots and texts of differing lengths, and fail in series, with calm times in between.
    pub engines: Option<EngineOptions>,
}

/// Options of engines that are like real ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineOptions {
    /// Whether engines take long to read some prompts.
    pub long_prompts: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            time: Duration::from_secs(20),
            seed: 1,
            processes: 5,
            contention: false,
            late_writes: false,
            engines: None,
        }
    }
}

impl Options {
    /// Returns the number of trainers: one or two, by the seed, where engines are like real
    /// ones, since an item that waits may be excused by the steps of another model.
    const fn trainer_count(&self) -> usize {
        if self.engines.is_some() && self.seed.is_multiple_of(2) {
            1
        } else {
            TRAINER_COUNT
        }
    }

    /// Returns whether one weight version must generate all of a text, which depends on the seed
    /// where engines are like real ones.
    const fn single_version(&self) -> bool {
        self.engines.is_some() && self.seed % 4 >= 2
    }

    const fn step_shape(&self) -> StepShape {
        if self.engines.is_some() {
            StepShape {
                groups: 12,
                group_size: 4,
                target_groups: 11,
            }
        } else {
            StepShape {
                groups: 3,
                group_size: 3,
                target_groups: 3,
            }
        }
    }

    /// Returns the function that tells the number of events of a text.
    fn text_length(&self) -> fn(&str) -> u64 {
        if self.engines.is_some() {
            texts::drawn_length
        } else if self.late_writes {
            texts::long_length
        } else {
            texts::equal_length
        }
    }
}

/// Runs a soak and returns its result.
///
/// # Errors
///
/// Returns an error if a component can't be started or controlled, or if the run is
/// interrupted.
pub fn run(options: &Options, interrupt: &Interrupt) -> Result<Found, Error> {
    let check = check::Check::new(options.text_length(), options.single_version());
    let steps = Steps::default();
    let mut world = World::start(options)?;
    world.wait_ready()?;
    let stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..CALLER_COUNT {
        let caller = clients::Caller::new(&world, n, options.seed, &check, &stopped);
        clients.push(thread::spawn(move || caller.run()));
    }
    for n in 0..options.trainer_count() {
        let trainer = clients::Trainer::new(
            &world,
            n,
            options.seed,
            &check,
            &stopped,
            options.step_shape(),
            &steps,
        );
        clients.push(thread::spawn(move || trainer.run()));
    }
    let crasher = clients::Crasher::new(&world, options.seed, &check, &stopped);
    clients.push(thread::spawn(move || crasher.run()));
    let start = Instant::now();
    for planned in plan::draw(options) {
        run_until(start + planned.at, &mut world, interrupt)?;
        check.record_fault(planned.at, format!("{:?}", planned.fault));
        world.inject(planned.fault)?;
    }
    if options.engines.is_some() {
        run_until(start + options.time, &mut world, interrupt)?;
    }
    world.end_faults()?;
    check_quarantine(&mut world, &check, interrupt)?;
    stopped.store(true, Ordering::Release);
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    while clients.iter().any(|client| !client.is_finished()) && Instant::now() < deadline {
        check_interrupt(interrupt)?;
        thread::sleep(Duration::from_millis(50));
    }
    for client in clients {
        if !client.is_finished() {
            check.record_violation("a client did not come to its end after the faults");
        } else if client.join().is_err() {
            check.record_violation("a client failed");
        }
    }
    check::check_endpoints(&check, &world);
    check::check_reports(&check, &world);
    check::check_joins(&check, &world);
    stranded::check_items(&check, &world, &steps);
    late::check(&check, &world);
    Ok(check.finish(&mut world))
}

/// Ends faults as they are due, until the given time.
fn run_until(at: Instant, world: &mut World, interrupt: &Interrupt) -> Result<(), Error> {
    while Instant::now() < at {
        check_interrupt(interrupt)?;
        world.recover_due()?;
        thread::sleep(RECOVERY_POLL_INTERVAL);
    }
    Ok(())
}

/// Checks that a quarantined request rarely reaches an endpoint once all gateways have had
/// time to learn of the quarantine.
fn check_quarantine(
    world: &mut World,
    check: &check::Check,
    interrupt: &Interrupt,
) -> Result<(), Error> {
    let mut count_sends = || -> Result<usize, Error> {
        run_until(Instant::now() + QUARANTINE_DELAY, world, interrupt)?;
        let executed = world.executed();
        let sends = executed
            .iter()
            .filter(|request| request.id.starts_with("crash-"));
        Ok(sends.count())
    };
    let before = count_sends()?;
    let later_sends = count_sends()? - before;
    if world.crash_count >= QUARANTINE_CRASHES && later_sends > MAX_SENDS {
        let crashes = world.crash_count;
        check.record_violation(&format!(
            "{later_sends} sends of a request after {crashes} crashes"
        ));
    }
    Ok(())
}

fn check_interrupt(interrupt: &Interrupt) -> Result<(), Error> {
    if interrupt.is_requested() {
        return Err(Error::Interrupted);
    }
    Ok(())
}
