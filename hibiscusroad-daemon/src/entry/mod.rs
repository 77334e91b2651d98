//! The entry role: queues callers' requests and sends them to sidecars.
//!
//! One thread owns all state ([`tables`]) and runs it as a stakker actor. The
//! callers' HTTP server ([`front`]), the connections to sidecars ([`link`]) and the
//! poll of the host list ([`hosts`]) hold none; they send an [`event::Event`] over
//! one bounded channel. A single thread decides for all requests, which avoids
//! locks; requests are read and written on other threads.

mod assembly;
mod attempt;
mod call;
mod claim;
mod claims;
pub mod config;
pub mod event;
mod frames;
pub mod front;
mod hosts;
mod link;
mod links;
mod numbers;
pub mod operators;
pub mod peers;
mod quarantine;
mod query;
mod show;
pub mod side;
pub mod survey;
mod tables;
mod trace;

use self::{
    event::{Event, Ids},
    front::{Front, IDLE_TIMEOUT, Shared},
    link::Dialer,
    operators::OperatorContext,
    peers::PeerClient,
    tables::{TICK, Tables},
};
use crate::{
    event_loop,
    metrics::Metrics,
    platform::{Budget, HostList, Table},
    settings::{Entry as EntrySettings, Settings},
    stop::SignalHandler,
};
use flume::{Receiver, Sender};
use hibiscusroad::Incarnation;
use stakker::{CX, MinTimerKey, Stakker, actor, call, ret_nop, timer_min};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

pub use self::assembly::{Assembly, ChunkOutcome, EndOutcome};

/// How long a stopping entry is idle before it closes its listener.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(300);

/// How long it runs after that. Each open connection either sends a request in
/// this time, which is refused and closes it, or reaches its idle timeout, so the
/// exit of the process cuts off no request.
const CLOSE_LINGER: Duration = IDLE_TIMEOUT.saturating_add(Duration::from_millis(200));

/// How long the process waits for refusals to be written after its deadline.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the tables may take to answer an operator's query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an entry can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no section for this role.
    #[error("the settings have no [entry]")]
    NoSettings,
    /// The address for callers can't be bound.
    #[error("callers can't be served at {0}: {1}")]
    Callers(SocketAddr, #[source] io::Error),
    /// The address for operators can't be bound.
    #[error("operators can't be served at {0}: {1}")]
    Operators(SocketAddr, #[source] io::Error),
    /// The system refused a thread or a signal handler.
    #[error("the process can't be set up: {0}")]
    System(#[from] io::Error),
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Returns an [`Error`] if it can't start.
pub fn run(settings: &Settings) -> Result<(), Error> {
    let signals = SignalHandler::new()?;
    let entry = start(settings)?;
    let stopper = entry.stopper();
    signals.watch(move || stopper.stop())?;
    entry.join();
    Ok(())
}

/// Starts an entry on its own threads.
///
/// # Errors
///
/// Returns an [`Error`] if it can't start.
pub fn start(settings: &Settings) -> Result<Running, Error> {
    let entry_settings = settings.entry.as_ref().ok_or(Error::NoSettings)?;
    let (sender, events) = flume::bounded(entry_settings.handover);
    let ids = Arc::new(Ids::new(Incarnation::draw()));
    let metrics = Metrics::open(&settings.metrics)?;
    let front = Front::start(
        entry_settings,
        metrics.clone(),
        Arc::clone(&ids),
        sender.clone(),
    )
    .map_err(|e| Error::Callers(entry_settings.callers, e))?;
    let dialer = Dialer::start(sender.clone())?;
    let budget = Arc::new(Budget::new(Instant::now()));
    let list = HostList::new(&settings.platform.hosts).metrics(metrics.clone());
    hosts::watch(list, Arc::clone(&budget), sender.clone())?;
    let table = Table::new(&settings.platform.table, Arc::clone(&budget)).metrics(metrics.clone());
    let claim_writes = claims::start(&table, &sender)?;
    watch_config(table.clone(), sender.clone())?;
    let operators = listen_operators(settings, entry_settings, table, sender.clone())?;
    let tables = Tables::new(settings, entry_settings, ids, dialer, claim_writes, metrics);
    let stopper = Stopper {
        events: sender,
        shared: Arc::clone(&front.shared),
    };
    let shared = front.shared;
    let limit = Duration::from_secs(settings.stop.deadline_s);
    let thread = thread::Builder::new()
        .name("tables".to_owned())
        .spawn(move || serve(tables, shared, limit, &events))?;
    log::info!(target: "callers", "Callers are served at {}.", front.address);
    log::info!(target: "operators", "Operators are served at {operators}.");
    Ok(Running {
        callers: front.address,
        operators,
        stopper,
        thread,
    })
}

fn watch_config(table: Table, events: Sender<Event>) -> io::Result<()> {
    thread::Builder::new()
        .name("config".to_owned())
        .spawn(move || {
            config::watch(&table, |document| {
                events.send(Event::Config(Box::new(document))).is_ok()
            });
        })?;
    Ok(())
}

fn listen_operators(
    settings: &Settings,
    entry_settings: &EntrySettings,
    table: Table,
    events: Sender<Event>,
) -> Result<SocketAddr, Error> {
    let accepted = events.clone();
    let context = OperatorContext {
        table,
        tokens: entry_settings.tokens.clone(),
        name: settings.name.clone(),
        peers: PeerClient::new(),
        query: Box::new(move |subject| {
            let (reply, shown) = flume::bounded(1);
            events
                .try_send(Event::Query(subject.to_owned(), reply))
                .ok()?;
            shown.recv_timeout(QUERY_TIMEOUT).ok()
        }),
        on_accepted: Box::new(move |document| {
            // If the queue is full, the poll of the table delivers it later.
            let _ = accepted.try_send(Event::Config(Box::new(document)));
        }),
    };
    operators::listen(entry_settings.operators, context)
        .map_err(|e| Error::Operators(entry_settings.operators, e))
}

/// A running entry.
#[derive(Debug)]
pub struct Running {
    callers: SocketAddr,
    operators: SocketAddr,
    stopper: Stopper,
    thread: JoinHandle<()>,
}

impl Running {
    /// Returns the address where callers connect.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address where operators connect.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns a handle that asks for a graceful shutdown.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        self.stopper.clone()
    }

    /// Waits until it has stopped.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!(target: "process", "The thread that owns the tables panicked.");
        }
        // Workers may still be writing refusals to callers.
        let limit = Instant::now() + FINAL_ANSWER_TIMEOUT;
        while self.stopper.shared.busy() > 0 && Instant::now() < limit {
            thread::sleep(TICK);
        }
    }
}

