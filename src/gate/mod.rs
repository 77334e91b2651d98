//! Admission of requests beside one endpoint, and buffering of the answers.
//!
//! A [`Gate`] alone decides what starts at its endpoint, so it can tell for each
//! attempt, without asking anyone else, whether it runs, ran, or never will.
//!
//! # Design
//!
//! The sidecar's I/O calls a method for each event and carries out the [`Step`]s
//! that the gate queues. [`Gate::tick`] handles timeouts.
//!
//! An attempt is in one of four states, its [`AttemptState`]:
//!
//! * *running*: in flight at the endpoint; bytes are buffered until acknowledged.
//! * *done*: the complete answer is buffered until acknowledged. If the attempt
//!   may run only once, it is retained longer, for a repeat of the request.
//! * *lost*: started, but no complete answer is buffered.
//! * *sealed*: never started, and never will. A refusal that says "not run" seals
//!   its attempt, so that a repeated or late frame can't start it.
//!
//! # Trade-offs
//!
//! Tombstones expire after [`TOMBSTONE_TTL`], to bound the memory. Two watermarks
//! for each incarnation of an entry replace them: at or below the highest expired
//! sequence number nothing starts, and at or below the highest expired one that
//! had started, an unknown attempt is reported as lost instead of sealed. So an
//! old attempt may be refused, or reported as unknown although it never ran. The
//! watermarks are never dropped; they take a few dozen bytes for each incarnation.

mod attempt;
mod endpoint;
mod fence;
mod maintenance;
mod retained;
mod state;
mod tombstone;
mod types;

pub use self::{
    fence::{FencingTokens, OrderRefusal},
    state::Gate,
    types::{
        Admission, AttemptState, Chunk, Frame, GateLimits, GateLoad, Head, Header, LINK_TIMEOUT,
        StartRequest, Step, TOMBSTONE_TTL, VersionRun,
    },
};

slotmap::new_key_type! {
    /// Identifies a link from an entry in a [`Gate`].
    pub struct LinkKey;
}
