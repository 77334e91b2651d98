//! A simulated endpoint: a queue before workers or a batch.

use super::scenario::EndpointKind;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Maximum number of prefixes in the cache, which evicts the least recently used.
const CACHE_CAPACITY: usize = 60;
/// Cost of a call on a cache miss, relative to a hit.
const CACHE_MISS_FACTOR: f64 = 1.5;

/// Identifies an attempt; an index into the attempts of the driver.
pub(super) type AttemptId = u64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    Live,
    /// Accepts calls but never answers.
    Stuck,
    /// Refuses connections.
    Down,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    attempt: AttemptId,
    /// Remaining work, in worker-seconds.
    remaining: f64,
}

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) data_centre: usize,
    pub(super) state: State,
    pub(super) speed: f64,
    kind: EndpointKind,
    queue: VecDeque<Job>,
    running: BTreeMap<AttemptId, Job>,
    updated_at: Duration,
    cache: VecDeque<u64>,
    /// Completed work, in worker-seconds.
    pub(super) work_done: f64,
    pub(super) cache_hits: u64,
    pub(super) cache_lookups: u64,
    /// Incremented on each change, so that outdated completion events are ignored.
    pub(super) version: u64,
}

impl Endpoint {
    pub(super) fn new(data_centre: usize, kind: EndpointKind) -> Self {
        Self {
            data_centre,
            state: State::Live,
            speed: 1.0,
            kind,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            updated_at: Duration::ZERO,
            cache: VecDeque::new(),
            work_done: 0.0,
            cache_hits: 0,
            cache_lookups: 0,
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
            EndpointKind::Workers(_) => 1.0,
            EndpointKind::Batch(slots) => {
                (f64::from(slots) / self.running.len().max(1) as f64).min(1.0)
            }
        };
        share * self.speed
    }

    /// Advances the running calls to `now`.
    pub(super) fn advance(&mut self, now: Duration) {
        let progress = now.saturating_sub(self.updated_at).as_secs_f64() * self.rate();
        self.updated_at = now;
        for job in self.running.values_mut() {
            self.work_done += progress.min(job.remaining.max(0.0));
            job.remaining -= progress;
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
        let remaining = work * prefix.map_or(1.0, |prefix| self.cache_cost_factor(prefix));
        self.queue.push_back(Job { attempt, remaining });
        self.start_queued();
    }

    fn cache_cost_factor(&mut self, prefix: u64) -> f64 {
        self.cache_lookups += 1;
        let cached_at = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = cached_at {
            self.cache.remove(index);
            self.cache_hits += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_CAPACITY {
            self.cache.pop_front();
        }
        if cached_at.is_some() {
            1.0
        } else {
            CACHE_MISS_FACTOR
        }
    }

    fn start_queued(&mut self) {
        self.version += 1;
        let has_capacity = |running: usize| match self.kind {
            EndpointKind::Workers(slots) => running < slots as usize,
            EndpointKind::Batch(_) => true,
        };
        while has_capacity(self.running.len()) {
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
        self.start_queued();
    }

    /// Returns when the next running call completes.
    pub(super) fn next_completion(&self) -> Option<Duration> {
        let rate = self.rate();
        let shortest = self
            .running
            .values()
            .map(|job| job.remaining)
            .reduce(f64::min)?;
        // The extra nanosecond guarantees progress despite rounding.
        (rate > 0.0).then(|| {
            self.updated_at
                + Duration::from_secs_f64(shortest.max(0.0) / rate)
                + Duration::from_nanos(1)
        })
    }

    /// Removes the completed calls and returns their attempts.
    pub(super) fn take_completed(&mut self, now: Duration) -> Vec<AttemptId> {
        self.advance(now);
        let completed = self.running.values().filter(|job| job.remaining <= 1e-9);
        let completed: Vec<AttemptId> = completed.map(|job| job.attempt).collect();
        for attempt in &completed {
            self.running.remove(attempt);
        }
        self.start_queued();
        completed
    }

    /// Removes all queued and running calls and returns their attempts.
    pub(super) fn take_all(&mut self) -> Vec<AttemptId> {
        self.version += 1;
        let waiting = self.queue.drain(..).map(|job| job.attempt);
        let mut dropped: Vec<AttemptId> = waiting.collect();
        dropped.extend(std::mem::take(&mut self.running).into_keys());
        dropped
    }
}
