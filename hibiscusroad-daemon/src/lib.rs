//! The hibiscusroad daemon, in the roles entry, side (sidecar) and gateway.
//!
//! An entry accepts callers' requests over HTTP, uses the crate `hibiscusroad` to choose
//! an endpoint for each, and sends it to the sidecar of that endpoint. A sidecar is the
//! only path to its endpoint: it admits, runs, buffers and resumes requests. A gateway
//! sends requests to endpoints directly.
//!
//! # Threads
//!
//! In an entry and a sidecar, one thread owns all state and runs the stakker actor of the
//! role. Other threads (HTTP, tonic's runtime, the platform's client) hold no state and
//! send typed events to it through one bounded channel. See [`event_loop`].

pub mod entry;
pub mod event_loop;
pub mod gateway;
mod headers;
mod http_client;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod settings;
pub mod side;
pub mod stop;
