//! Concurrency limit of one endpoint.
//!
//! The limit is the throughput of the endpoint while it is kept full, times the
//! service time without load (Little's law), plus some headroom. Below the
//! endpoint's capacity the throughput follows the limit, which therefore grows;
//! above it the throughput stays, and so does the limit.
//!
//! The service time without load is learned from calls at low load. Under
//! lasting saturation there are none, so the limit is lowered for a few calls
//! at intervals (a probe).

use crate::route::{decay::ceil_to_u32, retry_after::seconds};
use std::time::{Duration, Instant};

/// Limit of a new endpoint: keeps some workers busy without a full batch on a
/// cold cache.
const INITIAL_LIMIT: f64 = 8.0;
/// Limit after an ejection.
const TRIAL_LIMIT: f64 = 1.0;
/// Minimum answers in a window, so that a window is longer than one call at a small limit.
const MIN_WINDOW_ANSWERS: u32 = 8;
/// Answers in a window per slot of the limit, so that a window is longer than one
/// call.
const WINDOW_ANSWERS_PER_SLOT: u32 = 4;
/// Factor by which the weight of earlier windows decays with each window. About five windows
/// count; the sum of their answers varies by a tenth with exponential service times.
const WINDOW_DECAY: f64 = 0.8;
/// The same after growth, as the lower limit held the earlier windows down.
const WINDOW_DECAY_GROWN: f64 = 0.3;
/// Growth of the limit from which `WINDOW_DECAY_GROWN` applies.
const GROWTH_THRESHOLD: f64 = 1.05;
/// Factor on the limit that covers an underestimated service time, which would
/// otherwise make the limit shrink with each window.
const HEADROOM: f64 = 1.25;
/// Headroom while there were too few calls at low load. The first calls of a
/// saturated service to end are the short ones, so their mean is too low.
const INITIAL_HEADROOM: f64 = 1.6;
/// Extra calls, so that workers don't idle for a round trip between two calls.
const EXTRA_SLOTS: f64 = 1.0;
/// Share of a window's answers that must have met the limit for it to count as
/// full.
const MIN_FULL_SHARE: f64 = 0.8;
/// Share of a window's work that may come from unreliable estimates, so that a
/// rare class does not freeze the limit.
const MAX_UNRELIABLE_SHARE: f64 = 0.25;
/// Samples that count in the moving average of the unloaded ratio.
const MAX_RATIO_SAMPLES: u32 = 256;
/// Weight, in samples, of the assumption that a new endpoint is as fast as its
/// peers, because the first answers alone vary too much.
const PRIOR_RATIO_SAMPLES: u32 = 64;
/// Share of the limit up to which the load is low. A limit of up to four times the capacity
/// still finds calls that did not wait, and comes down.
const LOW_LOAD_SHARE: f64 = 0.25;
/// Time without a call at low load, and the same in service times, after both of
/// which the limit is lowered for a probe. Probes then cost less than 1 % of the calls.
const PROBE_INTERVAL: (Duration, u32) = (Duration::from_secs(10), 400);
/// The same while there were too few calls at low load, so that an entry that
/// starts under saturation soon learns the unloaded service time.
const INITIAL_PROBE_INTERVAL: (Duration, u32) = (Duration::from_secs(1), 20);
/// Calls at low load after which a probe ends.
const PROBE_CALLS: u32 = 8;
/// Pause in sending after the endpoint refused a call for lack of room: other entries fill it,
/// and each refusal costs a round trip.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);

/// One answer, as input of the limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) elapsed: Duration,
    /// Service time of such calls without load, in seconds.
    pub(super) unloaded: f64,
    /// Attempts of this entry that ran there, this one included.
    pub(super) running: u32,
    /// Whether the endpoint was at low load when the call started.
    pub(super) low_load: bool,
    /// Whether `unloaded` is a reliable estimate.
    pub(super) reliable: bool,
    /// Whether `unloaded` comes from calls at low load.
    pub(super) from_low_load: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    max: f64,
    current: f64,
    /// Service time here without load, relative to that of all endpoints.
    unloaded_ratio: f64,
    ratio_samples: u32,
    work: f64,
    window_start: Option<Instant>,
    answers: u32,
    full_answers: u32,
    /// Part of `work` that comes from unreliable estimates.
    unreliable_work: f64,
    /// Whether any estimate in the window comes from calls at low load.
    from_low_load: bool,
    /// Decayed sums of the work and the length of full windows, in seconds.
    recent_work: f64,
    recent_secs: f64,
    probe_left: u32,
    last_probe: Option<Instant>,
    backoff_until: Option<Instant>,
}

impl ConcurrencyLimit {
    pub(super) fn new(max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self {
            max,
            current: INITIAL_LIMIT.min(max),
            unloaded_ratio: 1.0,
            ratio_samples: PRIOR_RATIO_SAMPLES,
            work: 0.0,
            window_start: None,
            answers: 0,
            full_answers: 0,
            unreliable_work: 0.0,
            from_low_load: false,
            recent_work: 0.0,
            recent_secs: 0.0,
            probe_left: 0,
            last_probe: None,
            backoff_until: None,
        }
    }

    pub(super) fn get(&self) -> u32 {
        if self.probe_left > 0 {
            return ceil_to_u32(self.current * LOW_LOAD_SHARE);
        }
        ceil_to_u32(self.current)
    }

