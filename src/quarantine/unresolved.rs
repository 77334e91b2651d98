//! Failed attempts whose endpoint may or may not have ended.

use super::{EndpointIncarnation, Fingerprint, UNRESOLVED_TTL};
use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

/// Most attempts that are kept. A gateway on a small host has a few hundred in flight.
const MAX_ATTEMPTS: usize = 4_096;

#[derive(Debug)]
struct Attempt {
    request: Fingerprint,
    incarnation: EndpointIncarnation,
    /// The path of the request.
    path: String,
    ended_at: Instant,
}

/// Attempts that ended without an answer and without evidence of a crash.
///
/// If the endpoint ended, its entry expires or it refuses connections later.
#[derive(Debug, Default)]
pub struct UnresolvedAttempts {
    attempts: VecDeque<Attempt>,
    /// Incarnations that ended, and when their end was detected.
    ended: HashMap<EndpointIncarnation, Instant>,
}

impl UnresolvedAttempts {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no attempt is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt that ended without an answer.
    ///
    /// Returns `true`, and keeps nothing, if the endpoint is known to have ended.
    pub fn add(
        &mut self,
        now: Instant,
        request: Fingerprint,
        incarnation: EndpointIncarnation,
        path: String,
    ) -> bool {
        self.expire(now);
        if self.ended.contains_key(&incarnation) {
            return true;
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(Attempt {
            request,
            incarnation,
            path,
            ended_at: now,
        });
        false
    }

    /// Returns whether an incarnation is known to have ended.
    #[must_use]
    pub fn has_ended(&self, incarnation: &EndpointIncarnation) -> bool {
        self.ended.contains_key(incarnation)
    }

    /// Records that an incarnation has ended; removes its attempts and returns their requests
    /// and paths.
    pub fn record_end(
        &mut self,
        now: Instant,
        incarnation: &EndpointIncarnation,
    ) -> Vec<(Fingerprint, String)> {
        self.expire(now);
        self.ended.insert(incarnation.clone(), now);
        let affected = self
            .attempts
            .iter()
            .filter(|attempt| attempt.incarnation == *incarnation);
        let found = affected
            .map(|attempt| (attempt.request, attempt.path.clone()))
            .collect();
        self.attempts
            .retain(|attempt| attempt.incarnation != *incarnation);
        found
    }

    /// Removes the attempts of a request that was answered.
    pub fn remove_request(&mut self, request: Fingerprint) {
        self.attempts.retain(|attempt| attempt.request != request);
    }

    fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UNRESOLVED_TTL;
        while self
            .attempts
            .front()
            .is_some_and(|attempt| !is_recent(attempt.ended_at))
        {
            self.attempts.pop_front();
        }
        self.ended.retain(|_, at| is_recent(*at));
    }
}
