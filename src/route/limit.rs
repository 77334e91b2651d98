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
const START: f64 = 8.0;
/// An endpoint that returns begins with one call: it may be ejected again.
const TRIAL: f64 = 1.0;
/// Answers in a window, at least, and for each call of the limit: enough that
/// a window is longer than one call.
const WINDOW: u32 = 8;
const WINDOW_PART: u32 = 4;
/// What earlier windows weigh: five of them count, 100 answers or more, whose
/// sum strays by 10 per cent when times are exponential. After the limit grew
/// they were held down by the lower one and weigh less.
const KEEP: f64 = 0.8;
const KEEP_GROWN: f64 = 0.3;
/// Growth by more than this makes earlier windows weigh less.
const GROWN: f64 = 1.05;
/// What is kept above the throughput: covers an error of a fifth in what a call
/// takes, below which the limit would shrink on and on.
const HEADROOM: f64 = 1.25;
/// The same while nothing is known of calls that met few others: what the first
/// calls of a saturated service take is less than the mean, as the short ones
/// end first, and a limit that doesn't grow past that error stays where it is.
const FIRST_HEADROOM: f64 = 1.6;
/// One more, so that a worker doesn't idle for a round trip between calls.
const SPARE: f64 = 1.0;
/// A window counts as full if so many of its calls met the limit.
const FULL: f64 = 0.8;
/// A window counts if so much of its work at most is of calls of which little
/// is known: a class that seldom comes must not hold the limit where it is.
const UNSURE: f64 = 0.25;
/// Samples of the pace that are averaged: strays by 6 per cent.
const PACE: u32 = 256;
/// Until there are as many, an endpoint is taken for one like its peers: the
/// first answers alone would set its pace anywhere from a third to triple.
const PACE_PRIOR: u32 = 64;
/// So much of the limit counts as few others. A limit that has run up to four
/// times the capacity still finds calls that didn't wait, and comes down.
const FEW: f64 = 0.25;
/// The limit falls to few after so long without a call that met few others, and
/// after so many service times, for so many calls: costs under 1 per cent.
const PROBE: (Duration, u32) = (Duration::from_secs(10), 400);
/// The same while nothing is known of calls that met few others: an entry that
/// starts under saturation must soon learn how much the endpoints can do.
const FIRST_PROBE: (Duration, u32) = (Duration::from_secs(1), 20);
const PROBED: u32 = 8;
/// After a refusal for lack of room nothing is sent for this long: other
/// entries fill the endpoint, and a refusal costs each a round trip.
const COOL: Duration = Duration::from_millis(20);

/// An answer as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) took: Duration,
    /// What such calls take without load, in seconds.
    pub(super) usual: f64,
    /// Attempts of ours that ran there, this one included.
    pub(super) running: u32,
    /// Whether it met few others when it started.
    pub(super) alone: bool,
    /// Whether `usual` is known well.
    pub(super) sure: bool,
    /// Whether it comes from calls that met few others.
    pub(super) settled: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    most: f64,
    now: f64,
    /// What calls take here without load, over what they usually take.
    pace: f64,
    paced: u32,
    work: f64,
    since: Option<Instant>,
    count: u32,
    full: u32,
    /// Work of calls of which it isn't known well what they take.
    unsure: f64,
    /// Whether that of some of them comes from calls that met few others.
    settled: bool,
    /// Faded sums of the work and the seconds of full windows.
    done: f64,
    time: f64,
    probe: u32,
    probed: Option<Instant>,
    cool: Option<Instant>,
}

impl Limit {
    pub(super) fn new(most: u32) -> Self {
        let most = f64::from(most.max(1));
        Self {
            most,
            now: START.min(most),
            pace: 1.0,
            paced: PACE_PRIOR,
            work: 0.0,
            since: None,
            count: 0,
            full: 0,
            unsure: 0.0,
            settled: false,
            done: 0.0,
            time: 0.0,
            probe: 0,
            probed: None,
            cool: None,
        }
    }

    pub(super) fn get(&self) -> u32 {
        if self.probe > 0 {
            return ceil_to_u32(self.now * FEW);
        }
        ceil_to_u32(self.now)
    }

