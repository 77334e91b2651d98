//! One attempt to run a request at one endpoint.
//!
//! An endpoint's answer is accepted only if it is a complete answer to this
//! request: its id must match, a success must carry the endpoint's signature, and
//! the body must reach its declared end. Faulty endpoints send truncated, late and
//! duplicate answers on kept-alive connections; without these checks a caller
//! could get another caller's answer.

use super::{
    arriving_body::{ArrivingBody, EarlyEnd},
    calls::{Calls, Target, Ticket},
    cold::Cold,
    crashes::{Crashes, InFlight},
    destinations::Destinations,
    http::{Connection, ConnectionPool, Fault, RequestBody},
    message::{Head, text},
    meters::Meters,
    subject::{Subject, fingerprint_text},
    usage::Usage,
};
use crate::{headers::is_hop_by_hop, logs::CALLS};
use hibiscusroad::{
    ErrorKind,
    cold_start::Sender,
    route::{EndpointKey, Outcome},
};
use hibiscusroad_platform::header;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Bytes, Incoming},
    header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// Answers up to this size are buffered before they are passed on, so that a
/// truncated one can be retried elsewhere. Buffering larger ones would take too
/// much memory: a process with 160 MB holds a few hundred of these.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Limit on reading the body of a refusal, which only serves to keep its connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// An endpoint's answer.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: AnswerBody,
    /// The id of the endpoint.
    pub(super) endpoint: Rc<str>,
}

/// The body of an answer.
pub(super) enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is passed on as it arrives.
    Partial(Box<PartialAnswer>),
}

/// The body of an answer that is still arriving.
pub(super) struct PartialAnswer {
    first: VecDeque<Bytes>,
    rest: Incoming,
    connection: Connection,
    in_flight: InFlight,
}

/// How an attempt ended.
pub(super) enum Done {
    /// The endpoint answered; the body may be incomplete yet.
    Answer(Answer),
    /// The request did not run.
    NotRun(ErrorKind),
    /// The request may have run; with the endpoint's error response, if it sent one.
    Failed(ErrorKind, Option<Answer>),
}

/// The parts of the process that attempts use.
#[derive(Clone)]
pub(super) struct AttemptContext {
    pub(super) calls: Rc<Calls>,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) meters: Rc<Meters>,
    pub(super) usage: Rc<Usage>,
    pub(super) crashes: Rc<Crashes>,
    pub(super) destinations: Rc<Destinations>,
    pub(super) cold: Rc<Cold>,
}

impl AttemptContext {
    /// Tells the router about an idle connection to an endpoint, if there is one.
    fn record_idle_connection(&self, endpoint: EndpointKey, address: SocketAddr) {
        if let Some(end) = self.pool.idle_until(address) {
            self.calls.record_idle_connection(endpoint, end);
        }
    }
}

/// Reports the end of an attempt whose answer is passed on as it arrives.
pub(super) struct Guard {
    context: AttemptContext,
    ticket: Ticket,
    endpoint: EndpointKey,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    id: String,
    in_flight: InFlight,
}

impl PartialAnswer {
    /// Splits into the parts read so far, the unread rest, and the attempt's guard.
    pub(super) fn split(
        self,
        context: &AttemptContext,
        (ticket, endpoint): (Ticket, EndpointKey),
        head: &Head,
        headers: &HeaderMap,
    ) -> (VecDeque<Bytes>, ArrivingBody, Guard) {
        let guard = Guard {
            context: context.clone(),
            ticket,
            endpoint,
            connection: Some(self.connection),
            keep_alive: keep_alive(headers),
            id: head.id.clone(),
            in_flight: self.in_flight,
        };
        let rest = ArrivingBody::new(self.rest, head.deadline);
        (self.first, rest, guard)
    }
}

impl Guard {
    /// Records that the answer was read to its end.
    pub(super) fn complete(&mut self) {
        self.ticket.finish(self.endpoint, Outcome::Answered);
        self.in_flight.mark_answered();
        if let Some(connection) = self.connection.take() {
            let address = connection.address();
            self.context
                .pool
                .return_to_pool(connection, self.keep_alive);
            self.context.record_idle_connection(self.endpoint, address);
        }
    }

    /// Ends the attempt because its answer ended early.
    pub(super) fn record_early_end(&mut self, end: &EarlyEnd) {
        let kind = match end {
            EarlyEnd::Broken(error) => {
                self.in_flight.record_break(error);
                ErrorKind::AnswerShort
            }
            EarlyEnd::Deadline => ErrorKind::TimedOut,
        };
        self.abort(kind, &end.to_string());
    }

