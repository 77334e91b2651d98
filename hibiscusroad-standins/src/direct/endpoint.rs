//! Endpoints that are called directly: plain services and model engines.

use super::Store;
use crate::{
    http::{Exchange, FREE, Server},
    relay::Relay,
};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// For so long the beginning of a torn answer is on its way before the endpoint ends.
const TORN: Duration = Duration::from_millis(20);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// It answers as it should.
    Sound,
    /// Its answers bear the id of another request.
    Foreign,
    /// Its answers end before their declared end.
    Torn,
    /// It says that it did not run the request.
    Refusing,
    /// Its answers bear no signature.
    Unsigned,
    /// Every request fails by itself.
    Failing,
    /// It takes connections and never answers.
    Silent,
}

/// How an endpoint ends under a request that it can't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashManner {
    /// Its process ends: connections close, new ones are refused.
    Closed,
    /// The same, in the middle of the answer.
    Torn,
    /// Its host loses power: connections stay open and nothing comes.
    Dark,
}

/// Which requests an endpoint ends under, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// What the bodies of these requests contain.
    pub marker: Vec<u8>,
    /// How it ends.
    pub manner: CrashManner,
}

impl Crash {
    fn is_due(&self, body: &[u8]) -> bool {
        let length = self.marker.len().max(1);
        body.windows(length).any(|part| part == self.marker)
    }
}

/// A request that an endpoint began to work on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ran {
    /// The request's id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// The last event that the caller had.
    pub after: Option<u64>,
    /// The account that it is for, as the caller named it.
    pub account: Option<String>,
    /// Whether it bore a key, which is nobody's business here.
    pub keyed: bool,
    /// Whether it was worked on to its end.
    pub whole: bool,
}

#[derive(Debug)]
struct Inner {
    manner: Manner,
    /// How long a plain request is worked on, and between two events.
    work: Duration,
    events: u64,
    /// Texts of another length, by items.
    lengths: BTreeMap<String, u64>,
    weights: BTreeMap<String, u64>,
    orders: u64,
    fence: u64,
    ran: Vec<Ran>,
    holders: Vec<(String, u64)>,
    crash: Option<Crash>,
    /// It has ended.
    down: bool,
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
    /// Starts an endpoint of a service; an engine runs models at version 1.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen.
    pub fn start(store: &Arc<Store>, service: &str, id: &str, models: &[&str]) -> io::Result<Self> {
        Self::start_at(FREE, store, service, id, models)
    }

