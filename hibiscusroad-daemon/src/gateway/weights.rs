//! The duty of loading weights: one holder gives all orders.
//!
//! The holder has a lease in the store and sends its fencing number with each
//! order. It looks at the lease right before it sends, on a clock that runs on
//! through a suspension, so a holder that was paused past its time sends
//! nothing. An engine's own count of accepted orders goes along as a condition:
//! an order whose answer was lost, and that is carried out late, is refused then
//! because others came after it.

use super::{
    batches::Batches,
    boot::BootClock,
    http::{Channels, encode},
    known::Known,
    meters::Meters,
    store::{Store, millis},
    sync::Members,
};
use crate::logs::WEIGHTS;
use hibiscusroad::{
    lease::{Lease, Next, Row as LeaseRow, Terms},
    rollout::{
        Order, OrderAnswer,
        wave::{Goal, Load, Loader, Pace, plan},
    },
    roster::Endpoint,
    table::{Change, Commit, Range, Row, RowId},
};
use hibiscusroad_platform::{
    engine::{self, Report},
    request::Request as Wire,
};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout, timeout_at},
};

/// The table of duties.
const DUTIES: &str = "duties";
/// The part of that table that holds what holders learned.
const PACE_PART: &str = "learned";
/// Time between two writes of it: a holder has learned most within some seconds.
const KEEP: Duration = Duration::from_secs(2);
/// The key of this duty.
const DUTY: &str = "weights";
/// An engine answers a report or an order in milliseconds, a slow one in some
/// hundred; the lease leaves room for several such waits.
const CALL: Duration = Duration::from_millis(700);
/// Pause between looks at an engine that loads and says nothing, and between
/// tries to reach the store.
const LOOK: Duration = Duration::from_millis(250);
/// An engine that hasn't registered its new weights by then is asked: half as
/// much again as a load that others slow down.
const SILENT: Duration = Duration::from_millis(2_200);
/// A load that isn't seen to end by then is planned anew.
const LONGEST: Duration = Duration::from_secs(8);
/// Pause before an engine that didn't take an order is asked again.
const AGAIN: Duration = Duration::from_millis(400);
/// Processes that start together are spread over this time.
const SPREAD_MS: u64 = 300;

/// The duty, as this process sees it.
pub(super) struct Weights {
    life: String,
    lease_ms: u64,
    fences: bool,
    clock: BootClock,
    store: Rc<Store>,
    known: Rc<Known>,
    members: Rc<Members>,
    batches: Rc<Batches>,
    channels: Rc<Channels>,
    meters: Rc<Meters>,
    lease: RefCell<Lease>,
    /// Engines with an order under way, or that are left alone for a while.
    loading: RefCell<HashMap<String, Instant>>,
    /// Versions that engines reported, beyond their entries.
    seen: RefCell<HashMap<(String, String), u64>>,
    /// Orders that engines accepted, as far as known.
    orders: RefCell<HashMap<String, u64>>,
    pace: RefCell<Pace>,
    /// The lease was another's before: its last order may be so recent.
    quiet: Cell<Option<Instant>>,
    /// The holder in the lease's row as it was read last.
    before: RefCell<String>,
    /// When what was learned of loads was kept last.
    kept: Cell<Option<Instant>>,
    changed: Notify,
    /// Engines registered something new.
    news: Notify,
}

/// What the duty works with.
pub(super) struct Parts {
    pub(super) store: Rc<Store>,
    pub(super) known: Rc<Known>,
    pub(super) members: Rc<Members>,
    pub(super) batches: Rc<Batches>,
    pub(super) channels: Rc<Channels>,
    pub(super) meters: Rc<Meters>,
}

impl Weights {
    pub(super) fn new(life: &str, lease_ms: u64, fences: bool, parts: Parts) -> Self {
        let terms = Terms::new().span(Duration::from_millis(lease_ms));
        Self {
            life: life.to_owned(),
            lease_ms,
            fences,
            clock: BootClock::new(),
            store: parts.store,
            known: parts.known,
            members: parts.members,
            batches: parts.batches,
            channels: parts.channels,
            meters: parts.meters,
            lease: RefCell::new(Lease::new(life, terms)),
            loading: RefCell::default(),
            seen: RefCell::default(),
            orders: RefCell::default(),
            pace: RefCell::new(Pace::new()),
            quiet: Cell::new(None),
            before: RefCell::default(),
            kept: Cell::new(None),
            changed: Notify::new(),
            news: Notify::new(),
        }
    }

