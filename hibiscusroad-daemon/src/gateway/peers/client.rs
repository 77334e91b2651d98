//! Asks a peer to carry a call to the store, or to run a batch.

use super::LARGEST;
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

/// A peer that can't be connected to by then is of no use: hosts are some
/// milliseconds apart, and other peers may help.
const CONNECT: Duration = Duration::from_millis(250);
/// What the way to a peer and back may take beyond the store's own time.
const SLACK: Duration = Duration::from_millis(150);
/// A peer that hasn't taken a batch by then reads it from the store sooner.
const GIVE: Duration = Duration::from_millis(400);

/// Why a peer didn't bring an answer.
#[derive(Debug, thiserror::Error)]
pub(in crate::gateway) enum Uncarried {
    /// The peer can't reach the store either; the call was not carried out.
    #[error("the peer is turned away: {0}")]
    Away(String),
    /// The peer can't be reached; the call was not carried out.
    #[error("the peer can't be reached: {0}")]
    Unreached(String),
    /// Whether the call was carried out is unknown.
    #[error("no answer: {0}")]
    Lost(String),
}

/// Connections to peers, one each, kept while they work.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Peers {
    open: RefCell<HashMap<SocketAddr, PeerClient<Channel>>>,
}

impl Peers {
    pub(in crate::gateway) fn new() -> Self {
        Self::default()
    }

    /// Has a peer carry a call that the store may take `limit` for.
    ///
    /// # Errors
    ///
    /// Returns why no answer came, and whether the call may have been carried
    /// out all the same.
    pub(in crate::gateway) async fn carry(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<(u16, Bytes), Uncarried> {
        let mut client = self.client(peer).await?;
        let answer = timeout(limit + SLACK, client.carry(encode(request, limit))).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => {
                self.forget(peer);
                return Err(match status.code() {
                    // Said by the peer itself, before it did anything.
                    Code::ResourceExhausted | Code::InvalidArgument => {
                        Uncarried::Away(status.message().to_owned())
                    }
                    _ => Uncarried::Lost(status.to_string()),
                });
            }
            Err(_elapsed) => {
                self.forget(peer);
                return Err(Uncarried::Lost("time is over".to_owned()));
            }
        };
        decode(answer)
    }

    /// Tells a peer of a batch that the store says is its own.
    ///
    /// # Errors
    ///
    /// Returns why the peer has perhaps not heard of it. It hears of it from the
    /// store all the same, only later.
    pub(in crate::gateway) async fn give(
        &self,
        peer: SocketAddr,
        batch: Batch,
    ) -> Result<(), Uncarried> {
        let mut client = self.client(peer).await?;
        let given = timeout(GIVE, client.give(batch)).await;
        let error = match given {
            Ok(Ok(_)) => return Ok(()),
            Ok(Err(status)) => status.to_string(),
            Err(_elapsed) => "time is over".to_owned(),
        };
        self.forget(peer);
        Err(Uncarried::Lost(error))
    }

    async fn client(&self, peer: SocketAddr) -> Result<PeerClient<Channel>, Uncarried> {
        if let Some(client) = self.open.borrow().get(&peer) {
            return Ok(client.clone());
        }
        let unreached = |error: tonic::transport::Error| Uncarried::Unreached(error.to_string());
        let endpoint = Endpoint::from_shared(format!("http://{peer}")).map_err(unreached)?;
        let endpoint = endpoint.connect_timeout(CONNECT);
        let channel = timeout(CONNECT, endpoint.connect())
            .await
            .map_err(|_elapsed| Uncarried::Unreached("time is over".to_owned()))?
            .map_err(unreached)?;
        let client = PeerClient::new(channel).max_decoding_message_size(LARGEST);
        self.open.borrow_mut().insert(peer, client.clone());
        Ok(client)
    }

    fn forget(&self, peer: SocketAddr) {
        self.open.borrow_mut().remove(&peer);
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

fn decode(answer: StoreAnswer) -> Result<(u16, Bytes), Uncarried> {
    match answer.outcome {
        Some(Outcome::Answered(answer)) => {
            let status = u16::try_from(answer.status)
                .map_err(|_large| Uncarried::Lost("a status out of range".to_owned()))?;
            Ok((status, answer.body.into()))
        }
        Some(Outcome::Refused(why)) => Err(Uncarried::Away(why)),
        Some(Outcome::Lost(why)) => Err(Uncarried::Lost(why)),
        None => Err(Uncarried::Lost("an answer without an outcome".to_owned())),
    }
}

impl From<Uncarried> for Failure {
    fn from(error: Uncarried) -> Self {
        match error {
            Uncarried::Away(_) | Uncarried::Unreached(_) => Self::Refused(error.to_string()),
            Uncarried::Lost(why) => Self::Lost(why),
        }
    }
}
