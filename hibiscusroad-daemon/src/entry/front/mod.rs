//! The callers' HTTP server.
//!
//! `tiny_http` uses a thread per connection, has no timeouts, and ends its accept
//! loop on the first error. Four workarounds:
//!
//! * Linux passes the listener's read and write timeouts on to accepted sockets,
//!   so idle and half-open connections are closed.
//! * The timeout applies to accepting too, so a thread connects to the listener
//!   periodically and accepting never times out.
//! * Of connections that arrive at once, it may give several to one idle thread, and then those
//!   behind an idle connection wait until that one ends. Each connection that wakes accepting
//!   also makes a thread take one of them, so they wait for some wake intervals at most.
//! * If accepting fails, another server starts on a clone of the socket.
//!
//! A request goes to an idle worker or is refused at once. Refusals that must skip
//! a request's body block on the caller and use separate threads.

mod answer;
mod request;
mod worker;

use crate::{
    entry::event::{Event, Ids},
    metrics::{self, Metrics},
    settings::Entry,
};
use flume::{Receiver, Sender, TrySendError};
use hibiscusroad::{ErrorKind, RequestId};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::{
    io,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Request, Server};

/// How long a connection may be idle within a request, between two requests, or
/// while it receives an answer.
///
/// Longer than the pauses of a phone on a bad network, short enough to bound the
/// threads that half-open connections hold: a thousand at 200 new
/// ones a second.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two connections that wake accepting; well within [`IDLE_TIMEOUT`]. A burst of
/// 30 connections to a single idle thread is then served within 600 ms.
const WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// How long to wait for a request before the age of a replaced server is checked again.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connect timeout of such a connection.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections that the kernel queues for accepting.
const LISTEN_BACKLOG: i32 = 1024;

/// Delay before accepting is restarted, so that a process without free file
/// descriptors doesn't spin.
const RESTART_DELAY: Duration = Duration::from_millis(50);

/// How long a replaced server is kept without a request. No connection lives
/// longer without one: the longest deadline plus [`IDLE_TIMEOUT`].
const RETIRED_SERVER_TTL: Duration = Duration::from_secs(620);

/// Threads that skip bodies of refused requests.
const SKIP_THREADS: usize = 4;

/// Refused requests that may wait for a skip thread.
const SKIP_QUEUE_CAPACITY: usize = 256;

/// Bodies up to this length are read by the server along with the headers.
const PREREAD_BODY_BYTES: usize = 1024;

/// State shared by the threads of the server.
#[derive(Debug)]
pub struct Shared {
    events: Sender<Event>,
    ids: Arc<Ids>,
    /// Size limit of a body, in bytes.
    max_body: usize,
    listener: TcpListener,
    stopping: AtomicBool,
    closed: AtomicBool,
    busy: AtomicUsize,
    metrics: Metrics,
}

impl Shared {
    /// Starts to refuse all requests.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Stops accepting connections; open ones are still served.
    ///
    /// Shutting down the socket ends accepting in every server that has a clone of
    /// it. The kernel then refuses connections, so a load balancer can choose
    /// another entry before it sends anything.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Err(e) = SockRef::from(&self.listener).shutdown(Shutdown::Both) {
            log::warn!(target: "callers", "The listener can't be closed: {e}.");
        }
    }

    /// Returns how many requests are being read or answered.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    fn closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Counts a refusal that doesn't reach the tables.
    fn count_refused(&self, kind: ErrorKind) {
        let problem = kind.answer().problem;
        self.metrics
            .count(metrics::REFUSED, &[("problem", problem)]);
    }

    fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// A request for a worker.
struct Job {
    request: Request,
    id: RequestId,
    arrived: Instant,
    guard: Guard,
}

/// A refusal of a request whose body was not read.
struct Refusal {
    job: Job,
    kind: ErrorKind,
}

/// Counts a request as busy until dropped.
struct Guard(Arc<Shared>);

impl Guard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.busy.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(shared))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The running server.
#[derive(Debug)]
pub struct Front {
    /// The address where callers connect.
    pub address: SocketAddr,
    /// State shared with its threads.
    pub shared: Arc<Shared>,
}

