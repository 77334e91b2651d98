//! The router of this process and the requests that wait for its steps.
//!
//! A request hands its call over and gets the router's steps for it, one after
//! the other, through a queue of its own. Dropped, it takes its call back, so
//! that a caller that leaves frees what it held at once.

use crate::logs::CALLS;
use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    catalog::{Catalog, Route},
    clock::millis,
    quarantine::EndpointIncarnation,
    roster::{Endpoint, EndpointChange},
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{
        Notify,
        mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
    time::sleep_until,
};

/// An endpoint that the router may name.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: Rc<str>,
    pub(super) address: SocketAddr,
    /// When this life of it began, where that is told.
    pub(super) born: Option<u64>,
}

impl Target {
    pub(super) fn of(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.as_str().into(),
            address: endpoint.address,
            born: endpoint.started_ms,
        }
    }

    /// Names this life of it.
    pub(super) fn life(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            endpoint: self.id.to_string(),
            started_ms: self.born,
        }
    }
}

/// The router and those who wait for it.
#[derive(Debug)]
pub(super) struct Calls {
    router: RefCell<Router>,
    waiting: RefCell<HashMap<RequestId, UnboundedSender<Step>>>,
    keys: RefCell<HashMap<String, EndpointKey>>,
    targets: RefCell<HashMap<EndpointKey, Target>>,
    changed: Notify,
    life: Incarnation,
    seq: Cell<u64>,
}

/// One request's place at the router.
#[derive(Debug)]
pub(super) struct Ticket {
    calls: Rc<Calls>,
    id: RequestId,
    steps: UnboundedReceiver<Step>,
    over: bool,
}

/// Draws one of a route's services, by their weights.
pub(super) fn drawn_service(route: &Route) -> Option<&str> {
    let draw = f64::from(rand::random::<u32>()) / f64::from(u32::MAX);
    route.service(draw)
}

impl Calls {
    pub(super) fn new(place: &str, life: Incarnation) -> Self {
        Self {
            router: RefCell::new(Router::new(place, life.0)),
            waiting: RefCell::default(),
            keys: RefCell::default(),
            targets: RefCell::default(),
            changed: Notify::new(),
            life,
            seq: Cell::new(0),
        }
    }

    /// Takes in the services of a configuration.
    pub(super) fn configure(&self, catalog: &Catalog) {
        let now = Instant::now();
        for service in catalog.services() {
            self.service(now, &service.name);
        }
        self.flush();
    }

    /// Takes in changes of the roster, in their order.
    ///
    /// Endpoints that become known together are taken in together. A process that starts
    /// before a thousand of them was busy for seconds with each one's place among all.
    pub(super) fn roster(&self, news: &[EndpointChange]) {
        let now = Instant::now();
        let mut rest = news;
        while let Some(first) = rest.first() {
            let seen = rest.iter().map_while(EndpointChange::updated).count();
            if let EndpointChange::Removed(id) = first {
                if let Some(key) = self.keys.borrow_mut().remove(id) {
                    self.router.borrow_mut().remove_endpoint(now, key);
                }
                rest = &rest[1..];
                continue;
            }
            let (together, after) = rest.split_at(seen);
            self.add_unknown(now, together);
            for endpoint in together.iter().filter_map(EndpointChange::updated) {
                self.seen(now, endpoint);
            }
            rest = after;
        }
        self.flush();
    }

    /// Adds the endpoints that the router doesn't know, by services.
    fn add_unknown(&self, now: Instant, news: &[EndpointChange]) {
        let mut services: BTreeMap<&str, BTreeMap<&str, &Endpoint>> = BTreeMap::new();
        let unknown = news.iter().filter_map(EndpointChange::updated);
        for endpoint in unknown.filter(|e| !self.keys.borrow().contains_key(&e.id)) {
            let service = services.entry(&endpoint.service).or_default();
            service.insert(&endpoint.id, endpoint);
        }
        for (name, endpoints) in services {
            let service = self.service(now, name);
            let specs = endpoints
                .values()
                .map(|e| EndpointSpec::new(&e.id, &e.data_centre).limit(e.slots));
            let keys = self.router.borrow_mut().add_endpoints(now, service, specs);
            let ids = endpoints.keys().map(|id| (*id).to_owned());
            self.keys.borrow_mut().extend(ids.zip(keys));
        }
    }