    /// Notes that engines or versions changed.
    pub(super) fn wake(&self) {
        self.changed.notify_one();
        self.news.notify_waiters();
    }

    /// Gives the lease back, so that another process takes it at once.
    pub(super) async fn leave(&self) {
        self.lease.borrow_mut().give_back();
        let step = self.lease.borrow_mut().next(self.clock.now());
        if let Next::Write { version, row } = step {
            self.write(version, &row).await;
        }
    }

    /// Holds the duty, or watches who does.
    pub(super) async fn run(self: Rc<Self>) {
        sleep(Duration::from_millis(rand::random::<u64>() % SPREAD_MS)).await;
        loop {
            if self.known.named().is_empty() {
                self.changed.notified().await;
                continue;
            }
            let now = self.clock.now();
            let step = self.lease.borrow_mut().next(now);
            match step {
                Next::Read => self.read().await,
                Next::Write { version, row } => self.write(version, &row).await,
                Next::Sleep(until) => {
                    if self.fence().is_some() {
                        self.order();
                    }
                    tokio::select! {
                        () = sleep(until.saturating_duration_since(now)) => {}
                        () = self.changed.notified() => {}
                    }
                }
            }
        }
    }

    fn fence(&self) -> Option<u64> {
        self.lease.borrow().fence(self.clock.now())
    }

    async fn read(&self) {
        let end = format!("{DUTY}\0");
        let page = self
            .store
            .read(&Range {
                from: Some(DUTY),
                end: Some(&end),
                limit: Some(1),
                ..Range::part(DUTIES, "")
            })
            .await;
        let now = self.clock.now();
        match page {
            Ok(page) => {
                let row = page.rows.first();
                if let Some(row) = row {
                    self.before.replace(lease_row(row).holder);
                }
                let found = row.map(|row| (row.version, lease_row(row)));
                self.lease.borrow_mut().seen(now, found);
            }
            Err(failure) => {
                log::debug!(target: WEIGHTS, error = failure.to_string().as_str();
                    "The lease could not be read.");
                self.lease.borrow_mut().lost(now);
                sleep(LOOK).await;
            }
        }
    }

    async fn write(&self, version: u64, row: &LeaseRow) {
        let held = self.fence();
        let id = RowId::new(DUTIES, "", DUTY);
        let value = serde_json::to_vec(row).unwrap_or_default();
        let change = Change::new().expect(id.clone(), version).put(id, value);
        let done = self.store.transact(&change).await;
        let now = self.clock.now();
        match done {
            Commit::Done { version, .. } => {
                self.lease.borrow_mut().written(version);
                if let (None, Some(fence)) = (held, self.fence()) {
                    self.taken(now, fence);
                    self.read_pace().await;
                }
            }
            Commit::Conflict(_) => self.lease.borrow_mut().beaten(),
            Commit::Refused | Commit::Unknown => {
                self.lease.borrow_mut().lost(now);
                sleep(LOOK).await;
            }
        }
    }

    /// Keeps what was learned of loads for the next holder, who would otherwise
    /// begin with few at once, when most is to be loaded: after an outage.
    async fn keep_pace(&self) {
        let since = self.kept.get();
        if since.is_some_and(|since| since.elapsed() < KEEP) {
            return;
        }
        self.kept.set(Some(Instant::now()));
        let value = serde_json::to_vec(&*self.pace.borrow()).unwrap_or_default();
        let change = Change::new().put(RowId::new(DUTIES, PACE_PART, DUTY), value);
        let done = self.store.transact(&change).await;
        if !matches!(done, Commit::Done { .. }) {
            log::debug!(target: WEIGHTS, done:? = done; "What was learned of loads is not kept.");
        }
    }

    /// Reads what the holder before has learned of loads.
    async fn read_pace(&self) {
        match self.store.read(&Range::part(DUTIES, PACE_PART)).await {
            Ok(page) => {
                let row = page.rows.first();
                let known = row.and_then(|row| serde_json::from_slice(&row.value).ok());
                if let Some(pace) = known {
                    self.pace.replace(pace);
                }
            }
            Err(failure) => log::info!(target: WEIGHTS, error = failure.to_string().as_str();
                "What was learned of loads is not known."),
        }
    }

