//! What a placement and a tick cost at 600 endpoints and 10,000 waiting calls,
//! and whether that depends on the number of services.

#![expect(missing_docs, reason = "criterion's macro makes a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use hibiscusroad::{
    Class, Incarnation, RequestId,
    route::{Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step},
};
use std::{
    collections::VecDeque,
    hint::black_box,
    time::{Duration, Instant},
};

const ENDPOINTS: usize = 600;
const WAITING: usize = 10_000;
const LIMIT: u32 = 8;
const CLASS: Class = Class::Interactive;
const TURNS: u32 = 500;
const PLACES: [&str; 3] = ["senec", "trnava", "piestany"];

/// A router with every slot taken and `WAITING` calls waiting.
struct World {
    now: Instant,
    router: Router,
    services: Vec<ServiceKey>,
    running: VecDeque<(RequestId, EndpointKey)>,
    seq: u64,
    arrived: u64,
    placed: u64,
    prefixes: bool,
}

impl World {
    fn new(services: usize, prefixes: bool) -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 1);
        let spec = ServiceSpec::new().max_queued(2 * WAITING);
        let services: Vec<ServiceKey> = (0..services)
            .map(|n| router.set_service(now, &format!("service-{n}"), spec.clone()))
            .collect();
        for n in 0..ENDPOINTS {
            let service = services[n % services.len()];
            let spec = EndpointSpec::new(&format!("endpoint-{n}"), PLACES[n % 3]).limit(LIMIT);
            router.add_endpoint(now, service, spec);
        }
        let mut world = Self {
            now,
            router,
            services,
            running: VecDeque::new(),
            seq: 0,
            arrived: 0,
            placed: 0,
            prefixes,
        };
        for _ in 0..ENDPOINTS * LIMIT as usize + WAITING {
            world.arrive();
        }
        world
    }

    fn arrive(&mut self) {
        self.seq += 1;
        self.arrived += 1;
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
        self.router.submit(self.now, call);
        self.drain();
    }

    fn drain(&mut self) {
        while let Some(step) = self.router.next_step() {
            if let Step::Start { id, endpoint, .. } = step {
                self.running.push_back((id, endpoint));
            }
            // A cancelled call waits again or is refused.
            match step {
                Step::Start { .. } | Step::Refuse { .. } => self.placed += 1,
                Step::Cancel { .. } => self.placed -= 1,
            }
        }
    }

    /// One call ends and one arrives: one placement out of the queue.
    fn turn(&mut self) {
        self.now += Duration::from_micros(100);
        if let Some((id, endpoint)) = self.running.pop_front() {
            self.router
                .finish(self.now, id, endpoint, Outcome::Answered);
        }
        self.arrive();
        // Limits move a little; what they let go is filled up again.
        while self.arrived < self.placed + WAITING as u64 {
            self.arrive();
        }
    }

    /// Times a tick that finds 50 ms of timers due, while calls end and arrive
    /// untimed before it, so that the queues stay as they are.
    fn tick(&mut self) -> Duration {
        for _ in 0..TURNS {
            self.turn();
        }
        self.now += Duration::from_millis(50);
        let start = Instant::now();
        self.router.tick(self.now);
        let took = start.elapsed();
        self.drain();
        took
    }

    /// Panics if the load is no longer the one that is to be measured.
    fn check(&self) {
        let waiting: usize = self
            .services
            .iter()
            .map(|s| self.router.queued(*s, CLASS))
            .sum();
        assert!(waiting > WAITING / 10 * 9, "{waiting} calls wait");
        let running = self.running.len();
        assert!(running > ENDPOINTS, "{running} calls run");
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
        let mut world = World::new(services, prefixes);
        c.bench_function(&format!("finish, arrive and place: {name}"), |b| {
            b.iter(|| world.turn());
        });
        world.check();
        black_box(&world.router);
    }
}

fn tick(c: &mut Criterion) {
    for services in [1, 10, 100] {
        let mut world = World::new(services, false);
        let name = format!("tick after 50 ms: {services} services");
        c.bench_function(&name, |b| {
            b.iter_custom(|count| (0..count).map(|_| world.tick()).sum());
        });
        world.check();
        black_box(&world.router);
    }
}

/// Takes a roster in, as a process does that starts.
///
/// Endpoint by endpoint, each with all points of the ring sorted again, 100 took 8.2 ms
/// and 1,000 took 956 ms; together and without the ring they take 0.03 and 0.28 ms, and
/// 10,000 take 3.3 ms.
fn roster(c: &mut Criterion) {
    let mut group = c.benchmark_group("take in a roster");
    group.sample_size(10);
    for count in [100, 1_000, 10_000] {
        group.bench_function(format!("{count} endpoints"), |b| {
            b.iter(|| black_box(taken(count)));
        });
    }
    group.finish();
}

fn taken(count: usize) -> Router {
    let now = Instant::now();
    let mut router = Router::new("senec", 1);
    let service = router.set_service(now, "service", ServiceSpec::new());
    let specs =
        (0..count).map(|n| EndpointSpec::new(&format!("endpoint-{n}"), PLACES[n % 3]).limit(LIMIT));
    router.add_endpoints(now, service, specs);
    router
}

criterion_group!(benches, placement, tick, roster);
criterion_main!(benches);
