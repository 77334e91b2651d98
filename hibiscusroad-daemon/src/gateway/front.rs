//! Callers' connections: what may be sent, how long it may take, how it ends.
//!
//! hyper reads and writes HTTP/1.1. It drops the work on a request when the
//! caller closes the connection, which cancels it; `tiny_http`, which the role
//! entry uses, can't tell before it writes. Two limits are kept here: how long
//! a caller may take to send headers, and how long a connection may be idle.
//! hyper has one limit for both, and closing an idle connection that early would
//! cross with callers' next requests.

use super::{
    Gateway,
    answer::{Broken, Out},
};
use crate::logs::CALLERS;
use hibiscusroad::catalog::Limits;
use hyper::{
    Request, Response,
    body::{Body, Bytes, Frame, Incoming, SizeHint},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{
    cell::Cell,
    convert::Infallible,
    future::poll_fn,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{sleep, sleep_until},
};

/// Pause after accepting failed, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least buffer that hyper takes.
const LEAST_BUFFER: usize = 8 << 10;

/// What a connection is doing, seen from its bytes and its requests.
#[derive(Debug, Default)]
struct Watch {
    /// Requests that are being worked on.
    busy: Cell<u32>,
    /// Whether a request ever came.
    used: Cell<bool>,
    /// When the connection became idle, or was opened.
    idle: Cell<Option<Instant>>,
    /// When the first byte of a request came that isn't read whole yet.
    reading: Cell<Option<Instant>>,
}

impl Watch {
    fn began(&self) {
        self.busy.set(self.busy.get() + 1);
        self.used.set(true);
        self.reading.set(None);
    }

    fn ended(&self) {
        self.busy.set(self.busy.get() - 1);
        self.idle.set(Some(Instant::now()));
    }

    /// Says when the connection is to be closed, unless something happens.
    fn due(&self, limits: &Limits) -> Instant {
        let now = Instant::now();
        match (self.reading.get(), self.busy.get()) {
            (Some(since), 0) => since + limits.header_timeout,
            (None, 0) => self.idle.get().unwrap_or(now) + limits.idle_timeout,
            (_, _) => now + limits.header_timeout.min(limits.idle_timeout),
        }
    }

    fn read(&self) {
        if self.busy.get() == 0 && self.reading.get().is_none() {
            self.reading.set(Some(Instant::now()));
        }
    }
}

/// A connection whose reads are watched.
struct Watched {
    stream: TcpStream,
    watch: Rc<Watch>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.watch.read();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Accepts callers until the process ends.
pub(super) async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                log::warn!(target: CALLERS, error = error.to_string().as_str();
                    "A connection could not be accepted.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let _open = gateway.stop.hold();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: CALLERS, error = error.to_string().as_str();
            "A connection may delay small packets.");
    }
    let watch = Rc::new(Watch::default());
    watch.idle.set(Some(Instant::now()));
    let limits = gateway
        .known
        .catalog()
        .map(|c| c.limits)
        .unwrap_or_default();
    let service = {
        let (gateway, watch) = (Rc::clone(&gateway), Rc::clone(&watch));
        service_fn(move |request| work(Rc::clone(&gateway), Rc::clone(&watch), request))
    };
    let io = TokioIo::new(Watched {
        stream,
        watch: Rc::clone(&watch),
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut timer = pin!(sleep_until(watch.due(&limits).into()));
    let mut closing = false;
    loop {
        // The connection may have read the beginning of a request: then less
        // time is left than the timer was set for.
        let step = poll_fn(|cx| {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
            let due = watch.due(&limits).into();
            if due < timer.deadline() {
                timer.as_mut().reset(due);
            }
            timer.as_mut().poll(cx).map(|()| None)
        });
        tokio::select! {
            stepped = step => {
                if let Some(ended) = stepped {
                    if let Err(error) = ended {
                        log::debug!(target: CALLERS, error = error.to_string().as_str();
                            "A caller's connection ended.");
                    }
                    return;
                }
                let due = watch.due(&limits);
                if due <= Instant::now() {
                    // Nothing of a request was read whole: this cuts off nobody.
                    log::debug!(target: CALLERS, reading = watch.reading.get().is_some();
                        "A connection is closed for its limits.");
                    return;
                }
                timer.as_mut().reset(due.into());
            }
            () = gateway.stop.closing(), if !closing => {
                closing = true;
                // hyper would wait for the first request of such a connection.
                if !watch.used.get() && watch.reading.get().is_none() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Marks a request as being worked on for as long as it lives.
struct Busy(Rc<Watch>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.ended();
    }
}

/// An answer's body; the connection is busy until it is sent or given up.
struct Held {
    out: Out,
    _busy: Busy,
}

impl Body for Held {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.get_mut().out).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.out.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.out.size_hint()
    }
}

async fn work(
    gateway: Rc<Gateway>,
    watch: Rc<Watch>,
    request: Request<Incoming>,
) -> Result<Response<Held>, Infallible> {
    watch.began();
    let busy = Busy(watch);
    let mut response = gateway.answer(request).await;
    if gateway.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|out| Held { out, _busy: busy }))
}
