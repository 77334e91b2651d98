//! Carries calls of peers to the store, and takes the batches that they give.
//!
//! tonic's handlers may run on any thread, and what reaches the store belongs to
//! one: each call is handed over through a bounded queue, and a full one is a
//! refusal, not a wait.

use super::LARGEST;
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

/// Calls of peers that may wait to be sent. One peer has some ten calls under
/// way at a time, three of which are long waits; this is enough for the share of
/// a third of 360 gateways that are turned away and spread over the others.
const QUEUE: usize = 64;
/// Longest that a call of a peer may take: the longest wait for changes and the
/// longest time limit of an object.
const LONGEST: Duration = Duration::from_secs(5);

/// What a peer asks for.
enum Job {
    /// To carry out a call within a time.
    Carry(Call, Duration, oneshot::Sender<Outcome>),
    /// To run a batch.
    Take(Batch),
}

#[derive(Debug)]
struct Carrier {
    jobs: mpsc::Sender<Job>,
}

#[tonic::async_trait]
impl Peer for Carrier {
    async fn carry(&self, request: Request<StoreCall>) -> Result<Response<StoreAnswer>, Status> {
        let (call, limit) = decode(request.into_inner())?;
        let (reply, outcome) = oneshot::channel();
        self.jobs
            .try_send(Job::Carry(call, limit, reply))
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
            .try_send(Job::Take(request.into_inner()))
            .map_err(|_full| Status::resource_exhausted("too many calls are carried"))?;
        Ok(Response::new(Given {}))
    }
}

/// Carries calls until the process ends, and hands batches that are given to `take`.
pub(in crate::gateway) async fn serve(
    listener: TcpListener,
    store: Rc<Store>,
    take: impl Fn(Batch) + 'static,
) {
    let (jobs, queue) = mpsc::channel(QUEUE);
    let service = PeerServer::new(Carrier { jobs }).max_decoding_message_size(LARGEST);
    spawn_local(work(queue, store, take));
    let served = Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(error) = served {
        log::error!(target: STORE, error = error.to_string().as_str();
            "Calls of peers are no longer carried.");
    }
}

async fn work(mut queue: mpsc::Receiver<Job>, store: Rc<Store>, take: impl Fn(Batch)) {
    while let Some(job) = queue.recv().await {
        match job {
            Job::Carry(call, limit, reply) => {
                spawn_local(carry(Rc::clone(&store), call, limit, reply));
            }
            Job::Take(batch) => take(batch),
        }
    }
}

async fn carry(store: Rc<Store>, call: Call, limit: Duration, reply: oneshot::Sender<Outcome>) {
    let outcome = match store.relay_for_peer(&call, limit).await {
        Ok((status, body)) => Outcome::Answered(Answered {
            status: u32::from(status),
            body: body.to_vec(),
        }),
        Err(Failure::Refused(why)) => Outcome::Refused(why),
        Err(failure) => Outcome::Lost(failure.to_string()),
    };
    // A peer that no longer waits has found the outcome unknown.
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
    let limit = Duration::from_millis(u64::from(call.limit_ms)).min(LONGEST);
    Ok((decoded, limit))
}
