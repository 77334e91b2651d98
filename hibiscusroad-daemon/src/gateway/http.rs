//! Connections from this process to endpoints and to the store.
//!
//! One request runs on a connection at a time. Whoever sends gets the answer
//! together with the connection, and gives it back once the answer was read to
//! its end; one that is dropped instead is closed, which is how work that is no
//! longer wanted is cancelled at its endpoint. What comes on an idle connection
//! belongs to nobody: hyper closes it then.

use hibiscusroad_platform::request::Request as Call;
use http_body_util::{Either, Full};
use hyper::{
    Request, Response,
    body::{Body, Bytes, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
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

/// A connection that isn't there by then won't be: hosts are some milliseconds
/// apart, and a lost first packet is sent again after a second.
const CONNECT: Duration = Duration::from_millis(600);
/// Bytes that were sent and not acknowledged for so long mean a host without
/// power or behind a partition, which never answers.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Idle connections kept to one address. More are needed only in bursts.
const KEPT: usize = 16;
/// Idle connections are kept so long if the other side doesn't say: a trainer's
/// steps are seconds apart, and each reuses the connections of the one before.
const KEEP: Duration = Duration::from_secs(9);

/// The body of a request: whole, or what was read of it and the rest as it
/// comes.
pub(super) type Sent = Either<Full<Bytes>, Rest>;

/// A body of which the first part was read.
#[derive(Debug)]
pub(super) struct Rest {
    pub(super) first: Option<Bytes>,
    pub(super) rest: Incoming,
}

impl Body for Rest {
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

/// Wraps bytes as a request's body.
pub(super) fn whole(body: Bytes) -> Sent {
    Either::Left(Full::new(body))
}

/// Makes an HTTP request of a call that the platform's crate described.
///
/// # Errors
///
/// Returns an error if the call holds what HTTP can't carry.
pub(super) fn encode(
    call: &Call,
    address: SocketAddr,
) -> Result<Request<Sent>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.target.as_str())
        .header("host", address.to_string());
    for (name, value) in &call.headers {
        request = request.header(name.as_ref(), value);
    }
    request.body(whole(call.body.clone().into()))
}

/// Why no connection could be had.
#[derive(Debug, thiserror::Error)]
pub(super) enum Unreached {
    /// It was not there in time.
    #[error("no connection in time")]
    Late,
    /// The system can't connect.
    #[error("{0}")]
    Connect(#[from] io::Error),
    /// It was closed before anything was sent.
    #[error("{0}")]
    Closed(hyper::Error),
}

impl Unreached {
    /// Says whether nobody listens at the address, as after the end of a process.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub(super) enum Fault {
    /// No connection could be had, or it was closed before anything was sent.
    #[error("not reached: {0}")]
    Unreached(Unreached),
    /// The request was sent, at least in part.
    #[error("broken: {0}")]
    Broken(#[from] hyper::Error),
}

impl Fault {
    /// Says whether nothing of the request can have arrived.
    pub(super) const fn unsent(&self) -> bool {
        matches!(self, Self::Unreached(_))
    }
}

/// The task that drives a connection; dropped, it closes it.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which one request runs.
#[derive(Debug)]
pub(super) struct Channel {
    sender: SendRequest<Sent>,
    _driver: Driver,
    address: SocketAddr,
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    until: Instant,
}

/// Connections to many addresses, kept while they are of use.
#[derive(Debug, Default)]
pub(super) struct Channels {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
}

impl Channels {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns how many connections were opened.
    pub(super) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Sent>,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        self.send_noting(address, request, || {}).await
    }

    /// Sends a request and waits for the head of its answer; calls `sent` when it goes
    /// out on an open connection, again if that one had just been closed.
    pub(super) async fn send_noting(
        &self,
        address: SocketAddr,
        mut request: Request<Sent>,
        mut sent: impl FnMut(),
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        loop {
            let (mut channel, kept) = match self.take(address) {
                Some(channel) => (channel, true),
                None => (self.open(address).await?, false),
            };
            sent();
            match channel.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, channel)),
                Err(mut error) => match error.take_message() {
                    // A kept connection was closed meanwhile: nothing was sent.
                    Some(back) if kept => request = back,
                    Some(_) => {
                        let closed = Unreached::Closed(error.into_error());
                        return Err(Fault::Unreached(closed));
                    }
                    None => return Err(Fault::Broken(error.into_error())),
                },
            }
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn give_back(&self, channel: Channel, keep: Option<Duration>) {
        if channel.sender.is_closed() {
            return;
        }
        let keep = keep.map_or(KEEP, |told| told.mul_f64(0.8));
        let until = Instant::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(channel.address).or_default();
        kept.retain(|idle| !idle.channel.sender.is_closed());
        if kept.len() < KEPT {
            kept.push(Idle { channel, until });
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Channel> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        // The one that was used last is the least likely to have been closed.
        while let Some(found) = kept.pop() {
            if now < found.until && found.channel.sender.is_ready() {
                return Some(found.channel);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr) -> Result<Channel, Fault> {
        self.opened.set(self.opened.get() + 1);
        let unreached = |error: io::Error| Fault::Unreached(Unreached::Connect(error));
        let stream = timeout(CONNECT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| Fault::Unreached(Unreached::Late))?
            .map_err(unreached)?;
        stream.set_nodelay(true).map_err(unreached)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED))
            .map_err(unreached)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = Driver(spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(target: crate::logs::CALLS, "A connection to {address} ended: {error}.");
            }
        }));
        Ok(Channel {
            sender,
            _driver: driver,
            address,
        })
    }
}
