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
pub(super) const PUMP: Duration = Duration::from_millis(50);
/// Draws at most, when those drawn have no cache memory left for the call.
const DRAWS: usize = 8;
/// Endpoints that are looked at one by one if no draw fits.
const SCAN: usize = 16;
/// Work that an endpoint may get above the mean before a prefix goes to the
/// next one: the busiest is to stay within 1.25 of the mean.
const BOUND: f64 = 1.1;
/// An endpoint at the entry's place that is fuller than this is compared with
/// one elsewhere: the limit has headroom, and a wait behind another call is
/// longer than the way to another place.
const BUSY: f64 = 0.7;
/// Slots that are taken back at a time; the next look is an event away.
const BACK: usize = 8;
/// A rollout that lost its slot twice keeps the next one.
const YIELDS: u8 = 2;
/// Waiting for a rollout to end is fine for so much of an urgent call's time.
const PATIENCE: f64 = 0.25;

impl Router {
    /// Places what waits for a service, as far as there is room.
    pub(super) fn pump(&mut self, now: Instant, service: ServiceKey) {
        if self.services[service].queues_empty() {
            return;
        }
        self.place(now, service);
        if self.take_back(now, service) {
            self.place(now, service);
        }
    }

    fn place(&mut self, now: Instant, service: ServiceKey) {
        let mut skip = [false; 3];
        while let Some(class) = share::next(&self.services[service], now, skip) {
            let Some((_, first)) = self.services[service].queue(class).first() else {
                return;
            };
            let key = first.call;
            if !self.in_time(now, &self.calls[key].call) {
                self.missed(service);
                self.refuse(now, key, ErrorKind::Saturated);
                continue;
            }
            match self.choose(now, key) {
                Some((endpoint, trial)) => self.start(now, key, endpoint, trial),
                None => skip[class.index()] = true,
            }
        }
    }

    /// Chooses an endpoint, and says whether the call tries it out.
    fn choose(&mut self, now: Instant, key: CallKey) -> Option<(EndpointKey, bool)> {
        let row = &self.calls[key];
        let (call, last) = (row.call, row.last_endpoint);
        let fresh = row.is_repeatable() && row.attempts_started == 0;
        let service = &mut self.services[call.service];
        if (fresh || service.usable == 0)
            && let Some(endpoint) = service.awaiting_trial.pop()
        {
            return Some((endpoint, true));
        }
        let other = self.pick(now, &call, last);
        let found = other.or_else(|| self.pick(now, &call, None).filter(|_| last.is_some()));
        found.map(|endpoint| (endpoint, false))
    }

    fn pick(&mut self, now: Instant, call: &Call, not: Option<EndpointKey>) -> Option<EndpointKey> {
        if self.services[call.service].free_slots == 0 {
            return None;
        }
        if let Some(prefix) = call.prefix {
            let cached = self.cached(now, call, prefix, not);
            if cached.is_some() {
                return cached;
            }
        }
        let mut best: Option<(EndpointKey, f64)> = None;
        for tier in 0..TIERS {
            let Some((key, score)) = self.draw(now, call, tier, not) else {
                continue;
            };
            if score <= BUSY {
                return Some(key);
            }
            if best.is_none_or(|(_, other)| score < other) {
                best = Some((key, score));
            }
        }
        best.map(|(key, _)| key)
    }

    /// Finds an endpoint on the ring that isn't ahead of the others.
    fn cached(
        &mut self,
        now: Instant,
        call: &Call,
        prefix: u64,
        not: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let mut found = std::mem::take(&mut self.found);
        found.clear();
        let row = &mut self.services[call.service];
        row.ring.find(prefix, &mut found);
        let row = &self.services[call.service];
        let mean = row.recent_work.value(now) / f64::from(row.usable.max(1));
        let work = self.expect(call).map_or(0.0, |e| e.mean);
        let most = mean * BOUND + work;
        // Other places count as well: the way there costs milliseconds, reading
        // a prompt again hundreds.
        let mut best: Option<(EndpointKey, f64)> = None;
        for key in &found {
            let row = &self.endpoints[*key];
            let fits = row.pool_index.is_some()
                && Some(*key) != not
                && row.has_cache_for(now, call.tokens);
            let recent_work = row.recent_work.value(now);
            if fits && best.is_none_or(|(_, least)| recent_work < least) {
                best = Some((*key, recent_work));
            }
            if fits && recent_work <= most {
                break;
            }
        }
        self.found = found;
        best.map(|(key, _)| key)
    }

