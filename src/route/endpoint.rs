//! State of endpoints: load, tiers, ejection and readmission.

use crate::route::{
    EndpointKey, ServiceKey,
    health::{self, Phase},
    retry_after::seconds,
    router::Router,
    spec::Call,
    table::{Attempt, CallKey, Counted, EndpointRow, FAR_TIER, REMOTE_TIER, Timer},
};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pause before a silent endpoint that could not be ejected is checked again.
pub(super) const SILENCE_RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time constant by which the reported load of other entries decays.
const OTHERS_LOAD_DECAY_SECS: f64 = 1.0;
/// Age up to which reported free cache memory is used.
const CACHE_REPORT_TTL: Duration = Duration::from_secs(2);
/// Endpoints in the entry's data centre that it uses first. Fewer streams and
/// warmer caches, at the price of less choice.
const SUBSET_SIZE: usize = 24;
/// Share of a service's endpoints that may be ejected on suspicion. If more look
/// bad, the load or this entry is the likelier cause.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Time after which an endpoint is readmitted without a trial, because a service
/// may have no repeatable calls to try it with.
const TRIAL_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

impl EndpointRow {
    /// Returns whether its cache memory has room for `tokens` more.
    pub(super) fn has_cache_for(&self, now: Instant, tokens: u32) -> bool {
        let tokens = u64::from(tokens);
        let fits_capacity =
            self.spec.cache_tokens == 0 || self.tokens + tokens <= self.spec.cache_tokens;
        // An endpoint without calls of this entry always takes one.
        let unused = self.running == 0;
        let fits_report = self.last_report.is_none_or(|last_report| {
            last_report.report.cache_free == 0
                || now.saturating_duration_since(last_report.valid_at) > CACHE_REPORT_TTL
                || last_report.tokens_sent + tokens <= last_report.report.cache_free
        });
        unused || (fits_capacity && fits_report)
    }

    /// Returns the calls that would run there with one more, those of other entries included.
    pub(super) fn load(&self, now: Instant) -> f64 {
        f64::from(self.running) + self.others_load(now) + 1.0
    }

    /// Returns its load relative to its limit and speed; lower is better.
    pub(super) fn score(&self, now: Instant) -> f64 {
        self.load(now) * self.health.latency_ratio() / f64::from(self.limit.get().max(1))
    }

    /// Returns the calls of other entries there, decayed with the report's age.
    pub(super) fn others_load(&self, now: Instant) -> f64 {
        let Some(last_report) = self.last_report else {
            return 0.0;
        };
        let all = last_report
            .report
            .running
            .saturating_add(last_report.report.queued);
        let age = now
            .saturating_duration_since(last_report.valid_at)
            .as_secs_f64();
        f64::from(all.saturating_sub(last_report.own_running))
            * (-age / OTHERS_LOAD_DECAY_SECS).exp()
    }

    pub(super) fn add_attempt(
        &mut self,
        now: Instant,
        key: CallKey,
        call: &Call,
        work: f64,
        trial: bool,
    ) {
        self.running += 1;
        self.tokens += u64::from(call.tokens);
        self.recent_work.add(now, work);
        self.attempts.insert((now, key));
        if let Some(last_report) = &mut self.last_report {
            last_report.tokens_sent += u64::from(call.tokens);
        }
        if trial {
            self.health.phase = Phase::Trial;
        }
    }

    pub(super) fn remove_attempt(&mut self, key: CallKey, attempt: &Attempt, call: &Call) {
        self.running -= 1;
        self.tokens -= u64::from(call.tokens);
        self.attempts.remove(&(attempt.start, key));
    }
}

