//! Endpoints that are called without a sidecar: plain services and model engines.

use super::{Store, joins::RUN_SEPARATOR};
use crate::{
    http::{ANY_LOOPBACK_PORT, Exchange, Server},
    relay::Relay,
};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Lets the first part of an answer reach the caller before the connection closes.
const PARTIAL_ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Time between two looks whether a slot is free.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of runs of all endpoints, which names the next one.
static RUN_COUNT: AtomicUsize = AtomicUsize::new(0);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// It answers correctly.
    Sound,
    /// Its answers carry the id of another request.
    Foreign,
    /// Its answers are truncated.
    Torn,
    /// It declares that it did not run the request.
    Refusing,
    /// Its answers carry no signature.
    Unsigned,
    /// Every request fails with status 500.
    Failing,
    /// It runs requests and answers with this status.
    Status(u16),
    /// It runs requests and never answers.
    Silent,
}

/// How an endpoint crashes while it runs a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashMode {
    /// The process exits: connections close and new ones are refused.
    ProcessExit,
    /// Like `ProcessExit`, but in the middle of the answer.
    Truncated,
    /// The host loses power: connections stay open without traffic.
    PowerLoss,
}

/// Which requests crash an endpoint, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Bytes that the bodies of these requests contain.
    pub marker: Vec<u8>,
    /// How the endpoint crashes.
    pub mode: CrashMode,
}

impl Crash {
    fn matches(&self, body: &[u8]) -> bool {
        let len = self.marker.len().max(1);
        body.windows(len).any(|window| window == self.marker)
    }
}

/// A request that an endpoint started to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutedRequest {
    /// The request's id.
    pub id: String,
    /// The name of this run among those of all endpoints.
    pub run: String,
    /// Its path.
    pub path: String,
    /// The last event that the caller has received (`Last-Event-Id`).
    pub last_event_id: Option<u64>,
    /// The client account, from `X-Tenant`.
    pub account: Option<String>,
    /// Whether it carried an `Authorization` header, which a gateway must remove in a
    /// deployment with client accounts.
    pub has_authorization: bool,
    /// Whether it ran to completion.
    pub is_complete: bool,
    /// How the endpoint handled it.
    pub behaviour: Behaviour,
    /// When it reached the endpoint.
    pub started_at: Instant,
    /// When it left the endpoint: it ran to completion, its caller disconnected or the endpoint
    /// crashed.
    pub ended_at: Option<Instant>,
}

/// A load of weights. Meanwhile the engine refuses items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightLoad {
    /// When the order was accepted.
    pub started_at: Instant,
    /// When the engine had the weights.
    pub ended_at: Option<Instant>,
}

/// How many items an engine takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Items that run at the same time.
    pub slots: usize,
    /// Items that may wait for a slot; further ones are refused.
    pub queue: usize,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour,
    /// The duration of a plain request, and the delay before each event.
    work_duration: Duration,
    /// The number of events of a generated text.
    event_count: u64,
    /// How many events are sent together.
    burst: u64,
    /// Whether each event names the run that made it.
    names_runs: bool,
    /// Overrides of `event_count` by request id.
    item_events: BTreeMap<String, u64>,
    /// Returns the number of events of a text by request id, in place of `event_count`.
    text_length: Option<fn(&str) -> u64>,
    /// How many items it takes; any number by default.
    capacity: Option<Capacity>,
    /// Items that run.
    running: usize,
    /// Items that wait for a slot.
    waiting: usize,
    /// Returns how long a run reads its prompt before the first event, by request id.
    prompt_duration: fn(&str) -> Duration,
    /// Counts the faults that garble the texts in progress.
    garbled: u64,
    /// The slowness of its host in percent, if it reports that.
    slowness: Option<u32>,
    /// How much longer it is cold, as its entry tells.
    cold_remaining: Duration,
    /// When requests arrived that it ran or refused as `Refusing`.
    arrivals: Vec<Instant>,
    weights: BTreeMap<String, u64>,
    /// The data centre in its entry.
    data_centre: String,
    orders: u64,
    /// How long it takes to load weights that were ordered.
    load_duration: Duration,
    /// When it accepted the order that it carries out.
    ordered_at: Option<Instant>,
    loads: Vec<WeightLoad>,
    /// Items that it refused during a load, by the time since the order.
    load_refusals: Vec<Duration>,
    fence: u64,
    runs: Vec<ExecutedRequest>,
    order_holders: Vec<(String, u64)>,
    crash: Option<Crash>,
    crashed: bool,
}

