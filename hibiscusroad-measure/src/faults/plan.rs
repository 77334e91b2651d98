//! Drawing faults.

use crate::deployment::{Kind, Spec};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Something that goes wrong, or that an operator does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An entry is killed, and started again later.
    KillEntry(usize),
    /// A side is killed, and started again later.
    KillSide(usize),
    /// An endpoint is killed, and started again later.
    KillEndpoint(usize),
    /// An entry stands still.
    FreezeEntry(usize),
    /// A side stands still.
    FreezeSide(usize),
    /// An endpoint stands still.
    FreezeEndpoint(usize),
    /// The platform gives no answers.
    StoreDown,
    /// The platform is slow by this many milliseconds.
    StoreSlow(u64),
    /// One in two writes takes effect without an answer.
    LoseAnswers,
    /// Open links to a side go silent for good; new ones work.
    SilenceLink(usize, bool),
    /// Open links to a side are cut.
    CutLink(usize),
    /// Links to a side are late by this many milliseconds.
    DelayLink(usize, u64),
    /// An entry is asked to stop, and started again later.
    StopEntry(usize),
    /// A side is asked to stop, and started again later.
    StopSide(usize),
    /// An operator drains an endpoint, and takes it back later.
    Drain(usize),
    /// Ten operators change one service at once.
    Race,
}

/// Which faults may be drawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kinds {
    /// All of them.
    All,
    /// None: the load alone.
    None,
    /// Crashes of processes.
    Kill,
    /// Processes that stand still.
    Freeze,
    /// The platform's outages.
    Store,
    /// Connections that break, go silent or are slow.
    Link,
    /// Planned stops.
    Stop,
    /// Operators' drains and races.
    Operate,
}

impl Kinds {
    /// Finds kinds by their name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "all" => Self::All,
            "none" => Self::None,
            "kill" => Self::Kill,
            "freeze" => Self::Freeze,
            "store" => Self::Store,
            "link" => Self::Link,
            "stop" => Self::Stop,
            "operate" => Self::Operate,
            _ => return None,
        })
    }
}

/// A fault with its times, counted from the start of the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub last: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Mean time between the beginnings of two faults. Most last longer, so two of
/// them are often at work together.
const GAP: f64 = 1.5;

/// Draws faults for a run of `time`.
#[must_use]
pub fn plan(time: Duration, seed: u64, kinds: Kinds, spec: &Spec) -> Vec<Planned> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = 1.0;
    while kinds != Kinds::None && at < time.as_secs_f64() {
        let fault = draw(&mut rng, kinds, spec);
        let last = Duration::from_secs_f64(rng.random_range(length(fault)));
        planned.push(Planned {
            at: Duration::from_secs_f64(at),
            last,
            fault,
        });
        at += rng.random_range(0.2..2.0 * GAP - 0.2);
    }
    planned
}

/// Seconds that a fault may last. Freezes reach past every heartbeat, and some
/// past a lease.
fn length(fault: Fault) -> std::ops::Range<f64> {
    match fault {
        Fault::FreezeEntry(_) | Fault::FreezeSide(_) | Fault::FreezeEndpoint(_) => 0.3..10.0,
        Fault::StoreDown | Fault::StoreSlow(_) | Fault::LoseAnswers => 1.0..8.0,
        Fault::Drain(_) => 5.0..8.0,
        Fault::SilenceLink(..) | Fault::CutLink(_) | Fault::Race => 0.1..0.2,
        _ => 0.5..4.0,
    }
}

fn draw(rng: &mut Pcg64Mcg, kinds: Kinds, spec: &Spec) -> Fault {
    let entry = rng.random_range(0..spec.entries);
    let side = rng.random_range(0..spec.endpoints());
    let plain = rng.random_range(0..spec.service(Kind::Plain).map_or(1, |s| s.count));
    let kill = [
        Fault::KillEntry(entry),
        Fault::KillSide(side),
        Fault::KillEndpoint(side),
    ];
    let freeze = [
        Fault::FreezeEntry(entry),
        Fault::FreezeSide(side),
        Fault::FreezeEndpoint(side),
    ];
    let store = [
        Fault::StoreDown,
        Fault::StoreSlow(rng.random_range(50..5000)),
        Fault::LoseAnswers,
    ];
    let link = [
        Fault::SilenceLink(side, rng.random()),
        Fault::CutLink(side),
        Fault::DelayLink(side, rng.random_range(5..200)),
    ];
    let stop = [Fault::StopEntry(entry), Fault::StopSide(side)];
    let operate = [Fault::Drain(plain), Fault::Race];
    let all = [
        &kill[..],
        &freeze[..],
        &store[..],
        &link[..],
        &stop[..],
        &operate[..],
    ];
    let set = match kinds {
        Kinds::Kill => all[0],
        Kinds::Freeze => all[1],
        Kinds::Store => all[2],
        Kinds::Link => all[3],
        Kinds::Stop => all[4],
        Kinds::Operate => all[5],
        Kinds::All | Kinds::None => all[rng.random_range(0..all.len())],
    };
    *set.choose(rng).unwrap_or(&Fault::Race)
}
