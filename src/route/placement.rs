//! Placement: chooses an endpoint for each call.
//!
//! Each entry sees only its own calls and delayed load reports. If all entries
//! sent to the endpoint that looks least loaded, they would all choose the same
//! one. So each call draws two endpoints with free slots at random and takes the
//! less loaded one, or one with an idle connection that is not much more loaded. A call
//! with a prompt prefix goes to an endpoint that has the
//! prefix cached, unless that endpoint has much more work than the others.
//!
//! Endpoints with free slots are kept in one pool per tier, so that the cost of a
//! draw does not depend on the number of endpoints.

use crate::{
    class::Class,
    error::ErrorKind,
    route::{
        EndpointKey, ServiceKey,
        rank::Rank,
        retry::RERUN_COST,
        ring::{MAX_CANDIDATES, MAX_CANDIDATES_IN_REGIONS},
        router::Router,
        share,
        spec::Call,
        table::{COLD_TIER, CallKey, FAR_COLD_TIER, FAR_TIER},
    },
    topology::RegionSet,
};
use rand::Rng;
use std::time::Instant;

/// Maximum draws, if endpoints drawn have no cache memory left for the call.
const MAX_DRAWS: usize = 8;
/// Maximum rows that are scanned where no draw fits.
const MAX_SCANNED: usize = 16;
/// Recent work of an endpoint, relative to the mean, above which a prefix goes to
/// the next one on the ring. The busiest endpoint is to stay within 1.25 of the mean.
const MAX_WORK_RATIO: f64 = 1.1;
/// Score above which an endpoint is compared with one of the next tier: a wait
/// there may take longer than the round trip to another data centre.
const BUSY_SCORE: f64 = 0.7;
/// Score above which an endpoint is compared with those of other regions. A round trip there
/// takes 16 ms, six times that to another data centre, and the link is priced and shared by all
/// traffic. So near endpoints must be busy beyond their limit or clearly slow.
const FAR_BUSY_SCORE: f64 = 1.5;
/// Score of an endpoint in another region, relative to the best near one, up to which it is
/// chosen: with a smaller difference the call gains less than the round trip.
const MAX_FAR_SCORE_RATIO: f64 = 0.5;
/// Ratio of scores up to which an endpoint with an idle connection is preferred to one
/// that was drawn. One that runs a call is not preferred to an idle one.
const MAX_WARM_SCORE_RATIO: f64 = 1.25;
/// Maximum calls that are preempted for a class at a time. More can follow with the next event.
const MAX_PREEMPTED: usize = 8;
/// Preemptions of one call after which it keeps its slot.
const MAX_PREEMPTIONS: u8 = 2;
/// Share of an urgent call's service time that it may wait for a slot without
/// preempting another call.
const TOLERATED_WAIT_SHARE: f64 = 0.25;

impl Router {
    /// Places the queued calls of a service on free slots, preempting others where
    /// a class is below its floor.
    pub(super) fn dispatch(&mut self, now: Instant, service: ServiceKey) {
        if self.services[service].queues_empty() {
            return;
        }
        self.place_queued(now, service);
        if self.preempt(now, service) {
            self.place_queued(now, service);
        }
    }

    fn place_queued(&mut self, now: Instant, service: ServiceKey) {
        let mut blocked = [false; 3];
        let mut blocked_sets: Vec<(Class, RegionSet)> = Vec::new();
        while let Some(class) = share::next_class(&self.services[service], now, blocked) {
            let Some((_, first)) = self.first_call(service, class, &blocked_sets) else {
                blocked[class.index()] = true;
                continue;
            };
            let key = first.call;
            if !self.can_answer_in_time(now, &self.calls[key].call) {
                self.record_late(service);
                self.refuse(now, key, ErrorKind::Saturated);
                continue;
            }
            if let Some((endpoint, trial)) = self.choose_endpoint(now, key) {
                self.start_attempt(now, key, endpoint, trial);
                continue;
            }
            self.request_permit(service);
            let regions = self.calls[key].call.regions;
            if regions.is_all() {
                blocked[class.index()] = true;
            } else {
                // Calls that may use other regions can still start.
                blocked_sets.push((class, regions));
            }
        }
    }

