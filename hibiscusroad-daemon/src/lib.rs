//! The daemon of hibiscusroad, in the roles entry and side.
//!
//! An entry takes callers' requests over HTTP, decides with the crate
//! `hibiscusroad` where each runs, and sends it to the side beside that
//! endpoint. A side is the only way to its endpoint: it admits, runs, buffers
//! and resumes requests.
//!
//! # Threads
//!
//! One thread owns all tables and runs the stakker actor of the role. Other
//! threads (HTTP, tonic's runtime, the platform's client) hold no state; they
//! hand typed events over through one bounded channel. See [`turn`].

pub mod entry;
pub mod gateway;
mod headers;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod settings;
pub mod side;
pub mod stop;
pub mod turn;