    /// Notes that the lease is this process's now.
    fn taken(&self, now: Instant, fence: u64) {
        log::info!(target: WEIGHTS, holder = self.life.as_str(), fence = fence,
            from = self.before.borrow().as_str(); "The lease of the weights is held.");
        self.seen.borrow_mut().clear();
        self.loading.borrow_mut().clear();
        self.orders.borrow_mut().clear();
        // Engines that check no numbers can't tell an old holder's order from
        // a new one's: what the old one sent last has to be over.
        let wait = !self.fences && fence > 1;
        let quiet = now + Duration::from_millis(self.lease_ms);
        self.quiet.set(wait.then_some(quiet));
    }

    /// Gives the orders that are due.
    fn order(self: &Rc<Self>) {
        let now = self.clock.now();
        if self.quiet.get().is_some_and(|until| now < until) {
            return;
        }
        let goals = self.goals();
        let engines = self.engines(now, &goals);
        let at_once = self.pace.borrow().at_once(engines.len());
        let busy = engines.iter().filter(|engine| engine.busy).count();
        let loads = plan(&engines, &goals, at_once);
        let at_once = busy + loads.len();
        for load in loads {
            let until = now + LONGEST;
            self.loading
                .borrow_mut()
                .insert(load.endpoint.clone(), until);
            spawn_local(Rc::clone(self).load(load, at_once));
        }
    }

    fn goals(&self) -> Vec<Goal> {
        let needs = self.batches.needs();
        let goals = self.known.named().into_iter().map(|(model, named)| {
            let need = needs.get(&model);
            Goal {
                named,
                lag: need.map_or(0, |head| head.lag),
                work: need.map_or(0, |head| head.work) as f64,
                priority: need.map_or(0, |head| head.priority),
                model,
            }
        });
        goals.collect()
    }

    fn engines(&self, now: Instant, goals: &[Goal]) -> Vec<Loader> {
        let Some(catalog) = self.known.catalog() else {
            return Vec::new();
        };
        let wanted = |models: &[String]| goals.iter().any(|g| models.contains(&g.model));
        let services = catalog.services().filter(|service| {
            let engine = service.engine.as_ref();
            engine.is_some_and(|engine| wanted(&engine.models))
        });
        let endpoints = services.flat_map(|service| self.members.of(&service.name));
        let open = endpoints.filter(|endpoint| !endpoint.leaving);
        open.map(|endpoint| self.loader(now, endpoint)).collect()
    }

    fn loader(&self, now: Instant, endpoint: Endpoint) -> Loader {
        let seen = self.seen.borrow();
        let weights = endpoint.weights.into_iter().map(|weights| {
            let key = (endpoint.id.clone(), weights.model.clone());
            let seen = seen.get(&key).copied().unwrap_or(0);
            (weights.model, weights.version.max(seen))
        });
        let weights = weights.collect();
        let until = self.loading.borrow().get(&endpoint.id).copied();
        Loader {
            weights,
            busy: until.is_some_and(|until| now < until),
            load: self.batches.running_at(&endpoint.id),
            id: endpoint.id,
        }
    }

