//! The router and the baseline policies it is compared with.

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

/// Names of the simulated data centres.
pub(super) const DATA_CENTRES: [&str; 3] = ["senec", "trnava", "piestany"];
/// Calls that a sidecar accepts at once: high, so that the router has to find a lower limit.
pub(super) const SIDECAR_LIMIT: u32 = 64;
/// Maximum number of queued calls of each class.
const MAX_QUEUED: usize = 1024;
/// Attempts of a baseline policy for each call, including the first.
const BASELINE_MAX_ATTEMPTS: u32 = 2;

/// A policy that selects the endpoint for each call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The production router.
    Router,
    /// Round robin over all endpoints, without concurrency limits.
    RoundRobin,
    /// The endpoint with the lowest reported load, without concurrency limits.
    LeastReported,
    /// The endpoint selected by a hash of the prefix, without concurrency limits.
    Affinity,
}

impl Policy {
    /// All policies, in the order of the table rows.
    pub const ALL: [Self; 4] = [
        Self::Router,
        Self::RoundRobin,
        Self::LeastReported,
        Self::Affinity,
    ];

    /// Returns the name shown in the table.
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

/// An action requested by an entry; endpoints are identified by index.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Start { seq: u64, endpoint: usize },
    Cancel { seq: u64, endpoint: usize },
    Refuse { seq: u64, retry_after: Duration },
}

/// A simulated entry that uses one of the policies.
#[derive(Debug)]
pub(super) enum Entry {
    Router(Box<RouterEntry>),
    Baseline(BaselineEntry),
}

#[derive(Debug)]
pub(super) struct RouterEntry {
    pub(super) router: Router,
    pub(super) service: ServiceKey,
    keys: Vec<EndpointKey>,
    indices: HashMap<EndpointKey, usize>,
}

#[derive(Debug)]
pub(super) struct BaselineEntry {
    policy: Policy,
    endpoints: usize,
    next_endpoint: usize,
    reported_loads: Vec<u32>,
    rng: Pcg64,
    calls: HashMap<u64, (Option<u64>, u32, Instant)>,
    actions: VecDeque<Action>,
}

impl Entry {
    pub(super) fn new(
        scenario: &Scenario,
        policy: Policy,
        seed: u64,
        data_centre: usize,
        now: Instant,
    ) -> Self {
        let count = scenario.endpoints * DATA_CENTRES.len();
        if policy != Policy::Router {
            return Self::Baseline(BaselineEntry {
                policy,
                endpoints: count,
                next_endpoint: data_centre,
                reported_loads: vec![0; count],
                rng: Pcg64::seed_from_u64(seed),
                calls: HashMap::new(),
                actions: VecDeque::new(),
            });
        }
        let mut router = Router::new(DATA_CENTRES[data_centre], seed);
        let spec = ServiceSpec::new().max_queued(MAX_QUEUED);
        let service = router.set_service(now, "service", spec);
        let spec = |n: usize| {
            EndpointSpec::new(
                &format!("endpoint-{n}"),
                DATA_CENTRES[n / scenario.endpoints],
            )
            .limit(SIDECAR_LIMIT)
        };
        let keys: Vec<EndpointKey> = (0..count)
            .map(|n| router.add_endpoint(now, service, spec(n)))
            .collect();
        let indices = keys.iter().copied().zip(0..).collect();
        Self::Router(Box::new(RouterEntry {
            router,
            service,
            keys,
            indices,
        }))
    }

    /// Returns whether sidecars refuse calls above their limit.
    pub(super) fn enforces_limit(&self) -> bool {
        matches!(self, Self::Router(_))
    }

