//! Callers and trainers on real gateways, under faults from outside.
//!
//! One seed draws a plan of faults that come in series and overlap: processes
//! that are killed, frozen, stopped and started again; connections that are cut,
//! delayed or silenced in one direction by a relay; a store that is away, slow,
//! loses answers, carries writes out late or forgets its history; endpoints that
//! answer badly, leave and come back; keys that are taken away with each change of the
//! configuration. One request crashes the plain endpoint that runs it, and is repeated
//! all the time. What callers and trainers may rely on is
//! checked while it runs, from what they and the endpoints see. When the faults
//! are over every batch has to come to its end.
//!
//! Not among the faults: clocks. The programs take no time from outside, and a
//! step of the machine's clock would step that of everything else on it.

mod check;
mod clients;
mod keys;
mod plan;
mod world;

pub use self::check::Found;

use self::world::World;

use crate::{deployment::Error, interrupt::Interrupt};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time after the faults in which everything has to be well again.
const CALM: Duration = Duration::from_secs(25);
/// Clients in person, and trainers.
const CALLERS: usize = 6;
const TRAINERS: usize = 2;
/// Crashes after which a request must not go on, and sends that are allowed once news
/// of them has spread.
const CRASHES: usize = 3;
const MOST_SENDS: usize = 3;
const SPREAD: Duration = Duration::from_secs(3);

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long faults come.
    pub time: Duration,
    /// What everything is drawn from.
    pub seed: u64,
    /// How many gateways run.
    pub processes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            time: Duration::from_secs(20),
            seed: 1,
            processes: 5,
        }
    }
}

/// Plays a soak.
///
/// # Errors
///
/// Returns an error if something can't be started, or a signal ended it.
pub fn run(options: &Options, interrupt: &Interrupt) -> Result<Found, Error> {
    let found = check::Check::new();
    let mut world = World::start(options.processes)?;
    world.wait_ready()?;
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..CALLERS {
        let caller = clients::Caller::new(&world, n, options.seed, &found, &over);
        clients.push(thread::spawn(move || caller.run()));
    }
    for n in 0..TRAINERS {
        let trainer = clients::Trainer::new(&world, n, options.seed, &found, &over);
        clients.push(thread::spawn(move || trainer.run()));
    }
    let crasher = clients::Crasher::new(&world, options.seed, &found, &over);
    clients.push(thread::spawn(move || crasher.run()));
    let start = Instant::now();
    for planned in plan::draw(options) {
        let at = start + planned.at;
        while Instant::now() < at {
            go_on(interrupt)?;
            world.heal()?;
            thread::sleep(Duration::from_millis(20));
        }
        found.note(planned.at, format!("{:?}", planned.fault));
        world.inject(planned.fault)?;
    }
    world.calm()?;
    crashes(&mut world, &found, interrupt)?;
    over.store(true, Ordering::Release);
    let end = Instant::now() + CALM;
    while clients.iter().any(|client| !client.is_finished()) && Instant::now() < end {
        go_on(interrupt)?;
        thread::sleep(Duration::from_millis(50));
    }
    for client in clients {
        if !client.is_finished() {
            found.broke("a client did not come to its end after the faults");
        } else if client.join().is_err() {
            found.broke("a client failed");
        }
    }
    check::endpoints(&found, &world);
    check::reports(&found, &world);
    Ok(found.close(&mut world))
}

/// Checks that a request which has crashed three endpoints hardly reaches any once all
/// gateways have had time to hear of it.
fn crashes(world: &mut World, found: &check::Check, interrupt: &Interrupt) -> Result<(), Error> {
    let mut sends = || -> Result<usize, Error> {
        let end = Instant::now() + SPREAD;
        while Instant::now() < end {
            go_on(interrupt)?;
            world.heal()?;
            thread::sleep(Duration::from_millis(20));
        }
        let ran = world.ran();
        let sends = ran.iter().filter(|ran| ran.id.starts_with("crash-"));
        Ok(sends.count())
    };
    let before = sends()?;
    let more = sends()? - before;
    if world.crashes >= CRASHES && more > MOST_SENDS {
        let crashes = world.crashes;
        found.broke(&format!(
            "{more} sends of a request after {crashes} crashes"
        ));
    }
    Ok(())
}

fn go_on(interrupt: &Interrupt) -> Result<(), Error> {
    if interrupt.is_asked() {
        return Err(Error::Interrupted);
    }
    Ok(())
}
