//! Client for peers: relays calls to the store, and pushes batches to their owner.

use super::MAX_MESSAGE_BYTES;
use crate::gateway::failure::Failure;
use hibiscusroad_platform::request::Request;
use hibiscusroad_wire::peer::{
    Batch, StoreAnswer, StoreCall, StoreHeader, peer_client::PeerClient, store_answer::Outcome,
};
use hyper::body::Bytes;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::timeout;
use tonic::{
    Code,
    transport::{Channel, Endpoint},
};

/// Time limit for connecting to a peer. Hosts are a few milliseconds apart, and another peer
/// may be reachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that a relayed call may take beyond the time limit of the store's answer.
const RELAY_OVERHEAD: Duration = Duration::from_millis(150);
/// Time limit for pushing a batch, after which its owner reads it from the store sooner.
const PUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a peer returned no answer.
#[derive(Debug, thiserror::Error)]
pub(in crate::gateway) enum RelayError {
    /// The peer refused the call, or can't reach the store either. The call was not executed.
    #[error("the peer refused the call: {0}")]
    Refused(String),
    /// The peer can't be reached. The call was not executed.
    #[error("the peer can't be reached: {0}")]
    PeerUnreachable(String),
    /// No answer was received, and the call may have been executed.
    #[error("no answer from the peer: {0}")]
    Unknown(String),
}

/// Connections to peers. Each peer has one, which is reused until a call on it fails.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Peers {
    clients: RefCell<HashMap<SocketAddr, PeerClient<Channel>>>,
}

impl Peers {
    pub(in crate::gateway) fn new() -> Self {
        Self::default()
    }

    /// Relays a call through a peer, where the store may take `limit` to answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer was received. The error says whether the call may have
    /// been executed nevertheless.
    pub(in crate::gateway) async fn relay(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), RelayError> {
        let mut client = self.client(peer).await?;
        let answer = timeout(limit + RELAY_OVERHEAD, client.carry(encode(request, limit))).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => {
                self.disconnect(peer);
                return Err(match status.code() {
                    // The peer itself returns these, before it executes anything.
                    Code::ResourceExhausted | Code::InvalidArgument => {
                        RelayError::Refused(status.message().to_owned())
                    }
                    _ => RelayError::Unknown(status.to_string()),
                });
            }
            Err(_elapsed) => {
                self.disconnect(peer);
                return Err(RelayError::Unknown("timed out".to_owned()));
            }
        };
        decode(answer)
    }

    /// Pushes a batch to the peer that owns it according to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer may not have received the batch. It reads the batch from
    /// the store then, only later.
    pub(in crate::gateway) async fn push_batch(
        &self,
        peer: SocketAddr,
        batch: Batch,
    ) -> Result<(), RelayError> {
        let mut client = self.client(peer).await?;
        let pushed = timeout(PUSH_TIMEOUT, client.give(batch)).await;
        let error = match pushed {
            Ok(Ok(_)) => return Ok(()),
            Ok(Err(status)) => status.to_string(),
            Err(_elapsed) => "timed out".to_owned(),
        };
        self.disconnect(peer);
        Err(RelayError::Unknown(error))
    }

    async fn client(&self, peer: SocketAddr) -> Result<PeerClient<Channel>, RelayError> {
        if let Some(client) = self.clients.borrow().get(&peer) {
            return Ok(client.clone());
        }
        let unreachable =
            |error: tonic::transport::Error| RelayError::PeerUnreachable(error.to_string());
        let endpoint = Endpoint::from_shared(format!("http://{peer}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT);
        let channel = timeout(CONNECT_TIMEOUT, endpoint.connect())
            .await
            .map_err(|_elapsed| RelayError::PeerUnreachable("timed out".to_owned()))?
            .map_err(unreachable)?;
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        self.clients.borrow_mut().insert(peer, client.clone());
        Ok(client)
    }

    fn disconnect(&self, peer: SocketAddr) {
        self.clients.borrow_mut().remove(&peer);
    }
}

fn encode(request: &Request, limit: Duration) -> StoreCall {
    let headers = request.headers.iter().map(|(name, value)| StoreHeader {
        name: name.to_string(),
        value: value.clone(),
    });
    StoreCall {
        method: request.method.to_owned(),
        target: request.target.clone(),
        headers: headers.collect(),
        body: request.body.clone(),
        limit_ms: u32::try_from(limit.as_millis()).unwrap_or(u32::MAX),
    }
}

fn decode(answer: StoreAnswer) -> Result<(u16, Bytes), RelayError> {
    match answer.outcome {
        Some(Outcome::Answered(answer)) => {
            let status = u16::try_from(answer.status).map_err(|_out_of_range| {
                RelayError::Unknown("the status is out of range".to_owned())
            })?;
            Ok((status, answer.body.into()))
        }
        Some(Outcome::Refused(reason)) => Err(RelayError::Refused(reason)),
        Some(Outcome::Lost(reason)) => Err(RelayError::Unknown(reason)),
        None => Err(RelayError::Unknown("the answer has no outcome".to_owned())),
    }
}

impl From<RelayError> for Failure {
    fn from(error: RelayError) -> Self {
        match error {
            RelayError::Refused(_) | RelayError::PeerUnreachable(_) => {
                Self::Refused(error.to_string())
            }
            RelayError::Unknown(reason) => Self::Lost(reason),
        }
    }
}
