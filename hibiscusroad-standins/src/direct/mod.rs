//! Stand-ins for deployments in which endpoints are called directly: the
//! metadata store that everybody agrees through, plain services that sign their
//! answers, engines that register their weights, and who takes reports of usage.
//!
//! They speak the wire of the users' platform by its published form, and no
//! more of it than the tests of the gateway need.

mod billing;
mod endpoint;
mod replicas;
mod store;

pub use self::{
    billing::{Billing, Reply, Report},
    endpoint::{Crash, CrashManner, Endpoint, Manner, Ran},
    replicas::{Replicas, Restart},
    store::{Faults, Store},
};