impl Router {
    /// Updates the pools and sums after a change of an endpoint's row.
    pub(super) fn refresh(&mut self, now: Instant, key: EndpointKey) {
        let row = &mut self.endpoints[key];
        let capacity = if row.is_usable() { row.limit.get() } else { 0 };
        let backing_off = row.limit.backoff_until(now).is_some();
        let free_slots = if backing_off {
            0
        } else {
            capacity.saturating_sub(row.running)
        };
        let before = row.counted;
        row.counted = Counted {
            capacity,
            free_slots,
            is_held: row.accepting && row.health.is_healthy() && row.is_held(),
        };
        let service = &mut self.services[row.service];
        service.held = service.held + u32::from(row.counted.is_held) - u32::from(before.is_held);
        service.capacity = service.capacity + capacity - before.capacity;
        service.free_slots = service.free_slots + free_slots - before.free_slots;
        let position = self.topology.position(row.region);
        let region = &mut service.regions[position];
        region.capacity = region.capacity + capacity - before.capacity;
        region.free_slots = region.free_slots + free_slots - before.free_slots;
        region.held = region.held + u32::from(row.counted.is_held) - u32::from(before.is_held);
        match (before.capacity > 0, capacity > 0) {
            (false, true) => {
                service.usable += 1;
                region.usable += 1;
            }
            (true, false) => {
                service.usable -= 1;
                region.usable -= 1;
                service.slowness.remove(key);
            }
            _ => {}
        }
        let pool_number = row.pool(position, service.regions.len());
        let pool = &mut service.pools[pool_number];
        match (row.pool_index, free_slots > 0) {
            (None, true) => {
                row.pool_index = Some(pool.len());
                pool.push(key);
            }
            (Some(pool_index), false) => {
                row.pool_index = None;
                pool.swap_remove(pool_index);
                if let Some(moved) = pool.get(pool_index).copied() {
                    self.endpoints[moved].pool_index = Some(pool_index);
                }
            }
            _ => {}
        }
    }

    /// Removes an endpoint from all sums and pools.
    pub(super) fn remove_from_sums(&mut self, now: Instant, key: EndpointKey) {
        let row = &mut self.endpoints[key];
        let accepting = row.accepting;
        row.accepting = false;
        self.refresh(now, key);
        self.endpoints[key].accepting = accepting;
    }

