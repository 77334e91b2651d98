//! The path of calls to the store: direct, or relayed by a peer.
//!
//! A store may fail for some processes only: it refuses them, resets their connections, or
//! is partitioned from them. Such a process owns batches and duties but can't write, and
//! they stand still until other processes suspect it and take over.
//!
//! So a process that can't reach the store sends its calls to a peer, which tries each of
//! them once and returns the outcome. A peer that can't reach the store either says so and
//! relays nothing, so a call takes two hops at most. In an outage of the whole store,
//! [`MAX_FAILURES`] peers fail in a row, and none is asked for [`PEER_SUSPENSION`].
//!
//! Probes find out when the direct path works again. Calls don't: a write that is tried on
//! a broken path has an unknown outcome.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Delay before a peer that can't reach the store is asked again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before a peer that didn't answer is asked again.
const NO_ANSWER_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time without any answer after which a process that the store refuses for its rate
/// treats the direct path as failing. A store at its rate limit refuses single calls of
/// every process; relaying these would only add load.
const RATE_LIMIT_TOLERANCE: Duration = Duration::from_secs(1);
/// Peers that fail in a row before the store is considered unreachable for all.
const MAX_FAILURES: u32 = 3;
/// Time for which no peer is asked then; calls take the direct path meanwhile.
const PEER_SUSPENSION: Duration = Duration::from_millis(1_500);
/// Shortest and longest delay between two probes of the direct path. The longest bounds
/// the load of all unreachable processes together.
const PROBE_DELAYS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(1_500));

/// The path of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StorePath {
    /// Directly to the store.
    Direct,
    /// To a peer that relays it.
    Peer(SocketAddr),
}

/// The outcome of a call that a peer was asked to relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The peer returned an answer from the store.
    Answered,
    /// The peer can't reach the store either.
    Unreachable,
    /// The peer didn't answer.
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    /// Not asked before this instant.
    retry_at: Option<Instant>,
}

/// The state of this process's paths to the store.
#[derive(Clone, Debug, Default)]
pub struct StorePaths {
    peers: Vec<Peer>,
    /// The last peer that returned an answer.
    preferred: Option<SocketAddr>,
    /// Since when the direct path fails.
    failing_since: Option<Instant>,
    /// Since when the rate limit has refused calls and none was answered.
    limited_since: Option<Instant>,
    /// Peers that have failed in a row.
    failures: u32,
    /// No peer is asked before this instant.
    suspended_until: Option<Instant>,
}

impl StorePaths {
    /// Creates the state of a process without known peers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the peers, and keeps the state of those known before. Returns whether the set of
    /// peers changed.
    pub fn set_peers(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) -> bool {
        let known = std::mem::take(&mut self.peers);
        let is_known = |peer: &Peer| known.iter().any(|other| other.address == peer.address);
        self.peers = addresses
            .into_iter()
            .map(|address| Peer {
                address,
                retry_at: known
                    .iter()
                    .find(|peer| peer.address == address)
                    .and_then(|peer| peer.retry_at),
            })
            .collect();
        self.peers.len() != known.len() || !self.peers.iter().all(is_known)
    }

    /// Returns whether the direct path fails.
    #[must_use]
    pub const fn is_direct_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Chooses the path of a call, with a random `draw` among eligible peers.
    #[must_use]
    pub fn choose(&self, now: Instant, draw: u64) -> StorePath {
        if self.failing_since.is_none() || self.suspended_until.is_some_and(|until| now < until) {
            return StorePath::Direct;
        }
        let is_eligible = |peer: &&Peer| peer.retry_at.is_none_or(|retry_at| retry_at <= now);
        let eligible: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(is_eligible)
            .map(|peer| peer.address)
            .collect();
        // One peer for all calls needs one connection only.
        let preferred = self.preferred.filter(|peer| eligible.contains(peer));
        let random = || {
            let n = u64::try_from(eligible.len()).ok().filter(|n| *n > 0)?;
            eligible.get(usize::try_from(draw % n).ok()?).copied()
        };
        preferred
            .or_else(random)
            .map_or(StorePath::Direct, StorePath::Peer)
    }

    /// Records that the store refused a call by its rate limit.
    ///
    /// Returns `true` if the direct path fails from now on.
    pub fn record_rate_limit(&mut self, now: Instant) -> bool {
        let since = *self.limited_since.get_or_insert(now);
        now.saturating_duration_since(since) > RATE_LIMIT_TOLERANCE
            && self.record_direct(now, false)
    }

    /// Records whether a call on the direct path was answered.
    ///
    /// Returns `true` if the state of the path changed.
    pub fn record_direct(&mut self, now: Instant, answered: bool) -> bool {
        let was_failing = self.failing_since.is_some();
        if answered {
            self.limited_since = None;
            self.failing_since = None;
            self.failures = 0;
            self.suspended_until = None;
        } else if !was_failing {
            self.failing_since = Some(now);
        }
        was_failing == answered
    }

    /// Records the outcome of a call that a peer was asked to relay.
    pub fn record_relayed(&mut self, now: Instant, peer: SocketAddr, outcome: RelayOutcome) {
        let delay = match outcome {
            RelayOutcome::Answered => {
                self.preferred = Some(peer);
                self.failures = 0;
                return;
            }
            RelayOutcome::Unreachable => UNREACHABLE_RETRY_DELAY,
            RelayOutcome::NoAnswer => NO_ANSWER_RETRY_DELAY,
        };
        if self.preferred == Some(peer) {
            self.preferred = None;
        }
        if let Some(known) = self.peers.iter_mut().find(|known| known.address == peer) {
            known.retry_at = Some(now + delay);
        }
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.failures = 0;
            self.suspended_until = Some(now + PEER_SUSPENSION);
        }
    }

    /// Returns the delay before the next probe of the direct path.
    #[must_use]
    pub fn probe_delay(&self, now: Instant) -> Duration {
        let duration = self
            .failing_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        duration.clamp(PROBE_DELAYS.0, PROBE_DELAYS.1)
    }
}
