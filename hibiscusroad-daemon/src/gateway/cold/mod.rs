//! Cold endpoints: what this process may send to them.
//!
//! [`hibiscusroad::cold_start`] decides; the router and the engines of batches get what it
//! decides as hints for their choice, and each request is checked immediately before it is
//! written, because the process may have been frozen since the choice.
//!
//! * [`permit`]: the lease that lets one gateway at a time use the cold endpoints of a service.

mod permit;

use self::permit::PermitLease;
use super::{boot::BootClock, meters::Meters, store::Store};
use crate::{
    logs::{CALLS, HOSTS},
    settings::Gateway as GatewaySettings,
};
use hibiscusroad::{
    catalog::{Catalog, ColdStart},
    clock::millis,
    cold_start::{Admission, Bounds, ColdStarts, Permit, Sender, Transition},
    roster::EndpointChange,
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::spawn_local, time::timeout};

/// Longest time between two refreshes. It is a fraction of the time after which the process
/// counts as having been frozen.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Number of services with a metric of their own.
const MAX_LABELS: usize = 8;
/// The label of all other services.
const OTHER_LABEL: &str = "other";

/// What this process knows of cold endpoints, and its permits.
pub(super) struct Cold {
    holder: String,
    clock: BootClock,
    state: RefCell<ColdStarts>,
    /// The version of the configuration in force.
    config: Cell<u64>,
    /// The permits of services, by name.
    permits: RefCell<BTreeMap<String, Rc<PermitLease>>>,
    /// Services with a metric of their own.
    labels: RefCell<Vec<String>>,
    /// Notified when admissions may have changed.
    changed: Notify,
    store: Rc<Store>,
    meters: Rc<Meters>,
}

