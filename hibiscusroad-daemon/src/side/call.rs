//! HTTP calls to the endpoint, made on worker threads.

use crate::{
    headers, http_client,
    side::{
        event::Event,
        request::Http,
        sse::{self, Scanner},
        throttle::Throttle,
    },
};
use flume::Sender;
use hibiscusroad::{
    ErrorKind, Repeat, RequestId,
    gate::{Head, Header, StartRequest, VersionRun},
};
use std::{
    io::{self, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};
use ureq::{
    Agent, Body, Timeout,
    http::{HeaderMap, Request, Response, header},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum timeout of a call that may run only once. Such a call outlives its
/// caller, because its answer is retained for a repeat of the request.
const MIN_ONCE_TIMEOUT: Duration = Duration::from_mins(5);

/// Timeout of an order. An engine loads a weight version in tens of seconds.
const ORDER_TIMEOUT: Duration = Duration::from_mins(2);

/// Size of the read buffer, in bytes.
const READ_BUFFER_SIZE: usize = 16 << 10;

/// Maximum number of bytes kept of an answer that is searched for a weight
/// version, and of an answer to an order.
const MAX_SCANNED: usize = 1 << 20;

/// How long an idle connection is kept open.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Creates an HTTP client for one worker.
pub fn new_agent() -> Agent {
    http_client::config()
        .http_status_as_error(false)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(1)
        .max_idle_age(MAX_IDLE_AGE)
        .build()
        .into()
}

/// Context of a call: the client, the endpoint and where the answer goes.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// HTTP client.
    pub agent: &'a Agent,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Whether the endpoint is a model engine.
    pub is_model: bool,
    /// Pauses or aborts the call.
    pub throttle: &'a Throttle,
    /// Receives the answer.
    pub events: &'a Sender<Event>,
}

/// Calls the endpoint and sends its answer to the actor as it arrives.
///
/// # Errors
///
/// Returns why the answer is not complete. A kind that says "not run" is returned
/// only if nothing was sent.
pub fn send_request(
    context: CallContext<'_>,
    attempt: StartRequest,
    http: Http,
) -> Result<Vec<VersionRun>, ErrorKind> {
    let remaining = attempt.deadline.saturating_duration_since(Instant::now());
    let timeout = match attempt.repeat {
        Repeat::Idempotent => remaining,
        Repeat::Once => remaining.max(MIN_ONCE_TIMEOUT),
    };
    let is_head = http.method == "HEAD";
    let response = send(context, http, timeout)?;
    let (parts, body) = response.into_parts();
    let has_framing = is_head || has_framing(parts.status.as_u16(), &parts.headers);
    let is_stream = is_event_stream(&parts.headers);
    let head = Head {
        status: parts.status.as_u16(),
        headers: end_to_end(&parts.headers),
    };
    send_event(context.events, Event::Head(attempt.id, head))?;
    let mut reader = AnswerReader::new(context, attempt.id, is_stream);
    reader.forward(body)?;
    reader.finish(has_framing)
}

/// Sends an order to the engine and returns the status and body of the answer.
///
/// # Errors
///
/// Returns why the answer is not complete, like [`send_request`].
pub fn send_order(context: CallContext<'_>, http: Http) -> Result<(u16, Vec<u8>), ErrorKind> {
    let response = send(context, http, ORDER_TIMEOUT)?;
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let reader = response.into_body().into_reader();
    let read = reader.take(MAX_SCANNED as u64).read_to_end(&mut body);
    read.map_err(|error| classify_read_error(&error))?;
    Ok((status, body))
}

/// Sends a request and waits for the status and headers of the answer.
fn send(
    context: CallContext<'_>,
    http: Http,
    timeout: Duration,
) -> Result<Response<Body>, ErrorKind> {
    let uri = format!("http://{}{}", context.address, http.path);
    let mut builder = Request::builder().method(http.method.as_str()).uri(uri);
    for Header { name, value } in &http.headers {
        // The client adds its own Content-Length.
        let is_length = name.eq_ignore_ascii_case("content-length");
        if !is_length && !is_hop_by_hop(name, &http.headers) {
            builder = builder.header(name, value);
        }
    }
    let has_body = !http.body.is_empty() || takes_body(&http.method);
    let timeout = Some(timeout);
    let result = if has_body {
        let request = builder
            .body(http.body)
            .map_err(|_error| ErrorKind::BadRequest)?;
        let request = context
            .agent
            .configure_request(request)
            .timeout_global(timeout);
        context.agent.run(request.build())
    } else {
        let request = builder.body(()).map_err(|_error| ErrorKind::BadRequest)?;
        let request = context
            .agent
            .configure_request(request)
            .timeout_global(timeout);
        context.agent.run(request.build())
    };
    result.map_err(|error| classify_send_error(&error))
}

/// Classifies a failure before the status and headers of the answer.
///
/// Only a connection that was refused or not opened in time shows that nothing
/// was sent. After any other failure the endpoint may have read the request.
fn classify_send_error(error: &ureq::Error) -> ErrorKind {
    match error {
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => ErrorKind::EndpointDown,
        ureq::Error::Timeout(_) => ErrorKind::TimedOut,
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ErrorKind::EndpointDown
        }
        ureq::Error::BadUri(_) | ureq::Error::Http(_) => ErrorKind::BadRequest,
        _ => ErrorKind::EndpointBroken,
    }
}

