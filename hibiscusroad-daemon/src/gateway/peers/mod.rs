//! What gateways do for each other: they carry calls to the store, and tell of batches.
//!
//! A gateway that the store turns away, while it serves others, would have to
//! give up what it owns. Its peers carry its calls instead;
//! [`hibiscusroad::store_path`] decides which way a call goes.
//!
//! * [`client`]: asks a peer to carry a call, or gives it a batch.
//! * [`server`]: carries calls of peers, and takes batches.
//! * [`directory`]: who the peers are, from their rows in the store.
//!
//! A call is carried out once or not at all, and its outcome is told as the
//! store's client tells it: answered, surely not carried out, or unknown. A
//! peer never tries twice and never passes a call on, so two gateways that are
//! both turned away can't send one in circles.

mod client;
mod directory;
mod server;

pub(super) use self::{
    client::{Peers, Uncarried},
    directory::{Directory, meet, presence},
    server::serve,
};

/// The largest call or answer: a submission as an object of the store, with
/// room for its frame.
const LARGEST: usize = 64 << 20;
