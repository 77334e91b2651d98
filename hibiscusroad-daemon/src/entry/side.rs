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
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// The longest wait: a side that came back gets work within this time, and one
/// that stays away costs each entry a try now and then.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

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
    pub place: String,
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
    pub heard: Instant,
    /// When the last heartbeat was sent.
    pub beaten: Instant,
    /// Heartbeats sent.
    pub beats: u64,
    /// When the next connection may be opened.
    pub retry: Instant,
    /// The waits between connections that fail.
    pub backoff: Backoff,
    /// Whether the connection in use takes no more frames.
    pub stuck: bool,
    /// Whether the connection in use has been silent for too long.
    pub suspect: bool,
    /// Since when there is no connection in use.
    pub lost: Option<Instant>,
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
    Absent,
    /// It was only added to be asked about a claim.
    Guest,
}

/// Who says that a side is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Leaving {
    /// The host list does.
    pub listed: bool,
    /// The side itself does.
    pub told: bool,
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
            place: host.data_centre.clone(),
            address: host.address,
            endpoint,
            epoch: 0,
            link: None,
            opening: None,
            incarnation: 0,
            heard: now,
            beaten: now,
            beats: 0,
            retry: now,
            backoff: Backoff::new(FIRST_WAIT, LONGEST_WAIT),
            stuck: false,
            suspect: false,
            lost: Some(now),
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
        let leaving = self.leaving.listed || self.leaving.told || self.leaving.drained;
        self.link.is_some() && !self.suspect && !leaving
    }
}
