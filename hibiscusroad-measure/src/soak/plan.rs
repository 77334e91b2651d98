//! Which fault comes when, drawn from a seed.

use super::Options;
use hibiscusroad_standins::{
    direct::{Behaviour, Faults},
    relay::Direction,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// Mean time from one fault to the next.
const GAP: f64 = 0.7;
/// Faults last up to this, in milliseconds.
const LONGEST: u64 = 4_000;

/// A fault; gateways and endpoints by their number.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Kill(usize),
    KillAll,
    Freeze(usize, Duration),
    Stop(usize),
    Store(Faults, Duration),
    Forget,
    SilenceStore(usize, Direction),
    CutStore(usize, Duration),
    DelayStore(usize, Duration),
    ResetStore,
    Endpoint(usize, Behaviour, Duration),
    SilenceEndpoint(usize, Direction),
    Leave(usize),
    Config,
}

/// A fault and when it comes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Planned {
    pub(super) at: Duration,
    pub(super) fault: Fault,
}

/// Draws all faults of a soak.
pub(super) fn draw(options: &Options) -> Vec<Planned> {
    let mut rng = Pcg64::seed_from_u64(options.seed);
    let mut at = Duration::ZERO;
    let mut plan = Vec::new();
    loop {
        // Half of them come close together, so that they overlap.
        let gap = if rng.random_bool(0.5) { 0.1 } else { 2.0 };
        at += Duration::from_secs_f64(rng.random::<f64>() * GAP * gap);
        if at >= options.time {
            return plan;
        }
        let fault = fault(&mut rng, options.processes);
        plan.push(Planned { at, fault });
    }
}

fn fault(rng: &mut Pcg64, processes: usize) -> Fault {
    let time = Duration::from_millis(rng.random_range(100..LONGEST));
    let n = rng.random_range(0..processes);
    let endpoint = rng.random_range(0..super::world::ENDPOINTS);
    let way = if rng.random() {
        Direction::Forth
    } else {
        Direction::Back
    };
    let none = Faults::default();
    match rng.random_range(0..20) {
        0 | 1 => Fault::Kill(n),
        2 => Fault::KillAll,
        3 | 4 => Fault::Freeze(n, time),
        5 | 6 => Fault::Stop(n),
        7 => Fault::Store(Faults { busy: true, ..none }, time / 2),
        8 => Fault::Store(
            Faults {
                silent: true,
                ..none
            },
            time / 2,
        ),
        9 => Fault::Store(Faults { lose: 8, ..none }, time),
        10 => {
            let late = Duration::from_millis(rng.random_range(100..3_000));
            Fault::Store(
                Faults {
                    lose: 8,
                    late,
                    ..none
                },
                time,
            )
        }
        11 => {
            let slow = Duration::from_millis(rng.random_range(50..500));
            Fault::Store(Faults { slow, ..none }, time)
        }
        12 => Fault::Forget,
        13 => Fault::SilenceStore(n, way),
        14 => Fault::CutStore(n, time),
        15 => Fault::DelayStore(n, time / 20),
        16 => Fault::ResetStore,
        17 => {
            let manners = [
                Behaviour::Foreign,
                Behaviour::Torn,
                Behaviour::Refusing,
                Behaviour::Unsigned,
            ];
            Fault::Endpoint(endpoint, manners[rng.random_range(0..manners.len())], time)
        }
        18 if rng.random() => Fault::SilenceEndpoint(endpoint, way),
        18 => Fault::Leave(endpoint),
        _ => Fault::Config,
    }
}
