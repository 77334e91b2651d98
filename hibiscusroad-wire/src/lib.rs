//! Protocol Buffers messages and gRPC services of hibiscusroad's processes.
//!
//! `proto/link.proto` defines the stream between an entry and a sidecar, and
//! `proto/peer.proto` the calls between gateways ([`peer`]). The generated Rust code is
//! committed, so that builds need no code generator. After a change to a `.proto` file,
//! regenerate it with `cargo run -p hibiscusroad-wire --example generate`; a test checks
//! that it is up to date.
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

/// Calls between gateways.
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

/// Protocol version of the stream between an entry and a sidecar.
///
/// `Hello` and `Welcome` carry it. A process that receives another version closes the
/// stream with the error kind `wire-version`.
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