    /// Starts an endpoint at an address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen there.
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
                manner: Manner::Sound,
                work: Duration::from_millis(5),
                events: 8,
                lengths: BTreeMap::new(),
                weights: models.iter().map(|m| ((*m).to_owned(), 1)).collect(),
                orders: 0,
                fence: 0,
                ran: Vec::new(),
                holders: Vec::new(),
                crash: None,
                down: false,
            }),
            store: Arc::clone(store),
        });
        let serving = Arc::clone(&shared);
        let server = Server::start(listen, move |exchange| serve(&serving, exchange))?;
        let endpoint = Self { server, shared };
        endpoint.register("ready");
        Ok(endpoint)
    }

    /// Writes the endpoint's entry with a state.
    pub fn register(&self, state: &str) {
        self.shared.register(self.addr(), state);
    }

    /// Returns where it is called.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the relay that its callers come through.
    #[must_use]
    pub fn relay(&self) -> &Relay {
        self.server.relay()
    }

    /// Sets how it behaves from now on.
    pub fn behave(&self, manner: Manner) {
        self.shared.lock().manner = manner;
    }

    /// Has it end under some requests.
    pub fn crash_on(&self, crash: Crash) {
        self.shared.lock().crash = Some(crash);
    }

    /// Says whether it has ended under a request.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.shared.lock().down
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

    /// Sets how long a request is worked on, or an event is made.
    pub fn work(&self, work: Duration) {
        self.shared.lock().work = work;
    }

    /// Sets how many events a text has.
    pub fn events(&self, events: u64) {
        self.shared.lock().events = events;
    }

    /// Sets how many events the text of one item has.
    pub fn events_of(&self, item: &str, events: u64) {
        self.shared.lock().lengths.insert(item.to_owned(), events);
    }

    /// Returns what it ran.
    #[must_use]
    pub fn ran(&self) -> Vec<Ran> {
        self.shared.lock().ran.clone()
    }

    /// Returns who gave orders that were taken, with their fencing tokens.
    #[must_use]
    pub fn holders(&self) -> Vec<(String, u64)> {
        self.shared.lock().holders.clone()
    }

    /// Returns the weight version of a model.
    #[must_use]
    pub fn version(&self, model: &str) -> u64 {
        self.shared.lock().weights.get(model).copied().unwrap_or(0)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, addr: SocketAddr, state: &str) {
        let models = self.models();
        let entry = json!({ "service": self.service, "address": addr.to_string(),
            "zone": "senec", "version": "v1", "slots": 8, "state": state,
            "coldRemainingMs": 0, "models": models, "seq": 1 });
        self.store.put("servers", &self.id, &entry);
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
            let orders = shared.lock().orders;
            let body = json!({ "stage": "both", "models": shared.models(), "busy": false,
                "seq": orders, "numWaiting": 0, "numRunning": 0 });
            exchange.answer(200, &body);
        }
        "/order" => order(shared, exchange),
        _ => request(shared, exchange),
    }
}

fn order(shared: &Arc<Shared>, mut exchange: Exchange) {
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
    inner.holders.push((order.holder, order.fence));
    inner.weights.insert(order.model, order.version);
    drop(inner);
    let key = shared.id.clone();
    let rows = shared.store.rows("servers");
    let entry = rows.into_iter().find(|(_, id, _)| *id == key);
    if let Some((_, _, value)) = entry
        && let Ok(mut entry) = serde_json::from_slice::<serde_json::Value>(&value)
    {
        entry["models"] = shared.models().into();
        shared.store.put("servers", &key, &entry);
    }
    exchange.answer(202, &json!({}));
}

fn request(shared: &Arc<Shared>, mut exchange: Exchange) {
    let id = exchange
        .header("X-Request-Id")
        .unwrap_or_default()
        .to_owned();
    if exchange
        .header("X-Expect-Instance")
        .is_some_and(|wanted| wanted != shared.id)
    {
        return exchange.answer_bytes(421, &[("X-Instance-Id", &shared.id)], Vec::new());
    }
    let (manner, work) = {
        let inner = shared.lock();
        (inner.manner, inner.work)
    };
    let Ok(body) = exchange.body() else {
        return exchange.cut();
    };
    if manner == Manner::Refusing {
        let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str())];
        return exchange.answer_bytes(503, &headers, Vec::new());
    }
    let after = exchange
        .header("Last-Event-Id")
        .and_then(|n| n.parse().ok());
    let ran = Ran {
        id: id.clone(),
        path: exchange.path().to_owned(),
        after,
        account: exchange.header("X-Tenant").map(str::to_owned),
        keyed: exchange.header("Authorization").is_some(),
        whole: false,
    };
    let index = {
        let mut inner = shared.lock();
        inner.ran.push(ran);
        inner.ran.len() - 1
    };
    let model = exchange.header("X-Model").map(str::to_owned);
    let open = exchange.watch();
    let crash = shared.lock().crash.clone();
    if let Some(crash) = crash.filter(|crash| crash.is_due(&body)) {
        wait(work, &open);
        if open() {
            end(shared, exchange, &id, crash.manner);
        }
        return;
    }
    if let Some(model) = model.filter(|_| manner == Manner::Sound) {
        return generate(shared, exchange, &id, &model, after, index);
    }
    wait(work, &open);
    if !open() {
        return;
    }
    shared.lock().ran[index].whole = true;
    let stamp = format!("stamp-{id}");
    match manner {
        Manner::Silent => {
            while open() {
                thread::sleep(Duration::from_millis(20));
            }
            exchange.cut();
        }
        Manner::Failing => {
            let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &stamp)];
            exchange.answer_bytes(500, &headers, b"failed".to_vec());
        }
        Manner::Foreign => {
            let headers = [
                ("X-Request-Id", "another"),
                ("X-Server-Stamp", "stamp-another"),
            ];
            exchange.answer_bytes(200, &headers, b"another's".to_vec());
        }
        Manner::Unsigned => {
            exchange.answer_bytes(200, &[("X-Request-Id", &id)], body);
        }
        Manner::Torn => {
            let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &stamp)];
            if let Ok(mut events) = exchange.stream_with(&headers) {
                let _gone = events.send("a part").is_err();
                events.abandon();
            }
        }
        Manner::Sound | Manner::Refusing => {
            let mut answer = format!("{} answers ", shared.id).into_bytes();
            answer.extend(body);
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Server-Stamp", &stamp),
                ("X-Server-Load", "1,0,8"),
            ];
            exchange.answer_bytes(200, &headers, answer);
        }
    }
}

