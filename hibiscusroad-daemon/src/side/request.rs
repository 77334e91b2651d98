//! Requests and frames of an entry, independent of the wire format.

use hibiscusroad::{
    RequestId,
    gate::{Header, StartRequest},
};
use std::time::Instant;

slotmap::new_key_type! {
    /// Identifies a worker of the pool.
    pub struct WorkerKey;
}

/// A request for the endpoint.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attempt, its deadline and whether it may run more than once.
    pub attempt: StartRequest,
    /// The HTTP request.
    pub http: Http,
}

/// An HTTP request to the endpoint.
#[derive(Clone, Debug)]
pub struct Http {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// An order for the engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// The entry's sequence number of it.
    pub seq: u64,
    /// The fencing token of the lease holder.
    pub fence: u64,
    /// The duty whose lease allows the order.
    pub duty: String,
    /// The HTTP request.
    pub http: Http,
}

/// A frame from an entry.
#[derive(Clone, Debug)]
pub enum Inbound {
    /// Start an attempt.
    Start(Box<Request>),
    /// Send the answer of an attempt from an offset on.
    Attach(RequestId, u64),
    /// All bytes below the offset have arrived; the flag says that the answer is
    /// no longer needed.
    Ack(RequestId, u64, bool),
    /// Abort an attempt whose answer is no longer needed.
    Cancel(RequestId),
    /// Ensure that an attempt never starts if it has not, and report its state.
    Seal(RequestId),
    /// A heartbeat with the entry's configuration version; the flag says that the
    /// entry sends no more new work.
    Beat(u64, bool),
    /// A configuration.
    Config(u64, Vec<u8>),
    /// An order for the engine.
    Order(Box<Order>),
}

/// An entry's description of itself when it opens a stream.
#[derive(Clone, Debug)]
pub struct Hello {
    /// The entry's name.
    pub entry: String,
    /// The entry's incarnation.
    pub incarnation: hibiscusroad::Incarnation,
    /// Sequence number of the stream in this incarnation.
    pub epoch: u64,
    /// Version of the entry's configuration.
    pub config_version: u64,
}

/// The load that an endpoint reported.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests queued inside the endpoint.
    pub queued: u32,
    /// Concurrency limit; 0 if the endpoint reports none.
    pub limit: u32,
    /// Tokens still to be read and generated.
    pub tokens: u64,
    /// Free capacity of the cache, in tokens.
    pub cache_free: u64,
    /// The weight version.
    pub weights: String,
    /// Time of the measurement, if known.
    pub measured_at: Option<Instant>,
}