    /// Has one engine load one version, and waits until it is seen to run it.
    async fn load(self: Rc<Self>, load: Load, at_once: usize) {
        let start = Instant::now();
        let done = self.try_load(&load).await;
        let took = start.elapsed();
        log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(), model = load.model.as_str(),
            version = load.version, at_once = at_once, took_ms = millis(took), done = done;
            "A load of weights ended.");
        let outcome = if done { "done" } else { "failed" };
        self.meters.loads.with_label_values(&[outcome]).inc();
        if done {
            self.meters.load_seconds.observe(took.as_secs_f64());
            self.pace.borrow_mut().loaded(at_once, took);
            self.keep_pace().await;
            self.loading.borrow_mut().remove(&load.endpoint);
        } else {
            let until = self.clock.now() + AGAIN;
            self.loading.borrow_mut().insert(load.endpoint, until);
            sleep(AGAIN).await;
        }
        self.changed.notify_one();
    }

    async fn try_load(&self, load: &Load) -> bool {
        let Some(endpoint) = self.members.get(&load.endpoint) else {
            return false;
        };
        let known = self.orders.borrow_mut().remove(&load.endpoint);
        let orders = match known {
            Some(orders) => orders,
            None => match self.report(&endpoint).await {
                Some(report) if self.runs(load, &report) => return true,
                Some(report) if !report.busy => report.orders,
                _ => return false,
            },
        };
        // Looked at last: nothing is waited for between this and the order.
        let Some(fence) = self.fence() else {
            return false;
        };
        let order = Order {
            endpoint: load.endpoint.clone(),
            model: load.model.clone(),
            version: load.version,
            holder: self.life.clone(),
            fence,
            expected: orders,
        };
        let mut weights = endpoint.weights.iter();
        let from = weights.find(|weights| weights.model == load.model);
        let from = from.map_or(0, |weights| weights.version);
        let answer = self.ask(&endpoint, engine::order(&order)).await;
        let answer = answer.map_or(OrderAnswer::Unknown, |(status, _)| {
            engine::order_answer(status)
        });
        log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(), model = load.model.as_str(),
            version = load.version, from = from, holder = self.life.as_str(), fence = fence,
            orders = orders, answer:? = answer; "An order was given.");
        match answer {
            OrderAnswer::Accepted => {
                let done = self.watch(&endpoint, load).await;
                if done {
                    let id = load.endpoint.clone();
                    self.orders.borrow_mut().insert(id, orders + 1);
                }
                done
            }
            OrderAnswer::Holds => {
                self.saw(&load.endpoint, &load.model, load.version);
                true
            }
            OrderAnswer::Fenced => {
                self.lease.borrow_mut().beaten();
                false
            }
            OrderAnswer::Busy | OrderAnswer::Gone | OrderAnswer::Refused | OrderAnswer::Unknown => {
                false
            }
        }
    }

    /// Waits until an engine has loaded: it registers that at once. Its report
    /// lags behind, and is asked for only if it says nothing for long.
    async fn watch(&self, endpoint: &Endpoint, load: &Load) -> bool {
        let end = Instant::now() + LONGEST;
        let mut look = Instant::now() + SILENT;
        while Instant::now() < end {
            let news = self.news.notified();
            let Some(now) = self.members.get(&load.endpoint) else {
                return false;
            };
            let runs = now
                .weights
                .iter()
                .any(|weights| weights.model == load.model && weights.version >= load.version);
            if runs {
                return true;
            }
            if timeout_at(look.into(), news).await.is_ok() {
                continue;
            }
            look = Instant::now() + LOOK;
            let report = self.report(endpoint).await;
            if report.is_some_and(|report| self.runs(load, &report)) {
                return true;
            }
        }
        false
    }

    /// Notes what an engine reports; `true` if it runs the version.
    fn runs(&self, load: &Load, report: &Report) -> bool {
        for weights in &report.weights {
            self.saw(&load.endpoint, &weights.model, weights.version);
        }
        let runs = report
            .weights
            .iter()
            .any(|weights| weights.model == load.model && weights.version >= load.version);
        runs && !report.busy
    }

    fn saw(&self, endpoint: &str, model: &str, version: u64) {
        let key = (endpoint.to_owned(), model.to_owned());
        let mut seen = self.seen.borrow_mut();
        let known = seen.entry(key).or_default();
        *known = (*known).max(version);
        drop(seen);
        self.batches.saw(endpoint, model, version);
    }

    async fn report(&self, endpoint: &Endpoint) -> Option<Report> {
        let (status, body) = self.ask(endpoint, engine::ask_report(&endpoint.id)).await?;
        match engine::report(status, &body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(target: WEIGHTS, endpoint = endpoint.id.as_str(),
                    error = error.to_string().as_str(); "A report is not understood.");
                None
            }
        }
    }

    async fn ask(&self, endpoint: &Endpoint, wire: Wire) -> Option<(u16, Bytes)> {
        let answer = timeout(CALL, self.exchange(endpoint, wire)).await;
        let error = match answer {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(error)) => error,
            Err(_elapsed) => "time is over".to_owned(),
        };
        log::info!(target: WEIGHTS, endpoint = endpoint.id.as_str(), error = error.as_str();
            "An engine did not answer.");
        None
    }

    async fn exchange(&self, endpoint: &Endpoint, wire: Wire) -> Result<(u16, Bytes), String> {
        let request = encode(&wire, endpoint.address).map_err(|error| error.to_string())?;
        let sent = self.channels.send(endpoint.address, request).await;
        let (response, channel) = sent.map_err(|fault| fault.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?;
        self.channels.give_back(channel, None);
        Ok((status, body.to_bytes()))
    }
}

/// Understands the row of the lease.
///
/// A broken one is taken for another's, which lapses like any other. Its number
/// is unknown; the row's version is above all numbers given out, since each of
/// them was a write.
fn lease_row(row: &Row) -> LeaseRow {
    serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        log::error!(target: WEIGHTS, row = row.version, error = error.to_string().as_str();
            "The lease's row is broken; it is waited for as another's.");
        LeaseRow {
            holder: "unknown".to_owned(),
            fence: row.version,
            renewals: 0,
        }
    })
}
