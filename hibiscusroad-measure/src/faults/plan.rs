//! Drawing the faults of a run from a seed.

use crate::deployment::{Kind, Spec};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A fault, or an action of operators that is injected like one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An entry is killed, and started again later.
    KillEntry(usize),
    /// A sidecar is killed, and started again later.
    KillSide(usize),
    /// An endpoint is killed, and started again later.
    KillEndpoint(usize),
    /// An entry is suspended and resumed later.
    FreezeEntry(usize),
    /// A sidecar is suspended and resumed later.
    FreezeSide(usize),
    /// An endpoint is suspended and resumed later.
    FreezeEndpoint(usize),
    /// The platform does not answer.
    StoreDown,
    /// The platform answers with a delay of this many milliseconds.
    StoreSlow(u64),
    /// Every second write takes effect without an answer.
    LoseAnswers,
    /// Open connections to a sidecar carry no more data in one direction
    /// (`true`: towards the sidecar); new connections work.
    SilenceLink(usize, bool),
    /// Open connections to a sidecar are cut.
    CutLink(usize),
    /// Connections to a sidecar have a delay of this many milliseconds.
    DelayLink(usize, u64),
    /// An entry is asked to terminate, and started again later.
    StopEntry(usize),
    /// A sidecar is asked to terminate, and started again later.
    StopSide(usize),
    /// An operator drains an endpoint, and undrains it later.
    Drain(usize),
    /// Ten operators change one service at once.
    Race,
}

/// The kinds of faults that may be drawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kinds {
    /// All of them.
    All,
    /// No faults.
    None,
    /// Crashes of processes.
    Kill,
    /// Suspended processes.
    Freeze,
    /// Outages of the platform.
    Store,
    /// Connections that are cut, silent or slow.
    Link,
    /// Planned stops.
    Stop,
    /// Operators' drains and races.
    Operate,
}

impl Kinds {
    /// Returns the kinds with a name, if there are any.
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
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Mean seconds between the beginnings of two faults; most faults last longer,
/// so they often overlap.
const MEAN_GAP_SECS: f64 = 1.5;

/// Draws the faults of a run of the given time.
#[must_use]
pub fn plan(time: Duration, seed: u64, kinds: Kinds, spec: &Spec) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = 1.0;
    while kinds != Kinds::None && at < time.as_secs_f64() {
        let fault = draw_fault(&mut rng, kinds, spec);
        let duration = Duration::from_secs_f64(rng.random_range(duration_range(fault)));
        planned.push(PlannedFault {
            at: Duration::from_secs_f64(at),
            duration,
            fault,
        });
        at += rng.random_range(0.2..2.0 * MEAN_GAP_SECS - 0.2);
    }
    planned
}

/// Returns the range of a fault's duration in seconds. Freezes may outlast
/// heartbeats and leases.
fn duration_range(fault: Fault) -> std::ops::Range<f64> {
    match fault {
        Fault::FreezeEntry(_) | Fault::FreezeSide(_) | Fault::FreezeEndpoint(_) => 0.3..10.0,
        Fault::StoreDown | Fault::StoreSlow(_) | Fault::LoseAnswers => 1.0..8.0,
        Fault::Drain(_) => 5.0..8.0,
        Fault::SilenceLink(..) | Fault::CutLink(_) | Fault::Race => 0.1..0.2,
        _ => 0.5..4.0,
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, kinds: Kinds, spec: &Spec) -> Fault {
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
    let candidates = match kinds {
        Kinds::Kill => all[0],
        Kinds::Freeze => all[1],
        Kinds::Store => all[2],
        Kinds::Link => all[3],
        Kinds::Stop => all[4],
        Kinds::Operate => all[5],
        Kinds::All | Kinds::None => all[rng.random_range(0..all.len())],
    };
    *candidates.choose(rng).unwrap_or(&Fault::Race)
}
