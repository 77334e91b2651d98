//! How many calls one endpoint gets at once.
//!
//! Calls that wait inside an endpoint wait where nobody can reorder, expire or
//! move them, so the queue belongs here. The limit is what the endpoint gets
//! done without waiting: its throughput while it is kept full, times what a
//! call takes there without load (Little's law), and a little more. Below the
//! endpoint's capacity the throughput follows the limit, which therefore
//! grows; above it the throughput stays, and so does the limit.
//!
//! What a call takes without load is learned from calls that met few others.
//! Under lasting saturation there are none, so now and then the limit is
//! lowered for a few calls.
//!
//! Weighed and tried: comparing the latency of a window of answers with that
//! of the best window. With exponential service times the best window lies far
//! below the mean, ordinary ones then pass for queues, and 15 per cent of the
//! capacity stayed unused at saturation.

use crate::route::{drain::seconds, meter::ceil_to_u32};
use std::time::{Duration, Instant};

/// A new endpoint's limit: enough that four workers are busy from the start,
/// little enough that a cold cache isn't met by a full batch.
const INITIAL_LIMIT: f64 = 8.0;
/// An endpoint that returns begins with one call: it may be ejected again.
const TRIAL_LIMIT: f64 = 1.0;
/// Answers in a window, at least, and for each call of the limit: enough that
/// a window is longer than one call.
const MIN_WINDOW_ANSWERS: u32 = 8;
const WINDOW_ANSWERS_PER_SLOT: u32 = 4;
/// What earlier windows weigh: five of them count, 100 answers or more, whose
/// sum strays by 10 per cent when times are exponential. After the limit grew
/// they were held down by the lower one and weigh less.
const WINDOW_DECAY: f64 = 0.8;
const WINDOW_DECAY_GROWN: f64 = 0.3;
/// Growth by more than this makes earlier windows weigh less.
const GROWTH_THRESHOLD: f64 = 1.05;
/// What is kept above the throughput: covers an error of a fifth in what a call
/// takes, below which the limit would shrink on and on.
const HEADROOM: f64 = 1.25;
/// The same while nothing is known of calls that met few others: what the first
/// calls of a saturated service take is less than the mean, as the short ones
/// end first, and a limit that doesn't grow past that error stays where it is.
const INITIAL_HEADROOM: f64 = 1.6;
/// One more, so that a worker doesn't idle for a round trip between calls.
const EXTRA_SLOTS: f64 = 1.0;
/// A window counts as full if so many of its calls met the limit.
const MIN_FULL_SHARE: f64 = 0.8;
/// A window counts if so much of its work at most is of calls of which little
/// is known: a class that seldom comes must not hold the limit where it is.
const MAX_UNRELIABLE_SHARE: f64 = 0.25;
/// Samples of the pace that are averaged: strays by 6 per cent.
const MAX_RATIO_SAMPLES: u32 = 256;
/// Until there are as many, an endpoint is taken for one like its peers: the
/// first answers alone would set its pace anywhere from a third to triple.
const PRIOR_RATIO_SAMPLES: u32 = 64;
/// So much of the limit counts as few others. A limit that has run up to four
/// times the capacity still finds calls that didn't wait, and comes down.
const LOW_LOAD_SHARE: f64 = 0.25;
/// The limit falls to few after so long without a call that met few others, and
/// after so many service times, for so many calls: costs under 1 per cent.
const PROBE_INTERVAL: (Duration, u32) = (Duration::from_secs(10), 400);
/// The same while nothing is known of calls that met few others: an entry that
/// starts under saturation must soon learn how much the endpoints can do.
const INITIAL_PROBE_INTERVAL: (Duration, u32) = (Duration::from_secs(1), 20);
const PROBE_CALLS: u32 = 8;
/// After a refusal for lack of room nothing is sent for this long: other
/// entries fill the endpoint, and a refusal costs each a round trip.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);

/// An answer as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) elapsed: Duration,
    /// What such calls take without load, in seconds.
    pub(super) unloaded: f64,
    /// Attempts of ours that ran there, this one included.
    pub(super) running: u32,
    /// Whether it met few others when it started.
    pub(super) low_load: bool,
    /// Whether `usual` is known well.
    pub(super) reliable: bool,
    /// Whether it comes from calls that met few others.
    pub(super) from_low_load: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    max: f64,
    current: f64,
    /// What calls take here without load, over what they usually take.
    unloaded_ratio: f64,
    ratio_samples: u32,
    work: f64,
    window_start: Option<Instant>,
    answers: u32,
    full_answers: u32,
    /// Work of calls of which it isn't known well what they take.
    unreliable_work: f64,
    /// Whether that of some of them comes from calls that met few others.
    from_low_load: bool,
    /// Faded sums of the work and the seconds of full windows.
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

    /// Says whether a call with `running` others has the endpoint nearly for
    /// itself.
    pub(super) fn is_low_load(&self, running: u32) -> bool {
        f64::from(running) <= (self.current * LOW_LOAD_SHARE).max(1.0)
    }

    pub(super) fn backoff_until(&self, now: Instant) -> Option<Instant> {
        self.backoff_until.filter(|until| *until > now)
    }

    /// Starts again from one call.
    pub(super) fn restart(&mut self) {
        *self = Self {
            max: self.max,
            current: TRIAL_LIMIT,
            unloaded_ratio: self.unloaded_ratio,
            ratio_samples: self.ratio_samples,
            ..Self::new(1)
        };
    }

    /// Takes in what the endpoint's side says that it takes at once.
    pub(super) fn set_max(&mut self, max: u32) {
        if max > 0 {
            let raised = f64::from(max) > self.max;
            self.max = f64::from(max);
            self.current = self.current.min(self.max);
            if raised {
                // What was measured under the lower bound says nothing of more
                // than that, and an operator who raises it would see no effect.
                self.current = self.current.max(INITIAL_LIMIT.min(self.max));
            }
        }
    }

    /// Takes in what a batching engine reports: what it works on, and what waits
    /// in it.
    ///
    /// Made for an entry that has just started before engines whose calls take
    /// seconds: a window of such calls lasts ten seconds and more, and meanwhile
    /// callers waited here before engines that were nearly idle (64 streams got
    /// their first token after 2.2 s in the median and 11 s at worst, where the
    /// engine alone needs 16 ms). An engine knows how much it can work on at once
    /// and whether anything waits in it. While nothing does, it may get half of
    /// what it has free: the other half is for other entries, who have the same
    /// report, and for what was sent since. Once something waits, windows alone
    /// decide.
    pub(super) fn record_engine_load(&mut self, running: u32, queued: u32) {
        if queued == 0 {
            let running = f64::from(running);
            let free = (self.max - running).max(0.0);
            let limit = (running + free / 2.0 + INITIAL_LIMIT).min(self.max);
            self.current = self.current.max(limit);
        }
    }

    /// Takes in a refusal for lack of room, with `running` of ours left there.
    pub(super) fn record_refusal(&mut self, now: Instant, running: u32) {
        self.backoff_until = Some(now + REFUSAL_BACKOFF);
        self.current = f64::from(running).clamp(1.0, self.current);
        self.recent_work = 0.0;
        self.recent_secs = 0.0;
    }

    pub(super) fn record(&mut self, now: Instant, sample: &Sample) {
        let limit = self.get();
        // Whether it still met few when it ended must not count: the calls that
        // end before others come are the short ones.
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
