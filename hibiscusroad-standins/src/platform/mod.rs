//! The platform: table service, object store, host list and weight store.
//!
//! One address serves all four. `/control` switches faults on and tells what
//! was done: it works whatever fault is on.

pub mod history;
pub mod hosts;
mod objects;
mod rate;
pub mod table;
pub mod wire;

use crate::http::{Exchange, FREE, Server};
use history::History;
use hosts::{Hosts, Target};
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

/// How a platform starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How late the host list is.
    pub lag: Duration,
    /// Reads a second that the weight store allows.
    pub rate: f64,
    /// Bytes of a weight version.
    pub size: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: FREE,
            lag: Duration::ZERO,
            rate: 100.0,
            size: 1024,
        }
    }
}

/// Which writes take effect without the writer being told.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub enum Loss {
    /// None.
    #[default]
    None,
    /// All.
    All,
    /// One in so many.
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
    /// Connections are closed before anything is done.
    pub down: bool,
    /// Milliseconds that each request waits before anything is done.
    pub slow_ms: u64,
    /// Writes that take effect, after which the connection is closed.
    pub lose_answers: Loss,
    /// Milliseconds that the host list is late; unchanged if not given.
    pub lag_ms: Option<u64>,
}

struct Inner {
    table: Table,
    objects: Objects,
    hosts: Hosts,
    rate: Rate,
    faults: Faults,
    history: History,
    losable: u64,
}

struct State {
    inner: Mutex<Inner>,
    size: usize,
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
    /// Returns the system's error if it can't listen.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                table: Table::default(),
                objects: Objects::default(),
                hosts: Hosts::new(settings.lag),
                rate: Rate::new(settings.rate),
                faults: Faults::default(),
                history: History::default(),
                losable: 0,
            }),
            size: settings.size,
        });
        let inner = Arc::clone(&state);
        let server = Server::start(settings.listen, move |exchange| handle(&inner, exchange))?;
        Ok(Self { server, state })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns its URL, which serves all four parts.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.state, faults);
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, list: Vec<Target>) {
        self.state.lock().hosts.put(Instant::now(), list);
    }

    /// Returns what was done so far.
    #[must_use]
    pub fn history(&self) -> History {
        self.state.lock().history.clone()
    }

    /// Stops it at once.
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
    let first = exchange.path().split('/').nth(1).unwrap_or("").to_owned();
    match first.as_str() {
        "control" => control(state, exchange),
        "hosts" => host_list(state, exchange),
        "weights" => weights(state, exchange),
        _ => stored(state, exchange, first == "v3"),
    }
}

fn control(state: &State, mut exchange: Exchange) {
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

fn host_list(state: &State, mut exchange: Exchange) {
    match exchange.method().as_str() {
        "GET" => {
            let list = {
                let mut inner = state.lock();
                inner.history.counts.host_reads += 1;
                inner.hosts.get(Instant::now())
            };
            send_list(exchange, &list);
        }
        "PUT" => match exchange.json::<Vec<Target>>() {
            Ok(list) => {
                state.lock().hosts.put(Instant::now(), list);
                exchange.answer(200, &serde_json::json!({}));
            }
            Err(error) => exchange.refuse(400, &error.to_string()),
        },
        _ => exchange.refuse(405, "GET or PUT"),
    }
}

/// Sends the list, or only says that the asker has it already (RFC 9110).
fn send_list(exchange: Exchange, list: &[Target]) {
    let body = serde_json::to_vec(list).unwrap_or_default();
    let tag = format!("\"{:016x}\"", xxh3_64(&body));
    if exchange.header("If-None-Match") == Some(tag.as_str()) {
        return exchange.answer_bytes(304, &[("ETag", &tag)], Vec::new());
    }
    let json = ("Content-Type", "application/json");
    exchange.answer_bytes(200, &[json, ("ETag", &tag)], body);
}

fn weights(state: &State, exchange: Exchange) {
    let wait = {
        let mut inner = state.lock();
        let wait = inner.rate.take(Instant::now());
        match wait {
            None => inner.history.counts.weight_reads += 1,
            Some(_) => inner.history.counts.weight_refusals += 1,
        }
        wait
    };
    match wait {
        None => exchange.answer_bytes(200, &[], vec![0; state.size]),
        Some(wait) => {
            let seconds = wait.as_secs_f64().ceil().to_string();
            exchange.answer_bytes(429, &[("Retry-After", &seconds)], Vec::new());
        }
    }
}

fn stored(state: &State, mut exchange: Exchange, table: bool) {
    let Ok(body) = exchange.body() else {
        return exchange.cut();
    };
    let faults = state.lock().faults;
    thread::sleep(Duration::from_millis(faults.slow_ms));
    // Asked again: what was switched off meanwhile must do nothing.
    if state.lock().faults.down {
        return exchange.cut();
    }
    match (table, exchange.path()) {
        (false, _) => object(state, exchange, body),
        (true, "/v3/kv/range") => range(state, exchange, &body),
        (true, "/v3/kv/txn") => txn(state, exchange, &body),
        (true, _) => exchange.refuse(404, "no such path"),
    }
}

fn object(state: &State, exchange: Exchange, body: Vec<u8>) {
    let (answer, lost) = {
        let mut inner = state.lock();
        let write = exchange.method() != "GET";
        if write {
            inner.history.counts.object_writes += 1;
        } else {
            inner.history.counts.object_reads += 1;
        }
        let answer = inner.objects.handle(&exchange, body);
        (answer, write && inner.lose())
    };
    if lost {
        return exchange.cut();
    }
    exchange.answer_bytes(
        answer.status,
        &[("Content-Type", answer.content)],
        answer.body,
    );
}

fn range(state: &State, exchange: Exchange, body: &[u8]) {
    match serde_json::from_slice::<RangeRequest>(body) {
        Ok(ask) => {
            let answer = {
                let mut inner = state.lock();
                inner.history.counts.reads += 1;
                inner.table.range(&ask)
            };
            exchange.answer(200, &answer);
        }
        Err(error) => exchange.refuse(400, &error.to_string()),
    }
}

fn txn(state: &State, exchange: Exchange, body: &[u8]) {
    let ask = match serde_json::from_slice::<TxnRequest>(body) {
        Ok(ask) => ask,
        Err(error) => return exchange.refuse(400, &error.to_string()),
    };
    let (answer, lost) = state.lock().txn(&ask);
    if lost {
        return exchange.cut();
    }
    exchange.answer(200, &answer);
}

impl Inner {
    fn txn(&mut self, ask: &TxnRequest) -> (wire::TxnResponse, bool) {
        let (answer, changes) = self.table.txn(ask);
        if changes.is_empty() {
            self.history.counts.unchanged += 1;
            return (answer, false);
        }
        let lost = self.lose();
        self.history.counts.writes += 1;
        self.history.add(self.table.revision(), changes, !lost);
        (answer, lost)
    }

    fn lose(&mut self) -> bool {
        self.losable += 1;
        match self.faults.lose_answers {
            Loss::None => false,
            Loss::All => true,
            Loss::Every(count) => self.losable.is_multiple_of(count),
        }
    }
}