#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    inner: Mutex<Inner>,
    store: Arc<Store>,
}

/// An endpoint on a free port, registered in the store.
#[derive(Debug)]
pub struct Endpoint {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct WireOrder {
    model: String,
    version: u64,
    holder: String,
    fence: u64,
    expected: Option<u64>,
}

impl Endpoint {
    /// Starts an endpoint of a service on a free port.
    ///
    /// An engine starts with version 1 of each model.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(store: &Arc<Store>, service: &str, id: &str, models: &[&str]) -> io::Result<Self> {
        Self::start_at(ANY_LOOPBACK_PORT, store, service, id, models)
    }

    /// Starts an endpoint that listens at `listen`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen there.
    pub fn start_at(
        listen: SocketAddr,
        store: &Arc<Store>,
        service: &str,
        id: &str,
        models: &[&str],
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            inner: Mutex::new(Inner {
                behaviour: Behaviour::Sound,
                work_duration: Duration::from_millis(5),
                event_count: 8,
                burst: 1,
                names_runs: false,
                item_events: BTreeMap::new(),
                text_length: None,
                capacity: None,
                running: 0,
                waiting: 0,
                prompt_duration: |_| Duration::ZERO,
                garbled: 0,
                slowness: None,
                cold_remaining: Duration::ZERO,
                arrivals: Vec::new(),
                weights: models.iter().map(|m| ((*m).to_owned(), 1)).collect(),
                data_centre: "senec".to_owned(),
                orders: 0,
                load_duration: Duration::ZERO,
                ordered_at: None,
                loads: Vec::new(),
                load_refusals: Vec::new(),
                fence: 0,
                runs: Vec::new(),
                order_holders: Vec::new(),
                crash: None,
                crashed: false,
            }),
            store: Arc::clone(store),
        });
        let serving = Arc::clone(&shared);
        let server = Server::start(listen, move |exchange| serve(&serving, exchange))?;
        let endpoint = Self { server, shared };
        endpoint.register("ready");
        Ok(endpoint)
    }

    /// Writes the endpoint's row in the store with `state`.
    pub fn register(&self, state: &str) {
        self.shared.register(self.addr(), state);
    }

    /// Writes its entry once more and removes it; the store delivers both changes together.
    pub fn withdraw(&self) {
        let entry = self.shared.entry(self.addr(), "ready");
        let changes = [(self.id(), Some(entry)), (self.id(), None)];
        self.shared.store.change_together("servers", &changes);
    }

    /// Registers the endpoint in another data centre.
    pub fn set_data_centre(&self, name: &str) {
        name.clone_into(&mut self.shared.lock().data_centre);
        self.register("ready");
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the relay in front of the server.
    #[must_use]
    pub fn relay(&self) -> &Relay {
        self.server.relay()
    }

    /// Sets how later requests are handled.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.lock().behaviour = behaviour;
    }

    /// Makes it crash on some requests.
    pub fn crash_on(&self, crash: Crash) {
        self.shared.lock().crash = Some(crash);
    }

    /// Makes it run requests that crashed it before.
    pub fn end_crashes(&self) {
        self.shared.lock().crash = None;
    }

    /// Returns whether it has crashed.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.shared.lock().crashed
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Sets how long a request runs, or how long each event takes.
    pub fn set_work_duration(&self, work: Duration) {
        self.shared.lock().work_duration = work;
    }

    /// Sets how many events a generated text has.
    pub fn set_event_count(&self, events: u64) {
        self.shared.lock().event_count = events;
    }

    /// Sets how many events of a text are sent together, after the time that they take.
    pub fn set_burst(&self, events: u64) {
        self.shared.lock().burst = events;
    }

    /// Makes each event name the run that made it, for [`TextRuns`](super::TextRuns).
    pub fn name_runs(&self) {
        self.shared.lock().names_runs = true;
    }

    /// Sets how many events the text for the request with id `item` has.
    pub fn set_item_event_count(&self, item: &str, events: u64) {
        self.shared
            .lock()
            .item_events
            .insert(item.to_owned(), events);
    }

    /// Sets a function that returns how many events the text for a request id has.
    pub fn set_text_length(&self, length: fn(&str) -> u64) {
        self.shared.lock().text_length = Some(length);
    }

    /// Sets a function that returns how long a run reads its prompt before the first event, by
    /// request id.
    pub fn set_prompt_duration(&self, duration: fn(&str) -> Duration) {
        self.shared.lock().prompt_duration = duration;
    }

    /// Limits how many items it takes, and makes its answers report its load.
    pub fn set_capacity(&self, capacity: Capacity) {
        self.shared.lock().capacity = Some(capacity);
    }

    /// Ends each text in progress with bytes that are no event.
    pub fn garble_texts(&self) {
        self.shared.lock().garbled += 1;
    }

    /// Crashes it at once, without a request as the cause.
    ///
    /// # Panics
    ///
    /// Panics if `mode` is [`CrashMode::Truncated`], which needs a request.
    pub fn crash(&self, mode: CrashMode) {
        self.shared.lock().record_crash();
        match mode {
            CrashMode::ProcessExit => self.relay().stop(),
            CrashMode::PowerLoss => self.relay().drop_traffic(),
            CrashMode::Truncated => panic!("no answer to truncate"),
        }
    }

    /// Sets the slowness of its host in percent, which it reports from now on.
    pub fn set_slowness(&self, percent: u32) {
        self.shared.lock().slowness = Some(percent);
    }

    /// Writes its entry with a remaining time of coldness; zero if it is warm.
    pub fn report_cold(&self, remaining: Duration) {
        self.shared.lock().cold_remaining = remaining;
        self.register("ready");
    }

    /// Returns when requests arrived, those included that it declared not to have run.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns the requests that it started to run.
    #[must_use]
    pub fn runs(&self) -> Vec<ExecutedRequest> {
        self.shared.lock().runs.clone()
    }

    /// Sets how long a load of ordered weights takes. The engine runs no new items meanwhile.
    pub fn set_load_duration(&self, duration: Duration) {
        self.shared.lock().load_duration = duration;
    }

    /// Returns the items that it refused during a load, by the time since its order.
    #[must_use]
    pub fn load_refusals(&self) -> Vec<Duration> {
        self.shared.lock().load_refusals.clone()
    }

    /// Returns the loads of weights that took a time.
    #[must_use]
    pub fn weight_loads(&self) -> Vec<WeightLoad> {
        self.shared.lock().loads.clone()
    }

    /// Returns the lease holder and fencing token of each accepted order.
    #[must_use]
    pub fn order_holders(&self) -> Vec<(String, u64)> {
        self.shared.lock().order_holders.clone()
    }

    /// Loads a weight version of a model without an order.
    pub fn load(&self, model: &str, version: u64) {
        let mut inner = self.shared.lock();
        inner.weights.insert(model.to_owned(), version);
        drop(inner);
        self.shared.publish_models();
    }

    /// Returns the weight version of a model.
    #[must_use]
    pub fn version(&self, model: &str) -> u64 {
        self.shared.lock().weights.get(model).copied().unwrap_or(0)
    }
}

