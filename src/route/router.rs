//! The router: its tables, the events that it handles and the steps it returns.

use crate::{
    class::Class,
    contention::Contention,
    error::ErrorKind,
    id::RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, ServiceKey, ServiceSpec, Step,
        table::{
            CallKey, CallRow, DISPATCH_INTERVAL, EndpointRow, ReceivedReport, ServiceRow, Timer,
        },
    },
    topology::Topology,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use slotmap::SlotMap;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Assumed service time of a call before any was answered.
const DEFAULT_WORK_SECS: f64 = 0.05;

/// Decides where and when the calls of one entry run.
///
/// Each event carries the current instant, which must not decrease.
#[derive(Debug)]
pub struct Router {
    pub(super) topology: Topology,
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
    pub(super) contention: Contention,
    /// Limit on the places of one account, in percent.
    pub(super) account_share: Option<u32>,
    /// Services with calls that only cold endpoints without a permit could take.
    pub(super) permit_requests: Vec<ServiceKey>,
    seq: u64,
}

impl Router {
    /// Creates a router for an entry in a data centre.
    ///
    /// `seed` makes the random choices reproducible.
    #[must_use]
    pub fn new(data_centre: &str, seed: u64) -> Self {
        Self {
            topology: Topology::without_regions(data_centre),
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
            contention: Contention::default(),
            account_share: None,
            permit_requests: Vec::new(),
            seq: 0,
        }
    }

    /// Sets the data centres and regions; must be called before services are added.
    #[must_use]
    pub fn topology(mut self, topology: Topology) -> Self {
        self.topology = topology;
        self
    }

    /// Sets for which services contention is expected.
    #[must_use]
    pub const fn contention(mut self, contention: Contention) -> Self {
        self.contention = contention;
        self
    }

    /// Returns whether callers are expected to compete for the endpoints of a service.
    #[must_use]
    pub fn is_contended(&self, service: ServiceKey) -> bool {
        let row = self.services.get(service);
        self.contention
            .is_expected(row.is_some_and(|row| row.shares_hosts))
    }

    /// Returns the service of an endpoint.
    #[must_use]
    pub fn service_of(&self, endpoint: EndpointKey) -> Option<ServiceKey> {
        self.endpoints.get(endpoint).map(|row| row.service)
    }

    /// Adds a service, or replaces the settings of the one with this name.
    pub fn set_service(&mut self, now: Instant, name: &str, spec: ServiceSpec) -> ServiceKey {
        if let Some(key) = self.service(name) {
            self.services[key].spec = spec;
            self.dispatch(now, key);
            return key;
        }
        let row = ServiceRow::new(spec, &self.topology);
        let key = self.services.insert(row);
        self.service_keys.insert(name.to_owned(), key);
        key
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_keys.get(name).copied()
    }

    /// Adds an endpoint, which accepts calls immediately unless its description says otherwise.
    ///
    /// # Panics
    ///
    /// Panics if `service` does not belong to this router.
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

