//! Which way a call to the store goes: straight, or carried by a peer.
//!
//! Load: a store that turns some processes away (it refuses them, resets their
//! connections, or a partition swallows what they send) and serves the others.
//! Harm: such a process owns batches and duties that it can't write for. Until
//! others suspect it and take over, whole steps stand still, though all its
//! results are there: 2 to 3 s of the 7.5 s that a step has, as measured from
//! the last text of a step to the end of its batch.
//!
//! So calls of a process that the store turns away go to a peer, which carries
//! them out once and tells the outcome. A peer that is turned away itself says
//! so at once and passes nothing on, so a call takes two hops at most, and an
//! outage of the whole store costs a few short questions a second: after
//! [`VAIN`] peers in a row that can't help, none is asked for [`QUIET`].
//!
//! The way back is found by a probe of its own rather than by calls that matter:
//! a write that is tried on a dead way has an unknown outcome.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Pause before a peer that could not help is asked again: most outages of one
/// process's way to the store last seconds.
const PAUSE: Duration = Duration::from_secs(1);
/// Pause before a peer that didn't answer is asked again: its process is gone,
/// or the way there.
const GONE: Duration = Duration::from_secs(5);
/// A store whose rate is used up refuses single calls of everybody. Only a process
/// that got no answer at all for so long is taken to be turned away: otherwise each
/// refusal would bring calls to peers and waits begun anew, which use up the rate
/// all the more; 140 processes that start together stayed in that for minutes.
const BUSY: Duration = Duration::from_secs(1);
/// So many peers in a row that can't help mean that the store is away for all.
const VAIN: u32 = 3;
/// For how long no peer is asked then. A store that comes back is noticed by
/// calls of this process itself, which go straight meanwhile.
const QUIET: Duration = Duration::from_millis(1_500);
/// First and longest pause between two probes of the straight way. The longest
/// keeps 360 processes that are turned away at 240 reads a second together, an
/// eighth of what the store takes.
const PROBE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(1_500));

/// The way of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// To the store itself.
    Straight,
    /// To a peer that carries it.
    Peer(SocketAddr),
}

/// What became of a call that a peer was asked to carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Carried {
    /// The store's answer came back.
    Answered,
    /// The peer can't reach the store either.
    Away,
    /// The peer didn't answer.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    /// Not asked before.
    after: Option<Instant>,
}

/// How this process reaches the store.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    peers: Vec<Peer>,
    /// The peer that helped last.
    good: Option<SocketAddr>,
    /// Since when the straight way fails.
    away: Option<Instant>,
    /// Since when the store has refused calls for its rate alone.
    busy: Option<Instant>,
    /// Peers in a row that could not help.
    vain: u32,
    /// No peer is asked before.
    quiet: Option<Instant>,
}

impl Reach {
    /// Creates the view of a process that knows no peers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the peers; what is known of those that stay is kept. Returns whether
    /// there are others than before.
    pub fn set_peers(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) -> bool {
        let known = std::mem::take(&mut self.peers);
        let same = |peer: &Peer| known.iter().any(|known| known.address == peer.address);
        self.peers = addresses
            .into_iter()
            .map(|address| Peer {
                address,
                after: known
                    .iter()
                    .find(|peer| peer.address == address)
                    .and_then(|peer| peer.after),
            })
            .collect();
        self.peers.len() != known.len() || !self.peers.iter().all(same)
    }

    /// Says whether the straight way fails.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.away.is_some()
    }

    /// Chooses the way of a call; `draw` chooses among peers that are alike.
    #[must_use]
    pub fn way(&self, now: Instant, draw: u64) -> Way {
        if self.away.is_none() || self.quiet.is_some_and(|until| now < until) {
            return Way::Straight;
        }
        let open = |peer: &&Peer| peer.after.is_none_or(|after| after <= now);
        let open: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(open)
            .map(|peer| peer.address)
            .collect();
        // All calls through one peer, while it helps: one connection, not many.
        let good = self.good.filter(|good| open.contains(good));
        let drawn = || {
            let n = u64::try_from(open.len()).ok().filter(|n| *n > 0)?;
            open.get(usize::try_from(draw % n).ok()?).copied()
        };
        good.or_else(drawn).map_or(Way::Straight, Way::Peer)
    }

    /// Notes that the store refused a call because its rate is used up; `true` if
    /// the straight way counts as failing from now on.
    pub fn busy(&mut self, now: Instant) -> bool {
        let since = *self.busy.get_or_insert(now);
        now.saturating_duration_since(since) > BUSY && self.straight(now, false)
    }

    /// Notes how a call on the straight way went; `true` if that changed it.
    pub fn straight(&mut self, now: Instant, answered: bool) -> bool {
        let was = self.away.is_some();
        if answered {
            self.busy = None;
            self.away = None;
            self.vain = 0;
            self.quiet = None;
        } else if !was {
            self.away = Some(now);
        }
        was == answered
    }

    /// Notes what became of a call that a peer was asked to carry.
    pub fn carried(&mut self, now: Instant, peer: SocketAddr, outcome: Carried) {
        let pause = match outcome {
            Carried::Answered => {
                self.good = Some(peer);
                self.vain = 0;
                return;
            }
            Carried::Away => PAUSE,
            Carried::Silent => GONE,
        };
        if self.good == Some(peer) {
            self.good = None;
        }
        if let Some(known) = self.peers.iter_mut().find(|known| known.address == peer) {
            known.after = Some(now + pause);
        }
        self.vain += 1;
        if self.vain >= VAIN {
            self.vain = 0;
            self.quiet = Some(now + QUIET);
        }
    }

    /// Returns how long to wait before the straight way is probed again.
    #[must_use]
    pub fn probe_pause(&self, now: Instant) -> Duration {
        let away = self
            .away
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        away.clamp(PROBE.0, PROBE.1)
    }
}
