//! Accepts callers' connections and enforces their time limits.
//!
//! hyper reads and writes HTTP/1.1. It drops a request's future when the caller
//! closes the connection, which cancels the request. `tiny_http`, which the role
//! entry uses, detects a closed connection only when it writes.
//!
//! This module enforces two timeouts: one for the headers of a request, and a
//! longer one for idle connections. hyper has a single timeout for both, and
//! closing idle connections that early would race with callers' next requests.

use super::{
    Gateway,
    answer::{Broken, ResponseBody},
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

/// Delay after a failed accept, which usually means too few file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The state of a connection that its timeouts depend on.
#[derive(Debug, Default)]
struct Activity {
    /// Number of requests in progress.
    active: Cell<u32>,
    /// Whether the connection has had a request.
    used: Cell<bool>,
    /// When the connection became idle or was opened.
    idle_since: Cell<Option<Instant>>,
    /// When the first byte of a request arrived whose headers are incomplete.
    reading_since: Cell<Option<Instant>>,
}

impl Activity {
    fn start_request(&self) {
        self.active.set(self.active.get() + 1);
        self.used.set(true);
        self.reading_since.set(None);
    }

    fn finish_request(&self) {
        self.active.set(self.active.get() - 1);
        self.idle_since.set(Some(Instant::now()));
    }

    /// Returns when the connection times out if its state doesn't change.
    fn close_at(&self, limits: &Limits) -> Instant {
        let now = Instant::now();
        match (self.reading_since.get(), self.active.get()) {
            (Some(since), 0) => since + limits.header_timeout,
            (None, 0) => self.idle_since.get().unwrap_or(now) + limits.idle_timeout,
            (_, _) => now + limits.header_timeout.min(limits.idle_timeout),
        }
    }

    fn record_read(&self) {
        if self.active.get() == 0 && self.reading_since.get().is_none() {
            self.reading_since.set(Some(Instant::now()));
        }
    }
}

/// A connection that records its reads.
struct WatchedStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_read();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
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

/// Accepts callers' connections until the process ends.
pub(super) async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                log::warn!(target: CALLERS, error = error.to_string().as_str();
                    "Accepting a connection failed.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let _open = gateway.stop.track_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: CALLERS, error = error.to_string().as_str();
            "TCP_NODELAY could not be set on a connection.");
    }
    let activity = Rc::new(Activity::default());
    activity.idle_since.set(Some(Instant::now()));
    let limits = gateway
        .known
        .catalog()
        .map(|c| c.limits)
        .unwrap_or_default();
    let service = {
        let (gateway, activity) = (Rc::clone(&gateway), Rc::clone(&activity));
        service_fn(move |request| handle(Rc::clone(&gateway), Rc::clone(&activity), request))
    };
    let io = TokioIo::new(WatchedStream {
        stream,
        activity: Rc::clone(&activity),
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut timer = pin!(sleep_until(activity.close_at(&limits).into()));
    let mut closing = false;
    loop {
        // Polling may read the first bytes of a request, whose timeout ends before
        // the timer does.
        let progress = poll_fn(|cx| {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
            let due = activity.close_at(&limits).into();
            if due < timer.deadline() {
                timer.as_mut().reset(due);
            }
            timer.as_mut().poll(cx).map(|()| None)
        });
        tokio::select! {
            polled = progress => {
                if let Some(ended) = polled {
                    if let Err(error) = ended {
                        log::debug!(target: CALLERS, error = error.to_string().as_str();
                            "A caller's connection ended.");
                    }
                    return;
                }
                let due = activity.close_at(&limits);
                if due <= Instant::now() {
                    // No complete request has been read, so none is lost.
                    log::debug!(target: CALLERS, reading = activity.reading_since.get().is_some();
                        "A connection timed out and is closed.");
                    return;
                }
                timer.as_mut().reset(due.into());
            }
            () = gateway.stop.closing(), if !closing => {
                closing = true;
                // hyper's graceful shutdown waits for a connection's first request.
                if !activity.used.get() && activity.reading_since.get().is_none() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Counts a request as in progress until it is dropped.
struct RequestGuard(Rc<Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}

/// An answer's body; its request is in progress until the body is dropped.
struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn handle(
    gateway: Rc<Gateway>,
    activity: Rc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    activity.start_request();
    let guard = RequestGuard(activity);
    let mut response = gateway.answer(request).await;
    if gateway.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| GuardedBody {
        body,
        _guard: guard,
    }))
}
