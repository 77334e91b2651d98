//! The role side: the gate to one endpoint.
//!
//! # Design
//!
//! The crate's [`Gate`](hibiscusroad::gate::Gate) decides; this module does
//! what it says. One stakker actor owns the gate, the links and the workers,
//! on the thread that calls [`run`]. Around it:
//!
//! * a thread with tonic's runtime, which takes links and turns frames into
//!   typed events;
//! * workers, each a thread that makes one call at the endpoint at a time;
//! * two threads that poll the endpoint's load and the host list.
//!
//! All of them hand events over through one bounded channel and hold no state
//! that outlives a call. A link's reading waits while the channel is full, and
//! so does a worker's; the actor never waits for either.
//!
//! # Trade-offs
//!
//! An endpoint is called with blocking I/O, a thread for each call. A side has
//! one endpoint and its limit bounds the threads; in exchange a call reads like
//! the HTTP exchange it is. Ending a call shuts its socket, because a blocked
//! read sees nothing else.
//!
//! An answer that ends when its connection closes is not taken as whole: a
//! crash of the endpoint looks the same. Endpoints have to send a length, a
//! chunked body or, for events, `[DONE]`.

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

/// Why a side did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no table `side`.
    #[error("the settings have no [side]")]
    NoSide,
    /// The address for links can't be used.
    #[error("links can't be taken on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// A thread or the signals could not be set up.
    #[error("the process could not be set up: {0}")]
    Setup(#[from] io::Error),
}

/// Reads the fencing number in a duty's lease row.
///
/// Runs on a thread of its own and may block. `None` says that the row could
/// not be read; a row that doesn't exist has the number 0.
pub type ReadLease = Arc<dyn Fn(&str) -> Option<u64> + Send + Sync>;

/// Stops a side that runs, from another thread.
#[derive(Clone)]
pub struct Handle {
    events: Sender<Event>,
    /// Where the side takes links.
    pub links: SocketAddr,
}

impl Handle {
    /// Asks for a graceful shutdown: no new work, work in flight completes.
    pub fn stop(&self) {
        // A side that has ended needs no word.
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

/// Runs the role side until a signal stops it.
///
/// # Errors
///
/// Returns an [`Error`] if the side can't start.
pub fn run(settings: &Settings, lease: ReadLease) -> Result<(), Error> {
    let signals = SignalHandler::new()?;
    let mut watched = Ok(());
    serve(settings, lease, |handle| {
        watched = signals.watch(move || handle.stop());
    })?;
    Ok(watched?)
}

/// Runs the role side until the handle that `ready` gets is told to stop.
///
/// # Errors
///
/// Returns an [`Error`] if the side can't start.
pub fn serve(
    settings: &Settings,
    lease: ReadLease,
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
        lease,
        metrics,
    };
    log::info!(target: LOG, "Takes links for {} on {links}.", side.endpoint);
    ready(Handle {
        events: sender,
        links,
    });
    own_tables(setup, &events);
    drop(polls);
    server.stop();
    Ok(())
}

/// Starts the threads that ask for news.
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

/// Runs the actor that owns the tables until the side has stopped.
fn own_tables(setup: Setup, events: &flume::Receiver<Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let role = actor!(stakker, Role::init(setup), ret_shutdown!(stakker));
    event_loop::run(
        &mut stakker,
        events,
        |stakker, event| call!([role, stakker], take(event)),
        |stakker, now| call!([role, stakker], settle(now)),
    );
}
