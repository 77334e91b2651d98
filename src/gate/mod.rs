//! What a side admits, seals, buffers and replays.
//!
//! A [`Gate`] is the one place that decides what starts at its endpoint, so a
//! promise about an attempt needs no second party that is up to date: whoever
//! asks, the gate alone answers whether the attempt runs, ran, or never will.
//!
//! # Design
//!
//! The I/O of a side feeds events in (a method each) and carries out the
//! [`Step`]s that come out. Four tables hold the state: links, attempts, kept
//! answers and tombstones. Systems run over them in [`Gate::tick`].
//!
//! An attempt is in one of four states, its [`Standing`]:
//!
//! * *running*: the endpoint works on it; bytes are kept until acknowledged.
//! * *done*: the whole answer is kept until acknowledged, and for an attempt
//!   that may run only once also for a while after, to replay it to a caller
//!   who repeats the request.
//! * *lost*: started, and no whole answer is kept.
//! * *sealed*: never started and never will. Each refusal seals its attempt,
//!   so that a repeated or late frame can't make the refusal untrue.
//!
//! # Trade-offs
//!
//! Tombstones are dropped after [`TOMBSTONE_TTL`]. What they protected stays true
//! by two marks for each entry's life: the highest number forgotten, below
//! which nothing starts any more, and the highest number forgotten that had
//! started, below which an unknown attempt is reported as lost rather than
//! sealed. The price is that an attempt older than [`TOMBSTONE_TTL`] may be
//! refused, and that "unknown" is said where "not run" would have been true.
//! Marks of entries are never dropped: 64 bytes each, at 230 restarts a day
//! five megabytes a year.

mod attempt;
mod endpoint;
mod fence;
mod retained;
mod spec;
mod systems;
mod table;
mod tombstone;

pub use self::{
    fence::{FencingTokens, OrderRefusal},
    spec::{
        Admission, Ask, Chunk, Frame, GateLoad, GateSpec, Head, Header, LINK_SILENCE, Run,
        Standing, Step, TOMBSTONE_TTL,
    },
    table::Gate,
};

slotmap::new_key_type! {
    /// Names a link from an entry in a [`Gate`].
    pub struct LinkKey;
}
