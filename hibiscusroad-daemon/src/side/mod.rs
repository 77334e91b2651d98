//! Sidecar: admission and forwarding of requests to one endpoint.
//!
//! # Design
//!
//! A [`Gate`](hibiscusroad::gate::Gate) takes the decisions; this module does the
//! I/O. One actor owns the gate, the streams and the workers, on the thread that
//! calls [`run`]. The other threads are:
//!
//! * the server for streams from entries, with tonic's runtime;
//! * workers, each of which makes one call to the endpoint at a time;
//! * two threads that poll the endpoint's load and the host list.
//!
//! They send events to the actor through one bounded channel. While it is full,
//! streams and workers wait; the actor never waits for them.
//!
//! # Trade-offs
//!
//! Each call uses blocking I/O on its own thread, which keeps the code simple. The
//! endpoint's concurrency limit bounds the threads. To abort a call, its socket is
//! shut down, since that is what ends a blocked read.
//!
//! An answer delimited only by the end of its connection counts as incomplete,
//! since a crash of the endpoint looks the same. Endpoints must send a length, a
//! chunked body or, for a stream of events, `[DONE]`.

mod call;
mod event;
mod gauges;
mod link;
mod orders;
mod polls;
mod pool;
mod report;
mod request;
mod role;
mod setup;
mod sse;
mod throttle;
mod wire;

use self::{event::Event, role::Role, setup::Setup};
use crate::{
    event_loop,
    logs::SIDE as LOG,
    metrics::Metrics,
    settings::{self, Settings},
    stop::SignalHandler,
};
use flume::Sender;
use hibiscusroad::Incarnation;
use stakker::{Stakker, actor, call, ret_shutdown};
use std::{
    fmt, io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Instant,
};

/// Why the sidecar failed to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no table `side`.
    #[error("the settings have no table [side]")]
    NoSide,
    /// The listening address can't be used.
    #[error("can't listen for streams on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// A thread or the signal handler can't be set up.
    #[error("the process can't be set up: {0}")]
    Setup(#[from] io::Error),
}

/// Reads the fencing token in a duty's lease row.
///
/// Runs on a separate thread and may block. Returns `None` if the row can't be
/// read; the token of a row that doesn't exist is 0.
pub type ReadLease = Arc<dyn Fn(&str) -> Option<u64> + Send + Sync>;

/// Stops a running sidecar from another thread.
#[derive(Clone)]
pub struct Handle {
    events: Sender<Event>,
    /// Listening address for streams from entries.
    pub links: SocketAddr,
}

impl Handle {
    /// Requests a graceful shutdown: new work is refused, work in flight completes.
    pub fn stop(&self) {
        // Fails only if the sidecar has ended.
        drop(self.events.send(Event::Stop));
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("links", &self.links)
            .finish_non_exhaustive()
    }
}

/// Runs the sidecar until a signal stops it.
///
/// # Errors
///
/// Returns an error if the sidecar can't start.
pub fn run(settings: &Settings, read_lease: ReadLease) -> Result<(), Error> {
    let signals = SignalHandler::new()?;
    let mut watch_result = Ok(());
    serve(settings, read_lease, |handle| {
        watch_result = signals.watch(move || handle.stop());
    })?;
    Ok(watch_result?)
}

/// Runs the sidecar until it is stopped through the handle that is passed to
/// `ready`.
///
/// # Errors
///
/// Returns an error if the sidecar can't start.
pub fn serve(
    settings: &Settings,
    read_lease: ReadLease,
    ready: impl FnOnce(Handle),
) -> Result<(), Error> {
    let side = settings.side.as_ref().ok_or(Error::NoSide)?;
    let metrics = Metrics::open(&settings.metrics)?;
    let listener = TcpListener::bind(side.links).map_err(|e| Error::Listen(side.links, e))?;
    let links = listener.local_addr()?;
    let (sender, events) = flume::bounded(side.handover);
    let server = link::Server::start(listener, sender.clone())?;
    let polls = start_polls(settings, side, &sender)?;
    let setup = Setup {
        settings: settings.clone(),
        side: side.clone(),
        incarnation: Incarnation::draw(),
        events: sender.clone(),
        read_lease,
        metrics,
    };
    log::info!(target: LOG, "Listens for streams to {} on {links}.", side.endpoint);
    ready(Handle {
        events: sender,
        links,
    });
    run_actor(setup, &events);
    drop(polls);
    server.stop();
    Ok(())
}

/// Starts the threads that poll the endpoint's load and the host list.
fn start_polls(
    settings: &Settings,
    side: &settings::Side,
    events: &Sender<Event>,
) -> io::Result<[polls::Poll; 2]> {
    Ok([
        polls::poll_load(side, events.clone())?,
        polls::poll_hosts(settings, side, events.clone())?,
    ])
}

/// Runs the actor until the sidecar has stopped.
fn run_actor(setup: Setup, events: &flume::Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let role = actor!(stakker, Role::init(setup), ret_shutdown!(stakker));
    event_loop::run(
        &mut stakker,
        events,
        |stakker, event| call!([role, stakker], handle_event(event)),
        |stakker, now| call!([role, stakker], settle(now)),
    );
}
