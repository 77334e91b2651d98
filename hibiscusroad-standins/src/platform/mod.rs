//! The platform: table service, object store, host list and weight store.
//!
//! All four share one address. `/control` sets the faults and returns the history; it is
//! not affected by faults.

pub mod history;
pub mod hosts;
mod objects;
mod rate;
pub mod table;
pub mod wire;

use crate::http::{ANY_LOOPBACK_PORT, Exchange, Server};
use history::History;
use hosts::{Hosts, TargetGroup};
use objects::Objects;
use rate::Rate;
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use table::Table;
use wire::{RangeRequest, TxnRequest};
use xxhash_rust::xxh3::xxh3_64;

/// Settings of a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The delay until a published host list is visible.
    pub lag: Duration,
    /// The reads per second that the weight store allows.
    pub rate: f64,
    /// The size of a weight version in bytes.
    pub size: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK_PORT,
            lag: Duration::ZERO,
            rate: 100.0,
            size: 1024,
        }
    }
}

/// Which writes take effect without an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub enum Loss {
    /// None.
    #[default]
    None,
    /// All.
    All,
    /// One write in this many.
    Every(u64),
}

impl From<Loss> for String {
    fn from(loss: Loss) -> Self {
        match loss {
            Loss::None => "none".to_owned(),
            Loss::All => "all".to_owned(),
            Loss::Every(count) => format!("every {count}"),
        }
    }
}

impl TryFrom<String> for Loss {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match text.as_str() {
            "none" => Ok(Self::None),
            "all" => Ok(Self::All),
            _ => text
                .strip_prefix("every ")
                .and_then(|count| count.parse().ok())
                .filter(|count| *count > 0)
                .map(Self::Every)
                .ok_or_else(|| format!("{text:?} is not \"none\", \"all\" or \"every N\"")),
        }
    }
}

/// Faults of the table service and the object store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed before a request takes effect.
    pub down: bool,
    /// The delay of each request before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// The writes after which the connection closes without an answer.
    pub lose_answers: Loss,
    /// The new delay of the host list in milliseconds; `None` leaves it unchanged.
    pub lag_ms: Option<u64>,
}

struct Inner {
    table: Table,
    objects: Objects,
    hosts: Hosts,
    rate: Rate,
    faults: Faults,
    history: History,
    /// Writes that were subject to `lose_answers` so far.
    write_count: u64,
}

