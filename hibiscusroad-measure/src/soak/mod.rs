//! Callers and trainers on real gateways, under faults from outside.
//!
//! One seed draws a plan of faults that come in series and overlap: processes
//! that are killed, frozen, stopped and started again; connections that are cut,
//! delayed or silenced in one direction by a relay; a store that is away, slow,
//! loses answers, carries writes out late or forgets its history; endpoints that
//! answer badly, leave and come back; keys that are taken away with each change of the
//! configuration. What callers and trainers may rely on is
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
    let mut world = world::World::start(options.processes)?;
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

fn go_on(interrupt: &Interrupt) -> Result<(), Error> {
    if interrupt.is_asked() {
        return Err(Error::Interrupted);
    }
    Ok(())
}
