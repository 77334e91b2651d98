//! The HTTP server of the stand-ins.

use crate::relay::{self, Relay};
use chunked_transfer::Encoder;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt,
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};
use tiny_http::{Header, Request, Response};

/// The loopback address with port 0, for which the system chooses a free port.
pub const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const MAX_BODY_BYTES: u64 = 64 << 20;
/// The maximum number of idle threads. More threads start while requests block, so that
/// control requests are always served.
const MAX_IDLE_THREADS: usize = 16;

/// A server that passes all requests to one handler.
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    inner: tiny_http::Server,
    relay: Relay,
    handler: Box<dyn Fn(Exchange) + Send + Sync>,
    idle_threads: AtomicUsize,
    stopping: AtomicBool,
}

impl Server {
    /// Starts a server that runs `handler` on a separate thread for each request.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(
        listen: SocketAddr,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = relay::bind(ANY_LOOPBACK_PORT)?;
        let target = listener.local_addr()?;
        let inner = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let shared = Arc::new(Shared {
            inner,
            relay: Relay::start(listen, target)?,
            handler: Box::new(handler),
            idle_threads: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
        });
        spawn_worker(&shared)?;
        Ok(Self { shared })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.relay.addr()
    }

    /// Returns the relay in front of the server.
    #[must_use]
    pub fn relay(&self) -> &Relay {
        &self.shared.relay
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.shared.relay.stop();
        self.shared.inner.unblock();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("addr", &self.addr())
            .finish()
    }
}

fn spawn_worker(shared: &Arc<Shared>) -> io::Result<()> {
    let inner = Arc::clone(shared);
    shared.idle_threads.fetch_add(1, Ordering::AcqRel);
    thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || serve_requests(&inner))?;
    Ok(())
}

fn serve_requests(shared: &Arc<Shared>) {
    loop {
        let request = shared.inner.recv();
        if shared.stopping.load(Ordering::Acquire) {
            // `unblock` wakes one thread only, so each thread wakes the next.
            shared.inner.unblock();
            return;
        }
        let Ok(request) = request else { continue };
        if shared.idle_threads.fetch_sub(1, Ordering::AcqRel) == 1 && spawn_worker(shared).is_err()
        {
            shared.idle_threads.fetch_sub(1, Ordering::AcqRel);
        }
        if let Some(exchange) = Exchange::new(request, shared.relay.clone()) {
            (shared.handler)(exchange);
        }
        if shared.idle_threads.fetch_add(1, Ordering::AcqRel) >= MAX_IDLE_THREADS {
            shared.idle_threads.fetch_sub(1, Ordering::AcqRel);
            return;
        }
    }
}

/// A request that waits for an answer.
#[derive(Debug)]
pub struct Exchange {
    request: Request,
    relay: Relay,
    peer: SocketAddr,
}

impl Exchange {
    fn new(request: Request, relay: Relay) -> Option<Self> {
        let peer = *request.remote_addr()?;
        Some(Self {
            request,
            relay,
            peer,
        })
    }

    /// Returns the method in upper case.
    #[must_use]
    pub fn method(&self) -> String {
        self.request.method().as_str().to_owned()
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        let url = self.request.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Returns a query parameter without decoding it.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.request.url().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Returns a header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let headers = self.request.headers().iter();
        let mut matches = headers.filter(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
        matches.next().map(|h| h.value.as_str())
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the caller disconnects before its end.
    pub fn body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let reader = self.request.as_reader();
        io::Read::read_to_end(&mut io::Read::take(reader, MAX_BODY_BYTES), &mut body)?;
        Ok(body)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or the body isn't valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        Ok(serde_json::from_slice(&self.body()?)?)
    }

    /// Returns whether the caller's connection is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.relay.is_open(self.peer)
    }

    /// Returns a function that checks whether the caller's connection is open.
    pub fn watch(&self) -> impl Fn() -> bool + Send + use<> {
        let (relay, peer) = (self.relay.clone(), self.peer);
        move || relay.is_open(peer)
    }

    /// Returns the relay in front of the server.
    #[must_use]
    pub const fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Closes all other connections of the server.
    pub fn cut_others(&self) {
        self.relay.cut_others(self.peer);
    }

    /// Closes the connection without an answer.
    pub fn cut(self) {
        self.relay.cut(self.peer);
        // tiny_http answers a request that is dropped without taking its writer.
        drop(self.request.into_writer());
    }

    /// Answers with a JSON body.
    pub fn answer(self, status: u16, body: &impl Serialize) {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.answer_bytes(status, &[("Content-Type", "application/json")], body);
    }

    /// Answers with an error message as JSON.
    pub fn refuse(self, status: u16, message: &str) {
        self.answer(status, &serde_json::json!({ "error": message }));
    }

    /// Answers with the given headers and body.
    pub fn answer_bytes(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let headers = headers
            .iter()
            .filter_map(|(n, v)| Header::from_bytes(*n, *v).ok());
        let response = headers.fold(Response::from_data(body), Response::with_header);
        let response = response
            .with_status_code(status)
            .with_chunked_threshold(usize::MAX);
        // Fails if the caller has disconnected, which needs no handling.
        let _ = self.request.respond(response);
    }

    /// Starts an answer of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the caller has disconnected.
    pub fn stream(self) -> io::Result<Events> {
        self.stream_with(&[])
    }

    /// Starts an answer of server-sent events with additional headers.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the caller has disconnected.
    pub fn stream_with(self, headers: &[(&str, &str)]) -> io::Result<Events> {
        let (relay, peer) = (self.relay, self.peer);
        let mut writer = self.request.into_writer();
        writer.write_all(STREAM_HEAD)?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        writer.write_all(b"\r\n")?;
        writer.flush()?;
        Ok(Events {
            encoder: Encoder::new(FlushOnDrop(writer)),
            relay,
            peer,
        })
    }
}

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\
    Content-Type: text/event-stream\r\n\
    Cache-Control: no-store\r\n\
    Transfer-Encoding: chunked\r\n";

/// A writer that flushes when it is dropped.
///
/// The encoder writes the last chunk on drop, and `tiny_http` doesn't flush its buffer, so
/// the caller would never see the end of the answer.
struct FlushOnDrop(Box<dyn Write + Send>);

impl Write for FlushOnDrop {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        // Fails if the caller has disconnected, which needs no handling.
        let _ = self.0.flush();
    }
}

/// An answer of server-sent events, which is completed on drop.
pub struct Events {
    encoder: Encoder<FlushOnDrop>,
    relay: Relay,
    peer: SocketAddr,
}

impl Events {
    /// Sends an event with `data` and flushes it.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the caller has disconnected.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        self.send_lines(&format!("data: {data}"))
    }

    /// Sends an event, given as its lines, and flushes it.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the caller has disconnected.
    pub fn send_lines(&mut self, lines: &str) -> io::Result<()> {
        write!(self.encoder, "{lines}\n\n")?;
        // Both the encoder and tiny_http buffer the event.
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Returns a function that checks whether the caller's connection is open.
    pub fn watch(&self) -> impl Fn() -> bool + Send + use<> {
        let (relay, peer) = (self.relay.clone(), self.peer);
        move || relay.is_open(peer)
    }

    /// Closes the connection without completing the answer.
    pub fn abandon(self) {
        self.relay.cut(self.peer);
    }
}

impl fmt::Debug for Events {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Events").finish_non_exhaustive()
    }
}
