//! How many calls one endpoint gets at once.
//!
//! The limit follows latency: calls that wait inside an endpoint wait where
//! nobody can reorder, expire or move them, so the queue belongs here. Windows
//! of answers are compared with the best window. While latency holds, the
//! limit grows; when it rises with the load, the limit falls to what ran
//! without waiting (Little's law). If a cut doesn't bring latency down, the
//! work itself has become slower, and what it takes now is the new base: a
//! limit that went by the old one would fall to nothing.
//!
//! Weighed against a gradient of throughput: it needs no base, but two windows
//! of throughput differ by more than the effect looked for. Latency is divided
//! by what each call's class and size takes, so that a run of long calls
//! isn't taken for a queue.

use crate::route::meter::ceil;
use std::time::{Duration, Instant};

/// A new endpoint's limit: enough that four workers are busy from the start,
/// little enough that a cold cache isn't met by a full batch.
const START: f64 = 8.0;
/// An endpoint that returns begins with one call and doubles.
const TRIAL: f64 = 1.0;
/// Answers in a window, at least: the mean of 32 exponential times is off by
/// 18 per cent, well below the thresholds.
const WINDOW: u32 = 32;
/// Windows of a returned or new endpoint are this short: it is watched anyway.
const RAMP_WINDOW: u32 = 4;
/// Latency above the base by this much is a queue; below `CALM` there is none.
const QUEUED: f64 = 1.6;
const CALM: f64 = 1.3;
/// What is kept above the concurrency that ran without waiting, so that the
/// next call is there when one ends.
const HEADROOM: f64 = 1.15;
/// Weight at which the base rises to a window that isn't queued.
const EASE: f64 = 0.05;
/// After a refusal for lack of room nothing is sent for this long: other
/// entries fill the endpoint, and a refusal costs each a round trip.
const COOL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
struct Cut {
    mean: f64,
    limit: f64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    most: f64,
    now: f64,
    base: Option<f64>,
    sum: f64,
    load: f64,
    count: u32,
    full: bool,
    ramp: bool,
    cut: Option<Cut>,
    cool: Option<Instant>,
}

impl Limit {
    pub(super) fn new(most: u32) -> Self {
        let most = f64::from(most.max(1));
        Self {
            most,
            now: START.min(most),
            base: None,
            sum: 0.0,
            load: 0.0,
            count: 0,
            full: false,
            ramp: true,
            cut: None,
            cool: None,
        }
    }

    pub(super) fn get(&self) -> u32 {
        ceil(self.now)
    }

    /// Notes that the limit was reached; only then does it grow.
    pub(super) fn reach(&mut self) {
        self.full = true;
    }

    pub(super) fn cooling(&self, now: Instant) -> Option<Instant> {
        self.cool.filter(|until| *until > now)
    }

    /// Starts again from one call.
    pub(super) fn restart(&mut self) {
        self.now = TRIAL;
        self.ramp = true;
        self.clear();
    }

    /// Takes in what the endpoint's side says that it takes at once.
    pub(super) fn bound(&mut self, most: u32) {
        if most > 0 {
            self.most = f64::from(most);
            self.now = self.now.min(self.most);
        }
    }

    /// Takes in a refusal for lack of room, with `running` of ours left there.
    pub(super) fn refused(&mut self, now: Instant, running: u32) {
        self.cool = Some(now + COOL);
        self.now = f64::from(running).clamp(1.0, self.now);
        self.ramp = false;
    }

    /// Takes in that `queued` of `running` calls waited inside the endpoint.
    pub(super) fn waited(&mut self, queued: u32, running: u32) {
        if queued > 0 && self.full {
            let kept = f64::from(running.saturating_sub(queued)) * HEADROOM;
            self.now = (self.now * 0.5).max(kept.clamp(1.0, self.now));
            self.ramp = false;
        }
    }

    /// Takes in an answer: its latency over what it takes, and how many of
    /// ours ran there with it.
    pub(super) fn sample(&mut self, slow: f64, running: u32) {
        self.sum += slow;
        self.load += f64::from(running);
        self.count += 1;
        let window = if self.ramp { RAMP_WINDOW } else { WINDOW };
        if self.count >= window.max(self.get()) {
            self.close();
        }
    }

    fn close(&mut self) {
        let mean = self.sum / f64::from(self.count);
        let load = self.load / f64::from(self.count);
        let base = self.base.unwrap_or(mean);
        let ratio = mean / base;
        if let Some(cut) = self.cut.take()
            && mean > cut.mean * 0.5 * (1.0 + self.now / cut.limit)
        {
            self.base = Some(mean);
            self.now = cut.limit;
            self.clear();
            return;
        }
        if ratio > QUEUED && self.full {
            self.ramp = false;
            self.cut = Some(Cut {
                mean,
                limit: self.now,
            });
            self.now = (load / ratio * HEADROOM).clamp(1.0, self.now);
        } else if ratio < CALM && self.full {
            let step = if self.ramp {
                self.now
            } else {
                (self.now / 16.0).max(0.5)
            };
            self.now = (self.now + step).min(self.most);
        }
        self.base = Some(if mean < base {
            0.5 * (base + mean)
        } else if ratio < CALM {
            base + EASE * (mean - base)
        } else {
            base
        });
        self.clear();
    }

    fn clear(&mut self) {
        self.sum = 0.0;
        self.load = 0.0;
        self.count = 0;
        self.full = false;
    }
}
