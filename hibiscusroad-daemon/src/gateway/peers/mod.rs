//! Calls between gateways: they relay calls to the store for each other, and push batches to
//! their owners.
//!
//! A gateway that can't reach the store, while others can, would have to give up its batches.
//! Its peers relay its calls instead; [`hibiscusroad::store_path`] chooses the path of a call.
//!
//! * [`client`]: relays calls through a peer, and pushes batches to one.
//! * [`server`]: executes the calls of peers, and accepts batches.
//! * [`directory`]: discovers peers by their rows in the store.
//!
//! A relayed call has the same outcomes as a direct one: answered, not executed, or unknown. A
//! peer neither retries a call nor relays it further, so that a call can't circulate between
//! gateways that can't reach the store.

mod client;
mod directory;
mod server;

pub(super) use self::{
    client::{Peers, RelayError},
    directory::{Directory, decode_presence, poll_peers},
    server::serve,
};

/// Maximum size of a call or an answer. The largest is the submission of a batch, which is an
/// object of the store.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
