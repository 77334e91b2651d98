//! Server for peers: executes their calls to the store, and accepts batches that they push.
//!
//! Handlers of tonic may run on any thread, but the client of the store belongs to one. Each
//! call is therefore queued to that thread; if the queue is full the call is refused at once.

use super::MAX_MESSAGE_BYTES;
use crate::{
    gateway::{failure::Failure, store::Store},
    logs::STORE,
};
use hibiscusroad_platform::request::Request as Call;
use hibiscusroad_wire::peer::{
    Answered, Batch, Given, StoreAnswer, StoreCall,
    peer_server::{Peer, PeerServer},
    store_answer::Outcome,
};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task::spawn_local,
};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

/// Maximum queued calls of peers. A gateway that can't reach the store has some ten calls under
/// way; with a third of 360 gateways cut off, spread over the others, this is enough.
const MAX_QUEUED_JOBS: usize = 64;
/// Maximum time limit of a peer's call. It covers the long poll for changes and the transfer
/// of an object.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);

/// Work that a peer requested.
enum Job {
    /// Executes a call to the store within a time limit.
    Relay(Call, Duration, oneshot::Sender<Outcome>),
    /// Accepts a batch that this process owns.
    AcceptBatch(Batch),
}

#[derive(Debug)]
struct PeerService {
    jobs: mpsc::Sender<Job>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn carry(&self, request: Request<StoreCall>) -> Result<Response<StoreAnswer>, Status> {
        let (call, limit) = decode(request.into_inner())?;
        let (reply, outcome) = oneshot::channel();
        self.jobs
            .try_send(Job::Relay(call, limit, reply))
            .map_err(|_full| Status::resource_exhausted("too many calls are carried"))?;
        let outcome = outcome
            .await
            .map_err(|_ended| Status::unknown("the call was dropped under way"))?;
        Ok(Response::new(StoreAnswer {
            outcome: Some(outcome),
        }))
    }

    async fn give(&self, request: Request<Batch>) -> Result<Response<Given>, Status> {
        self.jobs
            .try_send(Job::AcceptBatch(request.into_inner()))
            .map_err(|_full| Status::resource_exhausted("too many calls are carried"))?;
        Ok(Response::new(Given {}))
    }
}

/// Serves peers until the process ends, and passes batches that they push to `accept_batch`.
pub(in crate::gateway) async fn serve(
    listener: TcpListener,
    store: Rc<Store>,
    accept_batch: impl Fn(Batch) + 'static,
) {
    let (jobs, queue) = mpsc::channel(MAX_QUEUED_JOBS);
    let service =
        PeerServer::new(PeerService { jobs }).max_decoding_message_size(MAX_MESSAGE_BYTES);
    spawn_local(run_jobs(queue, store, accept_batch));
    let served = Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(error) = served {
        log::error!(target: STORE, error = error.to_string().as_str();
            "The server for peers ended.");
    }
}

async fn run_jobs(mut queue: mpsc::Receiver<Job>, store: Rc<Store>, accept_batch: impl Fn(Batch)) {
    while let Some(job) = queue.recv().await {
        match job {
            Job::Relay(call, limit, reply) => {
                spawn_local(relay(Rc::clone(&store), call, limit, reply));
            }
            Job::AcceptBatch(batch) => accept_batch(batch),
        }
    }
}

async fn relay(store: Rc<Store>, call: Call, limit: Duration, reply: oneshot::Sender<Outcome>) {
    let outcome = match store.relay_for_peer(&call, limit).await {
        Ok((status, body)) => Outcome::Answered(Answered {
            status: u32::from(status),
            body: body.to_vec(),
        }),
        Err(Failure::Refused(reason)) => Outcome::Refused(reason),
        Err(failure) => Outcome::Lost(failure.to_string()),
    };
    // If the peer no longer waits it has recorded the outcome as unknown.
    drop(reply.send(outcome));
}

fn decode(call: StoreCall) -> Result<(Call, Duration), Status> {
    let method = ["GET", "POST", "PUT", "DELETE"]
        .into_iter()
        .find(|method| *method == call.method);
    let Some(method) = method else {
        return Err(Status::invalid_argument("another method than the store's"));
    };
    if !call.target.starts_with('/') {
        return Err(Status::invalid_argument("a target that isn't a path"));
    }
    let mut decoded = Call::new(method, call.target);
    for header in call.headers {
        decoded = decoded.header(header.name, header.value);
    }
    decoded.body = call.body;
    let limit = Duration::from_millis(u64::from(call.limit_ms)).min(MAX_CALL_TIME);
    Ok((decoded, limit))
}
