//! One attempt to run a request at one endpoint.
//!
//! What an endpoint answers is believed only if it is a whole answer to this
//! request: the id must be the one that was sent, a success must bear the
//! endpoint's signature, and the body must reach its declared end. Faulty
//! endpoints send torn, late and additional answers on kept connections, and a
//! caller would otherwise get another caller's answer.

use super::{
    calls::{Calls, Target, Ticket},
    crashes::{Crashes, InFlight},
    http::{Channel, Channels, Fault, Sent},
    meters::Meters,
    subject::Subject,
    usage::Usage,
};
use crate::{headers::is_hop_by_hop, logs::CALLS};
use hibiscusroad::{
    ErrorKind,
    route::{EndpointKey, Outcome},
};
use hibiscusroad_platform::header;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body, Bytes, Incoming},
    header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderName, HeaderValue},
};
use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

/// Answers up to this size are read whole before any of them is passed on, so
/// that a torn one can still be tried elsewhere. Larger ones would cost memory:
/// a process with 160 MB holds a few hundred of these.
const WHOLE: usize = 256 << 10;

/// A request as it is sent to endpoints, without its body.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    /// The caller's id of this request.
    pub(super) id: String,
    pub(super) deadline: Instant,
    /// The account that it counts for.
    pub(super) account: Option<Rc<str>>,
}

/// An answer of an endpoint.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Received,
    /// The endpoint that gave it.
    pub(super) endpoint: Rc<str>,
}

/// The body of an answer.
pub(super) enum Received {
    Whole(Bytes),
    Flow(Box<Flowing>),
}

/// An answer of which only the beginning was read.
pub(super) struct Flowing {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// The connection that it comes on.
    channel: Channel,
    flight: InFlight,
}

/// How an attempt ended.
pub(super) enum Done {
    /// The endpoint answered, or began to.
    Answer(Answer),
    /// It surely did not run.
    NotRun(ErrorKind),
    /// It may have run; the endpoint's own failure, if it told one.
    Failed(ErrorKind, Option<Answer>),
}

/// What attempts need of the process.
#[derive(Clone)]
pub(super) struct Line {
    pub(super) calls: Rc<Calls>,
    pub(super) channels: Rc<Channels>,
    pub(super) meters: Rc<Meters>,
    pub(super) usage: Rc<Usage>,
    pub(super) crashes: Rc<Crashes>,
}

/// Ends an attempt whose answer is passed on as it comes.
pub(super) struct Guard {
    line: Line,
    ticket: Ticket,
    endpoint: EndpointKey,
    channel: Option<Channel>,
    keep: Option<Duration>,
    id: String,
    flight: InFlight,
}

impl Flowing {
    /// Returns what was read, the rest, and who ends the attempt.
    pub(super) fn split(
        self,
        line: &Line,
        (ticket, endpoint): (Ticket, EndpointKey),
        head: &Head,
        headers: &HeaderMap,
    ) -> (VecDeque<Bytes>, Incoming, Guard) {
        let guard = Guard {
            line: line.clone(),
            ticket,
            endpoint,
            channel: Some(self.channel),
            keep: kept(headers),
            id: head.id.clone(),
            flight: self.flight,
        };
        (self.first, self.rest, guard)
    }
}

impl Guard {
    /// Notes that the answer was read to its end.
    pub(super) fn complete(&mut self) {
        self.ticket.finish(self.endpoint, Outcome::Answered);
        self.flight.mark_answered();
        if let Some(channel) = self.channel.take() {
            self.line.channels.give_back(channel, self.keep);
        }
    }

    /// Notes why the connection broke.
    pub(super) fn failed(&mut self, error: &hyper::Error) {
        self.flight.record_break(error);
    }

    /// Notes that the answer broke off.
    pub(super) fn broke(&mut self, error: &str) {
        log::warn!(target: CALLS, id = self.id.as_str(), error = error;
            "An answer broke off midway.");
        let outcome = Outcome::Failed(ErrorKind::AnswerShort);
        self.ticket.finish(self.endpoint, outcome);
        self.channel = None;
    }
}

/// Builds the request for an endpoint.
pub(super) fn request(head: &Head, target: &Target, body: Sent) -> Request<Sent> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.target.clone();
    *request.headers_mut() = head.headers.clone();
    let left = head.deadline.saturating_duration_since(Instant::now());
    let headers = request.headers_mut();
    set(headers, header::DEADLINE, &left.as_millis().to_string());
    set(headers, header::EXPECT_ENDPOINT, &target.id);
    request
}

/// Sets a header; a value that no header can hold is left out.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Reads a header as text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Removes headers that concern one connection only.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named = headers.get_all("connection").iter();
    let named: Vec<String> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    // The route was found by the host, and endpoints are told it as well.
    let hops = headers
        .keys()
        .filter(|name| *name != HOST && is_hop_by_hop(name.as_str()));
    for name in hops.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

/// A request as one attempt sends it.
pub(super) struct Sending {
    pub(super) head: Rc<Head>,
    pub(super) subject: Rc<Subject>,
    pub(super) body: Sent,
    /// The answer is passed on from its head.
    pub(super) flow: bool,
}