    fn seen(&self, now: Instant, endpoint: &Endpoint) {
        let Some(key) = self.keys.borrow().get(&endpoint.id).copied() else {
            return;
        };
        self.targets.borrow_mut().insert(key, Target::of(endpoint));
        self.router
            .borrow_mut()
            .set_accepting(now, key, !endpoint.leaving);
    }

    fn service(&self, now: Instant, name: &str) -> ServiceKey {
        let mut router = self.router.borrow_mut();
        let known = router.service(name);
        known.unwrap_or_else(|| router.set_service(now, name, ServiceSpec::new()))
    }

    /// Hands a call over; `shape` completes it.
    pub(super) fn arrive(
        self: &Rc<Self>,
        service: &str,
        class: Class,
        deadline: Instant,
        shape: impl FnOnce(Call) -> Call,
    ) -> Ticket {
        let now = Instant::now();
        let key = self.service(now, service);
        self.seq.set(self.seq.get() + 1);
        let id = RequestId {
            origin: self.life,
            seq: self.seq.get(),
        };
        let (sender, steps) = unbounded_channel();
        self.waiting.borrow_mut().insert(id, sender);
        let call = shape(Call::new(id, key, class, deadline));
        self.router.borrow_mut().submit(now, call);
        self.flush();
        Ticket {
            calls: Rc::clone(self),
            id,
            steps,
            over: false,
        }
    }

    /// Takes in the load that an endpoint told.
    pub(super) fn told(&self, endpoint: EndpointKey, running: u32, queued: u32, slots: u32) {
        let report = LoadReport {
            running,
            queued,
            limit: slots,
            ..LoadReport::default()
        };
        self.router
            .borrow_mut()
            .record_load(Instant::now(), endpoint, report);
        self.flush();
    }

    /// Returns where an endpoint is.
    pub(super) fn target(&self, key: EndpointKey) -> Option<Target> {
        self.targets.borrow().get(&key).cloned()
    }

    /// Runs what the router has to do at a time of its own.
    pub(super) async fn run(&self) {
        loop {
            let due = self.router.borrow().next_due();
            let changed = self.changed.notified();
            match due {
                Some(due) => {
                    tokio::select! {
                        () = sleep_until(due.into()) => {
                            self.router.borrow_mut().tick(Instant::now());
                            self.flush();
                        }
                        () = changed => {}
                    }
                }
                None => changed.await,
            }
        }
    }

    fn flush(&self) {
        loop {
            let step = self.router.borrow_mut().next_step();
            let Some(step) = step else { break };
            let (Step::Start { id, .. } | Step::Cancel { id, .. } | Step::Refuse { id, .. }) = step;
            if let Some(sender) = self.waiting.borrow().get(&id) {
                // A request that is gone has taken its call back already.
                let _gone = sender.send(step).is_err();
            }
        }
        self.changed.notify_one();
    }
}

impl Ticket {
    /// Waits for the router's next step.
    pub(super) async fn next(&mut self) -> Step {
        let refused = Step::Refuse {
            id: self.id,
            kind: ErrorKind::Internal,
            retry_after: Duration::ZERO,
        };
        let step = self.steps.recv().await.unwrap_or(refused);
        if let Step::Refuse {
            kind, retry_after, ..
        } = step
        {
            self.over = true;
            log::debug!(target: CALLS, after_ms = millis(retry_after); "The router refuses: {kind}.");
        }
        step
    }

    /// Tells how an attempt ended.
    pub(super) fn finish(&mut self, endpoint: EndpointKey, outcome: Outcome) {
        self.over |= outcome == Outcome::Answered;
        let now = Instant::now();
        self.calls
            .router
            .borrow_mut()
            .finish(now, self.id, endpoint, outcome);
        self.calls.flush();
    }

    /// Tells that the caller has got a part of this attempt's answer.
    pub(super) fn commit(&mut self, endpoint: EndpointKey) {
        let now = Instant::now();
        self.calls
            .router
            .borrow_mut()
            .commit(now, self.id, endpoint);
        self.calls.flush();
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.calls.waiting.borrow_mut().remove(&self.id);
        if !self.over {
            self.calls
                .router
                .borrow_mut()
                .cancel(Instant::now(), self.id);
        }
        self.calls.flush();
    }
}