    /// Chooses an endpoint and returns whether the call is a trial of it.
    fn choose_endpoint(&mut self, now: Instant, key: CallKey) -> Option<(EndpointKey, bool)> {
        let row = &self.calls[key];
        let (call, last) = (row.call, row.last_endpoint);
        let first_try = row.is_repeatable() && row.attempts_started == 0;
        let service = &self.services[call.service];
        if (first_try || service.room(call.regions).usable == 0)
            && let Some(endpoint) = self.take_trial(call.service, call.regions)
        {
            return Some((endpoint, true));
        }
        let preferred = self.pick_endpoint(now, &call, last);
        let found = preferred.or_else(|| {
            self.pick_endpoint(now, &call, None)
                .filter(|_| last.is_some())
        });
        found.map(|endpoint| (endpoint, false))
    }

    fn pick_endpoint(
        &mut self,
        now: Instant,
        call: &Call,
        excluded: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        if self.services[call.service].free_slots == 0 {
            return None;
        }
        if let Some(prefix) = call.prefix {
            let cached = self.pick_cached(now, call, prefix, excluded, false);
            if cached.is_some() {
                return cached;
            }
        }
        let mut best: Option<(EndpointKey, f64)> = None;
        for tier in 0..FAR_TIER {
            let Some((key, score)) = self.pick_from_tier(now, call, tier, excluded) else {
                continue;
            };
            if score <= BUSY_SCORE {
                return Some(key);
            }
            if best.is_none_or(|(_, other)| score < other) {
                best = Some((key, score));
            }
        }
        let near = best;
        let is_divided = self.topology.is_divided();
        if let Some((key, _)) = near.filter(|(_, score)| !is_divided || *score <= FAR_BUSY_SCORE) {
            return Some(key);
        }
        let found = is_divided.then(|| self.pick_beyond_near(now, call, excluded, near));
        // What waits goes to a cold endpoint, as far as its limit allows.
        found
            .flatten()
            .or_else(|| self.pick_cold(now, call, excluded))
    }

    /// Picks an endpoint for a call that found only busy ones near: one of the own region that no
    /// draw saw, one of another region if that is clearly better, or the busy one.
    fn pick_beyond_near(
        &mut self,
        now: Instant,
        call: &Call,
        excluded: Option<EndpointKey>,
        near: Option<(EndpointKey, f64)>,
    ) -> Option<EndpointKey> {
        if let Some(key) = self.find_near(now, call, excluded) {
            return Some(key);
        }
        if let (None, Some(prefix)) = (near, call.prefix) {
            let cached = self.pick_cached(now, call, prefix, excluded, true);
            if cached.is_some() {
                return cached;
            }
        }
        let far = self.pick_from_tier(now, call, FAR_TIER, excluded);
        let is_better = |(_, score): &(EndpointKey, f64)| {
            near.is_none_or(|(_, near)| *score <= near * MAX_FAR_SCORE_RATIO)
        };
        far.filter(is_better).or(near).map(|(key, _)| key)
    }

    /// Picks a cold endpoint, a near one if there is any.
    fn pick_cold(
        &mut self,
        now: Instant,
        call: &Call,
        excluded: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let drawn = self.draw_from_tier(now, call, COLD_TIER, excluded);
        let drawn = drawn.or_else(|| self.draw_from_tier(now, call, FAR_COLD_TIER, excluded));
        drawn.map(|(key, _)| key)
    }

    /// Finds an endpoint of the own region that is not too busy for a call: draws see only some
    /// of them, and a call must not leave the region because of those.
    fn find_near(
        &self,
        now: Instant,
        call: &Call,
        excluded: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let service = &self.services[call.service];
        let pools = (0..FAR_TIER).flat_map(|tier| service.pools_of(tier, call.regions));
        let fits = |key: &EndpointKey| {
            Some(*key) != excluded
                && self.endpoints[*key].has_cache_for(now, call.tokens)
                && self.rank(now, *key).score <= FAR_BUSY_SCORE
        };
        pools.flatten().copied().find(fits)
    }

    /// Picks an endpoint of a tier, and returns its score.
    fn pick_from_tier(
        &mut self,
        now: Instant,
        call: &Call,
        tier: usize,
        excluded: Option<EndpointKey>,
    ) -> Option<(EndpointKey, f64)> {
        let drawn = self.draw_from_tier(now, call, tier, excluded)?;
        let (key, rank) = self.prefer_warm(now, call, tier, excluded, drawn);
        Some((key, rank.score))
    }

