//! Connections from this process to endpoints and to the store.
//!
//! A connection carries one request at a time. The sender receives the answer
//! together with the connection, and returns the connection to the pool after
//! reading the answer to its end. Dropping the connection closes it, which cancels
//! the request at its endpoint. hyper closes an idle connection on which
//! unrequested data arrives.
//!
//! An endpoint may answer a request twice, the second time late, when the next answer is due.
//! Only the request id in the answer tells. So a connection carries each id once, also if the
//! request is sent again, and an answer with another id than the last request's is a fault.
//!
//! Idle connections that may have gone silent are closed ([`hibiscusroad::silence`]).

use super::data_centres::RunningRequest;
use hibiscusroad::{
    clock::millis,
    silence::{Doubt, Silences},
};
use hibiscusroad_platform::{header, request::Request as PlatformRequest};
use http_body_util::{Either, Full};
use hyper::{
    HeaderMap, Request, Response,
    body::{Body, Bytes, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
    header::HeaderValue,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    task::{JoinHandle, spawn_local},
    time::timeout,
};
use xxhash_rust::xxh3::xxh3_64;

/// Timeout for opening a connection; shorter than the retransmission of a lost
/// first packet, which takes a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// `TCP_USER_TIMEOUT`: data unacknowledged for this long means that the host is
/// down or partitioned.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// How long an idle connection is kept if the server sends no keep-alive timeout;
/// longer than the seconds between a trainer's steps.
const DEFAULT_IDLE_TTL: Duration = Duration::from_secs(9);
/// How long a connection may have been idle on which a held request is sent. The feeds of the store
/// reuse theirs at once.
const MAX_HELD_IDLE: Duration = Duration::from_millis(200);
/// Maximum size of an answer's head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Number of requests after which a connection is closed. It bounds the ids that are kept.
const MAX_REQUESTS: usize = 256;

/// The body of a request: complete, or partly read.
pub(super) type RequestBody = Either<Full<Bytes>, PartialBody>;

/// A body whose first part has been read.
#[derive(Debug)]
pub(super) struct PartialBody {
    pub(super) first: Option<Bytes>,
    pub(super) rest: Incoming,
}

impl Body for PartialBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + first);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + first);
        }
        hint
    }
}

/// Builds a request body from bytes.
pub(super) fn full_body(body: Bytes) -> RequestBody {
    Either::Left(Full::new(body))
}

/// Converts a request of the platform crate to an HTTP request.
///
/// # Errors
///
/// Returns an error if the target or a header is invalid in HTTP.
pub(super) fn encode(
    request: &PlatformRequest,
    address: SocketAddr,
) -> Result<Request<RequestBody>, hyper::http::Error> {
    let mut http = Request::builder()
        .method(request.method)
        .uri(request.target.as_str())
        .header("host", address.to_string());
    for (name, value) in &request.headers {
        http = http.header(name.as_ref(), value);
    }
    http.body(full_body(request.body.clone().into()))
}

/// Why no connection is available.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// Connecting timed out.
    #[error("no connection in time")]
    Timeout,
    /// The system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The connection closed before anything was sent.
    #[error("{0}")]
    Closed(hyper::Error),
}

impl ConnectError {
    /// Returns whether the connection was refused, as after the end of a process.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Fault {
    /// There was no connection, or it closed before anything was sent.
    #[error("connection failed: {0}")]
    Connect(ConnectError),
    /// The request must not be sent, since the data centre is evacuated.
    #[error("the data centre is evacuated")]
    Evacuated,
    /// The request must not be sent, since the endpoint is leaving or gone.
    #[error("the endpoint has left")]
    Left,
    /// The connection broke after at least part of the request was sent.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer has the id of another request; this one may have run.
    #[error("the answer belongs to another request")]
    Foreign,
    /// The endpoint is cold and admits no request now.
    #[error("the endpoint is cold")]
    Withheld,
}