impl Front {
    /// Binds the callers' address and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound or a thread can't be
    /// spawned.
    pub fn start(
        settings: &Entry,
        metrics: Metrics,
        ids: Arc<Ids>,
        events: Sender<Event>,
    ) -> io::Result<Self> {
        let listener = listen(settings.callers)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            events,
            ids,
            max_body: settings.body,
            listener,
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            metrics,
        });
        // Without capacity, a job is sent only to a worker that is idle.
        let (jobs, job_queue) = flume::bounded(0);
        let (refusals, refused) = flume::bounded(SKIP_QUEUE_CAPACITY);
        for _ in 0..settings.workers {
            let (job_queue, refusals) = (job_queue.clone(), refusals.clone());
            spawn("worker", move || worker::run(&job_queue, &refusals))?;
        }
        for _ in 0..SKIP_THREADS {
            let refused: Receiver<Refusal> = refused.clone();
            spawn("skipper", move || {
                refused.iter().for_each(worker::refuse_and_skip);
            })?;
        }
        let acceptor = Acceptor {
            shared: Arc::clone(&shared),
            jobs,
            refusals,
        };
        acceptor.spawn()?;
        let woken = Arc::clone(&shared);
        spawn("wake", move || wake(address, &woken))?;
        Ok(Self { address, shared })
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(IDLE_TIMEOUT))?;
    socket.set_write_timeout(Some(IDLE_TIMEOUT))?;
    // Answers are written whole, so waiting for more bytes only delays them.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Connects to the listener periodically until it is closed, so that accepting never times out
/// and no connection stays behind an idle one.
fn wake(mut address: SocketAddr, shared: &Shared) {
    if address.ip().is_unspecified() {
        address.set_ip(match address.ip() {
            IpAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            IpAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    while !shared.closed() {
        thread::sleep(WAKE_INTERVAL);
        if let Err(e) = TcpStream::connect_timeout(&address, WAKE_TIMEOUT) {
            log::debug!(target: "callers", "Connecting to the own listener failed: {e}.");
        }
    }
}

/// Receives requests from a server, and replaces it if accepting fails.
#[derive(Clone)]
struct Acceptor {
    shared: Arc<Shared>,
    jobs: Sender<Job>,
    refusals: Sender<Refusal>,
}

impl Acceptor {
    fn spawn(self) -> io::Result<()> {
        let server = Server::from_listener(self.shared.listener.try_clone()?, None)
            .map_err(io::Error::other)?;
        spawn("accept", move || self.run(&server))
    }

    fn run(&self, server: &Server) {
        let mut last_request = Instant::now();
        let mut retired = false;
        while !retired || last_request.elapsed() < RETIRED_SERVER_TTL {
            match server.recv_timeout(RECEIVE_TIMEOUT) {
                Ok(Some(request)) => {
                    last_request = Instant::now();
                    self.dispatch(request, last_request);
                }
                Ok(None) => {}
                Err(e) => {
                    retired = true;
                    self.replace(&e);
                }
            }
        }
    }

    /// Starts another server on the same socket, retrying until it succeeds.
    fn replace(&self, error: &io::Error) {
        if !self.shared.closed() {
            log::warn!(target: "callers", "Accepting failed: {error}. Restarting it.");
        }
        while !self.shared.closed() {
            thread::sleep(RESTART_DELAY);
            match self.clone().spawn() {
                Ok(()) => return,
                Err(e) => log::warn!(target: "callers", "Accepting can't be restarted yet: {e}."),
            }
        }
    }

    fn dispatch(&self, request: Request, arrived: Instant) {
        let job = Job {
            request,
            id: self.shared.ids.next(),
            arrived,
            guard: Guard::new(&self.shared),
        };
        let kind = if self.shared.stopping() {
            ErrorKind::Stopping
        } else {
            match self.jobs.try_send(job) {
                Ok(()) => return,
                Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                    return self.refuse(job, ErrorKind::HandoverFull);
                }
            }
        };
        self.refuse(job, kind);
    }

    fn refuse(&self, job: Job, kind: ErrorKind) {
        let body_read = job
            .request
            .body_length()
            .is_some_and(|n| n <= PREREAD_BODY_BYTES);
        if body_read || !request::has_body(&job.request) {
            worker::refuse(job, kind);
        } else {
            worker::queue_refusal(&self.refusals, Refusal { job, kind });
        }
    }
}
