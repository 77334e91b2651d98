//! The HTTP server that the stand-ins share.

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

/// Any free port on the loopback interface.
pub const FREE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const BODY_LIMIT: u64 = 64 << 20;
// Threads kept when they have nothing to do. More are started while requests
// block, so that a control request gets through however many are stuck.
const SPARE: usize = 16;

/// A server with one handler for all requests.
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    inner: tiny_http::Server,
    relay: Relay,
    handler: Box<dyn Fn(Exchange) + Send + Sync>,
    idle: AtomicUsize,
    stopping: AtomicBool,
}

impl Server {
    /// Starts a server; `handler` runs on a thread of its own for each request.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen.
    pub fn start(
        listen: SocketAddr,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = relay::bind(FREE)?;
        let target = listener.local_addr()?;
        let inner = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let shared = Arc::new(Shared {
            inner,
            relay: Relay::start(listen, target)?,
            handler: Box::new(handler),
            idle: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
        });
        spawn(&shared)?;
        Ok(Self { shared })
    }

    /// Returns where callers connect.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.relay.addr()
    }

    /// Returns the relay that callers come through.
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

fn spawn(shared: &Arc<Shared>) -> io::Result<()> {
    let inner = Arc::clone(shared);
    shared.idle.fetch_add(1, Ordering::AcqRel);
    thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || work(&inner))?;
    Ok(())
}

fn work(shared: &Arc<Shared>) {
    loop {
        let request = shared.inner.recv();
        if shared.stopping.load(Ordering::Acquire) {
            // One call wakes one thread, so each wakes the next.
            shared.inner.unblock();
            return;
        }
        let Ok(request) = request else { continue };
        if shared.idle.fetch_sub(1, Ordering::AcqRel) == 1 && spawn(shared).is_err() {
            shared.idle.fetch_sub(1, Ordering::AcqRel);
        }
        if let Some(exchange) = Exchange::new(request, shared.relay.clone()) {
            (shared.handler)(exchange);
        }
        if shared.idle.fetch_add(1, Ordering::AcqRel) >= SPARE {
            shared.idle.fetch_sub(1, Ordering::AcqRel);
            return;
        }
    }
}

/// One request and the means to answer it.
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

    /// Returns a parameter of the query, as it was sent.
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
        let mut found = headers.filter(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.next().map(|h| h.value.as_str())
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller left before its end.
    pub fn body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let reader = self.request.as_reader();
        io::Read::read_to_end(&mut io::Read::take(reader, BODY_LIMIT), &mut body)?;
        Ok(body)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body isn't what `T` needs.
    pub fn json<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        Ok(serde_json::from_slice(&self.body()?)?)
    }

    /// Says whether the caller's connection is still open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.relay.is_open(self.peer)
    }

    /// Returns a check of whether the caller's connection is still open.
    pub fn watch(&self) -> impl Fn() -> bool + Send + use<> {
        let (relay, peer) = (self.relay.clone(), self.peer);
        move || relay.is_open(peer)
    }

    /// Returns the relay that the server's callers come through.
    #[must_use]
    pub const fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Closes every other connection of the server.
    pub fn cut_others(&self) {
        self.relay.cut_others(self.peer);
    }

    /// Closes the connection without an answer.
    pub fn cut(self) {
        self.relay.cut(self.peer);
        // A request that is merely dropped would be answered by the library.
        drop(self.request.into_writer());
    }

    /// Answers with a JSON body.
    pub fn answer(self, status: u16, body: &impl Serialize) {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.answer_bytes(status, &[("Content-Type", "application/json")], body);
    }

    /// Answers with a JSON body that describes a problem.
    pub fn refuse(self, status: u16, message: &str) {
        self.answer(status, &serde_json::json!({ "error": message }));
    }

    /// Answers with any body.
    pub fn answer_bytes(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let headers = headers
            .iter()
            .filter_map(|(n, v)| Header::from_bytes(*n, *v).ok());
        let response = headers.fold(Response::from_data(body), Response::with_header);
        let response = response
            .with_status_code(status)
            .with_chunked_threshold(usize::MAX);
        // A caller that has left is no concern of the server.
        let _ = self.request.respond(response);
    }

    /// Begins an answer of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has left.
    pub fn stream(self) -> io::Result<Events> {
        self.stream_with(&[])
    }

    /// Begins an answer of server-sent events with more headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has left.
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
            encoder: Encoder::new(Flushing(writer)),
            relay,
            peer,
        })
    }
}

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\
    Content-Type: text/event-stream\r\n\
    Cache-Control: no-store\r\n\
    Transfer-Encoding: chunked\r\n";

// The encoder writes the last chunk when it is dropped, into a buffer that the
// library shares between answers and doesn't flush: without this the caller
// would wait for the end of an answer that it has whole.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for Flushing {
    fn drop(&mut self) {
        // A caller that has left needs no end.
        let _ = self.0.flush();
    }
}

/// An answer of server-sent events; it ends when it is dropped.
pub struct Events {
    encoder: Encoder<Flushing>,
    relay: Relay,
    peer: SocketAddr,
}

impl Events {
    /// Sends one event at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has left.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        self.send_lines(&format!("data: {data}"))
    }

    /// Sends one event, given as its lines, at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has left.
    pub fn send_lines(&mut self, lines: &str) -> io::Result<()> {
        write!(self.encoder, "{lines}\n\n")?;
        // The encoder gathers a chunk, and the library below it a buffer: both
        // would hold the event back until the answer's end.
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Closes the connection without the answer's end, so that the caller
    /// sees that it is incomplete.
    pub fn abandon(self) {
        self.relay.cut(self.peer);
    }
}

impl fmt::Debug for Events {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Events").finish_non_exhaustive()
    }
}