/// Classifies a failure while the body of an answer is read.
fn classify_read_error(error: &io::Error) -> ErrorKind {
    let inner = error.get_ref().and_then(|e| e.downcast_ref());
    match (error.kind(), inner) {
        (_, Some(ureq::Error::Timeout(_))) => ErrorKind::TimedOut,
        (io::ErrorKind::UnexpectedEof, _) => ErrorKind::AnswerShort,
        _ => ErrorKind::EndpointBroken,
    }
}

/// Reads the body of one answer and forwards it to the actor.
struct AnswerReader<'a> {
    context: CallContext<'a>,
    id: RequestId,
    scanner: Option<Scanner>,
    /// The first bytes of an answer that is not an event stream.
    body: Vec<u8>,
}

impl<'a> AnswerReader<'a> {
    fn new(context: CallContext<'a>, id: RequestId, is_stream: bool) -> Self {
        Self {
            context,
            id,
            scanner: (context.is_model && is_stream).then(Scanner::default),
            body: Vec::new(),
        }
    }

    fn forward(&mut self, body: Body) -> Result<(), ErrorKind> {
        let mut reader = body.into_reader();
        let mut buf = vec![0; READ_BUFFER_SIZE];
        while self.context.throttle.acquire() {
            let read = reader.read(&mut buf);
            let read = read.map_err(|error| classify_read_error(&error))?;
            if read == 0 {
                return Ok(());
            }
            self.scan(&buf[..read]);
            let data = buf[..read].into();
            send_event(self.context.events, Event::Bytes(self.id, data))?;
        }
        Err(ErrorKind::OutcomeUnknown)
    }

    /// Searches the next bytes for the weight version.
    fn scan(&mut self, data: &[u8]) {
        if let Some(scanner) = &mut self.scanner {
            scanner.scan(data);
        } else if self.context.is_model {
            let room = MAX_SCANNED.saturating_sub(self.body.len());
            let part = &data[..data.len().min(room)];
            self.body.extend_from_slice(part);
        }
    }

    /// Returns the weight versions if the answer is complete.
    fn finish(self, has_framing: bool) -> Result<Vec<VersionRun>, ErrorKind> {
        match self.scanner {
            Some(scanner) if scanner.is_done() => Ok(scanner.into_runs()),
            None if has_framing => Ok(sse::document_runs(&self.body)),
            Some(_) | None => Err(ErrorKind::AnswerShort),
        }
    }
}

/// Sends an event to the actor. Fails only if the actor has ended.
fn send_event(events: &Sender<Event>, event: Event) -> Result<(), ErrorKind> {
    events
        .send(event)
        .map_err(|_error| ErrorKind::OutcomeUnknown)
}

/// Returns whether the end of a body can be told from a lost connection.
fn has_framing(status: u16, headers: &HeaderMap) -> bool {
    let no_body = matches!(status, 100..=199 | 204 | 304);
    no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.trim_start().starts_with("text/event-stream"))
}

fn takes_body(method: &str) -> bool {
    matches!(method, "POST" | "PUT" | "PATCH")
}

/// Returns the end-to-end headers of an answer.
fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let all: Vec<Header> = headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        })
        .collect();
    let kept = all
        .iter()
        .filter(|header| !is_hop_by_hop(&header.name, &all));
    kept.cloned().collect()
}

/// Returns whether a header applies to one connection only, either by its name or
/// because a `Connection` header lists it.
fn is_hop_by_hop(name: &str, headers: &[Header]) -> bool {
    let mut listed = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("connection"))
        .flat_map(|header| header.value.split(','));
    headers::is_hop_by_hop(name) || listed.any(|other| name.eq_ignore_ascii_case(other.trim()))
}
