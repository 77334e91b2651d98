//! Which endpoint a call goes to.
//!
//! Load: many entries that each see only their own calls and late reports of
//! the rest. Harm: if all sent to the endpoint that looks idlest, all would
//! send to the same one. So each call draws two endpoints with room and takes
//! the less loaded one; a call with a prefix goes where the prefix is cached
//! while that endpoint isn't ahead of the others.
//!
//! Pools of endpoints with room, one for each tier, are kept up to date as
//! calls start and end; a draw is then independent of the number of endpoints.

use crate::{
    class::Class,
    error::ErrorKind,
    route::{
        EndpointKey, ServiceKey,
        retry::RERUN_COST,
        router::Router,
        share,
        spec::Call,
        table::{CallKey, TIERS},
    },
};
use rand::Rng;
use std::time::{Duration, Instant};

/// A backlog is looked at again so often, for what changes without an event.
pub(super) const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Draws at most, when those drawn have no cache memory left for the call.
const MAX_DRAWS: usize = 8;
/// Endpoints that are looked at one by one if no draw fits.
const MAX_SCANNED: usize = 16;
/// Work that an endpoint may get above the mean before a prefix goes to the
/// next one: the busiest is to stay within 1.25 of the mean.
const MAX_WORK_RATIO: f64 = 1.1;
/// An endpoint at the entry's place that is fuller than this is compared with
/// one elsewhere: the limit has headroom, and a wait behind another call is
/// longer than the way to another place.
const BUSY_SCORE: f64 = 0.7;
/// Slots that are taken back at a time; the next look is an event away.
const MAX_PREEMPTED: usize = 8;
/// A rollout that lost its slot twice keeps the next one.
const MAX_PREEMPTIONS: u8 = 2;
/// Waiting for a rollout to end is fine for so much of an urgent call's time.
const TOLERATED_WAIT_SHARE: f64 = 0.25;