/// Asks an entry for a graceful shutdown.
#[derive(Clone, Debug)]
pub struct Stopper {
    events: Sender<Event>,
    shared: Arc<Shared>,
}

impl Stopper {
    /// Starts to refuse new requests; the entry stops when all others are answered.
    pub fn stop(&self) {
        self.shared.stop();
        let _ = self.events.send(Event::Stop);
    }
}

fn serve(tables: Tables, shared: Arc<Shared>, limit: Duration, events: &Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let entry = actor!(s, Entry::init(tables, shared, limit), ret_nop!());
    event_loop::run(
        s,
        events,
        |_, event| call!([entry], handle(event)),
        |_, now| call!([entry], run_systems(now)),
    );
}

/// The actor that owns the tables.
struct Entry {
    tables: Tables,
    shared: Arc<Shared>,
    stop_deadline: Duration,
    wake_timer: MinTimerKey,
    stop: Option<Stop>,
}

/// A shutdown under way.
#[derive(Clone, Copy)]
struct Stop {
    deadline: Instant,
    /// When it last had open requests.
    last_busy: Instant,
    /// When the listener was closed.
    closed_at: Option<Instant>,
}

impl Entry {
    #[expect(clippy::unnecessary_wraps, reason = "stakker's form of a constructor")]
    fn init(_: CX![], tables: Tables, shared: Arc<Shared>, limit: Duration) -> Option<Self> {
        Some(Self {
            tables,
            shared,
            stop_deadline: limit,
            wake_timer: MinTimerKey::default(),
            stop: None,
        })
    }

    fn handle(&mut self, _: CX![], event: Event) {
        self.tables.handle(Instant::now(), event);
    }

    fn run_systems(&mut self, cx: CX![], now: Instant) {
        self.tables.tick(now);
        if self.tables.stopping() && self.is_stopped(now) {
            stakker::stop!(cx);
            cx.shutdown(stakker::StopCause::Stopped);
            return;
        }
        let next = now + TICK;
        let due = self.tables.next_due().map_or(next, |due| due.min(next));
        timer_min!(&mut self.wake_timer, due, [cx], wake());
    }

    /// Wakes the event loop, which then runs the systems.
    #[expect(clippy::unused_self, reason = "stakker's form of a method")]
    fn wake(&mut self, _: CX![]) {}

    fn is_stopped(&mut self, now: Instant) -> bool {
        let stop = self.stop.get_or_insert(Stop {
            deadline: now + self.stop_deadline,
            last_busy: now,
            closed_at: None,
        });
        let open = self.tables.open_calls();
        if open > 0 || self.shared.busy() > 0 {
            stop.last_busy = now;
        }
        if now >= stop.deadline {
            if open > 0 {
                log::warn!(target: "process", "Stopped with {open} requests unanswered.");
            }
            return true;
        }
        if stop.closed_at.is_none() && now >= stop.last_busy + IDLE_BEFORE_CLOSE {
            stop.closed_at = Some(now);
            self.shared.close();
        }
        stop.closed_at.is_some_and(|at| now >= at + CLOSE_LINGER)
    }
}
