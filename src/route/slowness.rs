//! How slow the hosts of a service's endpoints are at the moment.
//!
//! A host that is shared with others turns slow and usual again within a second. Latencies
//! tell this too late: ten answers show it, most of them late already, and the next ten
//! still count against a host that has recovered. Endpoints of such hosts report how long
//! work takes there at the moment. While a report is fresh, the endpoint gets calls where
//! no other has room, its load counts that many times, and its latencies are compared with the
//! slower pace. Afterwards it counts as usual, so that it gets the calls that bring the next
//! report.
//!
//! A report orders endpoints and scales waits, within bounds. It never closes an endpoint or
//! lowers its limit, so a late or false one makes placement worse but leaves no slot unused.
//!
//! Service times are learned from answers of slow hosts too. An expected wait is therefore
//! scaled by the mean slowness relative to that of the answers, which is 1 in the long run.

use crate::route::EndpointKey;
use slotmap::SecondaryMap;
use std::{
    cell::Cell,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

/// Age up to which a report is used: a host keeps its pace for about that long.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// Factors that a report may state. They bound the harm of a false one; hosts are up to 2.5
/// times slower.
pub(super) const FACTORS: RangeInclusive<f64> = 0.5..=4.0;
/// Factor from which a host counts as slow: halfway to 2.5 on a logarithmic scale.
pub(super) const SLOW_FACTOR: f64 = 1.6;
/// Weight of one report in the moving average of the usual factor. Two seconds at a hundred
/// answers a second, so that it averages over several changes of a host's pace.
const USUAL_WEIGHT: f64 = 1.0 / 256.0;

#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub(super) factor: f64,
    pub(super) valid_at: Instant,
}

impl Reading {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.valid_at) <= REPORT_TTL
    }
}

/// Reported slowness of the hosts of one service.
#[derive(Clone, Debug)]
pub(super) struct HostSlowness {
    /// The last report of each usable endpoint.
    pub(super) readings: SecondaryMap<EndpointKey, Reading>,
    /// Moving average over all reports; each comes with an answer.
    usual: f64,
    /// The last relative mean with the instant and the number of endpoints that it is for.
    /// An event that checks many queued calls computes it once.
    mean: Cell<Option<(Instant, u32, f64)>>,
}

impl HostSlowness {
    pub(super) fn new() -> Self {
        Self {
            readings: SecondaryMap::new(),
            usual: 1.0,
            mean: Cell::new(None),
        }
    }

    /// Drops the report of an endpoint that gets no calls.
    pub(super) fn remove(&mut self, key: EndpointKey) {
        self.readings.remove(key);
        self.mean.set(None);
    }

    pub(super) fn record(&mut self, key: EndpointKey, reading: Reading) {
        let last = self.readings.get(key);
        if last.is_none_or(|last| last.valid_at <= reading.valid_at) {
            self.readings.insert(key, reading);
            self.mean.set(None);
            self.usual += USUAL_WEIGHT * (reading.factor - self.usual);
        }
    }

    pub(super) fn factor(&self, now: Instant, key: EndpointKey) -> Option<f64> {
        let reading = self.readings.get(key)?;
        reading.is_fresh(now).then_some(reading.factor)
    }

    /// Returns the mean factor of `usable` endpoints relative to the usual one. Endpoints
    /// without a fresh report count as usual.
    pub(super) fn relative_mean(&self, now: Instant, usable: u32) -> f64 {
        let known = self.mean.get();
        if let Some((_, _, mean)) = known.filter(|(at, n, _)| (*at, *n) == (now, usable)) {
            return mean;
        }
        let fresh = self.readings.values().filter(|r| r.is_fresh(now));
        let excess: f64 = fresh.map(|r| r.factor / self.usual - 1.0).sum();
        let mean = 1.0 + excess / f64::from(usable.max(1));
        self.mean.set(Some((now, usable, mean)));
        mean
    }
}
