//! What a side is made of.

use crate::{
    metrics::Metrics,
    settings::{Settings, Side},
    side::{ReadLease, event::Event},
};
use flume::Sender;
use hibiscusroad::Incarnation;

/// What a side is made of.
#[derive(Clone)]
pub struct Setup {
    /// The settings of the process.
    pub settings: Settings,
    /// The settings of the role.
    pub side: Side,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Where threads hand events over.
    pub events: Sender<Event>,
    /// Reads a duty's lease row.
    pub lease: ReadLease,
    /// Where metrics go.
    pub metrics: Metrics,
}
