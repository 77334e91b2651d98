//! The sidecars that an entry knows, with their connections.

use crate::{
    entry::link::Link,
    platform::{Backoff, Host},
};
use hibiscusroad::{
    RequestId,
    route::{EndpointKey, LoadReport},
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Backoff after the first failed connection.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff. A sidecar that is back gets work within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// Identifies a sidecar in the tables.
    pub struct SideKey;
}

/// A sidecar and the state of its connections.
#[derive(Debug)]
pub struct Side {
    /// The name of its endpoint.
    pub name: String,
    /// The service of its endpoint.
    pub service: String,
    /// Its host.
    pub host: String,
    /// The data centre of its host.
    pub data_centre: String,
    /// The address where it accepts connections.
    pub address: SocketAddr,
    /// Its endpoint in the router.
    pub endpoint: EndpointKey,
    /// The epoch of the latest connection.
    pub epoch: u64,
    /// The connection in use.
    pub link: Option<Link>,
    /// A connection that is opening, and when that started.
    pub opening: Option<(Link, Instant)>,
    /// Its incarnation in the last Welcome; 0 before the first.
    pub incarnation: u64,
    /// When a frame last arrived on the connection in use.
    pub last_received: Instant,
    /// When the last heartbeat was sent.
    pub last_heartbeat: Instant,
    /// Number of heartbeats sent.
    pub heartbeats: u64,
    /// When the next connection may be opened.
    pub next_connect: Instant,
    /// Backoff between failed connections.
    pub backoff: Backoff,
    /// Whether the send queue of the connection in use was full.
    pub queue_full: bool,
    /// Whether the connection in use is suspected because of its silence.
    pub suspect: bool,
    /// When the last connection in use was lost.
    pub unlinked_since: Option<Instant>,
    /// Which sources say that it is leaving.
    pub leaving: Leaving,
    /// Whether it reports that nothing listens at its endpoint's address.
    pub unreachable: bool,
    /// The configuration version that it last reported.
    pub config: u64,
    /// The load that it last reported of its endpoint.
    pub report: LoadReport,
    /// The weight version that its endpoint last reported.
    pub weights: String,
    /// How it came into the tables.
    pub listing: Listing,
    /// Its attempts in flight.
    pub attempts: BTreeSet<RequestId>,
}

/// How a sidecar came into the tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// It is on the last host list and in this entry's subset.
    Listed,
    /// It was listed earlier.
    Unlisted,
    /// It was added only to be queried about a claim.
    QueryOnly,
}

/// The sources that say a sidecar is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Leaving {
    /// The host list says so.
    pub listed: bool,
    /// Its own heartbeat says so.
    pub reported: bool,
    /// The configuration drains it.
    pub drained: bool,
}

impl Side {
    /// Creates a sidecar without connections.
    #[must_use]
    pub fn new(host: &Host, endpoint: EndpointKey, now: Instant) -> Self {
        Self {
            name: host.endpoint.clone(),
            service: host.service.clone(),
            host: host.name.clone(),
            data_centre: host.data_centre.clone(),
            address: host.address,
            endpoint,
            epoch: 0,
            link: None,
            opening: None,
            incarnation: 0,
            last_received: now,
            last_heartbeat: now,
            heartbeats: 0,
            next_connect: now,
            backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
            queue_full: false,
            suspect: false,
            unlinked_since: Some(now),
            leaving: Leaving::default(),
            unreachable: false,
            config: 0,
            report: LoadReport::default(),
            weights: String::new(),
            listing: Listing::Listed,
            attempts: BTreeSet::new(),
        }
    }

    /// Returns whether it may be sent new work.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        let leaving = self.leaving.listed || self.leaving.reported || self.leaving.drained;
        self.link.is_some() && !self.suspect && !leaving
    }
}
