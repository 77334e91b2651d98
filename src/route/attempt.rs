//! Start and end of attempts, and what follows from their outcomes.
//!
//! All decisions to retry are made here. A call is retried only if it is
//! repeatable or surely did not run, budget and time are left, and no other
//! attempt of it is running. A call that must run at most once is never
//! restarted after an attempt that may have run.

use crate::{
    class::Class,
    error::{ErrorKind, Retry},
    route::{
        EndpointKey,
        decay::ceil_to_u32,
        health::{Health, Phase},
        limit::Sample,
        retry::{RERUN_COST, RESEND_COST},
        retry_after::seconds,
        router::Router,
        slowness::SLOW_FACTOR,
        spec::{Call, Step},
        table::{Attempt, CallKey},
    },
};
use std::time::{Duration, Instant};

/// Attempts of one call, counting those that did not run, after which it is not
/// sent again. Attempts without a connection don't end a call.
const MAX_STARTS: u8 = 6;

/// Weight of one call in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 1.0 / 64.0;
/// Cap on the slowdown of one call, so that a single very long call among short
/// ones does not stop admission.
const MAX_SLOWDOWN: f64 = 8.0;

impl Router {
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        key: CallKey,
        endpoint: EndpointKey,
        trial: bool,
    ) {
        self.dequeue(key, true);
        let row = &mut self.calls[key];
        let (call, work, repeatable) = (row.call, row.work, row.is_repeatable());
        let account = row.queue_account;
        let hedge = row.is_running();
        let attempt_index = usize::from(row.attempts[0].is_some());
        let endpoint_row = &self.endpoints[endpoint];
        let other_calls = ceil_to_u32(endpoint_row.others_load(now));
        let low_load = endpoint_row.limit.is_low_load(endpoint_row.running)
            && endpoint_row.limit.is_low_load(other_calls);
        let slowness = self.slowness(now, endpoint);
        let row = &mut self.calls[key];
        row.attempts[attempt_index] = Some(Attempt {
            endpoint,
            start: now,
            trial,
            low_load,
            slowness,
        });
        row.attempts_started = row.attempts_started.saturating_add(1);
        row.last_endpoint = Some(endpoint);
        let first = row.attempts_started == 1;
        let service = &mut self.services[call.service];
        let class = call.class.index();
        service.running[class] += 1;
        if !hedge {
            service.add_priority_work(now, call.class, account, work);
        }
        service.add_running(call.account.unwrap_or_default().id);
        service.recent_peaks[class].raise_to(now, f64::from(service.running[class]));
        service.recent_work.add(now, work);
        let position = self.topology.position(self.endpoints[endpoint].region);
        service.regions[position].recent_work.add(now, work);
        if first {
            service.budget.earn();
        }
        if repeatable && !hedge && call.class != Class::Interactive {
            service.preemptible.insert((now, key));
        }
        let endpoint_row = &mut self.endpoints[endpoint];
        endpoint_row.add_attempt(now, key, &call, work, trial);
        if let Some(room) = &mut endpoint_row.admission.calls {
            *room = room.saturating_sub(1);
        }
        self.refresh(now, endpoint);
        self.schedule_check(now, endpoint);
        if !hedge {
            let timer_at = self.hedge_time(now, key).unwrap_or(call.deadline);
            self.set_call_timer(key, timer_at);
        }
        self.steps.push_back(Step::Start {
            id: call.id,
            endpoint,
            hedge,
        });
    }

    /// Returns when a hedge of a call that starts now is due: at the 95th
    /// percentile of its service time, but not before 1.5 times the median.
    ///
    /// Rollouts are not hedged, because no caller waits for a single one.
    fn hedge_time(&self, now: Instant, key: CallKey) -> Option<Instant> {
        let row = &self.calls[key];
        let eligible = row.is_repeatable() && row.call.class != Class::Rollout;
        let estimate = self.estimate(&row.call).filter(|_| eligible)?;
        let at = now + seconds(estimate.p95.max(estimate.p50 * 1.5));
        (at < row.call.deadline).then_some(at)
    }

    /// Removes an attempt from its call and from all sums.
    fn detach(&mut self, now: Instant, key: CallKey, attempt_index: usize) -> Option<Attempt> {
        let row = &mut self.calls[key];
        let attempt = row.attempts[attempt_index].take()?;
        let (call, account, work) = (row.call, row.queue_account, row.work);
        let service = &mut self.services[call.service];
        service.running[call.class.index()] -= 1;
        service.remove_running(call.account.unwrap_or_default().id);
        // The account was charged the expected time at the start. A hedge was not charged.
        if attempt_index == 0 {
            let elapsed = (now - attempt.start).as_secs_f64();
            service.queues[call.class.index()].correct(account, elapsed - work);
        }
        service.preemptible.remove(&(attempt.start, key));
        if let Some(row) = self.endpoints.get_mut(attempt.endpoint) {
            row.remove_attempt(key, &attempt, &call);
            self.refresh(now, attempt.endpoint);
        }
        Some(attempt)
    }

    /// Cancels an attempt; later events of it are ignored.
    pub(super) fn cancel_attempt(&mut self, now: Instant, key: CallKey, attempt_index: usize) {
        let Some(attempt) = self.detach(now, key, attempt_index) else {
            return;
        };
        let row = &mut self.calls[key];
        row.run_error = row.run_error.or(Some(ErrorKind::TimedOut));
        self.steps.push_back(Step::Cancel {
            id: row.call.id,
            endpoint: attempt.endpoint,
        });
        let row = self.endpoints.get(attempt.endpoint);
        if row.is_some_and(|row| attempt.trial && row.health.phase == Phase::Trial) {
            self.eject(now, attempt.endpoint, true);
        }
    }

    fn end_attempt(
        &mut self,
        now: Instant,
        key: CallKey,
        endpoint: EndpointKey,
    ) -> Option<Attempt> {
        let attempts = &self.calls[key].attempts;
        let attempt_index = attempts
            .iter()
            .position(|attempt| attempt.is_some_and(|a| a.endpoint == endpoint))?;
        self.detach(now, key, attempt_index)
    }

    pub(super) fn finish_answered(&mut self, now: Instant, key: CallKey, endpoint: EndpointKey) {
        let running = self.endpoints.get(endpoint).map_or(0, |row| row.running);
        let Some(attempt) = self.end_attempt(now, key, endpoint) else {
            return;
        };
        let call = self.calls[key].call;
        let elapsed = now - attempt.start;
        self.record_latency(now, &call, &attempt, running, elapsed);
        // The attempt that lost to its hedge took at least this long. Without
        // this sample a slow endpoint whose calls are all hedged stays unnoticed.
        self.record_unfinished(now, key);
        self.record_on_time(call.service);
        let slowdown = self
            .estimate(&call)
            .map_or(1.0, |e| elapsed.as_secs_f64() / e.mean);
        let service = &mut self.services[call.service];
        service.slowdown += SLOWDOWN_WEIGHT * (slowdown.min(MAX_SLOWDOWN) - service.slowdown);
        let service_times = &mut self.services[call.service].service_times;
        service_times.add(&call, elapsed, attempt.low_load);
        self.remove_call(now, key);
    }

    /// Records how long a call's running attempt has taken so far, unless that is
    /// still within the baseline.
    pub(super) fn record_unfinished(&mut self, now: Instant, key: CallKey) {
        let row = &self.calls[key];
        let call = row.call;
        let Some(attempt) = row.attempts.iter().flatten().next().copied() else {
            return;
        };
        let elapsed = now - attempt.start;
        let baseline = self.estimate(&call).map_or(f64::MAX, |e| e.baseline);
        if elapsed.as_secs_f64() > baseline && !attempt.trial {
            self.record_latency(now, &call, &attempt, 1, elapsed);
        }
    }

    pub(super) fn finish_not_run(
        &mut self,
        now: Instant,
        key: CallKey,
        endpoint: EndpointKey,
        kind: ErrorKind,
    ) {
        let Some(attempt) = self.end_attempt(now, key, endpoint) else {
            return;
        };
        self.record_refusal(now, &attempt, kind);
        let row = &self.calls[key];
        let call = row.call;
        if row.is_running() {
            return;
        }
        // Endpoints that can't be reached are paused, so a call tries each only now and then.
        let may_start = row.attempts_started < MAX_STARTS || kind == ErrorKind::EndpointDown;
        let retry = kind.answer().retry == Retry::After && may_start && !row.committed;
        let retry = retry && self.can_answer_in_time(now, &call);
        // Known to be impossible where all endpoints are ejected.
        let has_endpoint = self.check_endpoints(call.service, call.regions).is_ok();
        // A call that was not sent adds no load when it is sent elsewhere.
        let is_unsent = kind == ErrorKind::NoEndpoint;
        let service = &mut self.services[call.service];
        if retry && has_endpoint && (is_unsent || service.budget.try_spend(RESEND_COST)) {
            self.enqueue(now, key);
        } else {
            self.refuse(now, key, kind);
        }
    }

    fn record_refusal(&mut self, now: Instant, attempt: &Attempt, kind: ErrorKind) {
        let endpoint = attempt.endpoint;
        let Some(row) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        self.services[row.service].warm.remove(endpoint);
        match kind {
            ErrorKind::Saturated | ErrorKind::HandoverFull => {
                row.limit.record_refusal(now, row.running);
                if attempt.trial {
                    self.readmit(now, endpoint);
                }
                self.refresh(now, endpoint);
                self.schedule_check(now, endpoint);
            }
            ErrorKind::EndpointDown => match row.health.record_refused_connection() {
                // It looks idle, so calls would be drawn to it again and again.
                Some(pause) if !attempt.trial => {
                    row.limit.back_off(now + pause);
                    self.refresh(now, endpoint);
                    self.schedule_check(now, endpoint);
                }
                _ => self.eject(now, endpoint, true),
            },
            // Nothing was sent, which tells nothing about the endpoint.
            ErrorKind::NoEndpoint if !attempt.trial => {}
            _ if kind.answer().retry == Retry::After => self.eject(now, endpoint, true),
            _ if attempt.trial => self.readmit(now, endpoint),
            _ => {}
        }
    }

    pub(super) fn finish_failed(
        &mut self,
        now: Instant,
        key: CallKey,
        endpoint: EndpointKey,
        kind: ErrorKind,
    ) {
        let Some(attempt) = self.end_attempt(now, key, endpoint) else {
            return;
        };
        let service = self.calls[key].call.service;
        self.services[service].warm.remove(endpoint);
        let failing = self
            .endpoints
            .get_mut(endpoint)
            .is_some_and(|row| row.health.record_failure());
        if failing || attempt.trial {
            self.eject(now, endpoint, attempt.trial);
        }
        let row = &mut self.calls[key];
        row.run_error = Some(kind);
        if row.is_running() {
            return;
        }
        let call = row.call;
        let retry = row.can_rerun()
            && row.attempts_started < row.call.max_attempts
            && self.can_answer_in_time(now, &call);
        if retry && self.services[call.service].budget.try_spend(RERUN_COST) {
            self.enqueue(now, key);
        } else {
            self.refuse(now, key, kind);
        }
    }

    /// Requeues the calls at a silent endpoint that may run elsewhere.
    pub(super) fn rerun_calls(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(row) = self.endpoints.get(endpoint) else {
            return;
        };
        let service = row.service;
        let keys: Vec<CallKey> = row.attempts.iter().map(|(_, key)| *key).collect();
        for key in keys {
            let row = &self.calls[key];
            let unhedged = row.attempts[1].is_none();
            let eligible = unhedged
                && row.can_rerun()
                && row.attempts_started < row.call.max_attempts
                && self.can_answer_in_time(now, &row.call);
            if eligible && self.services[service].budget.try_spend(RERUN_COST) {
                self.requeue(now, key);
            }
        }
    }

    /// Records the latency of an attempt and compares it with the expected time
    /// and with the endpoint's peers.
    fn record_latency(
        &mut self,
        now: Instant,
        call: &Call,
        attempt: &Attempt,
        running: u32,
        elapsed: Duration,
    ) {
        let secs = elapsed.as_secs_f64().max(1e-6);
        let estimate = self.estimate(call);
        // The pace may have changed on the way.
        let slowness = self.slowness(now, attempt.endpoint).max(attempt.slowness);
        let ratio = estimate.map_or(1.0, |e| secs / e.baseline) / slowness;
        let Some(row) = self.endpoints.get_mut(attempt.endpoint) else {
            return;
        };
        row.health.last_activity = Some(now);
        let peers = &mut self.services[call.service].peers;
        if attempt.trial {
            if Health::passes_trial(ratio, peers) {
                self.readmit(now, attempt.endpoint);
            } else {
                self.eject(now, attempt.endpoint, true);
            }
            return;
        }
        let sample = Sample {
            elapsed,
            unloaded: estimate.map_or(secs, |e| e.unloaded * slowness),
            running,
            low_load: attempt.low_load,
            reliable: estimate.is_some_and(|e| e.reliable),
            from_low_load: estimate.is_some_and(|e| e.from_low_load),
        };
        row.limit.record(now, &sample);
        // The report of a slow host explains its latency. Compared with the peers', it would
        // eject the endpoint, or others if the pace changed during the attempt.
        if !row.health.is_healthy() || slowness >= SLOW_FACTOR {
            return;
        }
        row.health.leave_peers(peers);
        let outlier = row.health.record_answer(ratio, peers);
        row.health.join_peers(peers);
        if outlier {
            self.eject(now, attempt.endpoint, false);
        }
        self.refresh(now, attempt.endpoint);
    }
}
