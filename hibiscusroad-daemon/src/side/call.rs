//! One call at the endpoint, from a worker's thread.

use crate::{
    headers,
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

/// How long opening a connection may take, in the same data centre.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long a call that may run only once is waited for, at the least. It runs
/// on after its caller has gone, because the answer is kept for a repeat.
const ONCE_LIMIT: Duration = Duration::from_mins(5);

/// How long an order may take: an engine loads a version in tens of seconds.
const ORDER_LIMIT: Duration = Duration::from_mins(2);

/// Bytes read in one piece.
const PIECE: usize = 16 << 10;

/// The longest answer that is searched for a weight version, and the longest
/// answer to an order.
const LONGEST_WHOLE: usize = 1 << 20;

/// How long a connection that is not used is kept.
const IDLE_AGE: Duration = Duration::from_secs(5);

/// Creates a client for one worker.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(CONNECT_LIMIT))
        .max_idle_connections(1)
        .max_idle_age(IDLE_AGE)
        .build()
        .into()
}

/// What a call needs besides its request.
#[derive(Clone, Copy, Debug)]
pub struct Line<'a> {
    /// The client.
    pub agent: &'a Agent,
    /// The endpoint.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub model: bool,
    /// Holds the call back or ends it.
    pub throttle: &'a Throttle,
    /// Where the answer goes.
    pub events: &'a Sender<Event>,
}

/// Calls the endpoint and hands its answer over as it comes.
///
/// # Errors
///
/// Returns why there is no whole answer. A kind that says "not run" is returned
/// only if nothing was sent.
pub fn run(line: Line<'_>, ask: StartRequest, http: Http) -> Result<Vec<VersionRun>, ErrorKind> {
    let left = ask.deadline.saturating_duration_since(Instant::now());
    let limit = match ask.repeat {
        Repeat::Idempotent => left,
        Repeat::Once => left.max(ONCE_LIMIT),
    };
    let is_head = http.method == "HEAD";
    let response = send(line, http, limit)?;
    let (parts, body) = response.into_parts();
    let bounded = is_head || is_bounded(parts.status.as_u16(), &parts.headers);
    let events = is_event_stream(&parts.headers);
    let head = Head {
        status: parts.status.as_u16(),
        headers: end_to_end(&parts.headers),
    };
    hand_over(line.events, Event::Head(ask.id, head))?;
    let mut reader = AnswerReader::new(line, ask.id, events);
    reader.pass_on(body)?;
    reader.end(bounded)
}

/// Passes an order to the engine and returns its status and body.
///
/// # Errors
///
/// Returns why there is no whole answer, as [`run`] does.
pub fn order(line: Line<'_>, http: Http) -> Result<(u16, Vec<u8>), ErrorKind> {
    let response = send(line, http, ORDER_LIMIT)?;
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let reader = response.into_body().into_reader();
    let read = reader.take(LONGEST_WHOLE as u64).read_to_end(&mut body);
    read.map_err(|error| broken_read(&error))?;
    Ok((status, body))
}

/// Sends the request and waits for the head of the answer.
fn send(line: Line<'_>, http: Http, limit: Duration) -> Result<Response<Body>, ErrorKind> {
    let uri = format!("http://{}{}", line.address, http.path);
    let mut builder = Request::builder().method(http.method.as_str()).uri(uri);
    for Header { name, value } in &http.headers {
        let own = name.eq_ignore_ascii_case("content-length");
        if !own && !is_hop_by_hop(name, &http.headers) {
            builder = builder.header(name, value);
        }
    }
    let has_body = !http.body.is_empty() || takes_body(&http.method);
    let limit = Some(limit);
    let sent = if has_body {
        let request = builder
            .body(http.body)
            .map_err(|_error| ErrorKind::BadRequest)?;
        let request = line.agent.configure_request(request).timeout_global(limit);
        line.agent.run(request.build())
    } else {
        let request = builder.body(()).map_err(|_error| ErrorKind::BadRequest)?;
        let request = line.agent.configure_request(request).timeout_global(limit);
        line.agent.run(request.build())
    };
    sent.map_err(|error| unsent_or_broken(&error))
}

/// Finds the kind of a failure before the head of the answer.
///
/// Only a connection that was refused or not made in time shows that nothing
/// was sent. Everything else may come after the endpoint read the request.
fn unsent_or_broken(error: &ureq::Error) -> ErrorKind {
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

fn broken_read(error: &io::Error) -> ErrorKind {
    let inner = error.get_ref().and_then(|e| e.downcast_ref());
    match (error.kind(), inner) {
        (_, Some(ureq::Error::Timeout(_))) => ErrorKind::TimedOut,
        (io::ErrorKind::UnexpectedEof, _) => ErrorKind::AnswerShort,
        _ => ErrorKind::EndpointBroken,
    }
}

/// Reads one answer's body and passes it on.
struct AnswerReader<'a> {
    line: Line<'a>,
    id: RequestId,
    scanner: Option<Scanner>,
    whole: Vec<u8>,
}

impl<'a> AnswerReader<'a> {
    fn new(line: Line<'a>, id: RequestId, events: bool) -> Self {
        Self {
            line,
            id,
            scanner: (line.model && events).then(Scanner::default),
            whole: Vec::new(),
        }
    }

    fn pass_on(&mut self, body: Body) -> Result<(), ErrorKind> {
        let mut reader = body.into_reader();
        let mut piece = vec![0; PIECE];
        while self.line.throttle.take() {
            let read = reader.read(&mut piece);
            let read = read.map_err(|error| broken_read(&error))?;
            if read == 0 {
                return Ok(());
            }
            self.look(&piece[..read]);
            let data = piece[..read].into();
            hand_over(self.line.events, Event::Bytes(self.id, data))?;
        }
        Err(ErrorKind::OutcomeUnknown)
    }

    fn look(&mut self, data: &[u8]) {
        if let Some(scanner) = &mut self.scanner {
            scanner.scan(data);
        } else if self.line.model {
            let room = LONGEST_WHOLE.saturating_sub(self.whole.len());
            let part = &data[..data.len().min(room)];
            self.whole.extend_from_slice(part);
        }
    }

    /// Decides whether the answer is whole.
    fn end(self, bounded: bool) -> Result<Vec<VersionRun>, ErrorKind> {
        match self.scanner {
            Some(scanner) if scanner.is_done() => Ok(scanner.into_runs()),
            None if bounded => Ok(sse::whole_runs(&self.whole)),
            Some(_) | None => Err(ErrorKind::AnswerShort),
        }
    }
}

/// The actor has ended if this fails; then nobody waits for the answer.
fn hand_over(events: &Sender<Event>, event: Event) -> Result<(), ErrorKind> {
    events
        .send(event)
        .map_err(|_error| ErrorKind::OutcomeUnknown)
}

/// Says whether a body's end can be told from a broken connection.
fn is_bounded(status: u16, headers: &HeaderMap) -> bool {
    let no_body = matches!(status, 100..=199 | 204 | 304);
    no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

fn takes_body(method: &str) -> bool {
    matches!(method, "POST" | "PUT" | "PATCH")
}

/// The headers of an answer that concern its receiver.
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

/// Says whether a header concerns one connection only: by its name, or because
/// `Connection` names it.
fn is_hop_by_hop(name: &str, headers: &[Header]) -> bool {
    let mut named = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("connection"))
        .flat_map(|header| header.value.split(','));
    headers::is_hop_by_hop(name) || named.any(|other| name.eq_ignore_ascii_case(other.trim()))
}
