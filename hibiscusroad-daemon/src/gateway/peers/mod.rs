//! Calls between gateways, which relay calls to the store and push batches to their owners.
//!
//! Peers relay the calls of a gateway that can't reach the store, which would otherwise lose its
//! batches. [`hibiscusroad::store_path`] chooses the path of a call. A peer neither retries a
//! call nor relays it further, so that calls can't circulate.
//!
//! * [`client`]: relays calls through a peer, and pushes batches to one.
//! * [`server`]: executes the calls of peers, and accepts batches.
//! * [`directory`]: discovers peers by their rows in the store.

mod client;
mod directory;
mod server;

pub(super) use self::{
    client::{Peers, RelayError},
    directory::{Directory, RENEWAL_INTERVAL, decode_process, member_parts, poll_members},
    server::serve,
};

/// Maximum size of a call or an answer. The largest is the submission of a batch, which is an
/// object of the store.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
