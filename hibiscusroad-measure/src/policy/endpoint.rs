//! An endpoint as a simple queue.

use super::scenario::Kind;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Prefixes that an engine keeps cached, the last used ones.
const CACHED: usize = 60;
/// What a call costs without its prefix cached, over what it costs with it.
const MISS: f64 = 1.5;

/// Names an attempt in the driver.
pub(super) type AttemptId = u64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    Live,
    /// Takes calls and never answers.
    Stuck,
    /// Refuses connections.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    attempt: AttemptId,
    /// Seconds of one worker that are left.
    left: f64,
}

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) place: usize,
    pub(super) state: State,
    pub(super) speed: f64,
    kind: Kind,
    queue: VecDeque<Job>,
    running: BTreeMap<AttemptId, Job>,
    moved: Duration,
    cache: VecDeque<u64>,
    /// Seconds of work done.
    pub(super) spent: f64,
    pub(super) hits: u64,
    pub(super) lookups: u64,
    /// Counts changes, to tell old timers from the present one.
    pub(super) version: u64,
}

impl Endpoint {
    pub(super) fn new(place: usize, kind: Kind) -> Self {
        Self {
            place,
            state: State::Live,
            speed: 1.0,
            kind,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            moved: Duration::ZERO,
            cache: VecDeque::new(),
            spent: 0.0,
            hits: 0,
            lookups: 0,
            version: 0,
        }
    }

    pub(super) fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    fn rate(&self) -> f64 {
        if self.state != State::Live {
            return 0.0;
        }
        let share = match self.kind {
            Kind::Workers(_) => 1.0,
            Kind::Batch(width) => (f64::from(width) / self.running.len().max(1) as f64).min(1.0),
        };
        share * self.speed
    }

    /// Does the work of the time since the last change.
    pub(super) fn advance(&mut self, now: Duration) {
        let step = now.saturating_sub(self.moved).as_secs_f64() * self.rate();
        self.moved = now;
        for job in self.running.values_mut() {
            self.spent += step.min(job.left.max(0.0));
            job.left -= step;
        }
    }

    pub(super) fn push(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        work: f64,
        prefix: Option<u64>,
    ) {
        self.advance(now);
        let left = work * prefix.map_or(1.0, |prefix| self.lookup(prefix));
        self.queue.push_back(Job { attempt, left });
        self.fill();
    }

    fn lookup(&mut self, prefix: u64) -> f64 {
        self.lookups += 1;
        let found = self.cache.iter().position(|other| *other == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
            self.hits += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        if found.is_some() { 1.0 } else { MISS }
    }

    fn fill(&mut self) {
        self.version += 1;
        let room = |running: usize| match self.kind {
            Kind::Workers(width) => running < width as usize,
            Kind::Batch(_) => true,
        };
        while room(self.running.len()) {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            self.running.insert(job.attempt, job);
        }
    }

    pub(super) fn cancel(&mut self, now: Duration, attempt: AttemptId) {
        self.advance(now);
        self.queue.retain(|job| job.attempt != attempt);
        self.running.remove(&attempt);
        self.fill();
    }

    /// Says when the next call ends.
    pub(super) fn next_end(&self) -> Option<Duration> {
        let rate = self.rate();
        let least = self.running.values().map(|job| job.left).reduce(f64::min)?;
        // One nanosecond more than nothing, so that rounding can't hold the
        // clock.
        (rate > 0.0).then(|| {
            self.moved + Duration::from_secs_f64(least.max(0.0) / rate) + Duration::from_nanos(1)
        })
    }

    /// Takes out what has ended.
    pub(super) fn ended(&mut self, now: Duration) -> Vec<AttemptId> {
        self.advance(now);
        let done = self.running.values().filter(|job| job.left <= 1e-9);
        let done: Vec<AttemptId> = done.map(|job| job.attempt).collect();
        for attempt in &done {
            self.running.remove(attempt);
        }
        self.fill();
        done
    }

    /// Drops all that it has, as a crash does.
    pub(super) fn clear(&mut self) -> Vec<AttemptId> {
        self.version += 1;
        let waiting = self.queue.drain(..).map(|job| job.attempt);
        let mut lost: Vec<AttemptId> = waiting.collect();
        lost.extend(std::mem::take(&mut self.running).into_keys());
        lost
    }
}
