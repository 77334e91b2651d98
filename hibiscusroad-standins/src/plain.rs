//! A plain service that logs what it ran.
//!
//! It answers any path. Headers shape a request: `X-Request` is echoed,
//! `X-Work-Ms` sets the time it takes, `X-Size` the size of its answer. The
//! log names what was started, so that a checker sees what ran twice.

use crate::{
    http::{Exchange, FREE, Server},
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

const POLL: Duration = Duration::from_millis(20);

/// How a plain service starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long it takes for a request that doesn't say.
    pub work: Duration,
    /// Requests that it works on at once; others wait.
    pub limit: usize,
    /// A file that also gets a line a request, before the request is run, so
    /// that it names everything that ran even if the process is killed.
    pub log: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: FREE,
            work: Duration::from_millis(5),
            limit: 64,
            log: None,
        }
    }
}

/// Faults of a plain service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many times longer its work takes.
    pub slow_factor: f64,
    /// Work is done, but its answers are held back until this ends.
    pub stuck: bool,
    /// Connections are closed before anything is done.
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

/// One request that was started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ran {
    /// Its number, from 1.
    pub seq: u64,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The header `X-Request`.
    pub request: Option<String>,
    /// The header `Idempotency-Key`.
    pub key: Option<String>,
    /// XXH3 of the body.
    pub body_hash: u64,
    /// Milliseconds since the epoch.
    pub at_ms: u64,
}

/// What a request is answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The request's number in the log.
    pub seq: u64,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The header `X-Request`.
    pub request: Option<String>,
    /// The body, as text where it is text.
    pub body: String,
    /// Fills the answer up to the size that was asked for.
    pub pad: String,
}

/// What it reports of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that it works on.
    pub running: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Requests that it works on at once.
    pub limit: usize,
}

#[derive(Debug, Default)]
struct Inner {
    log: Vec<Ran>,
    file: Option<File>,
    faults: Faults,
    running: usize,
    queued: usize,
}

#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    freed: Condvar,
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
    /// Returns the system's error if it can't listen.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let listen = settings.listen;
        let file = settings.log.as_ref().map(append).transpose()?;
        let inner = Inner {
            file,
            ..Inner::default()
        };
        let state = Arc::new(State {
            inner: Mutex::new(inner),
            freed: Condvar::new(),
            settings,
        });
        let inner = Arc::clone(&state);
        let server = Server::start(listen, move |exchange| handle(&inner, exchange))?;
        Ok(Self { server, state })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns what it ran so far.
    #[must_use]
    pub fn log(&self) -> Vec<Ran> {
        self.state.lock().log.clone()
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Closes all connections at once.
    pub fn cut_all(&self) {
        self.server.relay().cut_all();
    }

    /// Stops it at once.
    pub fn stop(&self) {
        self.server.stop();
    }
}

fn append(path: &PathBuf) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}

fn handle(state: &State, exchange: Exchange) {
    match exchange.path() {
        "/control" | "/control/log" => control(state, exchange),
        "/load" => {
            let load = load(state);
            exchange.answer(200, &load);
        }
        _ => run(state, exchange),
    }
}

fn load(state: &State) -> Load {
    let inner = state.lock();
    Load {
        running: inner.running,
        queued: inner.queued,
        limit: state.settings.limit,
    }
}

fn control(state: &State, mut exchange: Exchange) {
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

fn run(state: &State, mut exchange: Exchange) {
    let Ok(body) = exchange.body() else {
        return exchange.cut();
    };
    if state.lock().faults.down {
        return exchange.cut();
    }
    if !enter(state, &exchange) {
        return exchange.cut();
    }
    let seq = record(state, &exchange, &body);
    work(state, &exchange);
    state.lock().running -= 1;
    state.freed.notify_one();
    if state.lock().faults.down {
        return exchange.cut();
    }
    let answer = answer(&exchange, seq, &body);
    exchange.answer(200, &answer);
}

// Waits for its turn; false if the caller leaves first.
fn enter(state: &State, exchange: &Exchange) -> bool {
    let mut inner = state.lock();
    inner.queued += 1;
    while inner.running >= state.settings.limit && exchange.is_open() {
        let waited = state.freed.wait_timeout(inner, POLL);
        inner = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    inner.queued -= 1;
    let open = exchange.is_open();
    if open {
        inner.running += 1;
    }
    open
}

fn record(state: &State, exchange: &Exchange, body: &[u8]) -> u64 {
    let mut inner = state.lock();
    let seq = inner.log.len() as u64 + 1;
    let ran = Ran {
        seq,
        method: exchange.method(),
        path: exchange.path().to_owned(),
        request: exchange.header("X-Request").map(str::to_owned),
        key: exchange.header("Idempotency-Key").map(str::to_owned),
        body_hash: xxh3_64(body),
        at_ms: epoch_ms(),
    };
    if let Some(file) = &mut inner.file {
        let line = serde_json::to_string(&ran).expect("a line has a JSON form");
        // A line that can't be written would hide a run: better to fail loudly.
        writeln!(file, "{line}").expect("the log can be written");
    }
    inner.log.push(ran);
    seq
}

fn work(state: &State, exchange: &Exchange) {
    let asked = exchange.header("X-Work-Ms").and_then(|ms| ms.parse().ok());
    let work = asked.map_or(state.settings.work, Duration::from_millis);
    let factor = state.lock().faults.slow_factor;
    thread::sleep(work.mul_f64(factor.max(0.0)));
    while state.lock().faults.stuck && exchange.is_open() {
        thread::sleep(POLL);
    }
}

fn answer(exchange: &Exchange, seq: u64, body: &[u8]) -> Answer {
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
