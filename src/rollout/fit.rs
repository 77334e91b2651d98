//! Fits items to engines of unequal speed by when they are expected to end.
//!
//! The load: a quarter of a service's engines emits events more than twice as fast as the others,
//! hosts are slowed by other users for 600 ms at a time, one text in twelve is about five times as
//! long as the others, and a trainer needs nine tenths of the groups of a step by its due time.
//! An item whose text may not be complete in time at a slower engine takes the engine with the
//! earliest expected end. An item that surely fits leaves the fast engines to those, as long as
//! other engines have free slots; nothing waits while an engine has a free slot.
//!
//! Lengths come from hints, which are inexact. The margin is a trade-off: a wide one fills the
//! fast engines with items that don't need them, a narrow one starts long texts at engines that
//! they have to leave. A run moves when the same margin no longer fits the time that is left, or
//! when its text has outgrown its hint and the maximum doesn't fit, but only to an engine with
//! room that ends it clearly earlier by its natural pace. It doesn't come back, because the
//! slower engine is never the earlier one.
//!
//! An engine's natural pace, which includes the average disturbance of its host, holds for the
//! whole run. Its current slowness counts only for as long as a disturbance lasts, so a false or
//! late report changes an expected end by less than a second.

use std::time::{Duration, Instant};

/// Longest use of a report of the current slowness: disturbances of shared hosts change within
/// this time.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(600);
/// An engine is fast if its pace is at most this share of the median. Equal engines differ by a
/// third at most.
const FAST_RATIO: f64 = 0.7;
/// A text is assumed to have at most this many times the hinted events: hints are off by a factor
/// of up to 1.6, and some by more.
const HINT_MARGIN: f64 = 2.5;
/// A text with this many times the hinted events shows that its hint was wrong.
const OVERRUN_MARGIN: f64 = 1.6;
/// Expected rest of a text that has outgrown its hint, as a share of the events so far.
const OVERRUN_REST: f64 = 0.25;
/// Time of an item outside its events: queue, prompt and scorer.
const FIXED_TIME: Duration = Duration::from_millis(400);
/// Time from leaving an engine to the next event elsewhere, which reads the text again.
const MOVE_TIME: Duration = Duration::from_millis(200);
/// Expected ends that differ by less than this factor are equal, because paces vary as much.
const EQUAL_FACTOR: f64 = 1.15;
/// A run moves if its rest takes at most this share of the time there, so that the gain
/// exceeds the error of the paces and the run doesn't come back.
const MOVE_GAIN: f64 = 0.75;
/// Shortest time after which the pace of a run tells more than disturbances of its host.
const MIN_RUN_TIME: Duration = Duration::from_millis(1_200);
/// One slot in this many of a fast engine is kept from items that fit elsewhere, for texts that
/// outgrow their hints.
const RESERVE_DIVISOR: u32 = 3;

/// The expected length of a whole text, in events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Length {
    /// The hinted length.
    pub expected: f64,
    /// The maximum length.
    pub max: f64,
}

/// What is left of a text, in events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rest {
    /// The expected rest.
    pub expected: f64,
    /// The rest that the margin for inexact hints allows for.
    pub worst: f64,
}

impl Length {
    /// Returns whether a text with `events` events is longer than its hint said.
    #[must_use]
    pub fn is_outgrown(self, events: u64) -> bool {
        events as f64 > self.expected * OVERRUN_MARGIN
    }

    /// Returns the rest of a text after `events` events.
    #[must_use]
    pub fn rest(self, events: u64) -> Rest {
        let made = events as f64;
        let rest_of = |length: f64| (length - made).max(1.0);
        let overrun = made * OVERRUN_REST;
        if self.is_outgrown(events) {
            let worst = (self.max - made).max(overrun);
            return Rest {
                expected: overrun,
                worst,
            };
        }
        Rest {
            expected: rest_of(self.expected).max(overrun.min(rest_of(self.max))),
            worst: rest_of((self.expected * HINT_MARGIN).min(self.max)),
        }
    }
}

/// The speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Seconds per event, averaged over disturbances.
    pub pace: f64,
    /// Factor by which events take longer than that at this moment.
    pub slowness: f64,
    /// How long the slowness is assumed to last, in seconds.
    pub window: f64,
}

impl Speed {
    /// Creates the speed of an engine whose current slowness is not known.
    #[must_use]
    pub const fn steady(pace: f64) -> Self {
        Self {
            pace,
            slowness: 1.0,
            window: 0.0,
        }
    }

    /// Returns the seconds that a number of events takes.
    #[must_use]
    pub fn seconds(self, events: f64) -> f64 {
        if self.window <= 0.0 {
            return events * self.pace;
        }
        let slow_pace = self.pace * self.slowness;
        if events * slow_pace <= self.window {
            return events * slow_pace;
        }
        self.window + (events - self.window / slow_pace) * self.pace
    }
}

/// A text to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task {
    /// What is left of it, if its length is known.
    pub(super) rest: Option<Rest>,
    /// Time until it is due, if it is.
    pub(super) left: Option<Duration>,
}

