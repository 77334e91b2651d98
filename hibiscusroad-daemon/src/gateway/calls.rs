//! The router of this process and the requests that wait for its steps.
//!
//! A request submits a call and receives the router's steps for it through a
//! channel of its own. Dropping its [`Ticket`] cancels the call, so the slot of a
//! caller that disconnects is free at once.

use super::{accounts::QueueAccount, cold::Cold, line_limit::LineLimit};
use crate::logs::CALLS;
use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    catalog::{Catalog, Route},
    clock::millis,
    cold_start::Admission,
    contention::Contention,
    quarantine::EndpointIncarnation,
    roster::{Endpoint, EndpointChange},
    route::{
        AccountKey, AccountView, Call, EndpointKey, EndpointSpec, LoadReport, NearState, Outcome,
        Router, ServiceKey, ServiceSpec, SlownessCounts, Step,
    },
    topology::{Distance, RegionSet, Topology},
};
use hibiscusroad_platform::header::Load;
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

/// The address of an endpoint that the router may choose.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: Rc<str>,
    pub(super) address: SocketAddr,
    pub(super) data_centre: Rc<str>,
    /// Start time of this incarnation, if the endpoint reports it.
    pub(super) started_ms: Option<u64>,
    pub(super) distance: Distance,
}

impl Target {
    pub(super) fn of(endpoint: &Endpoint, topology: &Topology) -> Self {
        Self {
            id: endpoint.id.as_str().into(),
            address: endpoint.address,
            data_centre: endpoint.data_centre.as_str().into(),
            started_ms: endpoint.started_ms,
            distance: topology.distance(&endpoint.data_centre),
        }
    }

    /// Returns this incarnation of the endpoint.
    pub(super) fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            endpoint: self.id.to_string(),
            started_ms: self.started_ms,
        }
    }
}

/// The router and the requests that wait for it.
#[derive(Debug)]
pub(super) struct Calls {
    router: RefCell<Router>,
    topology: Topology,
    waiting: RefCell<HashMap<RequestId, Waiter>>,
    pub(super) refusals: RefCell<LineLimit<AccountKey>>,
    /// Requests that leave their region or are refused by it, by service and reason.
    pub(super) departures: RefCell<LineLimit<(String, &'static str)>>,
    keys: RefCell<HashMap<String, EndpointKey>>,
    targets: RefCell<HashMap<EndpointKey, Target>>,
    changed: Notify,
    cold: Rc<Cold>,
    incarnation: Incarnation,
    seq: Cell<u64>,
}

/// A request that waits for steps.
#[derive(Debug)]
struct Waiter {
    steps: UnboundedSender<Step>,
    account: Option<QueueAccount>,
}

/// A request's call at the router; dropping it cancels the call.
#[derive(Debug)]
pub(super) struct Ticket {
    calls: Rc<Calls>,
    id: RequestId,
    steps: UnboundedReceiver<Step>,
    is_ended: bool,
}

/// Picks one of a route's services at random, by weight.
pub(super) fn pick_service(route: &Route) -> Option<&str> {
    let draw = f64::from(rand::random::<u32>()) / f64::from(u32::MAX);
    route.service(draw)
}

impl Calls {
    pub(super) fn new(
        topology: Topology,
        incarnation: Incarnation,
        contention: Contention,
        account_share: Option<u32>,
        cold: Rc<Cold>,
    ) -> Self {
        let router = Router::new(topology.data_centre(), incarnation.0)
            .topology(topology.clone())
            .contention(contention)
            .account_share(account_share);
        Self {
            router: RefCell::new(router),
            topology,
            waiting: RefCell::default(),
            refusals: RefCell::default(),
            departures: RefCell::default(),
            keys: RefCell::default(),
            targets: RefCell::default(),
            changed: Notify::new(),
            cold,
            incarnation,
            seq: Cell::new(0),
        }
    }

    /// Adds the services of a configuration to the router.
    pub(super) fn configure(&self, catalog: &Catalog) {
        let now = Instant::now();
        for service in catalog.services() {
            self.ensure_service(now, &service.name);
        }
        self.cold.configure(catalog);
        self.flush();
    }

