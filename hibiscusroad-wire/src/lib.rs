//! Frames between the processes of hibiscusroad.
//!
//! Frames between an entry and a side are described in `proto/link.proto`, the
//! calls of one gateway to another ([`peer`]) in `proto/peer.proto`. The Rust code
//! for them is generated and committed, so that building needs no generator.
//! After a change of a description, `cargo run -p hibiscusroad-wire --example
//! generate` writes it anew, and a test compares the two.
//!
//! # Example
//!
//! ```
//! use hibiscusroad_wire::{Id, ToSide, to_side::Frame, Seal};
//!
//! let frame = ToSide::from(Frame::Seal(Seal { id: Some(Id { origin: 7, seq: 1 }) }));
//! assert!(matches!(frame.frame, Some(Frame::Seal(_))));
//! ```

#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::pedantic,
    missing_docs,
    missing_debug_implementations,
    reason = "generated code"
)]
mod generated {
    include!("generated/hibiscusroad.link.v1.rs");
}

pub use generated::*;

/// Calls of one gateway to another.
#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::pedantic,
    missing_docs,
    missing_debug_implementations,
    reason = "generated code"
)]
pub mod peer {
    include!("generated/hibiscusroad.peer.v1.rs");
}

/// The version of the frames that this build speaks.
///
/// Hello and Welcome carry it. A process that meets another version closes the
/// link with the error kind `wire-version` instead of guessing.
pub const VERSION: u32 = 1;

impl From<to_side::Frame> for ToSide {
    fn from(frame: to_side::Frame) -> Self {
        Self { frame: Some(frame) }
    }
}

impl From<to_entry::Frame> for ToEntry {
    fn from(frame: to_entry::Frame) -> Self {
        Self { frame: Some(frame) }
    }
}
