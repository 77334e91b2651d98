//! Benchmarks of the router: placing a call and processing a tick with 600 endpoints and
//! 10,000 queued calls in one or more services, the same with client accounts, and adding
//! endpoints in bulk.

#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use hibiscusroad::{
    Class, Incarnation, RequestId,
    cold_start::Admission,
    contention::{Contention, Mode},
    route::{
        AccountKey, Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use std::{
    collections::VecDeque,
    hint::black_box,
    time::{Duration, Instant},
};

const ENDPOINTS: usize = 600;
const QUEUED_CALLS: usize = 10_000;
const ENDPOINT_LIMIT: u32 = 8;
const CLASS: Class = Class::Interactive;
const CALLS_PER_TICK: u32 = 500;
const DATA_CENTRES: [&str; 3] = ["senec", "trnava", "piestany"];

/// A saturated router with about `QUEUED_CALLS` queued calls.
struct LoadedRouter {
    now: Instant,
    router: Router,
    services: Vec<ServiceKey>,
    endpoints: Vec<EndpointKey>,
    running: VecDeque<(RequestId, EndpointKey)>,
    seq: u64,
    submitted: u64,
    placed: u64,
    prefixes: bool,
    /// Number of client accounts; 0 for none.
    accounts: u64,
}

impl LoadedRouter {
    fn new(services: usize, prefixes: bool, accounts: u64) -> Self {
        let now = Instant::now();
        let mode = if accounts > 0 { Mode::On } else { Mode::Off };
        let mut router = Router::new("senec", 1).contention(Contention::new(mode, false));
        let spec = ServiceSpec::new().max_queued(2 * QUEUED_CALLS);
        let services: Vec<ServiceKey> = (0..services)
            .map(|n| router.set_service(now, &format!("service-{n}"), spec.clone()))
            .collect();
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            let service = services[n % services.len()];
            let spec = EndpointSpec::new(&format!("endpoint-{n}"), DATA_CENTRES[n % 3])
                .limit(ENDPOINT_LIMIT);
            endpoints.push(router.add_endpoint(now, service, spec));
        }
        let mut loaded = Self {
            now,
            router,
            services,
            endpoints,
            running: VecDeque::new(),
            seq: 0,
            submitted: 0,
            placed: 0,
            prefixes,
            accounts,
        };
        for _ in 0..ENDPOINTS * ENDPOINT_LIMIT as usize + QUEUED_CALLS {
            loaded.submit();
        }
        loaded
    }

    /// Makes endpoints cold that admit no call.
    fn set_cold(&mut self, count: usize) {
        let admission = Admission {
            is_cold: true,
            calls: Some(0),
            items: Some(0),
            opens_at: None,
        };
        for key in self.endpoints.iter().take(count) {
            self.router.set_admission(self.now, *key, admission);
        }
    }

    fn submit(&mut self) {
        self.seq += 1;
        self.submitted += 1;
        let service = self.services[usize::try_from(self.seq).unwrap_or(0) % self.services.len()];
        let origin = Incarnation(1);
        let id = RequestId {
            origin,
            seq: self.seq,
        };
        let deadline = self.now + Duration::from_mins(10);
        let mut call = Call::new(id, service, CLASS, deadline);
        if self.prefixes {
            call = call.tokens(500).prefix(self.seq % 997);
        }
        if self.accounts > 0 {
            let name = format!("account-{}", self.seq % self.accounts);
            call = call.account(AccountKey::new(Some(&name), 0));
        }
        self.router.submit(self.now, call);
        self.apply_steps();
    }

    fn apply_steps(&mut self) {
        while let Some(step) = self.router.next_step() {
            if let Step::Start { id, endpoint, .. } = step {
                self.running.push_back((id, endpoint));
            }
            // A cancelled call is queued again or refused.
            match step {
                Step::Start { .. } | Step::Refuse { .. } => self.placed += 1,
                Step::Cancel { .. } => self.placed -= 1,
            }
        }
    }

    /// Finishes a call and submits another, so that one queued call is placed.
    fn replace_call(&mut self) {
        self.now += Duration::from_micros(100);
        if let Some((id, endpoint)) = self.running.pop_front() {
            self.router
                .finish(self.now, id, endpoint, Outcome::Answered);
        }
        self.submit();
        // Changes of the concurrency limits drain the queue; refill it.
        while self.submitted < self.placed + QUEUED_CALLS as u64 {
            self.submit();
        }
    }

    /// Returns the duration of a tick 50 ms after calls have finished and been replaced.
    fn tick(&mut self) -> Duration {
        for _ in 0..CALLS_PER_TICK {
            self.replace_call();
        }
        self.now += Duration::from_millis(50);
        let start = Instant::now();
        self.router.tick(self.now);
        let elapsed = start.elapsed();
        self.apply_steps();
        elapsed
    }

    /// Checks that the router is still saturated.
    ///
    /// # Panics
    ///
    /// Panics if too few calls are queued or running.
    fn assert_saturated(&self) {
        let queued: usize = self
            .services
            .iter()
            .map(|s| self.router.queued(*s, CLASS))
            .sum();
        assert!(queued > QUEUED_CALLS / 10 * 9, "{queued} calls are queued");
        let running = self.running.len();
        assert!(running > ENDPOINTS, "{running} calls are running");
    }
}

