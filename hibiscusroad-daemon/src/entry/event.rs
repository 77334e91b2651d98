//! Events for the thread that owns the tables, and the parts of answers that it
//! sends back.

use crate::{
    entry::{operators::QueryResponse, side::SideKey},
    platform::Host,
};
use flume::Sender;
use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId, claim::ClaimOutcome, config::Document,
};
use hibiscusroad_wire::{Header, to_entry::Frame};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Generates the ids of requests and attempts of one incarnation of an entry.
#[derive(Debug)]
pub struct Ids {
    origin: Incarnation,
    next: AtomicU64,
}

impl Ids {
    /// Creates a generator for a new incarnation.
    #[must_use]
    pub fn new(origin: Incarnation) -> Self {
        Self {
            origin,
            next: AtomicU64::new(1),
        }
    }

    /// Returns the incarnation that the ids belong to.
    #[must_use]
    pub const fn origin(&self) -> Incarnation {
        self.origin
    }

    /// Returns a new id.
    pub fn next(&self) -> RequestId {
        RequestId {
            origin: self.origin,
            seq: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// A caller's validated request.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// The requested service.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path at the endpoint, with its query.
    pub path: String,
    /// The headers forwarded to the endpoint.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// The class of the caller.
    pub class: Class,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Whether the method is idempotent by RFC 9110.
    pub idempotent: bool,
    /// Properties of a model call, read from the body.
    pub prompt: Option<Prompt>,
}

/// Properties of a model call that its body states.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Estimated tokens of the prompt and the output.
    pub tokens: u32,
    /// Hash of the prompt's first bytes.
    pub prefix: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A new request with the channel to its caller.
#[derive(Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// The request.
    pub request: Inbound,
    /// When it arrived.
    pub arrived: Instant,
    /// The caller's timeout, if it set one.
    pub timeout: Option<Duration>,
    /// Receives the parts of the answer.
    pub reply: Sender<Part>,
    /// Bytes of the answer that were delivered to the caller.
    pub delivered: Arc<AtomicU64>,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers forwarded to the caller.
    pub headers: Vec<Header>,
}

/// A part of an answer, sent to the caller.
#[derive(Debug)]
pub enum Part {
    /// The complete answer.
    Whole(Head, Vec<u8>),
    /// The head of a streamed answer.
    Head(Head),
    /// The next bytes of a streamed answer.
    Data(Vec<u8>),
    /// The end of a streamed answer that is complete.
    End,
    /// The answer failed or was broken off; with the retry delay.
    Fail(ErrorKind, Duration),
}

/// An event of a connection to a sidecar.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame was received.
    Frame(Frame),
    /// The connection ended or failed to open, for this reason.
    Down(String),
}

/// An event for the thread that owns the tables.
#[derive(Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// Enough of an answer was delivered to acknowledge it.
    Delivered(RequestId),
    /// A caller disconnected.
    CallerGone(RequestId),
    /// An event of a connection, with its sidecar and epoch.
    Link(SideKey, u64, LinkEvent),
    /// The host list was fetched.
    Hosts(Vec<Host>),
    /// The outcome of a call's claim for an attempt.
    Claimed(RequestId, RequestId, Box<ClaimOutcome>),
    /// A configuration was read or accepted.
    Config(Box<Document>),
    /// An operator queries a subject.
    Query(String, Sender<QueryResponse>),
    /// The process is asked to stop.
    Stop,
}