/// Runs one attempt.
pub(super) async fn run(
    line: Line,
    sending: Sending,
    endpoint: EndpointKey,
    target: Target,
) -> Done {
    let Sending {
        head,
        subject,
        body,
        flow,
    } = sending;
    let mut metered = line.usage.track(head.account.as_ref());
    let mut flight = line.crashes.track(&subject, target.life());
    let sent = request(&head, &target, body);
    let sending = || {
        metered.mark_sent();
        flight.mark_sent();
    };
    let answer = line
        .channels
        .send_noting(target.address, sent, sending)
        .await;
    let (response, channel) = match answer {
        Ok(answer) => answer,
        Err(fault) => {
            if fault.unsent() {
                metered.mark_not_run();
            }
            flight.record_fault(&fault);
            return faulted(&head, &subject, &target, &fault);
        }
    };
    let told = text(response.headers(), header::LOAD).and_then(header::parse_load);
    if let Some((running, queued, slots)) = told {
        line.calls.told(endpoint, running, queued, slots);
    }
    let arrival = Arrival {
        response,
        channel,
        flight,
    };
    let done = received(&line, &head, &target, arrival, flow).await;
    let outcome = match &done {
        Done::Answer(_) => "answered",
        Done::NotRun(_) => {
            metered.mark_not_run();
            "not-run"
        }
        Done::Failed(..) => "failed",
    };
    line.meters.attempts.with_label_values(&[outcome]).inc();
    if let Done::NotRun(kind) | Done::Failed(kind, _) = &done {
        log::info!(target: CALLS, id = head.id.as_str(), endpoint = &*target.id,
            path = subject.path(), fingerprint:% = subject.fingerprint();
            "An attempt failed: {kind}.");
    }
    done
}

fn faulted(head: &Head, subject: &Subject, target: &Target, fault: &Fault) -> Done {
    log::info!(target: CALLS, id = head.id.as_str(), endpoint = &*target.id,
        path = subject.path(), fingerprint:% = subject.fingerprint(), error = fault.to_string().as_str(); "An endpoint did not answer.");
    if fault.unsent() {
        Done::NotRun(ErrorKind::EndpointDown)
    } else {
        Done::Failed(ErrorKind::EndpointBroken, None)
    }
}

/// The head of an answer, and what it came on.
struct Arrival {
    response: Response<Incoming>,
    channel: Channel,
    flight: InFlight,
}

async fn received(line: &Line, head: &Head, target: &Target, arrival: Arrival, flow: bool) -> Done {
    let Arrival {
        response,
        channel,
        mut flight,
    } = arrival;
    let (mut parts, body) = response.into_parts();
    let echo = text(&parts.headers, header::REQUEST);
    let foreign = echo.is_some_and(|echo| echo != head.id);
    if foreign {
        flight.mark_survived();
        // Late for an earlier request: the connection is out of step.
        return Done::Failed(ErrorKind::EndpointBroken, None);
    }
    let status = parts.status;
    if parts.headers.contains_key(header::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        flight.mark_survived();
        // Its body says no more, but has to be read to keep the connection.
        drain(line, body, channel, &parts.headers).await;
        return Done::NotRun(match status {
            StatusCode::MISDIRECTED_REQUEST => ErrorKind::Stopping,
            _ => ErrorKind::Saturated,
        });
    }
    let signed = parts.headers.contains_key(header::SIGNATURE);
    let whole = echo.is_some() && signed && !parts.headers.contains_key(CONTENT_ENCODING);
    if status.is_success() && !whole {
        flight.mark_survived();
        return Done::Failed(ErrorKind::EndpointBroken, None);
    }
    let keep = kept(&parts.headers);
    let received = match read(body, flow && status.is_success()).await {
        Ok((first, None)) => {
            line.channels.give_back(channel, keep);
            if status.is_server_error() {
                flight.mark_survived();
            } else {
                flight.mark_answered();
            }
            Received::Whole(join(first))
        }
        Ok((first, Some(rest))) => Received::Flow(Box::new(Flowing {
            first,
            rest,
            channel,
            flight,
        })),
        Err(error) => {
            flight.record_break(&error);
            log::info!(target: CALLS, id = head.id.as_str(), error = error.to_string().as_str();
                "An answer is not whole.");
            return Done::Failed(ErrorKind::AnswerShort, None);
        }
    };
    strip(&mut parts.headers);
    if matches!(received, Received::Whole(_)) {
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

/// Reads a body whole, or its beginning if it is long or passed on as it comes.
async fn read(
    mut body: Incoming,
    flow: bool,
) -> Result<(VecDeque<Bytes>, Option<Incoming>), hyper::Error> {
    let mut first = VecDeque::new();
    let mut length = 0;
    if flow || body.size_hint().lower() > WHOLE as u64 {
        return Ok((first, Some(body)));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        length += data.len();
        first.push_back(data);
        if length > WHOLE {
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

async fn drain(line: &Line, body: Incoming, channel: Channel, headers: &HeaderMap) {
    let keep = kept(headers);
    if let Ok((_, None)) = read(body, false).await {
        line.channels.give_back(channel, keep);
    }
}

/// Reads how long an endpoint keeps an idle connection.
pub(super) fn kept(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, "keep-alive")?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