/// Ends the endpoint while it runs a request.
fn end(shared: &Arc<Shared>, exchange: Exchange, id: &str, manner: CrashManner) {
    shared.lock().down = true;
    let relay = exchange.relay().clone();
    match manner {
        CrashManner::Closed => {
            relay.stop();
            exchange.cut();
        }
        CrashManner::Torn => {
            let stamp = format!("stamp-{id}");
            let headers = [("X-Request-Id", id), ("X-Server-Stamp", &stamp)];
            if let Ok(mut events) = exchange.stream_with(&headers) {
                let _gone = events.send("a part").is_err();
                thread::sleep(TORN);
                relay.stop();
                events.abandon();
            }
        }
        CrashManner::Dark => {
            relay.go_dark();
            while !relay.is_stopped() {
                thread::sleep(Duration::from_millis(20));
            }
            exchange.cut();
        }
    }
}

/// Streams a text whose events tell the item and their number.
fn generate(
    shared: &Arc<Shared>,
    exchange: Exchange,
    id: &str,
    model: &str,
    after: Option<u64>,
    index: usize,
) {
    let (work, events) = {
        let inner = shared.lock();
        let events = inner.lengths.get(id).copied();
        (inner.work, events.unwrap_or(inner.events))
    };
    let mut version = shared.lock().weights.get(model).copied().unwrap_or(0);
    let named = version.to_string();
    let stamp = format!("stamp-{id}");
    let headers = [
        ("X-Request-Id", id),
        ("X-Server-Stamp", stamp.as_str()),
        ("X-Weight-Versions", named.as_str()),
        // The server's pool of threads may hand a new connection to one that is just
        // being taken by another; it then waits until any connection ends. Four items
        // that came at once left one without an answer in one run of three, for as
        // long as the other three connections were kept.
        ("Connection", "close"),
    ];
    let Ok(mut stream) = exchange.stream_with(&headers) else {
        return;
    };
    for number in after.map_or(1, |after| after + 1)..=events {
        thread::sleep(work);
        let now = shared.lock().weights.get(model).copied().unwrap_or(0);
        let changed = if now == version {
            String::new()
        } else {
            format!("x-weight-versions: {now}\n")
        };
        version = now;
        let lines = format!("{changed}id: {number}\ndata: {id}-{number}");
        if stream.send_lines(&lines).is_err() {
            return;
        }
    }
    shared.lock().ran[index].whole = true;
}

/// Works for a while, or until the caller leaves.
fn wait(work: Duration, open: &impl Fn() -> bool) {
    let step = Duration::from_millis(5);
    let mut left = work;
    while !left.is_zero() && open() {
        thread::sleep(step.min(left));
        left = left.saturating_sub(step);
    }
}
