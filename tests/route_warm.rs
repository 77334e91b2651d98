//! Placement of calls on endpoints to which there are idle connections.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const SERVICE_TIME: Duration = Duration::from_millis(25);
/// How long an idle connection is kept.
const IDLE_TTL: Duration = Duration::from_secs(8);
const SLOTS: u32 = 6;

/// An entry that keeps connections to the endpoints that answered.
struct Entry {
    now: Instant,
    router: Router,
    service: ServiceKey,
    seq: u64,
    /// When the idle connection to each endpoint ends.
    idle: HashMap<EndpointKey, Instant>,
    opened: usize,
}

impl Entry {
    /// Creates an entry before `endpoints` endpoints in its data centre.
    fn new(seed: u64, endpoints: usize) -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", seed);
        let service = router.set_service(now, "hut-desk", ServiceSpec::new());
        let specs =
            (0..endpoints).map(|n| EndpointSpec::new(&format!("desk-{n}"), "senec").limit(SLOTS));
        router.add_endpoints(now, service, specs);
        Self {
            now,
            router,
            service,
            seq: 0,
            idle: HashMap::new(),
            opened: 0,
        }
    }

    /// Starts a call and returns its ID and endpoint.
    fn start(&mut self) -> (RequestId, EndpointKey) {
        self.seq += 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        let deadline = self.now + Duration::from_millis(800);
        let call = Call::new(id, self.service, Class::Interactive, deadline);
        self.router.submit(self.now, call);
        let steps = std::iter::from_fn(|| self.router.next_step());
        let mut starts = steps.filter_map(|step| match step {
            Step::Start { id, endpoint, .. } => Some((id, endpoint)),
            _ => None,
        });
        let (_, endpoint) = starts
            .find(|(started, _)| *started == id)
            .expect("the call starts");
        let idle = self.idle.remove(&endpoint);
        self.opened += usize::from(idle.is_none_or(|end| end <= self.now));
        (id, endpoint)
    }

    fn answer(&mut self, (id, endpoint): (RequestId, EndpointKey)) {
        self.router
            .finish(self.now, id, endpoint, Outcome::Answered);
        let end = self.now + IDLE_TTL;
        self.idle.insert(endpoint, end);
        self.router.record_idle_connection(endpoint, end);
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.router.tick(self.now);
    }

    /// Runs calls one after the other with a pause between them; returns their endpoints.
    fn run(&mut self, calls: usize, pause: Duration) -> Vec<EndpointKey> {
        let mut endpoints = Vec::new();
        for _ in 0..calls {
            let started = self.start();
            endpoints.push(started.1);
            self.advance(SERVICE_TIME);
            self.answer(started);
            self.advance(pause);
        }
        endpoints
    }
}

// Guards against a connection for nearly every call where each of many entries has few
// calls and there are many endpoints.
#[test]
fn entry_with_few_calls_reuses_its_connections() {
    for endpoints in [6, 30, 60] {
        for seed in 0..20 {
            let mut entry = Entry::new(seed, endpoints);
            entry.run(40, Duration::from_secs(2));
            assert!(entry.opened <= 4, "{} of 40, {endpoints}", entry.opened);
        }
    }
}

// Guards against endpoints that many entries prefer together.
#[test]
fn entries_spread_over_the_endpoints() {
    let mut counts: HashMap<EndpointKey, usize> = HashMap::new();
    for seed in 0..600 {
        let mut entry = Entry::new(seed, 30);
        for endpoint in entry.run(10, Duration::from_secs(2)) {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap();
    assert_eq!(counts.len(), 30);
    assert!(most <= 400, "{most} calls at one endpoint, 200 in the mean");
}

// Guards against an endpoint that is preferred although others have less load.
#[test]
fn loaded_endpoint_is_not_preferred() {
    let mut entry = Entry::new(1, 10);
    let preferred = entry.run(3, Duration::from_secs(1))[2];
    let first = entry.start();
    assert_eq!(first.1, preferred);
    assert_ne!(entry.start().1, preferred, "it runs a call of this entry");
    entry.answer(first);
    let report = LoadReport {
        running: 4,
        limit: SLOTS,
        ..LoadReport::default()
    };
    entry.router.record_load(entry.now, preferred, report);
    assert_ne!(entry.start().1, preferred, "it runs calls of other entries");
}

// Guards against an endpoint that stays preferred after it has failed, refused a call or
// left.
#[test]
fn endpoint_that_failed_is_not_preferred() {
    let outcomes = [
        Outcome::Failed(ErrorKind::EndpointBroken),
        Outcome::NotRun(ErrorKind::Saturated),
    ];
    for outcome in outcomes {
        let mut entry = Entry::new(2, 10);
        let preferred = entry.run(3, Duration::from_secs(1))[2];
        let (id, endpoint) = entry.start();
        assert_eq!(endpoint, preferred);
        entry.router.finish(entry.now, id, endpoint, outcome);
        entry.advance(Duration::from_secs(1));
        assert_ne!(entry.start().1, preferred, "{outcome:?}");
    }
    let mut entry = Entry::new(2, 10);
    let preferred = entry.run(3, Duration::from_secs(1))[2];
    entry.router.set_accepting(entry.now, preferred, false);
    assert_ne!(entry.start().1, preferred);
}