/// An engine with a free slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<K> {
    pub(super) key: K,
    pub(super) speed: Speed,
    pub(super) slots: u32,
    pub(super) free: u32,
}

impl<K> Candidate<K> {
    fn is_fast(&self, median: f64) -> bool {
        self.speed.pace <= median * FAST_RATIO
    }

    /// Returns whether the next item takes a slot of the reserve.
    const fn is_reserved(&self) -> bool {
        self.free <= self.slots / RESERVE_DIVISOR
    }
}

/// Chooses the engine for a text; `median` is the median pace of the service, and
/// `tie_breaker` orders engines that are equal in everything else.
pub(super) fn choose<K: Copy, T: Ord>(
    task: Task,
    median: f64,
    candidates: &[Candidate<K>],
    tie_breaker: impl Fn(K) -> T,
) -> Option<K> {
    let Some(rest) = task.rest else {
        // A text of unknown length may be long.
        return earliest(candidates.iter(), 1.0, tie_breaker);
    };
    let fits = |it: &&Candidate<K>| is_in_time(it.speed, rest.worst, task.left);
    let slower = candidates.iter().filter(|it| !it.is_fast(median));
    if let Some(key) = earliest(slower.filter(fits), rest.expected, &tie_breaker) {
        return Some(key);
    }
    // Slower engines are full; a text that would fit there leaves the reserve to others.
    let fits_slower = is_in_time(Speed::steady(median), rest.worst, task.left);
    let unreserved = candidates
        .iter()
        .filter(|it| fits_slower && !it.is_reserved());
    earliest(unreserved.filter(fits), rest.expected, &tie_breaker)
        .or_else(|| earliest(candidates.iter(), rest.expected, &tie_breaker))
}

/// Returns whether a text of `events` events is complete in time at an engine.
fn is_in_time(speed: Speed, events: f64, left: Option<Duration>) -> bool {
    left.is_none_or(|left| speed.seconds(events) + FIXED_TIME.as_secs_f64() <= left.as_secs_f64())
}

/// Returns the engine with the most free slots of those with the earliest expected end.
fn earliest<'a, K: Copy + 'a, T: Ord>(
    candidates: impl Iterator<Item = &'a Candidate<K>>,
    events: f64,
    tie_breaker: impl Fn(K) -> T,
) -> Option<K> {
    let ends: Vec<(f64, &Candidate<K>)> = candidates
        .map(|it| (it.speed.seconds(events), it))
        .collect();
    let best = ends.iter().map(|(end, _)| *end).min_by(f64::total_cmp)?;
    let equal = || ends.iter().filter(|(end, _)| *end <= best * EQUAL_FACTOR);
    let most_free = equal().map(|(_, it)| it.free).max()?;
    let freest = equal().filter(|(_, it)| it.free == most_free);
    freest
        .map(|(_, it)| it.key)
        .max_by_key(|key| tie_breaker(*key))
}

/// Why a run moves to another engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveReason {
    /// The engine is slower than its peers.
    Pace,
    /// The text has outgrown its hint, and its maximum doesn't fit the time that is left.
    Outgrown,
    /// The rest with the margin for inexact hints doesn't fit the time that is left: fast engines
    /// were full when the run started, or its engine is slower than expected.
    Late,
}

impl MoveReason {
    /// Returns the name for metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pace => "pace",
            Self::Outgrown => "outgrown",
            Self::Late => "late",
        }
    }
}

/// A run at an engine, so far.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Number of events of the text, those of earlier runs included.
    pub events: u64,
    /// Seconds per event of this run at the moment.
    pub pace: f64,
    /// Seconds per event over all of this run.
    pub mean_pace: f64,
    /// Time since the first event of this run.
    pub elapsed: Duration,
    /// The expected length of the text, if it is known.
    pub length: Option<Length>,
    /// When the step is due.
    pub due: Instant,
}

/// The assumed rest of a run that may be late at its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateRun {
    reason: MoveReason,
    /// Events of the rest.
    events: f64,
    /// Seconds of the rest.
    seconds: f64,
}

/// Returns the rest of a run at an engine with the speed `here` if that may not fit the time
/// `left` until it is due.
pub(super) fn late_run(progress: &Progress, left: Duration, here: Speed) -> Option<LateRun> {
    let length = progress.length?;
    let mut here = here;
    if progress.elapsed >= MIN_RUN_TIME {
        here.pace = here.pace.max(progress.mean_pace);
    }
    let events = length.rest(progress.events).worst;
    let reason = if length.is_outgrown(progress.events) {
        MoveReason::Outgrown
    } else {
        MoveReason::Late
    };
    let seconds = here.seconds(events);
    let run = LateRun {
        reason,
        events,
        seconds,
    };
    (!is_in_time(here, events, Some(left))).then_some(run)
}

impl LateRun {
    /// Returns why the run should go on at an engine with the speed `other`, if it should.
    pub(super) fn move_reason(self, other: Speed) -> Option<MoveReason> {
        let elsewhere = MOVE_TIME.as_secs_f64() + other.seconds(self.events);
        (elsewhere <= self.seconds * MOVE_GAIN).then_some(self.reason)
    }
}