impl Inner {
    /// Ends all runs, since the endpoint crashes.
    fn record_crash(&mut self) {
        self.crashed = true;
        let now = Instant::now();
        for run in &mut self.runs {
            run.ended_at.get_or_insert(now);
        }
    }

    /// Returns the load header of an item's answer, if it reports its load.
    fn load_report(&self) -> Option<String> {
        if let Some(capacity) = self.capacity {
            let (running, waiting) = (self.running, self.waiting);
            return Some(format!("{running},{waiting},{}", capacity.slots));
        }
        self.slowness.map(|percent| format!("1,0,8,{percent}"))
    }
}

/// A run in progress. Its end is recorded when it is dropped.
struct ActiveRun<'a> {
    shared: &'a Shared,
    index: usize,
}

impl Drop for ActiveRun<'_> {
    fn drop(&mut self) {
        let run = &mut self.shared.lock().runs[self.index];
        run.ended_at.get_or_insert_with(Instant::now);
    }
}

/// A slot that an item occupies until it is dropped.
struct OccupiedSlot<'a> {
    shared: &'a Shared,
}

impl Drop for OccupiedSlot<'_> {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
    }
}

impl Shared {
    /// Returns the load report if no further item is taken.
    fn full_load(&self) -> Option<String> {
        let inner = self.lock();
        let is_full = |it: Capacity| inner.running + inner.waiting >= it.slots + it.queue;
        inner.capacity.filter(|it| is_full(*it))?;
        inner.load_report()
    }