    /// Picks an endpoint that is likely to have the prefix cached: the first on the
    /// ring within the bound on recent work, or else the one with the least. Endpoints of other
    /// regions are picked only if `is_far`, and then alone.
    fn pick_cached(
        &mut self,
        now: Instant,
        call: &Call,
        prefix: u64,
        excluded: Option<EndpointKey>,
        is_far: bool,
    ) -> Option<EndpointKey> {
        let mut found = std::mem::take(&mut self.ring_candidates);
        found.clear();
        let max = if self.topology.is_divided() {
            MAX_CANDIDATES_IN_REGIONS
        } else {
            MAX_CANDIDATES
        };
        let row = &mut self.services[call.service];
        row.ring.find(prefix, &mut found, max);
        let mean = self.mean_work(now, call.service, call.regions, is_far);
        let work = self.estimate(call).map_or(0.0, |e| e.mean);
        let max_work = mean * MAX_WORK_RATIO + work;
        // The ring ignores the other tiers: the round trip to another data centre costs less
        // than processing the prompt again.
        let mut best: Option<(EndpointKey, f64)> = None;
        for key in &found {
            let row = &self.endpoints[*key];
            let fits = row.pool_index.is_some()
                && (row.tier == FAR_TIER) == is_far
                && call.regions.contains(row.region)
                && !row.admission.is_cold
                && Some(*key) != excluded
                && row.has_cache_for(now, call.tokens);
            let endpoint_work = row.recent_work.value(now);
            if fits && best.is_none_or(|(_, least_work)| endpoint_work < least_work) {
                best = Some((*key, endpoint_work));
            }
            if fits && endpoint_work <= max_work {
                break;
            }
        }
        self.ring_candidates = found;
        best.map(|(key, _)| key)
    }

    /// Draws two endpoints of a tier and returns the less loaded one. If its host is slow
    /// at the moment, further ones are drawn.
    fn draw_from_tier(
        &mut self,
        now: Instant,
        call: &Call,
        tier: usize,
        excluded: Option<EndpointKey>,
    ) -> Option<(EndpointKey, Rank)> {
        let service = &self.services[call.service];
        let pools = || service.pools_of(tier, call.regions);
        let (first, len) = (pools().next()?, pools().map(<[_]>::len).sum());
        let mut best: Option<(EndpointKey, Rank)> = None;
        for _ in 0..MAX_DRAWS {
            let index = self.rng.random_range(0..len);
            let key = match first.get(index) {
                Some(key) => *key,
                None => *pools().flatten().nth(index)?,
            };
            let row = &self.endpoints[key];
            if Some(key) == excluded || !row.has_cache_for(now, call.tokens) {
                continue;
            }
            let rank = self.rank(now, key);
            let better = match best {
                Some((other, _)) if key == other => continue,
                Some(found) if !rank.is_before(found.1) => found,
                _ => (key, rank),
            };
            let is_pair = best.replace(better).is_some();
            if is_pair && !better.1.is_slow {
                break;
            }
        }
        let scan = || pools().flatten().take(MAX_SCANNED).copied();
        let fits = |key: &EndpointKey| {
            Some(*key) != excluded && self.endpoints[*key].has_cache_for(now, call.tokens)
        };
        best.or_else(|| {
            let key = scan().find(fits)?;
            Some((key, self.rank(now, key)))
        })
    }

    /// Returns the least loaded endpoint of a tier with an idle connection, or the drawn one
    /// if that has clearly less load.
    fn prefer_warm(
        &self,
        now: Instant,
        call: &Call,
        tier: usize,
        excluded: Option<EndpointKey>,
        drawn: (EndpointKey, Rank),
    ) -> (EndpointKey, Rank) {
        let fits = |key: &EndpointKey| {
            let row = &self.endpoints[*key];
            row.tier == tier
                && !row.admission.is_cold
                && call.regions.contains(row.region)
                && row.pool_index.is_some()
                && Some(*key) != excluded
                && row.has_cache_for(now, call.tokens)
        };
        let warm = self.services[call.service].warm.iter(now).filter(fits);
        let ranked = warm.map(|key| (key, self.rank(now, key)));
        let best = ranked.reduce(|a, b| if b.1.is_before(a.1) { b } else { a });
        best.filter(|(_, rank)| rank.is_within(drawn.1, MAX_WARM_SCORE_RATIO))
            .unwrap_or(drawn)
    }