    /// Assigns a service's endpoints to tiers. The subset is chosen by rendezvous
    /// hashing, so that adding or removing an endpoint changes one member of it.
    pub(super) fn set_tiers(&mut self, now: Instant, service: ServiceKey) {
        let keys = self.services[service].endpoints.clone();
        let rank = |key: &EndpointKey| {
            let name = &self.endpoints[*key].spec.name;
            xxh3_64_with_seed(name.as_bytes(), self.seed)
        };
        let is_local =
            |key: &EndpointKey| self.topology.is_own(&self.endpoints[*key].spec.data_centre);
        let (mut local, remote): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_local);
        if local.len() > SUBSET_SIZE {
            local.sort_by_cached_key(rank);
        }
        let local = local.into_iter().enumerate();
        let tiers = local.map(|(index, key)| (key, usize::from(index >= SUBSET_SIZE)));
        let remote: Vec<(EndpointKey, usize)> = remote
            .into_iter()
            .map(|key| {
                let is_far = self.topology.is_far(self.endpoints[key].region);
                (key, if is_far { FAR_TIER } else { REMOTE_TIER })
            })
            .collect();
        for (key, tier) in tiers.chain(remote) {
            if self.endpoints[key].tier != tier {
                self.remove_from_sums(now, key);
                self.endpoints[key].tier = tier;
            }
            self.refresh(now, key);
        }
    }

    pub(super) fn drop_endpoint(&mut self, now: Instant, key: EndpointKey) {
        self.remove_from_sums(now, key);
        let Some(row) = self.endpoints.remove(key) else {
            return;
        };
        let service = &mut self.services[row.service];
        service.endpoints.retain(|other| *other != key);
        service.awaiting_trial.retain(|other| *other != key);
        service.ring.remove(key);
        service.warm.remove(key);
        if row.health.is_healthy() {
            row.health.leave_peers(&mut service.peers);
        } else {
            service.ejected -= 1;
        }
        if let Some(timer_at) = row.timer_at {
            self.timers.remove(&(timer_at, Timer::Endpoint(key)));
        }
    }

    /// Ejects an endpoint for a while. Unless `certain`, only while the share of
    /// ejected endpoints allows it.
    pub(super) fn eject(&mut self, now: Instant, key: EndpointKey, certain: bool) {
        let Some(row) = self.endpoints.get_mut(key) else {
            return;
        };
        // Outcomes of calls that were in flight at the ejection don't extend it.
        if matches!(row.health.phase, Phase::Ejected(_)) {
            return;
        }
        let service = &mut self.services[row.service];
        let healthy = row.health.is_healthy();
        let max_ejected = service.endpoints.len() as f64 * MAX_EJECTED_SHARE;
        // Some calls may only use this region.
        let usable = if self.topology.is_divided() {
            service.regions[self.topology.position(row.region)].usable
        } else {
            service.usable
        };
        if healthy && !certain && (f64::from(service.ejected) + 1.0 > max_ejected || usable < 2) {
            return;
        }
        if healthy {
            row.health.leave_peers(&mut service.peers);
            service.ejected += 1;
        }
        service.awaiting_trial.retain(|other| *other != key);
        let until = row.health.eject(now);
        row.limit.restart();
        let service_key = row.service;
        self.refresh(now, key);
        self.set_endpoint_timer(key, until);
        if healthy {
            self.refuse_unanswerable(now, service_key);
        }
    }

    pub(super) fn readmit(&mut self, now: Instant, key: EndpointKey) {
        let row = &mut self.endpoints[key];
        if !row.health.is_healthy() {
            row.health.readmit();
            let service = &mut self.services[row.service];
            service.ejected -= 1;
            service.awaiting_trial.retain(|other| *other != key);
        }
        self.refresh(now, key);
    }

    /// Sets the timer for the end of a backoff or the next check for silence.
    pub(super) fn schedule_check(&mut self, now: Instant, key: EndpointKey) {
        let row = &self.endpoints[key];
        if let Some(until) = row.limit.backoff_until(now) {
            self.set_endpoint_timer(key, until);
        } else if row.timer_at.is_none()
            && let Some(at) = self.silence_deadline(key)
        {
            self.set_endpoint_timer(key, at.max(now));
        }
    }

    /// Returns when the endpoint will have been silent for too long.
    fn silence_deadline(&self, key: EndpointKey) -> Option<Instant> {
        let row = &self.endpoints[key];
        let (start, call) = row.attempts.first()?;
        let since = row.health.last_activity.map_or(*start, |at| at.max(*start));
        let estimate = self.estimate(&self.calls[*call].call);
        let limit = health::silence_limit(estimate.map(|e| e.p99));
        Some(since + seconds(limit * self.last_slowness(key)))
    }

    fn set_endpoint_timer(&mut self, key: EndpointKey, at: Instant) {
        let row = &mut self.endpoints[key];
        if let Some(timer_at) = row.timer_at {
            if timer_at <= at && row.health.is_healthy() {
                return;
            }
            self.timers.remove(&(timer_at, Timer::Endpoint(key)));
        }
        row.timer_at = Some(at);
        self.timers.insert((at, Timer::Endpoint(key)));
    }

    pub(super) fn handle_endpoint_timer(&mut self, now: Instant, key: EndpointKey) {
        let row = &mut self.endpoints[key];
        row.timer_at = None;
        let service = row.service;
        match row.health.phase {
            Phase::Ejected(until) if until <= now => {
                row.health.phase = Phase::AwaitingTrial;
                if row.accepting {
                    self.services[service].awaiting_trial.push(key);
                }
                self.set_endpoint_timer(key, now + TRIAL_WAIT_TIMEOUT);
            }
            Phase::Ejected(until) => self.set_endpoint_timer(key, until),
            Phase::AwaitingTrial => self.readmit(now, key),
            Phase::Healthy | Phase::Trial => self.check_silence(now, key),
        }
        self.dispatch(now, service);
    }

    fn check_silence(&mut self, now: Instant, key: EndpointKey) {
        self.refresh(now, key);
        let Some(at) = self.silence_deadline(key) else {
            return;
        };
        if at > now {
            self.set_endpoint_timer(key, at);
            return;
        }
        let trial = !self.endpoints[key].health.is_healthy();
        self.eject(now, key, trial);
        if self.endpoints[key].health.is_healthy() {
            // Too many endpoints are ejected already.
            self.set_endpoint_timer(key, now + SILENCE_RECHECK_INTERVAL);
        } else {
            self.rerun_calls(now, key);
        }
    }
}
