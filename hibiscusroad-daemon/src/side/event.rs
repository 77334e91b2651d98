//! The events that other threads hand to the actor.

use crate::side::request::{EndpointLoad, Hello, Inbound, WorkerKey};
use hibiscusroad::{
    ErrorKind, RequestId,
    gate::{Head, LinkKey, VersionRun},
};
use hibiscusroad_wire::ToEntry;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

/// Where frames to an entry are queued.
pub type Outbound = mpsc::Sender<Result<ToEntry, Status>>;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// An entry opened a link.
    Open {
        /// What it says of itself.
        hello: Hello,
        /// Where frames to it go.
        out: Outbound,
        /// Gets the key of the link.
        reply: oneshot::Sender<LinkKey>,
    },
    /// A frame came.
    Frame(LinkKey, Inbound),
    /// A link broke.
    Lost(LinkKey),
    /// The endpoint answered with status and headers.
    Head(RequestId, Head),
    /// The endpoint sent bytes.
    Bytes(RequestId, Arc<[u8]>),
    /// A call ended, and its worker is free.
    Ended {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        id: RequestId,
        /// The weight versions, or why there is no whole answer.
        outcome: Result<Vec<VersionRun>, ErrorKind>,
    },
    /// An order ended, and its worker is free.
    Ordered {
        /// The worker.
        worker: WorkerKey,
        /// The link that it came over.
        link: LinkKey,
        /// The number that the entry gave it.
        seq: u64,
        /// Status and body, or why there are none.
        outcome: Result<(u16, Vec<u8>), ErrorKind>,
    },
    /// The endpoint reported its load.
    Load(EndpointLoad),
    /// Whether anything listens at the endpoint's address.
    Reached(bool),
    /// The host list says whether this host is leaving.
    Listed {
        /// Whether it is.
        leaving: bool,
    },
    /// A duty's lease row was read; none if it could not be.
    Lease(String, Option<u64>),
    /// The process is to stop.
    Stop,
}