    /// Preempts calls of lower classes for a class that is below its floor, so that
    /// urgent calls don't wait for rollouts that take minutes.
    ///
    /// Only repeatable calls are preempted, the latest first, as they lose the
    /// least work.
    fn preempt(&mut self, now: Instant, service: ServiceKey) -> bool {
        let mut preempted = false;
        for class in [Class::Interactive, Class::Partner] {
            for _ in 0..MAX_PREEMPTED {
                let row = &self.services[service];
                let waiting = row.queue(class).len();
                let first = row.queue(class).first();
                let regions = first.map(|(_, first)| self.calls[first.call].call.regions);
                if waiting == 0
                    || row.room(regions.unwrap_or_default()).free_slots as usize >= waiting
                    || !share::is_below_floor(row, class)
                {
                    break;
                }
                let Some(key) = self.find_preemptible(service, class) else {
                    break;
                };
                self.requeue(now, key);
                self.calls[key].preemptions += 1;
                preempted = true;
            }
        }
        preempted
    }

    fn find_preemptible(&self, service: ServiceKey, class: Class) -> Option<CallKey> {
        let row = &self.services[service];
        let (_, first) = row.queue(class).first()?;
        let regions = self.calls[first.call].call.regions;
        let mut latest = row
            .preemptible
            .iter()
            .rev()
            .take(MAX_SCANNED)
            .map(|(_, key)| *key);
        latest.find(|key| {
            let call = &self.calls[*key];
            let lower = call.call.class;
            let used = f64::from(row.running[lower.index()]);
            let mut attempts = call.attempts.iter().flatten();
            lower > class
                && attempts.any(|attempt| self.is_allowed(attempt.endpoint, regions))
                && !call.committed
                && call.preemptions < MAX_PREEMPTIONS
                && used > row.spec.min_shares[lower.index()] * f64::from(row.capacity)
                && call.work / used > first.work * TOLERATED_WAIT_SHARE
        })
    }

    /// Cancels the attempts of a repeatable call and queues it again.
    pub(super) fn requeue(&mut self, now: Instant, key: CallKey) {
        for attempt_index in 0..2 {
            self.cancel_attempt(now, key, attempt_index);
        }
        self.enqueue(now, key);
    }

    /// Starts a second attempt at another endpoint, if the first runs at one that
    /// seems stuck.
    ///
    /// An endpoint that showed activity since the first attempt began is not
    /// stuck; the call itself is long and would be long elsewhere. A call of which
    /// an attempt broke is not hedged, because it may have caused the failure.
    /// Hedges need an empty queue, a tenth of the slots free and retry budget, so
    /// that they don't displace first attempts.
    pub(super) fn start_hedge(&mut self, now: Instant, key: CallKey) {
        let row = &self.calls[key];
        let call = row.call;
        let (Some(first), None) = (row.attempts[0], row.attempts[1]) else {
            return;
        };
        let broke_endpoint = matches!(
            row.run_error,
            Some(ErrorKind::EndpointBroken | ErrorKind::AnswerShort)
        );
        if call.no_hedge || broke_endpoint {
            return;
        }
        let service = &self.services[call.service];
        let room = service.room(call.regions);
        let has_slack = service.queues_empty() && room.free_slots * 10 > room.capacity;
        if !has_slack
            || !row.can_rerun()
            || row.attempts_started >= call.max_attempts
            || !self.can_answer_in_time(now, &call)
        {
            return;
        }
        let first_endpoint = self.endpoints.get(first.endpoint);
        let active = first_endpoint.is_some_and(|row| {
            row.health.is_healthy() && row.health.last_activity.is_some_and(|at| at > first.start)
        });
        if active {
            return;
        }
        let Some(endpoint) = self.pick_endpoint(now, &call, Some(first.endpoint)) else {
            return;
        };
        // A hedge does not wait: it is not worth a request to a cold endpoint.
        if self.endpoints[endpoint].admission.is_cold {
            return;
        }
        // A call that has run this long takes more than the mean.
        let cost = self
            .estimate(&call)
            .map_or(RERUN_COST, |e| (e.p99 / e.mean).max(RERUN_COST));
        if self.services[call.service].budget.try_spend(cost) {
            self.start_attempt(now, key, endpoint, false);
        }
    }
}
