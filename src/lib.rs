//! Decisions of a rollout service for reinforcement learning.
//!
//! This crate contains the decisions of the hibiscusroad daemons: which request is admitted,
//! where it runs, when it is refused, and what must never happen twice. It does no I/O and
//! starts no threads, and its decisions take the current instant as an argument. So the same
//! code runs in the daemons and, in virtual time, in the tests.
//!
//! # Example
//!
//! Every refusal has an [`ErrorKind`], which determines the answer to the caller:
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
//! There is one module per concept, whose documentation explains its design and trade-offs:
//!
//! * [`account`]: client accounts and their keys.
//! * [`catalog`]: routes, services and limits of one version of the configuration.
//! * [`change_pacing`]: how often a process asks for the changes of a busy table.
//! * [`claim`]: running a request that is not idempotent at most once.
//! * [`class`]: the class of a request, and whether it may run twice.
//! * [`clock`]: sources of the current time.
//! * [`clock_estimate`]: an estimate of the steady clock of another host.
//! * [`cold_start`]: limits on what is sent to cold endpoints.
//! * [`config`]: the configuration document, its changes and its propagation.
//! * [`contention`]: the switch for decisions on competition for room.
//! * [`error`]: the closed list of error kinds and the answers for them.
//! * [`evacuation`]: the data centres that operators have evacuated.
//! * [`gate`]: admission, sealing, buffering and replay at a sidecar.
//! * [`id`]: identifiers of requests and processes.
//! * [`latency`]: the present latency of a service.
//! * [`lease`]: duties with one holder, and their fencing tokens.
//! * [`quarantine`]: requests that crash the endpoints that run them.
//! * [`rollout`]: batches of generations for trainers, and the weights they run on.
//! * [`roster`]: the registered endpoints.
//! * [`route`]: admission, queues, placement, limits, retries.
//! * [`store_outage`]: outages of the store, told from single calls without an answer.
//! * [`store_path`]: the path of calls to the store, direct or relayed by a peer.
//! * [`subset`]: the choice of sidecars to which an entry keeps streams.
//! * [`table`]: the interface to the table service that stores persistent data.
//! * [`timeout`]: a timeout that adapts to the latency of a service.
//! * [`topology`]: data centres, regions, and where a request may be served.
//! * [`train`]: the steps, samples and pace of a trainer.
//! * [`usage`]: the usage of client accounts, and its reports.

pub mod account;
pub mod catalog;
pub mod change_pacing;
pub mod claim;
pub mod class;
pub mod clock;
pub mod clock_estimate;
pub mod cold_start;
pub mod config;
pub mod contention;
pub mod error;
pub mod evacuation;
pub mod gate;
pub mod id;
pub mod latency;
pub mod lease;
pub mod quarantine;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod silence;
pub mod store_outage;
pub mod store_path;
pub mod subset;
pub mod table;
pub mod timeout;
pub mod topology;
pub mod train;
pub mod usage;

pub use crate::{
    class::{Class, Repeat},
    clock::{Clock, ManualClock, SystemClock},
    error::{Answer, ErrorKind, Retry},
    id::{Incarnation, RequestId},
};