    /// Ends the attempt because its answer is invalid.
    pub(super) fn record_invalid(&mut self, error: &str) {
        self.abort(ErrorKind::AnswerShort, error);
    }

    fn abort(&mut self, kind: ErrorKind, error: &str) {
        log::warn!(target: CALLS, id = self.id.as_str(), error = error;
            "An answer broke off before its end.");
        self.ticket.finish(self.endpoint, Outcome::Failed(kind));
        self.connection = None;
    }
}

/// Builds the HTTP request for an endpoint.
pub(super) fn build_request(
    head: &Head,
    target: &Target,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.target.clone();
    *request.headers_mut() = head.headers.clone();
    let remaining = head.deadline.saturating_duration_since(Instant::now());
    let headers = request.headers_mut();
    set(
        headers,
        header::DEADLINE,
        &remaining.as_millis().to_string(),
    );
    set(headers, header::EXPECT_ENDPOINT, &target.id);
    request
}

/// Sets a header; does nothing if the value is invalid in a header.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Removes hop-by-hop headers.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let values = headers.get_all("connection").iter();
    let named: Vec<String> = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    // Endpoints get the host that the route was found by.
    let hop_by_hop = headers
        .keys()
        .filter(|name| *name != HOST && is_hop_by_hop(name.as_str()));
    for name in hop_by_hop.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

/// The request of one attempt.
pub(super) struct AttemptRequest {
    pub(super) head: Rc<Head>,
    /// `None` for the work of a batch.
    pub(super) subject: Option<Rc<Subject>>,
    pub(super) body: RequestBody,
    /// Whether the answer's body is passed on as it arrives.
    pub(super) streams: bool,
}

/// Runs one attempt.
pub(super) async fn run(
    context: AttemptContext,
    request: AttemptRequest,
    endpoint: EndpointKey,
    target: Target,
) -> Done {
    let AttemptRequest {
        head,
        subject,
        body,
        streams,
    } = request;
    let mut metered = context.usage.track(head.account.as_ref());
    let mut in_flight = context
        .crashes
        .track(subject.as_ref(), target.incarnation());
    let request = build_request(&head, &target, body);
    let start = || {
        let running = context
            .destinations
            .enter(&target.id, &target.data_centre)?;
        if !context.cold.confirm_send(&target.id, Sender::Call) {
            return Err(Fault::Withheld);
        }
        metered.mark_sent();
        in_flight.mark_sent();
        Ok(running)
    };
    let answer = context
        .pool
        .send_to_endpoint(target.address, request, start)
        .await;
    let (response, connection) = match answer {
        Ok(answer) => answer,
        Err(fault) => {
            if fault.is_unsent() {
                metered.mark_not_run();
            }
            in_flight.record_fault(&fault);
            return unanswered(&head, subject.as_deref(), &target, &fault);
        }
    };
    let load = text(response.headers(), header::LOAD).and_then(header::parse_load);
    if let Some(load) = load {
        context.calls.record_load(endpoint, load);
    }
    let exchange = Exchange {
        response,
        connection,
        in_flight,
    };
    let done = read_answer(&context, &head, &target, exchange, streams).await;
    let outcome = match &done {
        Done::Answer(_) => {
            context.record_idle_connection(endpoint, target.address);
            "answered"
        }
        Done::NotRun(_) => {
            metered.mark_not_run();
            "not-run"
        }
        Done::Failed(..) => "failed",
    };
    context.meters.attempts.with_label_values(&[outcome]).inc();
    if let Done::NotRun(kind) | Done::Failed(kind, _) = &done {
        log::info!(target: CALLS, id = head.id.as_str(), endpoint = &*target.id,
            path = head.target.path(), fingerprint = fingerprint_text(subject.as_deref());
            "An attempt failed: {kind}.");
    }
    done
}

fn unanswered(head: &Head, subject: Option<&Subject>, target: &Target, fault: &Fault) -> Done {
    if matches!(fault, Fault::Evacuated) {
        log::info!(target: CALLS, id = head.id.as_str(), endpoint = &*target.id,
            place = &*target.data_centre; "A request is not sent to an evacuated data centre.");
        return Done::NotRun(ErrorKind::NoEndpoint);
    }
    if matches!(fault, Fault::Left) {
        log::info!(target: CALLS, id = head.id.as_str(), endpoint = &*target.id;
            "A request is not sent to an endpoint that has left since it was chosen.");
        return Done::NotRun(ErrorKind::NoEndpoint);
    }
    log::info!(target: CALLS, id = head.id.as_str(), endpoint = &*target.id,
        path = head.target.path(), fingerprint = fingerprint_text(subject),
        error = fault.to_string().as_str(); "An endpoint did not answer.");
    if matches!(fault, Fault::Withheld) {
        Done::NotRun(ErrorKind::Saturated)
    } else if fault.is_unsent() {
        Done::NotRun(ErrorKind::EndpointDown)
    } else {
        Done::Failed(ErrorKind::EndpointBroken, None)
    }
}