    /// Waits for a slot; returns `None` if the caller disconnects first.
    fn occupy_slot(&self, is_open: &impl Fn() -> bool) -> Option<OccupiedSlot<'_>> {
        self.lock().waiting += 1;
        loop {
            let mut inner = self.lock();
            let is_free = inner.capacity.is_none_or(|it| inner.running < it.slots);
            let still_open = is_open();
            if is_free || !still_open {
                inner.waiting -= 1;
            }
            if !still_open {
                return None;
            }
            if is_free {
                inner.running += 1;
                return Some(OccupiedSlot { shared: self });
            }
            drop(inner);
            thread::sleep(SLOT_POLL_INTERVAL);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, addr: SocketAddr, state: &str) {
        let entry = self.entry(addr, state);
        self.store.put_json("servers", &self.id, &entry);
    }

    fn entry(&self, addr: SocketAddr, state: &str) -> serde_json::Value {
        let models = self.models();
        let cold_ms = u64::try_from(self.lock().cold_remaining.as_millis()).unwrap_or(u64::MAX);
        json!({ "service": self.service, "address": addr.to_string(),
            "zone": self.lock().data_centre, "version": "v1", "slots": 8, "state": state,
            "coldRemainingMs": cold_ms, "models": models, "seq": 1 })
    }

    /// Updates the models in its entry, if it is registered.
    fn publish_models(&self) {
        let rows = self.store.rows("servers");
        let row = rows.into_iter().find(|(_, id, _)| *id == self.id);
        if let Some((_, _, value)) = row
            && let Ok(mut row) = serde_json::from_slice::<serde_json::Value>(&value)
        {
            row["models"] = self.models().into();
            self.store.put_json("servers", &self.id, &row);
        }
    }

    fn models(&self) -> Vec<serde_json::Value> {
        let inner = self.lock();
        let models = inner.weights.iter();
        models
            .map(|(name, version)| json!({ "name": name, "version": version, "adapters": [] }))
            .collect()
    }
}

fn serve(shared: &Arc<Shared>, exchange: Exchange) {
    match exchange.path() {
        "/report" => {
            let (orders, is_busy) = {
                let inner = shared.lock();
                (inner.orders, inner.ordered_at.is_some())
            };
            let body = json!({ "stage": "both", "models": shared.models(), "busy": is_busy,
                "seq": orders, "numWaiting": 0, "numRunning": 0 });
            exchange.answer(200, &body);
        }
        "/order" => apply_order(shared, exchange),
        _ => {
            let ordered_at = shared.lock().ordered_at;
            match ordered_at.filter(|_| exchange.header("X-Model").is_some()) {
                Some(at) => refuse_item(shared, exchange, at.elapsed()),
                None => run_request(shared, exchange),
            }
        }
    }
}

fn apply_order(shared: &Arc<Shared>, mut exchange: Exchange) {
    let Ok(order) = exchange.json::<WireOrder>() else {
        return exchange.refuse(400, "not an order");
    };
    let mut inner = shared.lock();
    if order.fence < inner.fence {
        drop(inner);
        return exchange.refuse(412, "fenced");
    }
    if order
        .expected
        .is_some_and(|expected| expected != inner.orders)
    {
        drop(inner);
        return exchange.refuse(409, "others came first");
    }
    inner.fence = order.fence;
    inner.orders += 1;
    inner.order_holders.push((order.holder, order.fence));
    if inner.load_duration.is_zero() {
        inner.weights.insert(order.model, order.version);
        drop(inner);
        shared.publish_models();
        return exchange.answer(202, &json!({}));
    }
    let now = Instant::now();
    inner.ordered_at = Some(now);
    inner.loads.push(WeightLoad {
        started_at: now,
        ended_at: None,
    });
    let duration = inner.load_duration;
    drop(inner);
    exchange.answer(202, &json!({}));
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        thread::sleep(duration);
        let mut inner = shared.lock();
        inner.ordered_at = None;
        if let Some(load) = inner.loads.last_mut() {
            load.ended_at = Some(Instant::now());
        }
        inner.weights.insert(order.model, order.version);
        drop(inner);
        shared.publish_models();
    });
}

/// Refuses an item during a load, with a report of free slots.
fn refuse_item(shared: &Shared, exchange: Exchange, since_order: Duration) {
    shared.lock().load_refusals.push(since_order);
    refuse_full(exchange, "0,0,8");
}

/// Refuses an item that was not run, with a report of the load.
fn refuse_full(mut exchange: Exchange, load: &str) {
    let id = exchange.header("X-Request-Id").unwrap_or_default();
    let id = id.to_owned();
    if exchange.body().is_err() {
        return exchange.cut();
    }
    let headers = [
        ("X-Not-Executed", "1"),
        ("X-Request-Id", id.as_str()),
        ("X-Server-Load", load),
    ];
    exchange.answer_bytes(503, &headers, Vec::new());
}

