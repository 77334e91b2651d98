//! Detects connections that have gone silent.
//!
//! A connection may lose all traffic without being closed, often together with all others that
//! were open at that moment, while new ones work. Only a request without an answer shows it. If
//! each request found out for itself, it would try one idle connection after the other, each for as
//! long as it waits for an answer.
//!
//! So a request on a reused connection that gets no answer puts the idle connections to its
//! address in doubt, if nothing was received on them since it was sent. If this happens at two
//! addresses, and no connection that was idle before has answered since, all idle connections are
//! in doubt. A doubt costs no more than new connections.

use std::{
    collections::HashSet,
    hash::Hash,
    time::{Duration, Instant},
};

/// Shortest wait for an answer that counts. Most requests that are cancelled earlier have been
/// answered by another endpoint.
const MIN_WAIT: Duration = Duration::from_millis(90);
/// Number of addresses that must be silent for all connections to be in doubt.
const MIN_ADDRESSES: usize = 2;
/// Time within which requests to them must have been sent.
const MAX_SPAN: Duration = Duration::from_secs(5);

/// Which idle connections are in doubt: those on which nothing was received since an instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Doubt {
    /// None.
    None,
    /// Those to the address of the request.
    Address(Instant),
    /// Those to all addresses.
    All(Instant),
}

/// The addresses at which requests on reused connections got no answer.
#[derive(Clone, Debug)]
pub struct Silences<A> {
    addresses: HashSet<A>,
    /// When the first of these requests was sent.
    since: Option<Instant>,
}

impl<A> Default for Silences<A> {
    fn default() -> Self {
        Self {
            addresses: HashSet::new(),
            since: None,
        }
    }
}

impl<A: Eq + Hash> Silences<A> {
    /// Records that a request that was sent on a reused connection was given up at `now` without
    /// any answer.
    pub fn record_silence(&mut self, now: Instant, address: A, sent_at: Instant) -> Doubt {
        if now.saturating_duration_since(sent_at) < MIN_WAIT {
            return Doubt::None;
        }
        let is_recent = |since: Instant| sent_at.saturating_duration_since(since) <= MAX_SPAN;
        let since = self.since.filter(|since| is_recent(*since));
        if since.is_none() {
            self.addresses.clear();
        }
        let since = since.map_or(sent_at, |since| since.min(sent_at));
        self.since = Some(since);
        self.addresses.insert(address);
        if self.addresses.len() < MIN_ADDRESSES {
            return Doubt::Address(sent_at);
        }
        self.clear();
        Doubt::All(since)
    }

    /// Records an answer on a connection on which nothing had been received since `idle_since`.
    pub fn record_answer(&mut self, idle_since: Instant) {
        if self.since.is_some_and(|since| idle_since < since) {
            self.clear();
        }
    }

    fn clear(&mut self) {
        self.addresses.clear();
        self.since = None;
    }
}
