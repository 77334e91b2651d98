//! Decisions of a rollout service for reinforcement learning.
//!
//! This crate holds what the daemons of hibiscusroad decide: which request is
//! admitted, where it runs, when it is refused, and what must never happen
//! twice. It does no input or output, starts no threads and never reads a
//! clock: every function takes the present instant from its caller. The same
//! code therefore runs in the daemons and, in virtual time, in the tests.
//!
//! # Example
//!
//! Every refusal carries one [`ErrorKind`], and one table says what the caller
//! is told:
//!
//! ```
//! use hibiscusroad::ErrorKind;
//!
//! let answer = ErrorKind::Saturated.answer();
//! assert_eq!(answer.status, 503);
//! assert!(answer.not_run);
//! ```
//!
//! # Layout
//!
//! One module a concept, each opened by its design and trade-offs:
//!
//! * [`account`]: client accounts and their keys.
//! * [`catalog`]: routes, services and limits that are in force.
//! * [`claim`]: how a request that may not run twice runs at most once.
//! * [`clock`]: the interface through which time enters.
//! * [`config`]: the document that operators change, and how it spreads.
//! * [`error`]: the closed list of error kinds and the table of answers.
//! * [`id`]: the small keys that name requests and processes.
//! * [`gate`]: what a side admits, seals, buffers and replays.
//! * [`lease`]: duties with one holder, and their fencing numbers.
//! * [`patience`]: how long to wait for a service whose pace changes.
//! * [`quarantine`]: requests that crash the endpoints that run them.
//! * [`reach`]: which way a call to the store goes.
//! * [`rollout`]: batches for trainers, and the weights they run on.
//! * [`roster`]: which endpoints there are, as they register themselves.
//! * [`route`]: admission, queues, placement, limits, retries.
//! * [`steady`]: the clock of another host, as its answers tell it.
//! * [`subset`]: which sides an entry keeps links to.
//! * [`table`]: the narrow interface to what must last.
//! * [`train`]: a trainer's steps, samples and pace.
//! * [`usage`]: what client accounts used, and its reports.

pub mod account;
pub mod catalog;
pub mod claim;
pub mod class;
pub mod clock;
pub mod config;
pub mod error;
pub mod gate;
pub mod id;
pub mod lease;
pub mod patience;
pub mod quarantine;
pub mod reach;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod steady;
pub mod subset;
pub mod table;
pub mod train;
pub mod usage;

pub use crate::{
    class::{Class, Repeat},
    clock::{Clock, ManualClock, SystemClock},
    error::{Answer, ErrorKind, Retry},
    id::{Incarnation, RequestId},
};
