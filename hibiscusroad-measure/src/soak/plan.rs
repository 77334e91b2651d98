//! Generation of the fault plan from a seed.

use super::Options;
use hibiscusroad_standins::{
    direct::{Behaviour, Faults},
    relay::Direction,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// Scale of the time between faults, in seconds.
const GAP_SCALE_S: f64 = 0.7;
/// Exclusive limit on the duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 4_000;

/// A fault. Gateways and endpoints are given by index.
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

/// A fault and the time from the start of the run to its injection.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub(super) at: Duration,
    pub(super) fault: Fault,
}

/// Returns all faults of a soak, in order of time.
pub(super) fn draw(options: &Options) -> Vec<PlannedFault> {
    let mut rng = Pcg64::seed_from_u64(options.seed);
    let mut at = Duration::ZERO;
    let mut plan = Vec::new();
    loop {
        // Short gaps make faults overlap.
        let factor = if rng.random_bool(0.5) { 0.1 } else { 2.0 };
        at += Duration::from_secs_f64(rng.random::<f64>() * GAP_SCALE_S * factor);
        if at >= options.time {
            return plan;
        }
        let fault = draw_fault(&mut rng, options.processes);
        plan.push(PlannedFault { at, fault });
    }
}

fn draw_fault(rng: &mut Pcg64, processes: usize) -> Fault {
    let duration = Duration::from_millis(rng.random_range(100..MAX_FAULT_MS));
    let n = rng.random_range(0..processes);
    let endpoint = rng.random_range(0..super::world::ENDPOINT_COUNT);
    let direction = if rng.random() {
        Direction::Forth
    } else {
        Direction::Back
    };
    let no_faults = Faults::default();
    match rng.random_range(0..20) {
        0 | 1 => Fault::Kill(n),
        2 => Fault::KillAll,
        3 | 4 => Fault::Freeze(n, duration),
        5 | 6 => Fault::Stop(n),
        7 => Fault::Store(
            Faults {
                busy: true,
                ..no_faults
            },
            duration / 2,
        ),
        8 => Fault::Store(
            Faults {
                silent: true,
                ..no_faults
            },
            duration / 2,
        ),
        9 => Fault::Store(
            Faults {
                lose: 8,
                ..no_faults
            },
            duration,
        ),
        10 => {
            let late = Duration::from_millis(rng.random_range(100..3_000));
            Fault::Store(
                Faults {
                    lose: 8,
                    late,
                    ..no_faults
                },
                duration,
            )
        }
        11 => {
            let slow = Duration::from_millis(rng.random_range(50..500));
            Fault::Store(Faults { slow, ..no_faults }, duration)
        }
        12 => Fault::Forget,
        13 => Fault::SilenceStore(n, direction),
        14 => Fault::CutStore(n, duration),
        15 => Fault::DelayStore(n, duration / 20),
        16 => Fault::ResetStore,
        17 => {
            let behaviours = [
                Behaviour::Foreign,
                Behaviour::Torn,
                Behaviour::Refusing,
                Behaviour::Unsigned,
            ];
            Fault::Endpoint(
                endpoint,
                behaviours[rng.random_range(0..behaviours.len())],
                duration,
            )
        }
        18 if rng.random() => Fault::SilenceEndpoint(endpoint, direction),
        18 => Fault::Leave(endpoint),
        _ => Fault::Config,
    }
}