fn run_request(shared: &Arc<Shared>, mut exchange: Exchange) {
    let id = exchange
        .header("X-Request-Id")
        .unwrap_or_default()
        .to_owned();
    if exchange
        .header("X-Expect-Instance")
        .is_some_and(|expected| expected != shared.id)
    {
        return exchange.answer_bytes(421, &[("X-Instance-Id", &shared.id)], Vec::new());
    }
    let (behaviour, work) = {
        let inner = shared.lock();
        (inner.behaviour, inner.work_duration)
    };
    let Ok(body) = exchange.body() else {
        return exchange.cut();
    };
    shared.lock().arrivals.push(Instant::now());
    if behaviour == Behaviour::Refusing {
        let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
        return exchange.answer_bytes(503, &headers, Vec::new());
    }
    let model = exchange.header("X-Model").map(str::to_owned);
    let expected_version = exchange
        .header("X-Expect-Version")
        .and_then(|version| version.parse::<u64>().ok());
    let has_version = |expected: u64| {
        let weights = &shared.lock().weights;
        model.as_ref().and_then(|model| weights.get(model)) == Some(&expected)
    };
    if expected_version.is_some_and(|expected| !has_version(expected)) {
        let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
        return exchange.answer_bytes(421, &headers, Vec::new());
    }
    if let Some(load) = shared.full_load().filter(|_| model.is_some()) {
        return refuse_full(exchange, &load);
    }
    let last_event_id = exchange
        .header("Last-Event-Id")
        .and_then(|n| n.parse().ok());
    let mut run = ExecutedRequest {
        id: id.clone(),
        run: String::new(),
        path: exchange.path().to_owned(),
        last_event_id,
        account: exchange.header("X-Tenant").map(str::to_owned),
        has_authorization: exchange.header("Authorization").is_some(),
        is_complete: false,
        behaviour,
        started_at: Instant::now(),
        ended_at: None,
    };
    let index = {
        let mut inner = shared.lock();
        let index = inner.runs.len();
        run.run = format!("run-{}", RUN_COUNT.fetch_add(1, Ordering::Relaxed));
        inner.runs.push(run);
        index
    };
    let _active_run = ActiveRun { shared, index };
    let is_open = exchange.watch();
    let crash = shared.lock().crash.clone();
    if let Some(crash) = crash.filter(|crash| crash.matches(&body)) {
        work_while_open(work, &is_open);
        if is_open() {
            crash_during(shared, exchange, &id, crash.mode);
        }
        return;
    }
    if let Some(model) = model.filter(|_| behaviour == Behaviour::Sound) {
        return generate(shared, exchange, &id, &model, last_event_id, index);
    }
    work_while_open(work, &is_open);
    if !is_open() {
        return;
    }
    shared.lock().runs[index].is_complete = true;
    answer(shared, exchange, behaviour, &id, body);
}

/// Answers a request that has run.
fn answer(shared: &Shared, exchange: Exchange, behaviour: Behaviour, id: &str, body: Vec<u8>) {
    let stamp = format!("stamp-{id}");
    match behaviour {
        Behaviour::Silent => {
            let is_open = exchange.watch();
            while is_open() {
                thread::sleep(Duration::from_millis(20));
            }
            exchange.cut();
        }
        Behaviour::Failing => {
            let headers = [("X-Request-Id", id), ("X-Server-Stamp", &stamp)];
            exchange.answer_bytes(500, &headers, b"failed".to_vec());
        }
        Behaviour::Status(status) => {
            let headers = [("X-Request-Id", id), ("X-Server-Stamp", &stamp)];
            exchange.answer_bytes(status, &headers, b"ran".to_vec());
        }
        Behaviour::Foreign => {
            let headers = [
                ("X-Request-Id", "another"),
                ("X-Server-Stamp", "stamp-another"),
            ];
            exchange.answer_bytes(200, &headers, b"another's".to_vec());
        }
        Behaviour::Unsigned => {
            exchange.answer_bytes(200, &[("X-Request-Id", id)], body);
        }
        Behaviour::Torn => {
            let headers = [("X-Request-Id", id), ("X-Server-Stamp", &stamp)];
            if let Ok(mut events) = exchange.stream_with(&headers) {
                let _disconnected = events.send("a part").is_err();
                events.abandon();
            }
        }
        Behaviour::Sound | Behaviour::Refusing => {
            let mut answer = format!("{} answers ", shared.id).into_bytes();
            answer.extend(body);
            let headers = [
                ("X-Request-Id", id),
                ("X-Server-Stamp", &stamp),
                ("X-Server-Load", "1,0,8"),
            ];
            exchange.answer_bytes(200, &headers, answer);
        }
    }
}