    /// Says whether a call with `running` others has the endpoint nearly for
    /// itself.
    pub(super) fn few(&self, running: u32) -> bool {
        f64::from(running) <= (self.now * FEW).max(1.0)
    }

    pub(super) fn cooling(&self, now: Instant) -> Option<Instant> {
        self.cool.filter(|until| *until > now)
    }

    /// Starts again from one call.
    pub(super) fn restart(&mut self) {
        *self = Self {
            most: self.most,
            now: TRIAL,
            pace: self.pace,
            paced: self.paced,
            ..Self::new(1)
        };
    }

    /// Takes in what the endpoint's side says that it takes at once.
    pub(super) fn bound(&mut self, most: u32) {
        if most > 0 {
            let raised = f64::from(most) > self.most;
            self.most = f64::from(most);
            self.now = self.now.min(self.most);
            if raised {
                // What was measured under the lower bound says nothing of more
                // than that, and an operator who raises it would see no effect.
                self.now = self.now.max(START.min(self.most));
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
    pub(super) fn engine(&mut self, running: u32, queued: u32) {
        if queued == 0 {
            let running = f64::from(running);
            let free = (self.most - running).max(0.0);
            let room = (running + free / 2.0 + START).min(self.most);
            self.now = self.now.max(room);
        }
    }

    /// Takes in a refusal for lack of room, with `running` of ours left there.
    pub(super) fn refused(&mut self, now: Instant, running: u32) {
        self.cool = Some(now + COOL);
        self.now = f64::from(running).clamp(1.0, self.now);
        self.done = 0.0;
        self.time = 0.0;
    }

    pub(super) fn sample(&mut self, now: Instant, sample: &Sample) {
        let limit = self.get();
        // Whether it still met few when it ended must not count: the calls that
        // end before others come are the short ones.
        if sample.alone && sample.sure {
            let ratio = sample.took.as_secs_f64() / sample.usual;
            self.paced = (self.paced + 1).min(PACE);
            self.pace += (ratio - self.pace) / f64::from(self.paced);
            self.probed = Some(now);
            self.probe = self.probe.saturating_sub(1);
        }
        self.work += sample.usual * self.pace;
        self.count += 1;
        if !sample.sure {
            self.unsure += sample.usual * self.pace;
        }
        self.settled |= sample.settled;
        self.full += u32::from(sample.running + 1 >= limit);
        if self.count >= WINDOW.max(limit * WINDOW_PART) {
            self.close(now);
        }
    }

    fn close(&mut self, now: Instant) {
        let full = f64::from(self.full) >= FULL * f64::from(self.count);
        let probing = self.probe > 0;
        let sure = self.unsure <= UNSURE * self.work;
        let settled = self.settled;
        let span = self.since.map(|since| now - since);
        let work = self.work;
        let mean = seconds(work / f64::from(self.count));
        self.clear(now);
        let Some(span) = span.filter(|span| !span.is_zero() && !probing) else {
            return;
        };
        if full && !sure {
            self.plan_probe(now, mean, settled);
        } else if full {
            self.done += work;
            self.time += span.as_secs_f64();
            self.set(settled);
            self.plan_probe(now, mean, settled);
        }
    }

    fn set(&mut self, settled: bool) {
        let headroom = if settled { HEADROOM } else { FIRST_HEADROOM };
        let target = self.done / self.time * headroom + SPARE;
        let keep = if target > self.now * GROWN {
            KEEP_GROWN
        } else {
            KEEP
        };
        self.done *= keep;
        self.time *= keep;
        self.now = target.clamp(1.0, self.most);
    }

    fn plan_probe(&mut self, now: Instant, took: Duration, settled: bool) {
        let (pause, calls) = if settled { PROBE } else { FIRST_PROBE };
        let pause = pause.max(took * calls);
        if *self.probed.get_or_insert(now) + pause <= now {
            self.probe = PROBED;
            self.probed = Some(now);
        }
    }

    fn clear(&mut self, now: Instant) {
        self.work = 0.0;
        self.since = Some(now);
        self.count = 0;
        self.full = 0;
        self.unsure = 0.0;
        self.settled = false;
    }
}