    pub(super) fn submit(&mut self, now: Instant, build_call: impl FnOnce(ServiceKey) -> Call) {
        match self {
            Self::Router(entry) => entry.router.submit(now, build_call(entry.service)),
            Self::Baseline(baseline) => {
                let call = build_call(ServiceKey::default());
                let call_state = (call.prefix, 0, call.deadline);
                baseline.calls.insert(call.id.seq, call_state);
                baseline.dispatch(call.id.seq);
            }
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        id: RequestId,
        endpoint: usize,
        outcome: Outcome,
    ) {
        match self {
            Self::Router(entry) => entry.router.finish(now, id, entry.keys[endpoint], outcome),
            Self::Baseline(baseline) => match outcome {
                Outcome::Answered => {
                    baseline.calls.remove(&id.seq);
                }
                Outcome::NotRun(_) | Outcome::Failed(_) => baseline.dispatch(id.seq),
            },
        }
    }

    pub(super) fn record_load(&mut self, now: Instant, endpoint: usize, report: LoadReport) {
        match self {
            Self::Router(entry) => entry.router.record_load(now, entry.keys[endpoint], report),
            Self::Baseline(baseline) => {
                baseline.reported_loads[endpoint] = report.running + report.queued;
            }
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        if let Self::Router(entry) = self {
            entry.router.tick(now);
        }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        match self {
            Self::Router(entry) => entry.router.next_due(),
            Self::Baseline(_) => None,
        }
    }

    pub(super) fn next_action(&mut self) -> Option<Action> {
        match self {
            Self::Baseline(baseline) => baseline.actions.pop_front(),
            Self::Router(entry) => Some(match entry.router.next_step()? {
                Step::Start { id, endpoint, .. } => Action::Start {
                    seq: id.seq,
                    endpoint: entry.indices[&endpoint],
                },
                Step::Cancel { id, endpoint } => Action::Cancel {
                    seq: id.seq,
                    endpoint: entry.indices[&endpoint],
                },
                Step::Refuse {
                    id, retry_after, ..
                } => Action::Refuse {
                    seq: id.seq,
                    retry_after,
                },
            }),
        }
    }
}

impl BaselineEntry {
    fn dispatch(&mut self, seq: u64) {
        let Some((prefix, attempts, _)) = self.calls.get_mut(&seq) else {
            return;
        };
        *attempts += 1;
        if *attempts > BASELINE_MAX_ATTEMPTS {
            self.calls.remove(&seq);
            let retry_after = Duration::from_secs(1);
            self.actions.push_back(Action::Refuse { seq, retry_after });
            return;
        }
        let (prefix, attempts) = (*prefix, *attempts);
        let endpoint = self.pick(prefix, attempts);
        self.actions.push_back(Action::Start { seq, endpoint });
    }

    fn pick(&mut self, prefix: Option<u64>, attempts: u32) -> usize {
        match (self.policy, prefix) {
            (Policy::Affinity, Some(prefix)) => {
                let hash = prefix.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
                let count = self.endpoints as u64;
                let index = (hash + u64::from(attempts)) % count;
                usize::try_from(index).unwrap_or(0)
            }
            (Policy::LeastReported, _) => {
                let least = self.reported_loads.iter().min().copied().unwrap_or(0);
                let ties = self
                    .reported_loads
                    .iter()
                    .filter(|load| **load == least)
                    .count();
                let nth = self.rng.random_range(0..ties);
                let mut least_loaded =
                    (0..self.endpoints).filter(|n| self.reported_loads[*n] == least);
                least_loaded.nth(nth).unwrap_or(0)
            }
            _ => {
                self.next_endpoint = (self.next_endpoint + 1) % self.endpoints;
                self.next_endpoint
            }
        }
    }
}

/// The outcome of a call that a full sidecar refuses.
pub(super) const SATURATED: Outcome = Outcome::NotRun(ErrorKind::Saturated);
/// The outcome of a refused connection.
pub(super) const ENDPOINT_DOWN: Outcome = Outcome::NotRun(ErrorKind::EndpointDown);
/// The outcome of a call whose endpoint crashes while running it.
pub(super) const ENDPOINT_BROKEN: Outcome = Outcome::Failed(ErrorKind::EndpointBroken);
