//! Open-loop load: calls are sent at the times set for them.
//!
//! A slow answer doesn't hold back the next call, and latency counts from the
//! time that was set, so that what the load can't send in time isn't left out
//! of the figures (coordinated omission).

use crate::{
    caller::{Call, Caller, Outcome},
    interrupt::Interrupt,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// Sleeping is exact to this much; the rest is waited for actively.
const COARSE: Duration = Duration::from_micros(100);

/// A call and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedCall {
    /// The call.
    pub call: Call,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Counts that can be read while the load runs.
#[derive(Debug, Default)]
pub struct Counters {
    /// Calls that have ended.
    pub ended: AtomicUsize,
}

/// Draws the times of random arrivals at `rate` a second.
#[must_use]
pub fn arrivals(rate: f64, time: Duration, seed: u64) -> Vec<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / rate;
        if at >= time.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Makes all calls with `workers` threads, and returns them as they ended.
///
/// If all workers are busy, a call is sent late; its latency shows that.
#[must_use]
pub fn run(
    mut calls: Vec<Call>,
    workers: usize,
    counters: &Arc<Counters>,
    interrupt: &Interrupt,
) -> Vec<CompletedCall> {
    calls.sort_by_key(|call| call.at);
    let queue = Mutex::new(VecDeque::from(calls));
    let made = Mutex::new(Vec::new());
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| work(&queue, &made, start, counters, interrupt));
        }
    });
    made.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn work(
    queue: &Mutex<VecDeque<Call>>,
    made: &Mutex<Vec<CompletedCall>>,
    start: Instant,
    counters: &Counters,
    interrupt: &Interrupt,
) {
    let caller = Caller::default();
    let mut own = Vec::new();
    while !interrupt.is_requested() {
        let next = queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front();
        let Some(call) = next else { break };
        let due = start + call.at;
        wait(due, interrupt);
        if interrupt.is_requested() {
            break;
        }
        let outcome = caller.run(&call, due);
        counters.ended.fetch_add(1, Ordering::Relaxed);
        own.push(CompletedCall { call, outcome });
    }
    made.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .append(&mut own);
}

fn wait(due: Instant, interrupt: &Interrupt) {
    interrupt.sleep_until(due.checked_sub(COARSE).unwrap_or(due));
    while Instant::now() < due && !interrupt.is_requested() {
        thread::yield_now();
    }
}
