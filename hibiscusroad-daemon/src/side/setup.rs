//! Configuration and dependencies of the actor.

use crate::{
    metrics::Metrics,
    settings::{Settings, Side},
    side::{ReadLease, event::Event},
};
use flume::Sender;
use hibiscusroad::Incarnation;

/// Configuration and dependencies of the actor.
#[derive(Clone)]
pub struct Setup {
    /// The settings of the process.
    pub settings: Settings,
    /// The settings of the role.
    pub side: Side,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Sends events to the actor.
    pub events: Sender<Event>,
    /// Reads the fencing token in a duty's lease row.
    pub read_lease: ReadLease,
    /// Metrics client.
    pub metrics: Metrics,
}