/// An answer's head and the connection that its body arrives on.
struct Exchange {
    response: Response<Incoming>,
    connection: Connection,
    in_flight: InFlight,
}

/// Validates an answer and reads its body.
async fn read_answer(
    context: &AttemptContext,
    head: &Head,
    target: &Target,
    exchange: Exchange,
    streams: bool,
) -> Done {
    let Exchange {
        response,
        connection,
        mut in_flight,
    } = exchange;
    let (mut parts, body) = response.into_parts();
    // The pool has checked that it is the id of this request.
    let has_id = parts.headers.contains_key(header::REQUEST);
    let status = parts.status;
    // Another endpoint at the same address answers that the request is misdirected.
    if has_id && status != StatusCode::MISDIRECTED_REQUEST {
        in_flight.mark_alive();
    }
    if parts.headers.contains_key(header::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.mark_survived();
        // The body is read only to reuse the connection.
        drain(context, body, connection, &parts.headers).await;
        return Done::NotRun(match status {
            StatusCode::MISDIRECTED_REQUEST => ErrorKind::Stopping,
            _ => ErrorKind::Saturated,
        });
    }
    if header::promises_not_run(status.as_u16()) {
        in_flight.mark_survived();
        // The endpoint does not confirm it, so the request may have run: passing this
        // status on would tell the caller that it has not.
        return Done::Failed(ErrorKind::EndpointBroken, None);
    }
    let signed = parts.headers.contains_key(header::SIGNATURE);
    let is_verified = has_id && signed && !parts.headers.contains_key(CONTENT_ENCODING);
    if status.is_success() && !is_verified {
        in_flight.mark_survived();
        return Done::Failed(ErrorKind::EndpointBroken, None);
    }
    let keep_alive = keep_alive(&parts.headers);
    let received = match read(body, streams && status.is_success()).await {
        Ok((first, None)) => {
            context.pool.return_to_pool(connection, keep_alive);
            if status.is_server_error() {
                in_flight.mark_survived();
            } else {
                in_flight.mark_answered();
            }
            AnswerBody::Whole(join(first))
        }
        Ok((first, Some(rest))) => AnswerBody::Partial(Box::new(PartialAnswer {
            first,
            rest,
            connection,
            in_flight,
        })),
        Err(error) => {
            in_flight.record_break(&error);
            log::info!(target: CALLS, id = head.id.as_str(), error = error.to_string().as_str();
                "Reading the body of an answer failed.");
            return Done::Failed(ErrorKind::AnswerShort, None);
        }
    };
    strip_hop_by_hop(&mut parts.headers);
    if matches!(received, AnswerBody::Whole(_)) {
        parts.headers.remove(CONTENT_LENGTH);
    }
    let answer = Answer {
        status,
        headers: parts.headers,
        body: received,
        endpoint: Rc::clone(&target.id),
    };
    if status.is_server_error() {
        return Done::Failed(ErrorKind::EndpointBroken, Some(answer));
    }
    Done::Answer(answer)
}

/// Reads a body; returns the unread rest if the body is long or `streams` is set.
async fn read(
    mut body: Incoming,
    streams: bool,
) -> Result<(VecDeque<Bytes>, Option<Incoming>), hyper::Error> {
    let mut first = VecDeque::new();
    let mut length = 0;
    if streams || body.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
        return Ok((first, Some(body)));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        length += data.len();
        first.push_back(data);
        if length > MAX_BUFFERED_BYTES {
            return Ok((first, Some(body)));
        }
    }
    Ok((first, None))
}

fn join(mut parts: VecDeque<Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.pop_front().unwrap_or_default();
    }
    parts.into_iter().flatten().collect()
}

async fn drain(
    context: &AttemptContext,
    body: Incoming,
    connection: Connection,
    headers: &HeaderMap,
) {
    let keep_alive = keep_alive(headers);
    if let Ok(Ok((_, None))) = timeout(DRAIN_TIMEOUT, read(body, false)).await {
        context.pool.return_to_pool(connection, keep_alive);
    }
}

/// Returns the timeout of the `Keep-Alive` header.
pub(super) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, "keep-alive")?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