    /// Applies changes of the roster in order.
    ///
    /// Consecutive updates are added to the router as one group: adding a thousand
    /// endpoints one by one takes seconds.
    pub(super) fn apply_roster(&self, changes: &[EndpointChange]) {
        let now = Instant::now();
        let mut rest = changes;
        while let Some(first) = rest.first() {
            let count = rest.iter().map_while(EndpointChange::updated).count();
            if let EndpointChange::Removed(id) = first {
                if let Some(key) = self.keys.borrow_mut().remove(id) {
                    self.targets.borrow_mut().remove(&key);
                    self.router.borrow_mut().remove_endpoint(now, key);
                }
                rest = &rest[1..];
                continue;
            }
            let (updates, after) = rest.split_at(count);
            self.add_unknown(now, updates);
            for endpoint in updates.iter().filter_map(EndpointChange::updated) {
                self.update(now, endpoint);
            }
            rest = after;
        }
        self.flush();
    }

    /// Adds the endpoints that the router doesn't know yet, grouped by service.
    fn add_unknown(&self, now: Instant, changes: &[EndpointChange]) {
        let mut services: BTreeMap<&str, BTreeMap<&str, &Endpoint>> = BTreeMap::new();
        let endpoints = changes.iter().filter_map(EndpointChange::updated);
        for endpoint in endpoints.filter(|e| !self.keys.borrow().contains_key(&e.id)) {
            let service = services.entry(&endpoint.service).or_default();
            service.insert(&endpoint.id, endpoint);
        }
        for (name, endpoints) in services {
            let service = self.ensure_service(now, name);
            let specs = endpoints.values().map(|e| {
                EndpointSpec::new(&e.id, &e.data_centre)
                    .limit(e.slots)
                    .accepting(e.is_open())
                    .admission(self.cold.admission(&e.id))
            });
            let keys = self.router.borrow_mut().add_endpoints(now, service, specs);
            let ids = endpoints.keys().map(|id| (*id).to_owned());
            self.keys.borrow_mut().extend(ids.zip(keys));
        }
    }

    fn update(&self, now: Instant, endpoint: &Endpoint) {
        let Some(key) = self.keys.borrow().get(&endpoint.id).copied() else {
            return;
        };
        let target = Target::of(endpoint, &self.topology);
        self.targets.borrow_mut().insert(key, target);
        let mut router = self.router.borrow_mut();
        router.set_evacuated(key, endpoint.evacuated);
        router.set_accepting(now, key, endpoint.is_open());
    }

    fn ensure_service(&self, now: Instant, name: &str) -> ServiceKey {
        let mut router = self.router.borrow_mut();
        let existing = router.service(name);
        existing.unwrap_or_else(|| router.set_service(now, name, ServiceSpec::new()))
    }

    /// Submits a call to the router; `configure` sets its optional parts.
    pub(super) fn submit(
        self: &Rc<Self>,
        service: &str,
        class: Class,
        deadline: Instant,
        account: Option<QueueAccount>,
        configure: impl FnOnce(Call) -> Call,
    ) -> Ticket {
        let now = Instant::now();
        let key = self.ensure_service(now, service);
        self.seq.set(self.seq.get() + 1);
        let id = RequestId {
            origin: self.incarnation,
            seq: self.seq.get(),
        };
        let (sender, steps) = unbounded_channel();
        let mut call = configure(Call::new(id, key, class, deadline));
        call.account = account.as_ref().map(|account| account.key);
        let waiter = Waiter {
            steps: sender,
            account,
        };
        self.waiting.borrow_mut().insert(id, waiter);
        self.router.borrow_mut().submit(now, call);
        self.flush();
        Ticket {
            calls: Rc::clone(self),
            id,
            steps,
            is_ended: false,
        }
    }

    /// Sets what endpoints admit, and starts the calls that waited for that.
    pub(super) fn set_admissions(&self, admissions: &[(String, Admission)]) {
        let now = Instant::now();
        for (id, admission) in admissions {
            let key = self.keys.borrow().get(id).copied();
            if let Some(key) = key {
                let mut router = self.router.borrow_mut();
                router.set_admission(now, key, *admission);
            }
        }
        self.flush();
    }