impl Fault {
    /// Returns whether no part of the request was sent.
    pub(super) const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::Evacuated | Self::Left | Self::Withheld
        )
    }
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<RequestBody>,
    _driver: Driver,
    address: SocketAddr,
    /// When the last answer was read to its end; `None` on a new connection.
    idle_since: Option<Instant>,
    /// Digests of the ids of the requests that it has carried.
    carried_ids: Vec<u64>,
    /// The request that it carries, if it was sent to an endpoint.
    running: Option<RunningRequest>,
}

/// Returns the digest of a request id.
fn digest(id: &HeaderValue) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Returns whether an answer carries the id of another request.
fn is_foreign(id: Option<&HeaderValue>, answer: &HeaderMap) -> bool {
    let echo = answer.get(header::REQUEST);
    id.zip(echo).is_some_and(|(id, echo)| id != echo)
}

impl Connection {
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    fn has_carried(&self, id: Option<&HeaderValue>) -> bool {
        id.is_some_and(|id| self.carried_ids.contains(&digest(id)))
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires_at: Instant,
}

/// A request that has got no answer yet. If it is dropped then, its connection may be silent.
struct Unanswered<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddr,
    /// Since when the connection had been idle; `None` if it is new, which tells nothing.
    idle_since: Option<Instant>,
    sent_at: Instant,
    is_over: bool,
}

impl Unanswered<'_> {
    /// Records that the head of the answer has arrived.
    fn record_answer(&mut self) {
        self.is_over = true;
        if let Some(idle_since) = self.idle_since {
            self.pool.silences.borrow_mut().record_answer(idle_since);
        }
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_over && self.idle_since.is_some() {
            self.pool.record_silence(self.address, self.sent_at);
        }
    }
}

/// A pool of connections to many addresses.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    silences: RefCell<Silences<SocketAddr>>,
    opened: Cell<u64>,
}

impl ConnectionPool {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns the number of connections opened so far.
    pub(super) fn opened_count(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request that is for no endpoint, and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        self.send_with_hook(address, request, None, || Ok(None))
            .await
    }

    /// Sends a request for which a silent connection would show late. It is sent on a new
    /// connection unless one has been used within [`MAX_HELD_IDLE`].
    pub(super) async fn send_held(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        self.send_with_hook(address, request, Some(MAX_HELD_IDLE), || Ok(None))
            .await
    }

    /// Sends a request to an endpoint and waits for the head of its answer.
    ///
    /// Calls `start` before each send on an open connection; the request is not sent if it
    /// returns an error. There is a second send if a pooled connection turns out to be closed.
    pub(super) async fn send_to_endpoint(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
        mut start: impl FnMut() -> Result<RunningRequest, Fault>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let on_send = || start().map(Some);
        self.send_with_hook(address, request, None, on_send).await
    }

    async fn send_with_hook(
        &self,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        max_idle: Option<Duration>,
        mut on_send: impl FnMut() -> Result<Option<RunningRequest>, Fault>,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let id = request.headers().get(header::REQUEST).cloned();
        loop {
            let idle = self.take_idle(address, id.as_ref(), max_idle);
            let (mut connection, pooled) = match idle {
                Some(connection) => (connection, true),
                None => (self.open(address).await?, false),
            };
            match on_send() {
                Ok(running) => connection.running = running,
                Err(fault) => {
                    // The connection is unused and serves a later request.
                    let since = connection.idle_since.unwrap_or_else(Instant::now);
                    self.keep(connection, since, None);
                    return Err(fault);
                }
            }
            connection.carried_ids.extend(id.as_ref().map(digest));
            let mut unanswered = Unanswered {
                pool: self,
                address,
                idle_since: connection.idle_since,
                sent_at: Instant::now(),
                is_over: false,
            };
            let answer = connection.sender.try_send_request(request).await;
            match &answer {
                Ok(_) => unanswered.record_answer(),
                // The connection is closed, not silent.
                Err(_) => unanswered.is_over = true,
            }
            match answer {
                Ok(response) if is_foreign(id.as_ref(), response.headers()) => {
                    return Err(Fault::Foreign);
                }
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // A pooled connection had been closed: nothing was sent.
                    Some(unsent) if pooled => request = unsent,
                    Some(_) => {
                        let closed = ConnectError::Closed(error.into_error());
                        return Err(Fault::Connect(closed));
                    }
                    None => return Err(Fault::Broken(error.into_error())),
                },
            }
        }
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub(super) fn return_to_pool(&self, connection: Connection, keep_alive: Option<Duration>) {
        self.keep(connection, Instant::now(), keep_alive);
    }