    /// Adds several endpoints, which accept calls immediately unless their descriptions say
    /// otherwise.
    ///
    /// This is cheaper than adding them one by one, because the service's tiers are
    /// assigned only once.
    ///
    /// # Panics
    ///
    /// Panics if `service` does not belong to this router.
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
        let region = self.topology.region(&spec.data_centre);
        let row = EndpointRow::new(service, spec, region);
        let key = self.endpoints.insert(row);
        let row = &mut self.services[service];
        row.endpoints.push(key);
        row.ring.add(key, &name);
        key
    }

    /// Sets whether an endpoint accepts new calls.
    pub fn set_accepting(&mut self, now: Instant, endpoint: EndpointKey, accepting: bool) {
        let Some(row) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if row.accepting == accepting {
            return;
        }
        row.accepting = accepting;
        let service = row.service;
        let healthy = row.health.is_healthy();
        self.refresh(now, endpoint);
        if !accepting {
            self.services[service]
                .awaiting_trial
                .retain(|key| *key != endpoint);
            self.refuse_unanswerable(now, service);
        } else if !healthy {
            // The entry reopens only endpoints that it knows to be available.
            self.readmit(now, endpoint);
        }
        self.dispatch(now, service);
    }

    /// Records whether the data centre of an endpoint is evacuated, which determines when refused
    /// callers come back. [`Router::set_accepting`] closes the endpoint.
    pub fn set_evacuated(&mut self, endpoint: EndpointKey, evacuated: bool) {
        if let Some(row) = self.endpoints.get_mut(endpoint) {
            row.evacuated = evacuated;
        }
    }

    /// Removes an endpoint. The entry still reports the end of each attempt that
    /// runs there.
    pub fn remove_endpoint(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(service) = self.endpoints.get(endpoint).map(|row| row.service) else {
            return;
        };
        self.drop_endpoint(now, endpoint);
        self.set_tiers(now, service);
        self.refuse_unanswerable(now, service);
        self.dispatch(now, service);
    }

    /// Admits or refuses a new call; the outcome follows as steps.
    ///
    /// A call whose id is already known is ignored.
    pub fn submit(&mut self, now: Instant, call: Call) {
        if self.call_keys.contains_key(&call.id) {
            return;
        }
        if !self.services.contains_key(call.service) {
            self.steps.push_back(Step::Refuse {
                id: call.id,
                kind: ErrorKind::UnknownService,
                retry_after: Duration::ZERO,
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

    /// Removes a call whose caller has disconnected and cancels its attempts.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        if let Some(key) = self.call_keys.get(&id).copied() {
            let service = self.calls[key].call.service;
            self.remove_call(now, key);
            self.dispatch(now, service);
        }
    }

    /// Records progress of an attempt, so that its endpoint does not count as
    /// silent. The number of tokens so far is ignored.
    pub fn record_progress(
        &mut self,
        now: Instant,
        id: RequestId,
        endpoint: EndpointKey,
        _tokens: u64,
    ) {
        let running_there = self
            .call_keys
            .get(&id)
            .is_some_and(|key| self.calls[*key].runs_at(endpoint));
        if let Some(row) = self.endpoints.get_mut(endpoint).filter(|_| running_there) {
            row.health.last_activity = Some(now);
        }
    }

    /// Records that the caller has received part of this attempt's answer.
    ///
    /// From then on no other attempt can answer the call: it is neither hedged,
    /// moved nor retried, and its other attempt is cancelled.
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

    /// Records how an attempt ended.
    ///
    /// Unless the call was answered or another attempt of it is running, it is
    /// then queued for a retry or refused. Outcomes of cancelled attempts are
    /// ignored.
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

    /// Records the load that an endpoint reported.
    ///
    /// Reports may be late, incomplete or missing altogether.
    pub fn record_load(&mut self, now: Instant, endpoint: EndpointKey, report: LoadReport) {
        let Some(row) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        row.limit.set_max(report.limit);
        // Only batching engines report their cache memory.
        if report.cache_free > 0 {
            row.limit.record_engine_load(report.running, report.queued);
        }
        let valid_at = now.checked_sub(report.age).unwrap_or(now);
        row.last_report = Some(ReceivedReport {
            report,
            valid_at,
            own_running: row.running,
            tokens_sent: 0,
        });
        let service = row.service;
        self.refresh(now, endpoint);
        if let Some(percent) = report.slowness {
            self.record_slowness(endpoint, valid_at, percent);
        }
        if !self.services[service].queues_empty() {
            self.dispatch(now, service);
        }
    }

    /// Records that a connection to an endpoint is idle, and kept until `end`.
    pub fn record_idle_connection(&mut self, endpoint: EndpointKey, end: Instant) {
        if let Some(row) = self.endpoints.get(endpoint) {
            self.services[row.service].warm.record(endpoint, end);
        }
    }

    /// Handles the timers that are due: expiry, hedges, health checks and placement.
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

    /// Returns when [`Router::tick`] has to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next step, if there is one.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Returns the number of queued calls of a class.
    #[must_use]
    pub fn queued(&self, service: ServiceKey, class: Class) -> usize {
        self.services
            .get(service)
            .map_or(0, |row| row.queue(class).len())
    }

    /// Returns the number of running attempts of a class.
    #[must_use]
    pub fn running(&self, service: ServiceKey, class: Class) -> u32 {
        let row = self.services.get(service);
        row.map_or(0, |row| row.running[class.index()])
    }

    /// Returns the number of attempts that run at an endpoint, and its limit, which
    /// is 0 while the endpoint gets no calls.
    #[must_use]
    pub fn load(&self, endpoint: EndpointKey) -> Option<(u32, u32)> {
        let row = self.endpoints.get(endpoint)?;
        let limit = if row.is_usable() { row.limit.get() } else { 0 };
        Some((row.running, limit))
    }

    /// Sets a call's timer, unless it is already set to an earlier instant; its
    /// handler then sets it again.
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
            self.record_unfinished(now, key);
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

    /// Places queued calls at an interval, because reserved slots become free
    /// without an event.
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
