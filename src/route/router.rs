//! The tables and the systems that run over them.

use crate::{
    class::Class,
    error::ErrorKind,
    id::RequestId,
    route::{Call, EndpointKey, EndpointSpec, LoadReport, Outcome, ServiceKey, ServiceSpec, Step},
};
use slotmap::SlotMap;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

#[derive(Debug)]
struct Service {
    name: String,
    spec: ServiceSpec,
    endpoints: Vec<EndpointKey>,
    waiting: Vec<Call>,
}

#[derive(Debug)]
struct Endpoint {
    spec: EndpointSpec,
    service: ServiceKey,
    open: bool,
    running: u32,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointKey,
}

/// Decides where the calls of one entry run.
#[derive(Debug)]
pub struct Router {
    place: String,
    services: SlotMap<ServiceKey, Service>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    running: HashMap<RequestId, Running>,
    steps: VecDeque<Step>,
}

impl Router {
    /// Creates a router for an entry that stands at `place`.
    ///
    /// `seed` starts the random choices, so that a test can repeat them.
    #[must_use]
    pub fn new(place: &str, _seed: u64) -> Self {
        Self {
            place: place.to_owned(),
            services: SlotMap::with_key(),
            endpoints: SlotMap::with_key(),
            running: HashMap::new(),
            steps: VecDeque::new(),
        }
    }

    /// Adds a service, or changes the one of this name.
    pub fn set_service(&mut self, _now: Instant, name: &str, spec: ServiceSpec) -> ServiceKey {
        if let Some(key) = self.service(name) {
            self.services[key].spec = spec;
            return key;
        }
        self.services.insert(Service {
            name: name.to_owned(),
            spec,
            endpoints: Vec::new(),
            waiting: Vec::new(),
        })
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.services
            .iter()
            .find(|(_, service)| service.name == name)
            .map(|(key, _)| key)
    }

    /// Adds an endpoint that takes work at once.
    ///
    /// # Panics
    ///
    /// Panics if `service` is not one of this router.
    pub fn add_endpoint(
        &mut self,
        _now: Instant,
        service: ServiceKey,
        spec: EndpointSpec,
    ) -> EndpointKey {
        let key = self.endpoints.insert(Endpoint {
            spec,
            service,
            open: true,
            running: 0,
        });
        self.services[service].endpoints.push(key);
        key
    }

    /// Says whether the endpoint takes new work.
    pub fn set_open(&mut self, now: Instant, endpoint: EndpointKey, open: bool) {
        if let Some(row) = self.endpoints.get_mut(endpoint) {
            row.open = open;
        }
        self.tick(now);
    }

    /// Forgets an endpoint; what still runs there is reported by the entry.
    pub fn remove_endpoint(&mut self, _now: Instant, endpoint: EndpointKey) {
        if let Some(row) = self.endpoints.remove(endpoint) {
            self.services[row.service]
                .endpoints
                .retain(|key| *key != endpoint);
        }
    }

    /// Takes a call in; the answer comes out as steps.
    pub fn arrive(&mut self, now: Instant, call: Call) {
        let Some(service) = self.services.get_mut(call.service) else {
            self.refuse(call.id, ErrorKind::UnknownService);
            return;
        };
        let same = service.waiting.iter().filter(|c| c.class == call.class);
        if same.count() >= service.spec.depth {
            self.refuse(call.id, ErrorKind::Saturated);
            return;
        }
        service.waiting.push(call);
        service.waiting.sort_by_key(|c| (c.class, c.deadline));
        self.tick(now);
    }

    /// Forgets a call whose caller has gone, and cancels what runs of it.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        for service in self.services.values_mut() {
            service.waiting.retain(|call| call.id != id);
        }
        if let Some(running) = self.end(id) {
            self.steps.push_back(Step::Cancel {
                id,
                endpoint: running.endpoint,
            });
        }
        self.tick(now);
    }

    /// Notes that an attempt gave a sign of life: `tokens` so far.
    pub fn progress(&mut self, now: Instant, _id: RequestId, _key: EndpointKey, _tokens: u64) {
        self.expire(now);
    }

    /// Notes how an attempt ended.
    ///
    /// A [`Step::Refuse`] or another [`Step::Start`] follows unless it was
    /// answered.
    pub fn finish(
        &mut self,
        now: Instant,
        id: RequestId,
        _endpoint: EndpointKey,
        outcome: Outcome,
    ) {
        if self.end(id).is_some() {
            match outcome {
                Outcome::Answered => {}
                Outcome::NotRun(kind) | Outcome::Failed(kind) => self.refuse(id, kind),
            }
        }
        self.tick(now);
    }

    /// Takes in what an endpoint reported of itself.
    pub fn report(&mut self, now: Instant, _endpoint: EndpointKey, _report: LoadReport) {
        self.expire(now);
    }

    /// Runs the systems over the tables: expiry, then placement.
    pub fn tick(&mut self, now: Instant) {
        self.expire(now);
        let keys: Vec<ServiceKey> = self.services.keys().collect();
        for key in keys {
            self.place(key);
        }
    }

    /// Says when [`Router::tick`] has something to do at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let waiting = self.services.values().flat_map(|service| &service.waiting);
        waiting.map(|call| call.deadline).min()
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
            .map_or(0, |s| s.waiting.iter().filter(|c| c.class == class).count())
    }

    fn refuse(&mut self, id: RequestId, kind: ErrorKind) {
        self.steps.push_back(Step::Refuse {
            id,
            kind,
            after: Duration::from_secs(1),
        });
    }

    fn end(&mut self, id: RequestId) -> Option<Running> {
        let running = self.running.remove(&id)?;
        if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
            endpoint.running -= 1;
        }
        Some(running)
    }

    fn expire(&mut self, now: Instant) {
        let mut late = Vec::new();
        for service in self.services.values_mut() {
            let waiting = std::mem::take(&mut service.waiting);
            let (gone, kept) = waiting.into_iter().partition(|c| c.deadline <= now);
            service.waiting = kept;
            late.push(gone);
        }
        for call in late.into_iter().flatten() {
            self.refuse(call.id, ErrorKind::Expired);
        }
    }

    fn place(&mut self, service: ServiceKey) {
        while !self.services[service].waiting.is_empty() {
            let Some(endpoint) = self.best(service) else {
                return;
            };
            let call = self.services[service].waiting.remove(0);
            self.endpoints[endpoint].running += 1;
            self.steps.push_back(Step::Start {
                id: call.id,
                endpoint,
                hedge: false,
            });
            self.running.insert(call.id, Running { endpoint });
        }
    }

    fn best(&self, service: ServiceKey) -> Option<EndpointKey> {
        let keys = self.services[service].endpoints.iter().copied();
        keys.filter(|key| {
            let row = &self.endpoints[*key];
            row.open && row.running < row.spec.limit
        })
        .min_by_key(|key| {
            let row = &self.endpoints[*key];
            (row.running, row.spec.place != self.place)
        })
    }
}
