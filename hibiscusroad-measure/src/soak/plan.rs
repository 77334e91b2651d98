//! Generation of the fault plan from a seed.

use super::{
    Options,
    world::{ENGINE_COUNT, PLAIN_ENDPOINTS},
};
use hibiscusroad_standins::{
    direct::{Behaviour, CrashMode, Faults},
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
    /// For the second duration, writes of texts get no answer and are carried out after the first.
    LateTexts(Duration, Duration),
    Forget,
    SilenceStore(usize, Direction),
    CutStore(usize, Duration),
    DelayStore(usize, Duration),
    ResetStore,
    Endpoint(usize, Behaviour, Duration),
    SilenceEndpoint(usize, Direction),
    Leave(usize),
    Config,
    /// The engine breaks off all connections.
    CutEndpoint(usize),
    /// The engine garbles the texts in progress.
    Garble(usize),
    Crash(usize, CrashMode),
    /// The engine drains for this time and is replaced by another one.
    Replace(usize, Duration),
    /// The engine's entry is changed and removed, and it is replaced by another one after twice
    /// this time.
    Withdraw(usize, Duration),
    /// The engine carries out orders after this time.
    SlowLoads(usize, Duration, Duration),
    /// Bytes to and from the endpoint take this time longer.
    DelayEndpoint(usize, Duration, Duration),
}

/// A fault and the time from the start of the run to its injection.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub(super) at: Duration,
    pub(super) fault: Fault,
}

/// Range of the duration of a burst of faults, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 1_000..6_000;
/// Duration of the calm after a burst, long enough for steps to go on for a while in a steady
/// state.
const CALM: Duration = Duration::from_secs(11);
/// Exclusive limit on the time between two faults of a burst, in milliseconds.
const MAX_BURST_GAP_MS: u64 = 700;
/// Exclusive limit on the time between two faults of a series, in milliseconds.
const MAX_SERIES_GAP_MS: u64 = 900;
/// Probability that a burst goes on with a series of faults of engines.
const SERIES_SHARE: f64 = 0.5;
/// Time after which weights are loaded that take long.
const SLOW_LOAD_MS: std::ops::Range<u64> = 1_000..4_000;
/// How much longer bytes take to an endpoint that is delayed.
const ENDPOINT_DELAY_MS: std::ops::Range<u64> = 50..600;
/// How long an engine drains before it is replaced.
const DRAIN_MS: std::ops::Range<u64> = 500..3_000;

/// Returns all faults of a soak, in order of time.
pub(super) fn draw(options: &Options) -> Vec<PlannedFault> {
    if options.engines.is_some() {
        return draw_bursts(options);
    }
    if options.late_writes {
        return draw_late_writes(options);
    }
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

/// Returns bursts of faults that overlap, with calm times in between.
fn draw_bursts(options: &Options) -> Vec<PlannedFault> {
    let mut rng = Pcg64::seed_from_u64(options.seed);
    let draw_ms = |rng: &mut Pcg64, range| Duration::from_millis(rng.random_range(range));
    let mut plan: Vec<PlannedFault> = Vec::new();
    // Steps begin before the first burst.
    let mut at = draw_ms(&mut rng, BURST_MS);
    while at + CALM < options.time {
        let end = at + draw_ms(&mut rng, BURST_MS);
        while at < end {
            if rng.random_bool(SERIES_SHARE) {
                let kind = rng.random_range(0..SERIES_KINDS);
                let first = rng.random_range(0..ENGINE_COUNT);
                let mut fault_at = at;
                for n in 0..rng.random_range(1..=ENGINE_COUNT) {
                    let engine = PLAIN_ENDPOINTS + (first + n) % ENGINE_COUNT;
                    let fault = draw_engine_fault(&mut rng, kind, engine);
                    plan.push(PlannedFault {
                        at: fault_at,
                        fault,
                    });
                    fault_at += draw_ms(&mut rng, 0..MAX_SERIES_GAP_MS);
                }
            } else {
                let fault = draw_fault(&mut rng, options.processes);
                plan.push(PlannedFault { at, fault });
            }
            at += draw_ms(&mut rng, 0..MAX_BURST_GAP_MS);
        }
        let last = plan.iter().map(|planned| planned.at).max();
        at = at.max(last.unwrap_or_default()) + CALM;
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Delay of writes of texts, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 800..2_500;
/// How long writes of texts get no answer, in milliseconds: one or two saves.
const LOST_MS: std::ops::Range<u64> = 300..900;
/// Time between two gateways that end, in milliseconds: a few saves.
const END_GAP_MS: std::ops::Range<u64> = 300..1_800;
/// Maximum number of gateways that end after a series of late writes.
const MAX_ENDS: u32 = 4;

/// Returns series of late writes of texts, each followed by gateways that are stopped or killed.
fn draw_late_writes(options: &Options) -> Vec<PlannedFault> {
    let mut rng = Pcg64::seed_from_u64(options.seed);
    let draw_ms = |rng: &mut Pcg64, range| Duration::from_millis(rng.random_range(range));
    let mut plan = Vec::new();
    let mut at = draw_ms(&mut rng, LATE_MS);
    while at < options.time {
        let late = draw_ms(&mut rng, LATE_MS);
        let duration = draw_ms(&mut rng, LOST_MS);
        let fault = if rng.random_bool(0.7) {
            Fault::LateTexts(late, duration)
        } else {
            let faults = Faults {
                lose: 8,
                late,
                ..Faults::default()
            };
            Fault::Store(faults, duration)
        };
        plan.push(PlannedFault { at, fault });
        at += late;
        for _ in 0..rng.random_range(1..=MAX_ENDS) {
            at += draw_ms(&mut rng, END_GAP_MS);
            let n = rng.random_range(0..options.processes);
            let fault = if rng.random_bool(0.7) {
                Fault::Stop(n)
            } else {
                Fault::Kill(n)
            };
            plan.push(PlannedFault { at, fault });
        }
        at += draw_ms(&mut rng, END_GAP_MS);
    }
    plan
}

/// Number of kinds of faults that strike engines in series.
const SERIES_KINDS: u32 = 9;

fn draw_engine_fault(rng: &mut Pcg64, kind: u32, engine: usize) -> Fault {
    let mut draw_ms = |range| Duration::from_millis(rng.random_range(range));
    let duration = draw_ms(100..MAX_FAULT_MS);
    match kind {
        0 => Fault::CutEndpoint(engine),
        1 => Fault::Garble(engine),
        2 => Fault::SilenceEndpoint(engine, Direction::Back),
        3 => Fault::Crash(engine, CrashMode::ProcessExit),
        4 => Fault::Crash(engine, CrashMode::PowerLoss),
        5 => Fault::Replace(engine, draw_ms(DRAIN_MS)),
        6 => Fault::Withdraw(engine, draw_ms(DRAIN_MS)),
        7 => Fault::SlowLoads(engine, draw_ms(SLOW_LOAD_MS), duration),
        _ => Fault::DelayEndpoint(engine, draw_ms(ENDPOINT_DELAY_MS), duration),
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