impl fmt::Debug for Cold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cold")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl Cold {
    pub(super) fn new(
        holder: &str,
        settings: &GatewaySettings,
        store: &Rc<Store>,
        meters: &Rc<Meters>,
    ) -> Self {
        let bounds = Bounds {
            overrun: settings.cold_overrun,
            slack: settings.cold_slack,
        };
        Self {
            holder: holder.to_owned(),
            clock: BootClock::new(),
            state: RefCell::new(ColdStarts::new(bounds)),
            config: Cell::new(0),
            permits: RefCell::default(),
            labels: RefCell::default(),
            changed: Notify::new(),
            store: Rc::clone(store),
            meters: Rc::clone(meters),
        }
    }

    /// Applies the services of a configuration, unless a newer one is in force.
    pub(super) fn configure(self: &Rc<Self>, catalog: &Catalog) {
        if catalog.version < self.config.replace(self.config.get().max(catalog.version)) {
            return;
        }
        let services = catalog.services();
        let mut rules: Vec<(&str, ColdStart)> = services
            .filter_map(|service| Some((service.name.as_str(), service.cold_start?)))
            .collect();
        rules.sort_by_key(|(name, _)| *name);
        for (name, _) in &rules {
            let mut labels = self.labels.borrow_mut();
            if labels.len() < MAX_LABELS && labels.iter().all(|label| label != name) {
                labels.push((*name).to_owned());
            }
            drop(labels);
            self.ensure_permit(name);
        }
        let now = self.clock.now();
        self.state.borrow_mut().set_services(now, rules);
        self.changed.notify_one();
    }

    fn ensure_permit(self: &Rc<Self>, service: &str) {
        let mut permits = self.permits.borrow_mut();
        if !permits.contains_key(service) {
            let permit = Rc::new(PermitLease::new(&self.holder, service));
            permits.insert(service.to_owned(), Rc::clone(&permit));
            spawn_local(permit::run(Rc::clone(self), permit));
        }
    }

    /// Applies changes of the roster.
    pub(super) fn apply_roster(&self, changes: &[EndpointChange]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for change in changes {
            match change {
                EndpointChange::Updated(endpoint) => state.update(now, endpoint),
                EndpointChange::Removed(id) => state.remove(now, id),
            }
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Records an answer of the store about the entries of endpoints.
    pub(super) fn confirm_roster(&self) {
        self.state.borrow_mut().confirm(self.clock.now());
        self.changed.notify_one();
    }

    /// Returns whether any service limits requests to cold endpoints.
    pub(super) fn is_needed(&self) -> bool {
        self.state.borrow().is_needed()
    }

    /// Sets the numbers of open items of this process and of all owners of batches.
    pub(super) fn set_open_items(&self, own: usize, all: usize) {
        let count = |items| u32::try_from(items).unwrap_or(u32::MAX);
        let (own, all) = (count(own), count(all));
        self.state.borrow_mut().set_open_items(own, all);
    }

    /// Records that work waits which cold endpoints of a service could take.
    pub(super) fn request_permit(&self, service: &str) {
        if let Some(permit) = self.permits.borrow().get(service) {
            permit.request(self.clock.now());
        }
    }

    fn set_permit(&self, service: &str, permit: Option<Permit>) {
        self.state.borrow_mut().set_permit(service, permit);
        self.changed.notify_one();
    }

    /// Reserves a send to an endpoint that was just chosen.
    pub(super) fn reserve(&self, endpoint: &str) {
        let mut state = self.state.borrow_mut();
        if state.is_needed() {
            state.reserve(self.clock.now(), endpoint);
            self.changed.notify_one();
        }
    }

    /// Decides whether a request may be written to an endpoint now, and counts it if so.
    pub(super) fn confirm_send(&self, endpoint: &str, sender: Sender) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if !state.is_needed() {
            return true;
        }
        let is_admitted = state.confirm_send(now, endpoint, sender);
        let service = state.cold_service(now, endpoint).map(str::to_owned);
        drop(state);
        self.changed.notify_one();
        if let Some(service) = service.filter(|_| is_admitted) {
            let label = self.label(&service);
            self.meters.cold_requests.with_label_values(&[&label]).inc();
        }
        if !is_admitted {
            log::info!(target: CALLS, endpoint = endpoint, sender:? = sender;
                "A request is withheld from an endpoint, because its limit was reached or the permit was lost since the choice.");
        }
        is_admitted
    }

    /// Returns what may be sent to an endpoint, on the clock of [`Instant::now`].
    pub(super) fn admission(&self, endpoint: &str) -> Admission {
        let now = self.clock.now();
        let admission = self.state.borrow().current(now, endpoint);
        to_steady(now, admission)
    }

    /// Passes new admissions of endpoints to `apply`; returns the time to the next change.
    pub(super) fn publish(&self, apply: impl Fn(&[(String, Admission)])) -> Option<Duration> {
        let now = self.clock.now();
        let refreshed = self.state.borrow_mut().refresh(now);
        for transition in &refreshed.transitions {
            log_transition(transition);
        }
        let admissions: Vec<(String, Admission)> = refreshed
            .admissions
            .into_iter()
            .map(|(id, admission)| (id, to_steady(now, admission)))
            .collect();
        if !admissions.is_empty() {
            apply(&admissions);
        }
        let next = refreshed.next?;
        Some(next.saturating_duration_since(now))
    }

    /// Publishes changes until the process ends.
    pub(super) async fn run(self: Rc<Self>, apply: impl Fn(&[(String, Admission)])) {
        loop {
            if !self.is_needed() {
                self.changed.notified().await;
            }
            let wait = self.publish(&apply).unwrap_or(REFRESH_INTERVAL);
            // A timeout is a refresh that is due.
            let _is_changed = timeout(wait.min(REFRESH_INTERVAL), self.changed.notified())
                .await
                .is_ok();
        }
    }

    /// Releases all permits, so that others can acquire them at once.
    pub(super) async fn release(&self) {
        let permits: Vec<Rc<PermitLease>> = self.permits.borrow().values().cloned().collect();
        for permit in permits {
            permit.stop(self).await;
        }
    }

    /// Counts an item that waits only because of the limits of cold endpoints.
    pub(super) fn record_held_back(&self, service: &str) {
        let label = self.label(service);
        let counter = &self.meters.items_held_back;
        counter.with_label_values(&[&label]).inc();
    }

    /// Sets the gauges of cold endpoints and permits.
    pub(super) fn set_gauges(&self) {
        let now = self.clock.now();
        let state = self.state.borrow();
        let counts = state.count_cold(now);
        self.meters.cold_endpoints.reset();
        self.meters.cold_permits.reset();
        for (service, cold) in counts {
            let label = self.label(service);
            let permit = self.permits.borrow().get(service).cloned();
            let is_held = permit.is_some_and(|permit| permit.is_held(now));
            let cold = i64::try_from(cold).unwrap_or(i64::MAX);
            let meters = &self.meters;
            meters.cold_endpoints.with_label_values(&[&label]).add(cold);
            let permits = meters.cold_permits.with_label_values(&[&label]);
            permits.add(i64::from(is_held));
        }
    }

    /// Returns the label of a service in metrics.
    fn label(&self, service: &str) -> String {
        let labels = self.labels.borrow();
        let found = labels.iter().find(|label| *label == service);
        found.map_or(OTHER_LABEL, String::as_str).to_owned()
    }
}

/// Converts an instant of the boot clock, on which `now` is the current one, to the clock of
/// [`Instant::now`].
fn to_steady(now: Instant, admission: Admission) -> Admission {
    let opens_at = admission.opens_at;
    Admission {
        opens_at: opens_at.map(|at| Instant::now() + at.saturating_duration_since(now)),
        ..admission
    }
}

fn log_transition(transition: &Transition) {
    let text = if transition.is_cold {
        "An endpoint is cold."
    } else {
        "An endpoint is warm again."
    };
    log::info!(target: HOSTS, endpoint = transition.id.as_str(),
        service = transition.service.as_str(), source = transition.source.name(),
        age_ms = millis(transition.age), left_ms = millis(transition.remaining); "{text}");
}
