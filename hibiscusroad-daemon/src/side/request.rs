//! What an entry asks for, in the side's own types.

use hibiscusroad::{
    RequestId,
    gate::{Header, StartRequest},
};
use std::time::Instant;

slotmap::new_key_type! {
    /// Names a worker that carries requests out.
    pub struct WorkerKey;
}

/// A request for the endpoint.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attempt and how it may run.
    pub ask: StartRequest,
    /// The HTTP part.
    pub http: Http,
}

/// The part of a request that the endpoint sees.
#[derive(Clone, Debug)]
pub struct Http {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, as the caller sent them.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// An order for the engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// The number that the entry gave it.
    pub seq: u64,
    /// The fencing number of the holder.
    pub fence: u64,
    /// The duty that the holder holds.
    pub duty: String,
    /// The HTTP part.
    pub http: Http,
}

/// A frame from an entry.
#[derive(Clone, Debug)]
pub enum Inbound {
    /// Start an attempt.
    Start(Box<Request>),
    /// Send an attempt's answer from an offset on.
    Attach(RequestId, u64),
    /// Bytes below the offset have arrived; whether the answer is complete.
    Ack(RequestId, u64, bool),
    /// The answer is no longer wanted.
    Cancel(RequestId),
    /// The attempt must never start.
    Seal(RequestId),
    /// The entry lives, has this version of the configuration, and sends no
    /// more new work if the flag is set.
    Beat(u64, bool),
    /// A configuration.
    Config(u64, Vec<u8>),
    /// An order for the engine.
    Order(Box<Order>),
}

/// What an entry says of itself when it opens a link.
#[derive(Clone, Debug)]
pub struct Hello {
    /// Its name.
    pub entry: String,
    /// Its life.
    pub incarnation: hibiscusroad::Incarnation,
    /// Counts the links that this life opened.
    pub epoch: u64,
    /// The version of the configuration that it has.
    pub config: u64,
}

/// The load that an endpoint reported.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait inside it.
    pub queued: u32,
    /// Requests that it can work on at once; 0 if it doesn't say.
    pub limit: u32,
    /// Tokens that it still has to read and generate.
    pub tokens: u64,
    /// Free tokens of its cache.
    pub cache_free: u64,
    /// The weight version that it says it runs.
    pub weights: String,
    /// When the report was true.
    pub at: Option<Instant>,
}
