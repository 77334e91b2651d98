//! A plain service that logs the requests that it runs.
//!
//! It answers any path. `X-Request` is echoed, `X-Work-Ms` sets the duration of a request,
//! and `X-Size` the size of the answer's padding. The log has an entry for each request
//! that started, so that a checker can detect duplicate runs.

use crate::{
    http::{ANY_LOOPBACK_PORT, Exchange, Server},
    platform::history::epoch_ms,
};
use serde::{Deserialize, Serialize};
use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The duration of requests without `X-Work-Ms`.
    pub default_work: Duration,
    /// The maximum number of requests that run concurrently; others are queued.
    pub max_running: usize,
    /// A file that a line is appended to before each request runs, so that it is complete
    /// even if the process is killed.
    pub log_path: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK_PORT,
            default_work: Duration::from_millis(5),
            max_running: 64,
            log_path: None,
        }
    }
}

/// Faults of a plain service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which requests take longer.
    pub slow_factor: f64,
    /// Requests run, but answers are withheld until this is reset.
    pub stuck: bool,
    /// Connections are closed before a request runs.
    pub down: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            stuck: false,
            down: false,
        }
    }
}

/// The log entry of a request that started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// The sequence number, from 1.
    pub seq: u64,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The header `X-Request`.
    pub request: Option<String>,
    /// The header `Idempotency-Key`.
    pub key: Option<String>,
    /// The XXH3 hash of the body.
    pub body_hash: u64,
    /// The start in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The answer to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The request's sequence number in the log.
    pub seq: u64,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The header `X-Request`.
    pub request: Option<String>,
    /// The request's body, with invalid UTF-8 replaced.
    pub body: String,
    /// Padding of the size in the header `X-Size`.
    pub pad: String,
}

/// The load report of a plain service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The number of running requests.
    pub running: usize,
    /// The number of queued requests.
    pub queued: usize,
    /// The maximum number of running requests.
    pub limit: usize,
}

#[derive(Debug, Default)]
struct Inner {
    log: Vec<LogEntry>,
    file: Option<File>,
    faults: Faults,
    running: usize,
    queued: usize,
}

#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    slot_freed: Condvar,
    settings: Settings,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running plain service.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    state: Arc<State>,
}

impl Plain {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let listen = settings.listen;
        let file = settings.log_path.as_ref().map(open_log).transpose()?;
        let inner = Inner {
            file,
            ..Inner::default()
        };
        let state = Arc::new(State {
            inner: Mutex::new(inner),
            slot_freed: Condvar::new(),
            settings,
        });
        let inner = Arc::clone(&state);
        let server = Server::start(listen, move |exchange| handle(&inner, exchange))?;
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the log of requests.
    #[must_use]
    pub fn log(&self) -> Vec<LogEntry> {
        self.state.lock().log.clone()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Closes all connections.
    pub fn cut_all(&self) {
        self.server.relay().cut_all();
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

fn open_log(path: &PathBuf) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}

fn handle(state: &State, exchange: Exchange) {
    match exchange.path() {
        "/control" | "/control/log" => handle_control(state, exchange),
        "/load" => {
            let load = load_report(state);
            exchange.answer(200, &load);
        }
        _ => run_request(state, exchange),
    }
}

fn load_report(state: &State) -> Load {
    let inner = state.lock();
    Load {
        running: inner.running,
        queued: inner.queued,
        limit: state.settings.max_running,
    }
}

fn handle_control(state: &State, mut exchange: Exchange) {
    match (exchange.method().as_str(), exchange.path()) {
        ("GET", "/control/log") => {
            let from = exchange.query("from").and_then(|from| from.parse().ok());
            let log = state.lock().log.clone();
            let log: Vec<_> = log.into_iter().skip(from.unwrap_or(0)).collect();
            exchange.answer(200, &log);
        }
        ("GET", _) => {
            let faults = state.lock().faults;
            exchange.answer(200, &faults);
        }
        ("POST", "/control") => match exchange.json::<Faults>() {
            Ok(faults) => {
                state.lock().faults = faults;
                exchange.answer(200, &faults);
            }
            Err(error) => exchange.refuse(400, &error.to_string()),
        },
        _ => exchange.refuse(405, "no such method"),
    }
}

fn run_request(state: &State, mut exchange: Exchange) {
    let Ok(body) = exchange.body() else {
        return exchange.cut();
    };
    if state.lock().faults.down {
        return exchange.cut();
    }
    if !acquire_slot(state, &exchange) {
        return exchange.cut();
    }
    let seq = log_request(state, &exchange, &body);
    simulate_work(state, &exchange);
    state.lock().running -= 1;
    state.slot_freed.notify_one();
    if state.lock().faults.down {
        return exchange.cut();
    }
    let answer = build_answer(&exchange, seq, &body);
    exchange.answer(200, &answer);
}

/// Waits until the request may run; returns false if the caller disconnects first.
fn acquire_slot(state: &State, exchange: &Exchange) -> bool {
    let mut inner = state.lock();
    inner.queued += 1;
    while inner.running >= state.settings.max_running && exchange.is_open() {
        let waited = state.slot_freed.wait_timeout(inner, POLL_INTERVAL);
        inner = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    inner.queued -= 1;
    let is_open = exchange.is_open();
    if is_open {
        inner.running += 1;
    }
    is_open
}

fn log_request(state: &State, exchange: &Exchange, body: &[u8]) -> u64 {
    let mut inner = state.lock();
    let seq = inner.log.len() as u64 + 1;
    let ran = LogEntry {
        seq,
        method: exchange.method(),
        path: exchange.path().to_owned(),
        request: exchange.header("X-Request").map(str::to_owned),
        key: exchange.header("Idempotency-Key").map(str::to_owned),
        body_hash: xxh3_64(body),
        at_ms: epoch_ms(),
    };
    if let Some(file) = &mut inner.file {
        let line = serde_json::to_string(&ran).expect("a log entry serializes to JSON");
        // Panics because a missing line would hide that the request ran.
        writeln!(file, "{line}").expect("the log file is writable");
    }
    inner.log.push(ran);
    seq
}

fn simulate_work(state: &State, exchange: &Exchange) {
    let requested = exchange.header("X-Work-Ms").and_then(|ms| ms.parse().ok());
    let work = requested.map_or(state.settings.default_work, Duration::from_millis);
    let factor = state.lock().faults.slow_factor;
    thread::sleep(work.mul_f64(factor.max(0.0)));
    while state.lock().faults.stuck && exchange.is_open() {
        thread::sleep(POLL_INTERVAL);
    }
}

fn build_answer(exchange: &Exchange, seq: u64, body: &[u8]) -> Answer {
    let size = exchange.header("X-Size").and_then(|size| size.parse().ok());
    Answer {
        seq,
        method: exchange.method(),
        path: exchange.path().to_owned(),
        request: exchange.header("X-Request").map(str::to_owned),
        body: String::from_utf8_lossy(body).into_owned(),
        pad: "x".repeat(size.unwrap_or(0)),
    }
}
