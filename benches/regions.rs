//! Benchmarks of the choice of an endpoint among 600 in eight data centres and two regions,
//! with free slots in the own region.

#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use hibiscusroad::{
    Class, Incarnation, RequestId,
    route::{Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step},
    topology::{RegionSet, Topology},
};
use std::{
    collections::{BTreeMap, VecDeque},
    hint::black_box,
    time::{Duration, Instant},
};

const ENDPOINTS: usize = 600;
const LIMIT: u32 = 8;
const DATA_CENTRES: [&str; 8] = [
    "senec", "trnava", "piestany", "nitra", "kosice", "presov", "poprad", "zilina",
];
/// Running calls: a third of the slots of the own region.
const RUNNING: usize = ENDPOINTS / 2 * LIMIT as usize / 3;

/// A router with free slots.
struct IdleRouter {
    now: Instant,
    router: Router,
    service: ServiceKey,
    running: VecDeque<(RequestId, EndpointKey)>,
    regions: RegionSet,
    seq: u64,
    prefixes: bool,
}

impl IdleRouter {
    fn new(router: Router, regions: RegionSet, prefixes: bool) -> Self {
        let (now, mut router) = (Instant::now(), router);
        let service = router.set_service(now, "service", ServiceSpec::new());
        let specs = (0..ENDPOINTS)
            .map(|n| EndpointSpec::new(&format!("endpoint-{n}"), DATA_CENTRES[n % 8]).limit(LIMIT));
        router.add_endpoints(now, service, specs);
        let mut idle = Self {
            now,
            router,
            service,
            running: VecDeque::new(),
            regions,
            seq: 0,
            prefixes,
        };
        for _ in 0..RUNNING {
            idle.submit();
        }
        idle
    }

    fn submit(&mut self) {
        self.seq += 1;
        let origin = Incarnation(1);
        let seq = self.seq;
        let deadline = self.now + Duration::from_mins(10);
        let id = RequestId { origin, seq };
        let mut call =
            Call::new(id, self.service, Class::Interactive, deadline).regions(self.regions);
        if self.prefixes {
            call = call.tokens(500).prefix(seq % 997);
        }
        self.router.submit(self.now, call);
        while let Some(step) = self.router.next_step() {
            if let Step::Start { id, endpoint, .. } = step {
                self.running.push_back((id, endpoint));
            }
        }
    }

    /// Finishes the oldest call, and places another.
    fn replace_call(&mut self) {
        self.now += Duration::from_micros(100);
        if let Some((id, endpoint)) = self.running.pop_front() {
            self.router
                .finish(self.now, id, endpoint, Outcome::Answered);
        }
        self.submit();
    }
}

fn topology() -> Topology {
    let region = |n: usize| if n < 4 { "zapad" } else { "vychod" };
    let named = DATA_CENTRES.iter().enumerate();
    let regions: BTreeMap<String, String> = named
        .map(|(n, name)| ((*name).to_owned(), region(n).to_owned()))
        .collect();
    Topology::new("senec", "zapad", &regions)
}

fn choice(c: &mut Criterion) {
    let allowed = topology().allowed(&["zapad".to_owned()]);
    let plain = || Router::new("senec", 1);
    let divided = || Router::new("senec", 1).topology(topology());
    for prefixes in [false, true] {
        let kind = if prefixes { "prefixes" } else { "plain" };
        for (name, router, regions) in [
            ("no regions", plain(), RegionSet::ALL),
            ("two regions", divided(), RegionSet::ALL),
            ("two regions, one allowed", divided(), allowed),
        ] {
            let mut idle = IdleRouter::new(router, regions, prefixes);
            c.bench_function(&format!("finish and place: {kind}, {name}"), |b| {
                b.iter(|| idle.replace_call());
            });
            assert!(idle.running.len() > RUNNING / 2, "calls are running");
            black_box(&idle.router);
        }
    }
}

criterion_group!(benches, choice);
criterion_main!(benches);