fn placement(c: &mut Criterion) {
    for (name, services, prefixes) in [
        ("plain, 1 service", 1, false),
        ("plain, 10 services", 10, false),
        ("plain, 100 services", 100, false),
        ("prefixes, 1 service", 1, true),
        ("prefixes, 100 services", 100, true),
    ] {
        let mut loaded = LoadedRouter::new(services, prefixes, 0);
        c.bench_function(&format!("finish, arrive and place: {name}"), |b| {
            b.iter(|| loaded.replace_call());
        });
        loaded.assert_saturated();
        black_box(&loaded.router);
    }
}

/// Measures a finished call, the admission of another and the choice of the next one, with
/// accounts. The time grows with the number of accounts that wait.
fn placement_with_accounts(c: &mut Criterion) {
    for accounts in [10, 100, 1_000] {
        let mut loaded = LoadedRouter::new(1, false, accounts);
        let name = format!("finish, arrive and place: {accounts} accounts");
        c.bench_function(&name, |b| b.iter(|| loaded.replace_call()));
        loaded.assert_saturated();
        black_box(&loaded.router);
    }
}

/// Measures the same with a tenth of the endpoints cold, which get what the others have no
/// room for.
fn placement_with_cold_endpoints(c: &mut Criterion) {
    let mut loaded = LoadedRouter::new(1, false, 0);
    loaded.set_cold(ENDPOINTS / 10);
    c.bench_function("finish, arrive and place: 60 cold", |b| {
        b.iter(|| loaded.replace_call());
    });
    loaded.assert_saturated();
    black_box(&loaded.router);
}

fn tick(c: &mut Criterion) {
    for services in [1, 10, 100] {
        let mut loaded = LoadedRouter::new(services, false, 0);
        let name = format!("tick after 50 ms: {services} services");
        c.bench_function(&name, |b| {
            b.iter_custom(|count| (0..count).map(|_| loaded.tick()).sum());
        });
        loaded.assert_saturated();
        black_box(&loaded.router);
    }
}

/// Measures adding the endpoints of a service in bulk, as at the start of a process.
fn add_endpoints_in_bulk(c: &mut Criterion) {
    let mut group = c.benchmark_group("take in a roster");
    group.sample_size(10);
    for count in [100, 1_000, 10_000] {
        group.bench_function(format!("{count} endpoints"), |b| {
            b.iter(|| black_box(build_router(count)));
        });
    }
    group.finish();
}

fn build_router(count: usize) -> Router {
    let now = Instant::now();
    let mut router = Router::new("senec", 1);
    let service = router.set_service(now, "service", ServiceSpec::new());
    let specs = (0..count).map(|n| {
        EndpointSpec::new(&format!("endpoint-{n}"), DATA_CENTRES[n % 3]).limit(ENDPOINT_LIMIT)
    });
    router.add_endpoints(now, service, specs);
    router
}

criterion_group!(
    benches,
    placement,
    placement_with_accounts,
    placement_with_cold_endpoints,
    tick,
    add_endpoints_in_bulk
);
criterion_main!(benches);
