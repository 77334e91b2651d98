//! Attempts of which nobody knows whether their endpoint ended.

use super::{Fingerprint, Life, OPEN};
use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

/// Attempts that are held at most. A gateway of a small host has a few hundred in flight.
const MOST: usize = 4_096;

#[derive(Debug)]
struct Open {
    request: Fingerprint,
    life: Life,
    /// The request's path.
    path: String,
    /// When it ended.
    at: Instant,
}

/// Attempts that ended without an answer and without a sign of a crash.
///
/// The end of their endpoint shows later: its entry lapses, or it refuses connections.
#[derive(Debug, Default)]
pub struct OpenAttempts {
    open: VecDeque<Open>,
    /// Lives that ended, and when that was seen.
    ended: HashMap<Life, Instant>,
}

impl OpenAttempts {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether no attempt is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Notes an attempt that ended without an answer; returns `true` if its endpoint is
    /// known to have ended.
    pub fn add(&mut self, now: Instant, request: Fingerprint, life: Life, path: String) -> bool {
        self.expire(now);
        if self.ended.contains_key(&life) {
            return true;
        }
        if self.open.len() >= MOST {
            self.open.pop_front();
        }
        self.open.push_back(Open {
            request,
            life,
            path,
            at: now,
        });
        false
    }

    /// Notes that an endpoint has ended, and returns the requests that were in flight,
    /// with their paths.
    pub fn ended(&mut self, now: Instant, life: &Life) -> Vec<(Fingerprint, String)> {
        self.expire(now);
        self.ended.insert(life.clone(), now);
        let there = self.open.iter().filter(|open| open.life == *life);
        let found = there
            .map(|open| (open.request, open.path.clone()))
            .collect();
        self.open.retain(|open| open.life != *life);
        found
    }

    /// Forgets a request that was answered.
    pub fn forget(&mut self, request: Fingerprint) {
        self.open.retain(|open| open.request != request);
    }

    fn expire(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < OPEN;
        while self.open.front().is_some_and(|open| !recent(open.at)) {
            self.open.pop_front();
        }
        self.ended.retain(|_, at| recent(*at));
    }
}