/// Crashes the endpoint while it runs the request `id`.
fn crash_during(shared: &Arc<Shared>, exchange: Exchange, id: &str, mode: CrashMode) {
    shared.lock().record_crash();
    let relay = exchange.relay().clone();
    match mode {
        CrashMode::ProcessExit => {
            relay.stop();
            exchange.cut();
        }
        CrashMode::Truncated => {
            let stamp = format!("stamp-{id}");
            let headers = [("X-Request-Id", id), ("X-Server-Stamp", &stamp)];
            if let Ok(mut events) = exchange.stream_with(&headers) {
                let _disconnected = events.send("a part").is_err();
                thread::sleep(PARTIAL_ANSWER_DELAY);
                relay.stop();
                events.abandon();
            }
        }
        CrashMode::PowerLoss => {
            relay.drop_traffic();
            while !relay.is_stopped() {
                thread::sleep(Duration::from_millis(20));
            }
            exchange.cut();
        }
    }
}

/// Streams a text; each event holds the request id and the event's number.
fn generate(
    shared: &Arc<Shared>,
    exchange: Exchange,
    id: &str,
    model: &str,
    last_event_id: Option<u64>,
    index: usize,
) {
    let Some(_slot) = shared.occupy_slot(&exchange.watch()) else {
        return;
    };
    let (work, prompt_duration, events, garbled, load, burst, run) = {
        let inner = shared.lock();
        let events = inner.item_events.get(id).copied();
        let events = events.or_else(|| inner.text_length.map(|length| length(id)));
        (
            inner.work_duration,
            inner.prompt_duration,
            events.unwrap_or(inner.event_count),
            inner.garbled,
            inner.load_report(),
            inner.burst,
            inner.names_runs.then(|| inner.runs[index].run.clone()),
        )
    };
    let mut version = shared.lock().weights.get(model).copied().unwrap_or(0);
    let initial_version = version.to_string();
    let stamp = format!("stamp-{id}");
    let mut headers = vec![
        ("X-Request-Id", id),
        ("X-Server-Stamp", stamp.as_str()),
        ("X-Weight-Versions", initial_version.as_str()),
        // tiny_http may assign a new connection to a worker thread that is already taken,
        // where it waits until another connection closes. Kept-alive connections would
        // then block it.
        ("Connection", "close"),
    ];
    headers.extend(load.as_deref().map(|load| ("X-Server-Load", load)));
    let Ok(mut stream) = exchange.stream_with(&headers) else {
        return;
    };
    let is_open = stream.watch();
    work_while_open(prompt_duration(id), &is_open);
    if !is_open() {
        return;
    }
    let run = run.map(|run| format!("{RUN_SEPARATOR}{run}"));
    let run = run.unwrap_or_default();
    let mut lines = String::new();
    for number in last_event_id.map_or(1, |id| id + 1)..=events {
        thread::sleep(work);
        if shared.lock().garbled != garbled {
            // Fails if the caller has disconnected, which needs no handling.
            let _ = stream.send_lines("id: x\n\u{1}not an event");
            return stream.abandon();
        }
        let current = shared.lock().weights.get(model).copied().unwrap_or(0);
        let version_line = if current == version {
            String::new()
        } else {
            format!("x-weight-versions: {current}\n")
        };
        version = current;
        if !lines.is_empty() {
            lines.push_str("\n\n");
        }
        // Writing to a string never fails.
        let _ = write!(
            lines,
            "{version_line}id: {number}\ndata: {id}-{number}{run}"
        );
        if number % burst != 0 && number != events {
            continue;
        }
        if stream.send_lines(&lines).is_err() {
            return;
        }
        lines.clear();
    }
    shared.lock().runs[index].is_complete = true;
}

/// Sleeps for `work`, or until the caller disconnects.
fn work_while_open(work: Duration, is_open: &impl Fn() -> bool) {
    let step = Duration::from_millis(5);
    let mut remaining = work;
    while !remaining.is_zero() && is_open() {
        thread::sleep(step.min(remaining));
        remaining = remaining.saturating_sub(step);
    }
}