    /// Draws two endpoints of a tier and takes the less loaded one.
    fn draw(
        &mut self,
        now: Instant,
        call: &Call,
        tier: usize,
        not: Option<EndpointKey>,
    ) -> Option<(EndpointKey, f64)> {
        let pool = &self.services[call.service].pools[tier];
        if pool.is_empty() {
            return None;
        }
        let mut best: Option<(EndpointKey, f64)> = None;
        for _ in 0..DRAWS {
            let key = pool[self.rng.random_range(0..pool.len())];
            let row = &self.endpoints[key];
            if Some(key) == not || !row.has_cache_for(now, call.tokens) {
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
        let scan = || pool.iter().take(SCAN).copied();
        let fits = |key: &EndpointKey| {
            Some(*key) != not && self.endpoints[*key].has_cache_for(now, call.tokens)
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
    fn take_back(&mut self, now: Instant, service: ServiceKey) -> bool {
        let mut taken = false;
        for class in [Class::Interactive, Class::Partner] {
            for _ in 0..BACK {
                let row = &self.services[service];
                let waits = row.queue(class).len();
                if waits == 0 || row.free_slots as usize >= waits || !share::owed(row, class) {
                    break;
                }
                let Some(key) = self.yielding(service, class) else {
                    break;
                };
                self.move_call(now, key);
                self.calls[key].preemptions += 1;
                taken = true;
            }
        }
        taken
    }

    fn yielding(&self, service: ServiceKey, class: Class) -> Option<CallKey> {
        let row = &self.services[service];
        let (_, first) = row.queue(class).first()?;
        let mut latest = row.preemptible.iter().rev().take(SCAN).map(|(_, key)| *key);
        latest.find(|key| {
            let call = &self.calls[*key];
            let lower = call.call.class;
            let used = f64::from(row.running[lower.index()]);
            lower > class
                && !call.committed
                && call.preemptions < YIELDS
                && used > row.spec.floors[lower.index()] * f64::from(row.capacity)
                && call.work / used > first.work * PATIENCE
        })
    }

    /// Takes a repeatable call from where it runs and lets it wait again.
    pub(super) fn move_call(&mut self, now: Instant, key: CallKey) {
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
    pub(super) fn hedge(&mut self, now: Instant, key: CallKey) {
        let row = &self.calls[key];
        let call = row.call;
        let (Some(first), None) = (row.attempts[0], row.attempts[1]) else {
            return;
        };
        let broke = matches!(
            row.run_error,
            Some(ErrorKind::EndpointBroken | ErrorKind::AnswerShort)
        );
        if call.alone || broke {
            return;
        }
        let service = &self.services[call.service];
        let slack = service.queues_empty() && service.free_slots * 10 > service.capacity;
        if !slack
            || !row.can_rerun()
            || row.attempts_started >= call.tries
            || !self.in_time(now, &call)
        {
            return;
        }
        let there = self.endpoints.get(first.endpoint);
        let lively = there.is_some_and(|row| {
            row.health.is_healthy() && row.health.last_activity.is_some_and(|at| at > first.start)
        });
        if lively {
            return;
        }
        let Some(endpoint) = self.pick(now, &call, Some(first.endpoint)) else {
            return;
        };
        // What has run for so long takes more than the mean.
        let price = self
            .expect(&call)
            .map_or(RERUN_COST, |e| (e.p99 / e.mean).max(RERUN_COST));
        if self.services[call.service].budget.try_spend(price) {
            self.start(now, key, endpoint, false);
        }
    }
}
