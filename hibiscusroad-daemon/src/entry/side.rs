//! The sides that an entry knows, each with its links.

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

/// The first wait after a connection that failed.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest wait: a side that came back gets work within this time, and one
/// that stays away costs each entry a try now and then.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// Names a side in the tables.
    pub struct SideKey;
}

/// One side.
#[derive(Debug)]
pub struct Side {
    /// The name of its endpoint.
    pub name: String,
    /// The service of its endpoint.
    pub service: String,
    /// Its host.
    pub host: String,
    /// The place of its host.
    pub data_centre: String,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Its endpoint in the router.
    pub endpoint: EndpointKey,
    /// The epoch of the latest connection.
    pub epoch: u64,
    /// The connection in use.
    pub link: Option<Link>,
    /// A connection that is being opened, and since when.
    pub opening: Option<(Link, Instant)>,
    /// The side's life at the last Welcome; 0 before the first.
    pub incarnation: u64,
    /// When something was last heard on the connection in use.
    pub last_received: Instant,
    /// When the last heartbeat was sent.
    pub last_heartbeat: Instant,
    /// Heartbeats sent.
    pub heartbeats: u64,
    /// When the next connection may be opened.
    pub next_connect: Instant,
    /// The waits between connections that fail.
    pub backoff: Backoff,
    /// Whether the connection in use takes no more frames.
    pub queue_full: bool,
    /// Whether the connection in use has been silent for too long.
    pub suspect: bool,
    /// Since when there is no connection in use.
    pub unlinked_since: Option<Instant>,
    /// Whether the host list or its heartbeat says that it is leaving.
    pub leaving: Leaving,
    /// Whether it says that nothing listens at its endpoint's address.
    pub unreachable: bool,
    /// The configuration version that it last said to have.
    pub config: u64,
    /// What it last reported of its endpoint.
    pub report: LoadReport,
    /// The weight version that its endpoint last reported.
    pub weights: String,
    /// Why it is known.
    pub listing: Listing,
    /// The attempts that it was sent and that have not ended.
    pub attempts: BTreeSet<RequestId>,
}

/// Why a side is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// The last host list names it, and this entry's subset has it.
    Listed,
    /// An earlier one did.
    Unlisted,
    /// It was only added to be asked about a claim.
    QueryOnly,
}

/// Who says that a side is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Leaving {
    /// The host list does.
    pub listed: bool,
    /// The side itself does.
    pub reported: bool,
    /// The configuration drains it.
    pub drained: bool,
}

impl Side {
    /// Creates a side that no connection was opened to yet.
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

    /// Says whether new work may be sent to it.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        let leaving = self.leaving.listed || self.leaving.reported || self.leaving.drained;
        self.link.is_some() && !self.suspect && !leaving
    }
}
