//! What the threads of an entry hand to the thread that owns the tables, and
//! what comes back.

use crate::{
    entry::{operators::Shown, side::SideKey},
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

/// Names the requests and attempts of one life of an entry.
#[derive(Debug)]
pub struct Ids {
    origin: Incarnation,
    next: AtomicU64,
}

impl Ids {
    /// Creates the names of a new life.
    #[must_use]
    pub fn new(origin: Incarnation) -> Self {
        Self {
            origin,
            next: AtomicU64::new(1),
        }
    }

    /// Returns the life that the names belong to.
    #[must_use]
    pub const fn origin(&self) -> Incarnation {
        self.origin
    }

    /// Returns a name that was not given before.
    pub fn next(&self) -> RequestId {
        RequestId {
            origin: self.origin,
            seq: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// The service that it is for.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path at the endpoint, with its query.
    pub path: String,
    /// The headers that go on to the endpoint.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// The class of the caller.
    pub class: Class,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Whether the method is idempotent by RFC 9110.
    pub idempotent: bool,
    /// What the body says of a model call.
    pub prompt: Option<Prompt>,
}

/// What the body of a model call says about the work in it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens to be read and generated, estimated.
    pub tokens: u32,
    /// Hash of the prompt's beginning.
    pub prefix: u64,
    /// Whether the answer is to come as a stream.
    pub stream: bool,
}

/// A request with the way back to its caller.
#[derive(Debug)]
pub struct Arrival {
    /// Its name.
    pub id: RequestId,
    /// What is asked.
    pub request: Inbound,
    /// When it came.
    pub arrived: Instant,
    /// How long the caller waits, if it said so.
    pub timeout: Option<Duration>,
    /// Where the answer goes.
    pub reply: Sender<Part>,
    /// Bytes of the answer that the caller has taken.
    pub delivered: Arc<AtomicU64>,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers that go on to the caller.
    pub headers: Vec<Header>,
}

/// A part of an answer on its way to the caller.
#[derive(Debug)]
pub enum Part {
    /// The whole answer.
    Whole(Head, Vec<u8>),
    /// The beginning of an answer that comes in pieces.
    Head(Head),
    /// The next bytes.
    Data(Vec<u8>),
    /// The end: all bytes have come.
    End,
    /// There is no answer, or no more of it.
    Fail(ErrorKind, Duration),
}

/// What a link reports.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame came.
    Frame(Frame),
    /// The link is gone, or never came up.
    Down(String),
}

/// One event for the thread that owns the tables.
#[derive(Debug)]
pub enum Event {
    /// A request came in.
    Arrive(Box<Arrival>),
    /// A caller took a good part of its answer.
    Delivered(RequestId),
    /// A caller went away.
    CallerGone(RequestId),
    /// News from a link: its side, its epoch, and what happened.
    Link(SideKey, u64, LinkEvent),
    /// The host list was fetched.
    Hosts(Vec<Host>),
    /// What became of a call's claim for an attempt.
    Claimed(RequestId, RequestId, Box<ClaimOutcome>),
    /// A configuration was read or accepted.
    Config(Box<Document>),
    /// An operator asks about a subject.
    Query(String, Sender<Shown>),
    /// The process is to stop.
    Stop,
}
