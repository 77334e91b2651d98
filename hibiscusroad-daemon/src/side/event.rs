//! Events that other threads send to the actor.

use crate::side::request::{EndpointLoad, Hello, Inbound, WorkerKey};
use hibiscusroad::{
    ErrorKind, RequestId,
    gate::{Head, LinkKey, VersionRun},
};
use hibiscusroad_wire::ToEntry;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

/// Queue of frames to one entry.
pub type Outbound = mpsc::Sender<Result<ToEntry, Status>>;

/// An event for the actor.
#[derive(Debug)]
pub enum Event {
    /// An entry opened a stream.
    Open {
        /// The entry's Hello.
        hello: Hello,
        /// Queue of frames to it.
        out: Outbound,
        /// Receives the key of the stream.
        reply: oneshot::Sender<LinkKey>,
    },
    /// A frame arrived on a stream.
    Frame(LinkKey, Inbound),
    /// A stream was lost.
    Lost(LinkKey),
    /// The endpoint sent the status and headers of an answer.
    Head(RequestId, Head),
    /// The endpoint sent part of an answer's body.
    Bytes(RequestId, Arc<[u8]>),
    /// A call ended, and its worker is idle.
    Ended {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        id: RequestId,
        /// The weight versions, or why the answer is not complete.
        outcome: Result<Vec<VersionRun>, ErrorKind>,
    },
    /// An order ended, and its worker is idle.
    OrderEnded {
        /// The worker.
        worker: WorkerKey,
        /// The stream on which it arrived.
        link: LinkKey,
        /// The entry's sequence number of it.
        seq: u64,
        /// Status and body, or why the answer is not complete.
        outcome: Result<(u16, Vec<u8>), ErrorKind>,
    },
    /// The endpoint reported its load.
    Load(EndpointLoad),
    /// Whether the endpoint is reachable: it did not refuse a connection.
    Reachable(bool),
    /// The host list was read.
    HostList {
        /// Whether it says that this host is leaving.
        leaving: bool,
    },
    /// The fencing token in a duty's lease row; none if the row could not be read.
    Lease(String, Option<u64>),
    /// A graceful shutdown was requested.
    Stop,
}