    /// Keeps a connection on which nothing has been received since `since`.
    fn keep(&self, mut connection: Connection, since: Instant, keep_alive: Option<Duration>) {
        connection.running = None;
        if connection.sender.is_closed() || connection.carried_ids.len() >= MAX_REQUESTS {
            return;
        }
        let idle_ttl = keep_alive.map_or(DEFAULT_IDLE_TTL, |timeout| timeout.mul_f64(0.8));
        let expires_at = Instant::now() + idle_ttl;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        connections.retain(|idle| !idle.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                since,
                expires_at,
            });
        }
    }

    /// Closes the idle connections that an unanswered request puts in doubt.
    fn record_silence(&self, address: SocketAddr, sent_at: Instant) {
        let mut silences = self.silences.borrow_mut();
        let doubt = silences.record_silence(Instant::now(), address, sent_at);
        drop(silences);
        let mut idle = self.idle.borrow_mut();
        let mut closed = 0;
        let mut close = |connections: &mut Vec<IdleConnection>, since: Instant| {
            let count = connections.len();
            connections.retain(|idle| idle.since > since);
            closed += count - connections.len();
        };
        match doubt {
            Doubt::None => {}
            Doubt::Address(since) => {
                if let Some(connections) = idle.get_mut(&address) {
                    close(connections, since);
                }
            }
            Doubt::All(since) => idle.values_mut().for_each(|it| close(it, since)),
        }
        if closed > 0 {
            log::info!(target: crate::logs::CALLS, address = address.to_string().as_str(),
                waited_ms = millis(sent_at.elapsed()), closed = closed,
                all = matches!(doubt, Doubt::All(_));
                "A request on a reused connection got no answer; idle connections are closed.");
        }
    }

    /// Returns until when an idle connection to an address is kept, if there is one.
    pub(super) fn idle_until(&self, address: SocketAddr) -> Option<Instant> {
        let idle = self.idle.borrow();
        let connections = idle.get(&address)?.iter();
        connections.map(|connection| connection.expires_at).max()
    }

    /// Takes an idle connection that has not carried a request with this id, and has been idle for
    /// `max_idle` at most.
    fn take_idle(
        &self,
        address: SocketAddr,
        id: Option<&HeaderValue>,
        max_idle: Option<Duration>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| now < idle.expires_at && idle.connection.sender.is_ready());
        let is_fresh =
            |idle: &IdleConnection| max_idle.is_none_or(|limit| now - idle.since <= limit);
        // The most recently used one is the least likely to have been closed.
        let position = connections
            .iter()
            .rposition(|idle| is_fresh(idle) && !idle.connection.has_carried(id))?;
        let idle = connections.remove(position);
        Some(Connection {
            idle_since: Some(idle.since),
            ..idle.connection
        })
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, Fault> {
        self.opened.set(self.opened.get() + 1);
        let connect_error = |error: io::Error| Fault::Connect(ConnectError::Io(error));
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| Fault::Connect(ConnectError::Timeout))?
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
            .map_err(connect_error)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = Driver(spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(target: crate::logs::CALLS, "A connection to {address} failed: {error}.");
            }
        }));
        Ok(Connection {
            sender,
            _driver: driver,
            address,
            idle_since: None,
            carried_ids: Vec::new(),
            running: None,
        })
    }
}
