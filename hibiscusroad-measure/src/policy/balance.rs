//! The policies that are compared.

use super::scenario::Scenario;
use hibiscusroad::{
    ErrorKind, RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Names of the places in the run.
pub(super) const PLACES: [&str; 3] = ["senec", "trnava", "piestany"];
/// What a side takes at once: wide, so that the limits have to be found.
pub(super) const SIDE_LIMIT: u32 = 64;
/// Calls that may wait, of each class.
const DEPTH: usize = 1024;
/// A plain policy tries again once, at another endpoint.
const PLAIN_TRIES: u32 = 2;

/// Who decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The router of the entries.
    Router,
    /// One endpoint after the other, without limits.
    RoundRobin,
    /// The endpoint that reported the least load, without limits.
    LeastReported,
    /// The endpoint that a hash of the prefix names, without limits.
    Affinity,
}

impl Policy {
    /// All policies, in the order of the table.
    pub const ALL: [Self; 4] = [
        Self::Router,
        Self::RoundRobin,
        Self::LeastReported,
        Self::Affinity,
    ];

    /// Returns its name in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::Affinity => "affinity",
        }
    }
}

/// What an entry wants done; endpoints by number.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    Start { seq: u64, endpoint: usize },
    Cancel { seq: u64, endpoint: usize },
    Refuse { seq: u64, retry_after: Duration },
}

/// An entry under one of the policies.
#[derive(Debug)]
pub(super) enum Entry {
    Ours(Box<Ours>),
    Plain(Plain),
}

#[derive(Debug)]
pub(super) struct Ours {
    pub(super) router: Router,
    pub(super) service: ServiceKey,
    keys: Vec<EndpointKey>,
    numbers: HashMap<EndpointKey, usize>,
}

#[derive(Debug)]
pub(super) struct Plain {
    policy: Policy,
    endpoints: usize,
    next: usize,
    loads: Vec<u32>,
    rng: Pcg64,
    calls: HashMap<u64, (Option<u64>, u32, Instant)>,
    orders: VecDeque<Order>,
}

impl Entry {
    pub(super) fn new(
        scenario: &Scenario,
        policy: Policy,
        seed: u64,
        place: usize,
        now: Instant,
    ) -> Self {
        let count = scenario.endpoints * PLACES.len();
        if policy != Policy::Router {
            return Self::Plain(Plain {
                policy,
                endpoints: count,
                next: place,
                loads: vec![0; count],
                rng: Pcg64::seed_from_u64(seed),
                calls: HashMap::new(),
                orders: VecDeque::new(),
            });
        }
        let mut router = Router::new(PLACES[place], seed);
        let spec = ServiceSpec::new().max_queued(DEPTH);
        let service = router.set_service(now, "service", spec);
        let spec = |n: usize| {
            EndpointSpec::new(&format!("endpoint-{n}"), PLACES[n / scenario.endpoints])
                .limit(SIDE_LIMIT)
        };
        let keys: Vec<EndpointKey> = (0..count)
            .map(|n| router.add_endpoint(now, service, spec(n)))
            .collect();
        let numbers = keys.iter().copied().zip(0..).collect();
        Self::Ours(Box::new(Ours {
            router,
            service,
            keys,
            numbers,
        }))
    }

    /// Says whether sides refuse what is over their limit.
    pub(super) fn limited(&self) -> bool {
        matches!(self, Self::Ours(_))
    }

    pub(super) fn arrive(&mut self, now: Instant, make: impl FnOnce(ServiceKey) -> Call) {
        match self {
            Self::Ours(ours) => ours.router.submit(now, make(ours.service)),
            Self::Plain(plain) => {
                let call = make(ServiceKey::default());
                let row = (call.prefix, 0, call.deadline);
                plain.calls.insert(call.id.seq, row);
                plain.place(call.id.seq);
            }
        }
    }

    pub(super) fn finish(&mut self, now: Instant, id: RequestId, endpoint: usize, end: Outcome) {
        match self {
            Self::Ours(ours) => ours.router.finish(now, id, ours.keys[endpoint], end),
            Self::Plain(plain) => match end {
                Outcome::Answered => {
                    plain.calls.remove(&id.seq);
                }
                Outcome::NotRun(_) | Outcome::Failed(_) => plain.place(id.seq),
            },
        }
    }

    pub(super) fn report(&mut self, now: Instant, endpoint: usize, report: LoadReport) {
        match self {
            Self::Ours(ours) => ours.router.record_load(now, ours.keys[endpoint], report),
            Self::Plain(plain) => plain.loads[endpoint] = report.running + report.queued,
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        if let Self::Ours(ours) = self {
            ours.router.tick(now);
        }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        match self {
            Self::Ours(ours) => ours.router.next_due(),
            Self::Plain(_) => None,
        }
    }

    pub(super) fn next_order(&mut self) -> Option<Order> {
        match self {
            Self::Plain(plain) => plain.orders.pop_front(),
            Self::Ours(ours) => Some(match ours.router.next_step()? {
                Step::Start { id, endpoint, .. } => Order::Start {
                    seq: id.seq,
                    endpoint: ours.numbers[&endpoint],
                },
                Step::Cancel { id, endpoint } => Order::Cancel {
                    seq: id.seq,
                    endpoint: ours.numbers[&endpoint],
                },
                Step::Refuse {
                    id, retry_after, ..
                } => Order::Refuse {
                    seq: id.seq,
                    retry_after,
                },
            }),
        }
    }
}

impl Plain {
    fn place(&mut self, seq: u64) {
        let Some((prefix, tries, _)) = self.calls.get_mut(&seq) else {
            return;
        };
        *tries += 1;
        if *tries > PLAIN_TRIES {
            self.calls.remove(&seq);
            let retry_after = Duration::from_secs(1);
            self.orders.push_back(Order::Refuse { seq, retry_after });
            return;
        }
        let (prefix, tries) = (*prefix, *tries);
        let endpoint = self.pick(prefix, tries);
        self.orders.push_back(Order::Start { seq, endpoint });
    }

    fn pick(&mut self, prefix: Option<u64>, tries: u32) -> usize {
        match (self.policy, prefix) {
            (Policy::Affinity, Some(prefix)) => {
                let hash = prefix.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
                let count = self.endpoints as u64;
                let number = (hash + u64::from(tries)) % count;
                usize::try_from(number).unwrap_or(0)
            }
            (Policy::LeastReported, _) => {
                let least = self.loads.iter().min().copied().unwrap_or(0);
                let same = self.loads.iter().filter(|load| **load == least).count();
                let nth = self.rng.random_range(0..same);
                let mut idlest = (0..self.endpoints).filter(|n| self.loads[*n] == least);
                idlest.nth(nth).unwrap_or(0)
            }
            _ => {
                self.next = (self.next + 1) % self.endpoints;
                self.next
            }
        }
    }
}

/// What a side answers when it is full.
pub(super) const FULL: Outcome = Outcome::NotRun(ErrorKind::Saturated);
/// What an entry sees of a refused connection.
pub(super) const DOWN: Outcome = Outcome::NotRun(ErrorKind::EndpointDown);
/// What an entry sees of a crash during the call.
pub(super) const BROKEN: Outcome = Outcome::Failed(ErrorKind::EndpointBroken);