struct State {
    inner: Mutex<Inner>,
    weight_size: usize,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").finish_non_exhaustive()
    }
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                table: Table::default(),
                objects: Objects::default(),
                hosts: Hosts::new(settings.lag),
                rate: Rate::new(settings.rate),
                faults: Faults::default(),
                history: History::default(),
                write_count: 0,
            }),
            weight_size: settings.size,
        });
        let inner = Arc::clone(&state);
        let server = Server::start(settings.listen, move |exchange| handle(&inner, exchange))?;
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL of all four services.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.state, faults);
    }

    /// Publishes a host list.
    pub fn set_hosts(&self, list: Vec<TargetGroup>) {
        self.state.lock().hosts.publish(Instant::now(), list);
    }

    /// Returns the history so far.
    #[must_use]
    pub fn history(&self) -> History {
        self.state.lock().history.clone()
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

fn set_faults(state: &State, faults: Faults) {
    let mut inner = state.lock();
    if let Some(lag) = faults.lag_ms {
        inner.hosts.set_lag(Duration::from_millis(lag));
    }
    inner.faults = faults;
}

fn handle(state: &State, exchange: Exchange) {
    let service = exchange.path().split('/').nth(1).unwrap_or("").to_owned();
    match service.as_str() {
        "control" => handle_control(state, exchange),
        "hosts" => handle_hosts(state, exchange),
        "weights" => handle_weights(state, exchange),
        _ => handle_storage(state, exchange, service == "v3"),
    }
}

fn handle_control(state: &State, mut exchange: Exchange) {
    match (exchange.method().as_str(), exchange.path()) {
        ("GET", "/control/history") => {
            let history = state.lock().history.clone();
            exchange.answer(200, &history);
        }
        ("GET", "/control") => {
            let faults = state.lock().faults;
            exchange.answer(200, &faults);
        }
        ("POST", "/control") => match exchange.json::<Faults>() {
            Ok(faults) => {
                set_faults(state, faults);
                exchange.answer(200, &faults);
            }
            Err(error) => exchange.refuse(400, &error.to_string()),
        },
        _ => exchange.refuse(404, "no such path"),
    }
}

fn handle_hosts(state: &State, mut exchange: Exchange) {
    match exchange.method().as_str() {
        "GET" => {
            let list = {
                let mut inner = state.lock();
                inner.history.counts.host_reads += 1;
                inner.hosts.visible(Instant::now())
            };
            send_list(exchange, &list);
        }
        "PUT" => match exchange.json::<Vec<TargetGroup>>() {
            Ok(list) => {
                state.lock().hosts.publish(Instant::now(), list);
                exchange.answer(200, &serde_json::json!({}));
            }
            Err(error) => exchange.refuse(400, &error.to_string()),
        },
        _ => exchange.refuse(405, "GET or PUT"),
    }
}

/// Sends the list, or 304 if the caller's `If-None-Match` matches it.
fn send_list(exchange: Exchange, list: &[TargetGroup]) {
    let body = serde_json::to_vec(list).unwrap_or_default();
    let etag = format!("\"{:016x}\"", xxh3_64(&body));
    if exchange.header("If-None-Match") == Some(etag.as_str()) {
        return exchange.answer_bytes(304, &[("ETag", &etag)], Vec::new());
    }
    let content_type = ("Content-Type", "application/json");
    exchange.answer_bytes(200, &[content_type, ("ETag", &etag)], body);
}

fn handle_weights(state: &State, exchange: Exchange) {
    let wait = {
        let mut inner = state.lock();
        let wait = inner.rate.acquire(Instant::now());
        match wait {
            None => inner.history.counts.weight_reads += 1,
            Some(_) => inner.history.counts.weight_refusals += 1,
        }
        wait
    };
    match wait {
        None => exchange.answer_bytes(200, &[], vec![0; state.weight_size]),
        Some(wait) => {
            let seconds = wait.as_secs_f64().ceil().to_string();
            exchange.answer_bytes(429, &[("Retry-After", &seconds)], Vec::new());
        }
    }
}

/// Handles a request to the table service or the object store.
fn handle_storage(state: &State, mut exchange: Exchange, is_table: bool) {
    let Ok(body) = exchange.body() else {
        return exchange.cut();
    };
    let faults = state.lock().faults;
    thread::sleep(Duration::from_millis(faults.slow_ms));
    // The fault may have been set during the delay.
    if state.lock().faults.down {
        return exchange.cut();
    }
    match (is_table, exchange.path()) {
        (false, _) => handle_object(state, exchange, body),
        (true, "/v3/kv/range") => handle_range(state, exchange, &body),
        (true, "/v3/kv/txn") => handle_txn(state, exchange, &body),
        (true, _) => exchange.refuse(404, "no such path"),
    }
}

fn handle_object(state: &State, exchange: Exchange, body: Vec<u8>) {
    let (answer, lost) = {
        let mut inner = state.lock();
        let is_write = exchange.method() != "GET";
        if is_write {
            inner.history.counts.object_writes += 1;
        } else {
            inner.history.counts.object_reads += 1;
        }
        let answer = inner.objects.handle(&exchange, body);
        (answer, is_write && inner.count_write())
    };
    if lost {
        return exchange.cut();
    }
    exchange.answer_bytes(
        answer.status,
        &[("Content-Type", answer.content_type)],
        answer.body,
    );
}

fn handle_range(state: &State, exchange: Exchange, body: &[u8]) {
    match serde_json::from_slice::<RangeRequest>(body) {
        Ok(request) => {
            let answer = {
                let mut inner = state.lock();
                inner.history.counts.reads += 1;
                inner.table.range(&request)
            };
            exchange.answer(200, &answer);
        }
        Err(error) => exchange.refuse(400, &error.to_string()),
    }
}

fn handle_txn(state: &State, exchange: Exchange, body: &[u8]) {
    let request = match serde_json::from_slice::<TxnRequest>(body) {
        Ok(request) => request,
        Err(error) => return exchange.refuse(400, &error.to_string()),
    };
    let (answer, lost) = state.lock().txn(&request);
    if lost {
        return exchange.cut();
    }
    exchange.answer(200, &answer);
}

impl Inner {
    /// Runs a transaction; returns the response and whether it is lost.
    fn txn(&mut self, request: &TxnRequest) -> (wire::TxnResponse, bool) {
        let (answer, changes) = self.table.txn(request);
        if changes.is_empty() {
            self.history.counts.unchanged += 1;
            return (answer, false);
        }
        let lost = self.count_write();
        self.history.counts.writes += 1;
        self.history.add(self.table.revision(), changes, !lost);
        (answer, lost)
    }

    /// Counts a write and returns whether its answer is lost.
    fn count_write(&mut self) -> bool {
        self.write_count += 1;
        match self.faults.lose_answers {
            Loss::None => false,
            Loss::All => true,
            Loss::Every(count) => self.write_count.is_multiple_of(count),
        }
    }
}
