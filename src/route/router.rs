//! The router: its tables, the events that go in, the steps that come out.

use crate::{
    class::Class,
    error::ErrorKind,
    id::RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, ServiceKey, ServiceSpec, Step,
        place::DISPATCH_INTERVAL,
        table::{CallKey, CallRow, EndpointRow, ReceivedReport, ServiceRow, Timer},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use slotmap::SlotMap;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Expected seconds of a call before any was answered.
const DEFAULT_WORK_SECS: f64 = 0.05;

/// Decides where the calls of one entry run.
///
/// Each event names the present instant, which never goes back.
#[derive(Debug)]
pub struct Router {
    pub(super) data_centre: String,
    pub(super) seed: u64,
    pub(super) rng: Pcg64,
    pub(super) service_keys: HashMap<String, ServiceKey>,
    pub(super) services: SlotMap<ServiceKey, ServiceRow>,
    pub(super) endpoints: SlotMap<EndpointKey, EndpointRow>,
    pub(super) calls: SlotMap<CallKey, CallRow>,
    pub(super) call_keys: HashMap<RequestId, CallKey>,
    pub(super) timers: BTreeSet<(Instant, Timer)>,
    pub(super) steps: VecDeque<Step>,
    pub(super) ring_candidates: Vec<EndpointKey>,
    seq: u64,
}

impl Router {
    /// Creates a router for an entry that stands at `place`.
    ///
    /// `seed` starts the random choices, so that a test can repeat them.
    #[must_use]
    pub fn new(data_centre: &str, seed: u64) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            seed,
            rng: Pcg64::seed_from_u64(seed),
            service_keys: HashMap::new(),
            services: SlotMap::with_key(),
            endpoints: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            call_keys: HashMap::new(),
            timers: BTreeSet::new(),
            steps: VecDeque::new(),
            ring_candidates: Vec::new(),
            seq: 0,
        }
    }

    /// Adds a service, or changes the one of this name.
    pub fn set_service(&mut self, now: Instant, name: &str, spec: ServiceSpec) -> ServiceKey {
        if let Some(key) = self.service(name) {
            self.services[key].spec = spec;
            self.dispatch(now, key);
            return key;
        }
        let key = self.services.insert(ServiceRow::new(spec));
        self.service_keys.insert(name.to_owned(), key);
        key
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_keys.get(name).copied()
    }

    /// Adds an endpoint that takes work at once.
    ///
    /// # Panics
    ///
    /// Panics if `service` is not one of this router.
    pub fn add_endpoint(
        &mut self,
        now: Instant,
        service: ServiceKey,
        spec: EndpointSpec,
    ) -> EndpointKey {
        let key = self.insert_endpoint(service, spec);
        self.set_tiers(now, service);
        self.dispatch(now, service);
        key
    }

    /// Adds endpoints that take work at once.
    ///
    /// Endpoints that become known together are to come together: whose subset each is
    /// in depends on all of them, and is found out once.
    ///
    /// # Panics
    ///
    /// Panics if `service` is not one of this router.
    pub fn add_endpoints(
        &mut self,
        now: Instant,
        service: ServiceKey,
        specs: impl IntoIterator<Item = EndpointSpec>,
    ) -> Vec<EndpointKey> {
        let keys = specs
            .into_iter()
            .map(|spec| self.insert_endpoint(service, spec))
            .collect();
        self.set_tiers(now, service);
        self.dispatch(now, service);
        keys
    }

    fn insert_endpoint(&mut self, service: ServiceKey, spec: EndpointSpec) -> EndpointKey {
        let name = spec.name.clone();
        let key = self.endpoints.insert(EndpointRow::new(service, spec));
        let row = &mut self.services[service];
        row.endpoints.push(key);
        row.ring.add(key, &name);
        key
    }

    /// Says whether the endpoint takes new work.
    pub fn set_open(&mut self, now: Instant, endpoint: EndpointKey, open: bool) {
        let Some(row) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if row.accepting == open {
            return;
        }
        row.accepting = open;
        let service = row.service;
        let healthy = row.health.is_healthy();
        self.refresh(now, endpoint);
        if !open {
            self.services[service]
                .awaiting_trial
                .retain(|key| *key != endpoint);
            self.refuse_unanswerable(now, service);
        } else if !healthy {
            // Whoever opens it again knows more than an old suspicion.
            self.readmit(now, endpoint);
        }
        self.dispatch(now, service);
    }

    /// Forgets an endpoint; what still runs there is reported by the entry.
    pub fn remove_endpoint(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(service) = self.endpoints.get(endpoint).map(|row| row.service) else {
            return;
        };
        self.drop_endpoint(now, endpoint);
        self.set_tiers(now, service);
        self.refuse_unanswerable(now, service);
        self.dispatch(now, service);
    }

    /// Takes a call in; the answer comes out as steps.
    ///
    /// A call whose id is known already is ignored.
    pub fn arrive(&mut self, now: Instant, call: Call) {
        if self.call_keys.contains_key(&call.id) {
            return;
        }
        if !self.services.contains_key(call.service) {
            self.steps.push_back(Step::Refuse {
                id: call.id,
                kind: ErrorKind::UnknownService,
                after: Duration::ZERO,
            });
            return;
        }
        let work = self.estimate(&call).map_or(DEFAULT_WORK_SECS, |e| e.mean);
        self.seq += 1;
        let key = self.calls.insert(CallRow::new(call, work, self.seq));
        self.call_keys.insert(call.id, key);
        if self.admit(now, key) {
            self.dispatch(now, call.service);
        }
    }

    /// Forgets a call whose caller has gone, and cancels what runs of it.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        if let Some(key) = self.call_keys.get(&id).copied() {
            let service = self.calls[key].call.service;
            self.remove_call(now, key);
            self.dispatch(now, service);
        }
    }

    /// Notes that an attempt gave a sign of life: `tokens` so far.
    pub fn progress(&mut self, now: Instant, id: RequestId, endpoint: EndpointKey, _tokens: u64) {
        let running_there = self
            .call_keys
            .get(&id)
            .is_some_and(|key| self.calls[*key].runs_at(endpoint));
        if let Some(row) = self.endpoints.get_mut(endpoint).filter(|_| running_there) {
            row.health.last_activity = Some(now);
        }
    }

    /// Notes that the caller has got part of this attempt's answer.
    ///
    /// From then on no other attempt can answer the call, so it is neither
    /// hedged nor moved nor tried again, and a hedge of it is cancelled.
    pub fn commit(&mut self, now: Instant, id: RequestId, endpoint: EndpointKey) {
        let Some(key) = self.call_keys.get(&id).copied() else {
            return;
        };
        let row = &mut self.calls[key];
        if !row.runs_at(endpoint) {
            return;
        }
        row.committed = true;
        row.run_error = Some(ErrorKind::AnswerShort);
        let attempts = row.attempts;
        let service = row.call.service;
        for (attempt_index, attempt) in attempts.iter().enumerate() {
            if attempt.is_some_and(|attempt| attempt.endpoint != endpoint) {
                self.cancel_attempt(now, key, attempt_index);
            }
        }
        self.dispatch(now, service);
    }

    /// Notes how an attempt ended.
    ///
    /// A [`Step::Refuse`] or another [`Step::Start`] follows unless it was
    /// answered or a hedge of it still runs. What is told of an attempt that
    /// was cancelled before is ignored.
    pub fn finish(&mut self, now: Instant, id: RequestId, endpoint: EndpointKey, outcome: Outcome) {
        let Some(key) = self.call_keys.get(&id).copied() else {
            return;
        };
        let service = self.calls[key].call.service;
        match outcome {
            Outcome::Answered => self.finish_answered(now, key, endpoint),
            Outcome::NotRun(kind) => self.finish_not_run(now, key, endpoint, kind),
            Outcome::Failed(kind) => self.finish_failed(now, key, endpoint, kind),
        }
        self.dispatch(now, service);
    }

    /// Takes in what an endpoint reported of itself.
    ///
    /// The reports may lag, have gaps or be absent altogether.
    pub fn report(&mut self, now: Instant, endpoint: EndpointKey, report: LoadReport) {
        let Some(row) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        row.limit.set_max(report.limit);
        // Only an engine that batches reports its cache.
        if report.cache_free > 0 {
            row.limit.record_engine_load(report.running, report.queued);
        }
        row.last_report = Some(ReceivedReport {
            report,
            valid_at: now.checked_sub(report.age).unwrap_or(now),
            own_running: row.running,
            tokens_sent: 0,
        });
        let service = row.service;
        self.refresh(now, endpoint);
        if !self.services[service].queues_empty() {
            self.dispatch(now, service);
        }
    }

    /// Runs what is due: expiry, hedges, trials and placement.
    pub fn tick(&mut self, now: Instant) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Call(key) => self.handle_call_timer(now, key),
                Timer::Endpoint(key) => self.handle_endpoint_timer(now, key),
                Timer::Service(key) => self.handle_service_timer(now, key),
            }
        }
    }

    /// Says when [`Router::tick`] has something to do at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes out the next step, if there is one.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Returns how many calls of a class wait for a service.
    #[must_use]
    pub fn waiting(&self, service: ServiceKey, class: Class) -> usize {
        self.services
            .get(service)
            .map_or(0, |row| row.queue(class).len())
    }

    /// Returns how many attempts of a class run for a service.
    #[must_use]
    pub fn running(&self, service: ServiceKey, class: Class) -> u32 {
        let row = self.services.get(service);
        row.map_or(0, |row| row.running[class.index()])
    }

    /// Returns how many attempts run at an endpoint, and how many may.
    #[must_use]
    pub fn load(&self, endpoint: EndpointKey) -> Option<(u32, u32)> {
        let row = self.endpoints.get(endpoint)?;
        let limit = if row.is_usable() { row.limit.get() } else { 0 };
        Some((row.running, limit))
    }

    /// Sets a call's timer unless it goes off sooner: it is then set again.
    pub(super) fn set_call_timer(&mut self, key: CallKey, at: Instant) {
        let row = &mut self.calls[key];
        if row.timer_at.is_some_and(|timer_at| timer_at <= at) {
            return;
        }
        if let Some(timer_at) = row.timer_at.replace(at) {
            self.timers.remove(&(timer_at, Timer::Call(key)));
        }
        self.timers.insert((at, Timer::Call(key)));
    }

    fn handle_call_timer(&mut self, now: Instant, key: CallKey) {
        let row = &mut self.calls[key];
        let service = row.call.service;
        row.timer_at = None;
        if now >= row.call.deadline || (row.queued && now >= row.latest_start) {
            let kind = match (row.is_running(), now >= row.call.deadline) {
                (true, _) => ErrorKind::TimedOut,
                (false, true) => ErrorKind::Expired,
                (false, false) => ErrorKind::Saturated,
            };
            self.record_timeout(now, key);
            self.record_late(service);
            self.refuse(now, key, kind);
            self.dispatch(now, service);
            return;
        }
        let next = if row.queued {
            row.latest_start
        } else {
            row.call.deadline
        };
        self.set_call_timer(key, next);
        self.start_hedge(now, key);
    }

    /// Looks again at a service with a backlog: reserves fade without events.
    fn handle_service_timer(&mut self, now: Instant, key: ServiceKey) {
        self.services[key].timer_at = None;
        self.dispatch(now, key);
        let row = &mut self.services[key];
        if !row.queues_empty() {
            row.timer_at = Some(now + DISPATCH_INTERVAL);
            self.timers
                .insert((now + DISPATCH_INTERVAL, Timer::Service(key)));
        }
    }
}
