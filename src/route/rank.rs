//! The rank of endpoints for a call, by their load and the current slowness of their hosts.

use crate::route::{
    EndpointKey, ServiceKey,
    router::Router,
    slowness::{FACTORS, Reading, SLOW_FACTOR},
};
use std::time::Instant;

/// How well an endpoint with a free slot suits a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rank {
    pub(super) is_slow: bool,
    /// Whether its limit has room for a call even if all reported calls still run.
    has_room: bool,
    /// Its load relative to its limit and its current speed; lower is better.
    pub(super) score: f64,
}

impl Rank {
    /// Returns whether it suits better than `other`.
    ///
    /// A call in a free slot hardly depends on those in the others, so a host of the usual
    /// pace that has room is better than a slow one that is idle.
    pub(super) fn is_before(self, other: Self) -> bool {
        match (self.is_slow, other.is_slow) {
            (false, true) if self.has_room => true,
            (true, false) if other.has_room => false,
            _ => self.score < other.score,
        }
    }

    /// Returns whether it suits about as well as `other`: its score is at most `ratio` times
    /// as high, unless just one of the two is slow.
    pub(super) fn is_within(self, other: Self, ratio: f64) -> bool {
        if self.is_slow == other.is_slow {
            self.score <= other.score * ratio
        } else {
            self.is_before(other)
        }
    }
}

/// Number of usable endpoints by what is known of their hosts at the moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlownessCounts {
    /// Endpoints on hosts about as fast as usual.
    pub usual: u32,
    /// Endpoints on hosts that are slow.
    pub slow: u32,
    /// Endpoints without a fresh report.
    pub unknown: u32,
}

impl Router {
    /// Records how slow the host of an endpoint was, in percent of the usual duration.
    pub(super) fn record_slowness(&mut self, key: EndpointKey, valid_at: Instant, percent: u32) {
        let row = &self.endpoints[key];
        let service = &mut self.services[row.service];
        // No host takes no time: the endpoint doesn't know.
        if percent == 0 {
            return;
        }
        service.shares_hosts = true;
        if row.is_usable() {
            let factor = (f64::from(percent) / 100.0).clamp(*FACTORS.start(), *FACTORS.end());
            let reading = Reading { factor, valid_at };
            service.slowness.record(key, reading);
        }
    }

    /// Returns how many times longer work takes on an endpoint's host at the moment than
    /// usual; 1 if that is not known or contention is not expected.
    pub(super) fn slowness(&self, now: Instant, key: EndpointKey) -> f64 {
        let row = self.endpoints.get(key);
        let Some(service) = row.map(|row| row.service).filter(|s| self.is_contended(*s)) else {
            return 1.0;
        };
        let factor = self.services[service].slowness.factor(now, key);
        factor.unwrap_or(1.0)
    }

    /// Returns the last reported factor of an endpoint's host, however old it is, but at
    /// least 1.
    ///
    /// For the time that an endpoint may be silent: a slow host gets few calls, and a silent
    /// one sends no newer report.
    pub(super) fn last_slowness(&self, key: EndpointKey) -> f64 {
        let Some(row) = self.endpoints.get(key) else {
            return 1.0;
        };
        let last = self.services[row.service].slowness.readings.get(key);
        let last = last.filter(|_| self.is_contended(row.service));
        last.map_or(1.0, |reading| reading.factor.max(1.0))
    }

    /// Returns the rank of an endpoint with a free slot.
    pub(super) fn rank(&self, now: Instant, key: EndpointKey) -> Rank {
        let slowness = self.slowness(now, key);
        let row = &self.endpoints[key];
        Rank {
            is_slow: slowness >= SLOW_FACTOR,
            has_room: row.load(now) <= f64::from(row.limit.get()),
            score: row.score(now) * slowness,
        }
    }

    /// Returns how many times longer a service's endpoints take at the moment than for the
    /// answers from which service times were learned.
    pub(super) fn relative_slowness(&self, now: Instant, service: ServiceKey) -> f64 {
        if !self.is_contended(service) {
            return 1.0;
        }
        let row = &self.services[service];
        row.slowness.relative_mean(now, row.usable)
    }

    /// Counts the usable endpoints by the current slowness of their hosts.
    #[must_use]
    pub fn count_slowness(&self, now: Instant) -> SlownessCounts {
        let mut counts = SlownessCounts::default();
        for (key, row) in self.endpoints.iter().filter(|(_, row)| row.is_usable()) {
            match self.services[row.service].slowness.factor(now, key) {
                None => counts.unknown += 1,
                Some(factor) if factor >= SLOW_FACTOR => counts.slow += 1,
                Some(_) => counts.usual += 1,
            }
        }
        counts
    }
}