    /// Returns whether `running` calls are a low load.
    pub(super) fn is_low_load(&self, running: u32) -> bool {
        f64::from(running) <= (self.current * LOW_LOAD_SHARE).max(1.0)
    }

    pub(super) fn backoff_until(&self, now: Instant) -> Option<Instant> {
        self.backoff_until.filter(|until| *until > now)
    }

    /// Stops new calls until an instant; the limit is kept.
    pub(super) fn back_off(&mut self, until: Instant) {
        self.backoff_until = Some(until);
    }

    /// Resets the limit to one call; the unloaded ratio is kept.
    pub(super) fn restart(&mut self) {
        *self = Self {
            max: self.max,
            current: TRIAL_LIMIT,
            unloaded_ratio: self.unloaded_ratio,
            ratio_samples: self.ratio_samples,
            ..Self::new(1)
        };
    }

    /// Sets the maximum that the endpoint's sidecar reports; 0 means unknown.
    pub(super) fn set_max(&mut self, max: u32) {
        if max > 0 {
            let raised = f64::from(max) > self.max;
            self.max = f64::from(max);
            self.current = self.current.min(self.max);
            if raised {
                // The limit learned under the old maximum is no estimate for the
                // new one.
                self.current = self.current.max(INITIAL_LIMIT.min(self.max));
            }
        }
    }

    /// Raises the limit by what a batching engine reports of its load.
    ///
    /// Windows of long calls take too long to find the limit of an engine after
    /// the entry's start. While no call waits inside the engine, the limit is
    /// raised by half of its free capacity; the rest is left for other entries
    /// with the same report.
    pub(super) fn record_engine_load(&mut self, running: u32, queued: u32) {
        if queued == 0 {
            let running = f64::from(running);
            let free = (self.max - running).max(0.0);
            let limit = (running + free / 2.0 + INITIAL_LIMIT).min(self.max);
            self.current = self.current.max(limit);
        }
    }

    /// Lowers the limit to `running`, the attempts of this entry that are left
    /// there, after a refusal for lack of room.
    pub(super) fn record_refusal(&mut self, now: Instant, running: u32) {
        self.backoff_until = Some(now + REFUSAL_BACKOFF);
        self.current = f64::from(running).clamp(1.0, self.current);
        self.recent_work = 0.0;
        self.recent_secs = 0.0;
    }

    pub(super) fn record(&mut self, now: Instant, sample: &Sample) {
        let limit = self.get();
        // The load at the end of the call must not count: calls that end before
        // others arrive are the short ones.
        if sample.low_load && sample.reliable {
            let ratio = sample.elapsed.as_secs_f64() / sample.unloaded;
            self.ratio_samples = (self.ratio_samples + 1).min(MAX_RATIO_SAMPLES);
            self.unloaded_ratio += (ratio - self.unloaded_ratio) / f64::from(self.ratio_samples);
            self.last_probe = Some(now);
            self.probe_left = self.probe_left.saturating_sub(1);
        }
        self.work += sample.unloaded * self.unloaded_ratio;
        self.answers += 1;
        if !sample.reliable {
            self.unreliable_work += sample.unloaded * self.unloaded_ratio;
        }
        self.from_low_load |= sample.from_low_load;
        self.full_answers += u32::from(sample.running + 1 >= limit);
        if self.answers >= MIN_WINDOW_ANSWERS.max(limit * WINDOW_ANSWERS_PER_SLOT) {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: Instant) {
        let full = f64::from(self.full_answers) >= MIN_FULL_SHARE * f64::from(self.answers);
        let probing = self.probe_left > 0;
        let reliable = self.unreliable_work <= MAX_UNRELIABLE_SHARE * self.work;
        let from_low_load = self.from_low_load;
        let elapsed = self.window_start.map(|window_start| now - window_start);
        let work = self.work;
        let mean = seconds(work / f64::from(self.answers));
        self.start_window(now);
        let Some(elapsed) = elapsed.filter(|elapsed| !elapsed.is_zero() && !probing) else {
            return;
        };
        if full && !reliable {
            self.schedule_probe(now, mean, from_low_load);
        } else if full {
            self.recent_work += work;
            self.recent_secs += elapsed.as_secs_f64();
            self.update(from_low_load);
            self.schedule_probe(now, mean, from_low_load);
        }
    }

    fn update(&mut self, from_low_load: bool) {
        let headroom = if from_low_load {
            HEADROOM
        } else {
            INITIAL_HEADROOM
        };
        let target = self.recent_work / self.recent_secs * headroom + EXTRA_SLOTS;
        let decay = if target > self.current * GROWTH_THRESHOLD {
            WINDOW_DECAY_GROWN
        } else {
            WINDOW_DECAY
        };
        self.recent_work *= decay;
        self.recent_secs *= decay;
        self.current = target.clamp(1.0, self.max);
    }

    fn schedule_probe(&mut self, now: Instant, mean: Duration, from_low_load: bool) {
        let (interval, calls) = if from_low_load {
            PROBE_INTERVAL
        } else {
            INITIAL_PROBE_INTERVAL
        };
        let interval = interval.max(mean * calls);
        if *self.last_probe.get_or_insert(now) + interval <= now {
            self.probe_left = PROBE_CALLS;
            self.last_probe = Some(now);
        }
    }

    fn start_window(&mut self, now: Instant) {
        self.work = 0.0;
        self.window_start = Some(now);
        self.answers = 0;
        self.full_answers = 0;
        self.unreliable_work = 0.0;
        self.from_low_load = false;
    }
}