    /// Passes the load that an endpoint reported to the router.
    pub(super) fn record_load(&self, endpoint: EndpointKey, load: Load) {
        let report = LoadReport {
            running: load.running,
            queued: load.queued,
            limit: load.slots,
            slowness: load.slowness,
            ..LoadReport::default()
        };
        let mut router = self.router.borrow_mut();
        let service = router.service_of(endpoint);
        let was_contended = service.is_some_and(|service| router.is_contended(service));
        router.record_load(Instant::now(), endpoint, report);
        let is_contended = service.is_some_and(|service| router.is_contended(service));
        drop(router);
        if is_contended && !was_contended {
            let id = self.target(endpoint).map(|target| target.id);
            log::info!(target: CALLS, endpoint = id.as_deref().unwrap_or_default(),
                slowness = load.slowness.unwrap_or_default();
                "An endpoint reports how slow its host is; from now on placement and waits depend on it.");
        }
        self.flush();
    }

    /// Counts the endpoints that take calls by the current slowness of their hosts.
    pub(super) fn count_slowness(&self) -> SlownessCounts {
        self.router.borrow().count_slowness(Instant::now())
    }

    /// Records that a connection to an endpoint is idle, and kept until `end`.
    pub(super) fn record_idle_connection(&self, endpoint: EndpointKey, end: Instant) {
        let mut router = self.router.borrow_mut();
        router.record_idle_connection(endpoint, end);
    }

    /// Returns the data centres and regions.
    pub(super) const fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the state of the own region's endpoints for a call that leaves the region.
    pub(super) fn near_state(&self, service: &str, regions: RegionSet) -> NearState {
        let router = self.router.borrow();
        let service = router.service(service);
        service.map_or(NearState::None, |key| router.near_state(key, regions))
    }

    /// Returns the target of an endpoint.
    pub(super) fn target(&self, key: EndpointKey) -> Option<Target> {
        self.targets.borrow().get(&key).cloned()
    }

    /// Returns what an account has waiting for a class of a service, if callers compete for it.
    pub(super) fn account_view(
        &self,
        service: &str,
        class: Class,
        account: AccountKey,
    ) -> Option<AccountView> {
        let router = self.router.borrow();
        router.account_view(Instant::now(), router.service(service)?, class, account)
    }

    /// Returns the accounts that wait where callers compete, with the numbers of their calls
    /// and their work in seconds.
    pub(super) fn waiting_accounts(&self) -> Vec<(AccountKey, usize, f64)> {
        self.router.borrow().waiting_accounts().collect()
    }

    /// Returns the names of the accounts that have requests here.
    pub(super) fn account_names(&self) -> HashMap<u64, Rc<str>> {
        let waiting = self.waiting.borrow();
        let accounts = waiting.values().filter_map(|w| w.account.as_ref());
        accounts
            .map(|account| (account.key.id, Rc::clone(&account.name)))
            .collect()
    }

    /// Runs the router's timers.
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

    /// Delivers the router's pending steps to the requests that wait for them.
    fn flush(&self) {
        loop {
            let step = self.router.borrow_mut().next_step();
            let Some(step) = step else { break };
            if let Step::Start { endpoint, .. } = step
                && let Some(target) = self.targets.borrow().get(&endpoint)
            {
                self.cold.reserve(&target.id);
            }
            let (Step::Start { id, .. } | Step::Cancel { id, .. } | Step::Refuse { id, .. }) = step;
            if let Some(waiter) = self.waiting.borrow().get(&id) {
                // A request whose receiver is dropped cancels its own call.
                let _closed = waiter.steps.send(step).is_err();
            }
        }
        self.changed.notify_one();
        let requests = self.router.borrow_mut().take_permit_requests();
        for service in requests {
            if let Some(name) = self.router.borrow().service_name(service) {
                self.cold.request_permit(name);
            }
        }
    }
}

impl Ticket {
    /// Waits for the router's next step for this call.
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
            self.is_ended = true;
            log::debug!(target: CALLS, after_ms = millis(retry_after); "The router refuses a call: {kind}.");
        }
        step
    }

    /// Reports the outcome of an attempt to the router.
    pub(super) fn finish(&mut self, endpoint: EndpointKey, outcome: Outcome) {
        self.is_ended |= outcome == Outcome::Answered;
        let now = Instant::now();
        self.calls
            .router
            .borrow_mut()
            .finish(now, self.id, endpoint, outcome);
        self.calls.flush();
    }

    /// Reports that part of this attempt's answer was passed on to the caller.
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
        if !self.is_ended {
            self.calls
                .router
                .borrow_mut()
                .cancel(Instant::now(), self.id);
        }
        self.calls.flush();
    }
}
