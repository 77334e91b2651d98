//! The concurrency limit of batching engines follows their load reports.

use hibiscusroad::{
    Class, Incarnation, RequestId,
    route::{Call, EndpointKey, EndpointSpec, LoadReport, Router, ServiceSpec, Step},
};
use std::time::{Duration, Instant};

const ENGINE_LIMIT: u32 = 64;

struct Harness {
    now: Instant,
    router: Router,
    engine: EndpointKey,
}

impl Harness {
    /// Sends 64 calls to an engine that can run all of them at once.
    fn new() -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 1);
        let service = router.set_service(now, "guide-lm", ServiceSpec::new());
        let spec = EndpointSpec::new("guide-lm-1", "senec").limit(ENGINE_LIMIT);
        let engine = router.add_endpoint(now, service, spec);
        for seq in 0..u64::from(ENGINE_LIMIT) {
            let id = RequestId {
                origin: Incarnation(1),
                seq,
            };
            let deadline = now + Duration::from_mins(1);
            let call = Call::new(id, service, Class::Interactive, deadline).tokens(400);
            router.submit(now, call);
        }
        Self {
            now,
            router,
            engine,
        }
    }

    fn count_starts(&mut self) -> u32 {
        let steps = std::iter::from_fn(|| self.router.next_step());
        let starts = steps.filter(|step| matches!(step, Step::Start { .. }));
        u32::try_from(starts.count()).unwrap()
    }

    /// Reports a load and returns how many calls are started then.
    fn starts_after_report(&mut self, running: u32, queued: u32) -> u32 {
        self.now += Duration::from_millis(250);
        let report = LoadReport {
            running,
            queued,
            limit: ENGINE_LIMIT,
            cache_free: 10_000,
            ..LoadReport::default()
        };
        self.router.record_load(self.now, self.engine, report);
        self.count_starts()
    }
}

// Guards against a limit that grows only with answers, which take seconds: reports
// of an empty queue suffice.
#[test]
fn an_engine_without_a_queue_is_filled_in_a_few_reports() {
    let mut harness = Harness::new();
    let mut running = harness.count_starts();
    assert!(
        running < ENGINE_LIMIT / 4,
        "{running} at once before any report"
    );
    for _ in 0..3 {
        running += harness.starts_after_report(running, 0);
    }
    assert_eq!(running, ENGINE_LIMIT);
}

// Guards against filling an engine in which calls of other entries are queued.
#[test]
fn an_engine_with_a_queue_gets_no_more() {
    let mut harness = Harness::new();
    let running = harness.count_starts();
    for _ in 0..3 {
        assert_eq!(harness.starts_after_report(ENGINE_LIMIT, 5), 0);
    }
    assert!(running < ENGINE_LIMIT / 4);
}
