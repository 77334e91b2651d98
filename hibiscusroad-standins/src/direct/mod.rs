//! Stand-ins for deployments without sidecars: the metadata store, plain services
//! that sign their answers, model engines that register their weights, and the
//! receiver of usage reports.
//!
//! They implement the published protocol of the users' platform as far as the
//! gateway's tests need it.

mod billing;
mod endpoint;
mod joins;
mod replicas;
mod store;

pub use self::{
    billing::{Billing, ReplyMode, Report},
    endpoint::{Behaviour, Capacity, Crash, CrashMode, Endpoint, ExecutedRequest, WeightLoad},
    joins::TextRuns,
    replicas::{Replicas, Restart},
    store::{Faults, Store},
};