impl Router {
    /// Places what waits for a service, as far as there is room.
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
        while let Some(class) = share::next_class(&self.services[service], now, blocked) {
            let Some((_, first)) = self.services[service].queue(class).first() else {
                return;
            };
            let key = first.call;
            if !self.can_answer_in_time(now, &self.calls[key].call) {
                self.record_late(service);
                self.refuse(now, key, ErrorKind::Saturated);
                continue;
            }
            match self.choose_endpoint(now, key) {
                Some((endpoint, trial)) => self.start_attempt(now, key, endpoint, trial),
                None => blocked[class.index()] = true,
            }
        }
    }

    /// Chooses an endpoint, and says whether the call tries it out.
    fn choose_endpoint(&mut self, now: Instant, key: CallKey) -> Option<(EndpointKey, bool)> {
        let row = &self.calls[key];
        let (call, last) = (row.call, row.last_endpoint);
        let first_try = row.is_repeatable() && row.attempts_started == 0;
        let service = &mut self.services[call.service];
        if (first_try || service.usable == 0)
            && let Some(endpoint) = service.awaiting_trial.pop()
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
            let cached = self.pick_cached(now, call, prefix, excluded);
            if cached.is_some() {
                return cached;
            }
        }
        let mut best: Option<(EndpointKey, f64)> = None;
        for tier in 0..TIERS {
            let Some((key, score)) = self.draw_from_tier(now, call, tier, excluded) else {
                continue;
            };
            if score <= BUSY_SCORE {
                return Some(key);
            }
            if best.is_none_or(|(_, other)| score < other) {
                best = Some((key, score));
            }
        }
        best.map(|(key, _)| key)
    }

    /// Finds an endpoint on the ring that isn't ahead of the others.
    fn pick_cached(
        &mut self,
        now: Instant,
        call: &Call,
        prefix: u64,
        excluded: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let mut found = std::mem::take(&mut self.ring_candidates);
        found.clear();
        let row = &mut self.services[call.service];
        row.ring.find(prefix, &mut found);
        let row = &self.services[call.service];
        let mean = row.recent_work.value(now) / f64::from(row.usable.max(1));
        let work = self.estimate(call).map_or(0.0, |e| e.mean);
        let max_work = mean * MAX_WORK_RATIO + work;
        // Other places count as well: the way there costs milliseconds, reading
        // a prompt again hundreds.
        let mut best: Option<(EndpointKey, f64)> = None;
        for key in &found {
            let row = &self.endpoints[*key];
            let fits = row.pool_index.is_some()
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

    /// Draws two endpoints of a tier and takes the less loaded one.
    fn draw_from_tier(
        &mut self,
        now: Instant,
        call: &Call,
        tier: usize,
        excluded: Option<EndpointKey>,
    ) -> Option<(EndpointKey, f64)> {
        let pool = &self.services[call.service].pools[tier];
        if pool.is_empty() {
            return None;
        }
        let mut best: Option<(EndpointKey, f64)> = None;
        for _ in 0..MAX_DRAWS {
            let key = pool[self.rng.random_range(0..pool.len())];
            let row = &self.endpoints[key];
            if Some(key) == excluded || !row.has_cache_for(now, call.tokens) {
                continue;
            }
            let score = row.score(now);
            match best {
                None => best = Some((key, score)),
                Some((other, _)) if key == other => {}
                Some((_, other)) if score < other => return Some((key, score)),
                found => return found,
            }
        }
        let scan = || pool.iter().take(MAX_SCANNED).copied();
        let fits = |key: &EndpointKey| {
            Some(*key) != excluded && self.endpoints[*key].has_cache_for(now, call.tokens)
        };
        best.or_else(|| {
            let key = scan().find(fits)?;
            Some((key, self.endpoints[key].score(now)))
        })
    }

    /// Takes slots back from rollouts for a class that is below its floor.
    ///
    /// Load: rollouts of minutes fill every slot that was idle, then parents
    /// come. Harm: they would wait for a rollout to end. Only repeatable calls
    /// yield, the latest first, as they lose least; the floor bounds how many.
    fn preempt(&mut self, now: Instant, service: ServiceKey) -> bool {
        let mut preempted = false;
        for class in [Class::Interactive, Class::Partner] {
            for _ in 0..MAX_PREEMPTED {
                let row = &self.services[service];
                let waiting = row.queue(class).len();
                if waiting == 0
                    || row.free_slots as usize >= waiting
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
            lower > class
                && !call.committed
                && call.preemptions < MAX_PREEMPTIONS
                && used > row.spec.floors[lower.index()] * f64::from(row.capacity)
                && call.work / used > first.work * TOLERATED_WAIT_SHARE
        })
    }

    /// Takes a repeatable call from where it runs and lets it wait again.
    pub(super) fn requeue(&mut self, now: Instant, key: CallKey) {
        for attempt_index in 0..2 {
            self.cancel_attempt(now, key, attempt_index);
        }
        self.enqueue(now, key);
    }

    /// Starts another attempt elsewhere if the first takes unusually long.
    ///
    /// A call that broke an attempt is not hedged: it may be what broke the endpoint,
    /// and two attempts would break two.
    ///
    /// Load: one endpoint that has become slow, before it is found out. Harm:
    /// its callers wait ten times as long. Only what runs at an endpoint that
    /// has given no sign of life since is hedged: where others are answered
    /// meanwhile the call itself is long, and would be long elsewhere. Hedges
    /// are sent only with a tenth of the slots free and out of the retry
    /// budget: under saturation they would take the place of first tries.
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
        if call.alone || broke_endpoint {
            return;
        }
        let service = &self.services[call.service];
        let has_slack = service.queues_empty() && service.free_slots * 10 > service.capacity;
        if !has_slack
            || !row.can_rerun()
            || row.attempts_started >= call.tries
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
        // What has run for so long takes more than the mean.
        let cost = self
            .estimate(&call)
            .map_or(RERUN_COST, |e| (e.p99 / e.mean).max(RERUN_COST));
        if self.services[call.service].budget.try_spend(cost) {
            self.start_attempt(now, key, endpoint, false);
        }
    }
}
