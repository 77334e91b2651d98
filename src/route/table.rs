//! The rows of the router's tables.

use crate::{
    class::{Class, Repeat},
    error::ErrorKind,
    route::{
        EndpointKey, ServiceKey,
        admit::CARE,
        drain::Returns,
        health::{Health, Peers},
        learn::Learned,
        limit::Limit,
        meter::Meter,
        queue::{Queue, Spot},
        retry::Budget,
        ring::Ring,
        spec::{Call, EndpointSpec, LoadReport, ServiceSpec},
    },
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

slotmap::new_key_type! {
    /// Names a call in the router's table.
    pub(super) struct CallKey;
}

/// Near endpoints of the entry's subset, other near ones, those elsewhere.
pub(super) const TIERS: usize = 3;
/// The tier of endpoints at other places.
pub(super) const FAR: usize = 2;
/// Time constant of what counts as recent use: a few service times of an
/// interactive call, so that lent slots are wanted back soon after a burst.
const RECENT: Duration = Duration::from_secs(5);
/// Time constant of the work that balances prefixes: of 24 calls a second to
/// one engine the sum then strays by 5 per cent, half of the bound's margin.
const PLACED: Duration = Duration::from_secs(20);

/// What the timers are set for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Due {
    Call(CallKey),
    Endpoint(EndpointKey),
    Service(ServiceKey),
}

#[derive(Debug)]
pub(super) struct ServiceRow {
    pub(super) spec: ServiceSpec,
    pub(super) endpoints: Vec<EndpointKey>,
    /// Endpoints with room, by tier.
    pub(super) pools: [Vec<EndpointKey>; TIERS],
    pub(super) ring: Ring,
    pub(super) queues: [Queue; 3],
    /// Attempts that run, by class.
    pub(super) used: [u32; 3],
    /// Sum of the limits of the endpoints that take work.
    pub(super) lanes: u32,
    /// Sum of what is free below these limits.
    pub(super) free: u32,
    /// Endpoints that take work, and those of them at the entry's place.
    pub(super) usable: u32,
    pub(super) near: u32,
    /// Endpoints that are ejected.
    pub(super) out: u32,
    /// Ejected endpoints that wait for a call to be tried with.
    pub(super) ready: Vec<EndpointKey>,
    pub(super) peers: Peers,
    pub(super) learned: Learned,
    /// What calls take now, over what they took on average: at the start of a
    /// burst endpoints fill up long before the averages show it.
    pub(super) stretch: f64,
    /// How much longer than estimated a wait may become.
    pub(super) care: f64,
    pub(super) budget: Budget,
    pub(super) returns: [Returns; 3],
    /// Work placed lately, over all endpoints.
    pub(super) placed: Meter,
    /// Peak of attempts by class, lately.
    pub(super) peaks: [Meter; 3],
    /// Repeatable attempts of lower classes, to take their slots back.
    pub(super) lent: BTreeSet<(Instant, CallKey)>,
    pub(super) due: Option<Instant>,
}

impl ServiceRow {
    pub(super) fn new(spec: ServiceSpec) -> Self {
        Self {
            spec,
            endpoints: Vec::new(),
            pools: Default::default(),
            ring: Ring::default(),
            queues: Default::default(),
            used: [0; 3],
            lanes: 0,
            free: 0,
            usable: 0,
            near: 0,
            out: 0,
            ready: Vec::new(),
            peers: Peers::default(),
            learned: Learned::new(),
            stretch: 1.0,
            care: CARE,
            budget: Budget::new(),
            returns: [Returns::default(); 3],
            placed: Meter::new(PLACED),
            peaks: [Meter::new(RECENT); 3],
            lent: BTreeSet::new(),
            due: None,
        }
    }

    pub(super) fn queue(&self, class: Class) -> &Queue {
        &self.queues[class.index()]
    }

    pub(super) fn idle(&self) -> bool {
        self.queues.iter().all(Queue::is_empty)
    }
}

/// A report and what was known of the endpoint when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) report: LoadReport,
    /// When it was true.
    pub(super) at: Instant,
    /// Attempts of this entry that ran then.
    pub(super) own: u32,
    /// Tokens sent there since.
    pub(super) sent: u64,
}

#[derive(Debug)]
pub(super) struct EndpointRow {
    pub(super) spec: EndpointSpec,
    pub(super) service: ServiceKey,
    pub(super) open: bool,
    pub(super) running: u32,
    /// Tokens of the attempts that run.
    pub(super) tokens: u64,
    pub(super) limit: Limit,
    pub(super) health: Health,
    pub(super) tier: usize,
    /// Position in its pool, while it has room.
    pub(super) slot: Option<usize>,
    /// What of it is counted in the service's sums.
    pub(super) counted: Counted,
    pub(super) seen: Option<Seen>,
    /// Work placed there lately.
    pub(super) placed: Meter,
    /// Attempts by their start, to find the oldest.
    pub(super) attempts: BTreeSet<(Instant, CallKey)>,
    pub(super) due: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counted {
    pub(super) lanes: u32,
    pub(super) free: u32,
}

impl EndpointRow {
    pub(super) fn new(service: ServiceKey, spec: EndpointSpec) -> Self {
        Self {
            limit: Limit::new(spec.limit),
            spec,
            service,
            open: true,
            running: 0,
            tokens: 0,
            health: Health::new(),
            tier: 0,
            slot: None,
            counted: Counted::default(),
            seen: None,
            placed: Meter::new(PLACED),
            attempts: BTreeSet::new(),
            due: None,
        }
    }

    pub(super) fn usable(&self) -> bool {
        self.open && self.health.fit()
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointKey,
    pub(super) start: Instant,
    pub(super) trial: bool,
    /// Whether it met few others there.
    pub(super) alone: bool,
}

#[derive(Debug)]
pub(super) struct CallRow {
    pub(super) call: Call,
    /// Expected seconds at an endpoint.
    pub(super) work: f64,
    pub(super) seq: u64,
    /// Attempts started.
    pub(super) tries: u8,
    /// Times that its slot was taken back.
    pub(super) yields: u8,
    pub(super) waits: bool,
    /// Whether its caller has part of an answer.
    pub(super) committed: bool,
    /// What to tell if it may have run.
    pub(super) ran: Option<ErrorKind>,
    /// Where the last attempt ran.
    pub(super) last: Option<EndpointKey>,
    /// The attempt and its hedge.
    pub(super) attempts: [Option<Attempt>; 2],
    /// When its timer is set.
    pub(super) due: Option<Instant>,
    /// When it can't be answered any more, while it waits.
    pub(super) last_start: Instant,
}

impl CallRow {
    pub(super) fn new(call: Call, work: f64, seq: u64) -> Self {
        Self {
            call,
            work,
            seq,
            tries: 0,
            yields: 0,
            waits: false,
            committed: false,
            ran: None,
            last: None,
            attempts: [None; 2],
            due: None,
            last_start: call.deadline,
        }
    }

    pub(super) fn free(&self) -> bool {
        self.call.repeat == Repeat::Idempotent
    }

    /// Says whether another attempt could still answer it.
    pub(super) fn movable(&self) -> bool {
        self.free() && !self.committed
    }

    pub(super) fn spot(&self) -> Spot {
        Spot {
            deadline: self.call.deadline,
            seq: self.seq,
        }
    }

    pub(super) fn runs(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    pub(super) fn runs_at(&self, endpoint: EndpointKey) -> bool {
        let mut attempts = self.attempts.iter().flatten();
        attempts.any(|attempt| attempt.endpoint == endpoint)
    }
}
