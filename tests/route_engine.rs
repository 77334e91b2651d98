//! Batching engines are filled as fast as their own reports allow.

use hibiscusroad::{
    Class, Incarnation, RequestId,
    route::{Call, EndpointKey, EndpointSpec, LoadReport, Router, ServiceSpec, Step},
};
use std::time::{Duration, Instant};

const LIMIT: u32 = 64;

struct Scene {
    now: Instant,
    router: Router,
    engine: EndpointKey,
}

impl Scene {
    /// Sixty-four callers of an engine that can work on all of them at once.
    fn new() -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 1);
        let service = router.set_service(now, "guide-lm", ServiceSpec::new());
        let spec = EndpointSpec::new("guide-lm-1", "senec").limit(LIMIT);
        let engine = router.add_endpoint(now, service, spec);
        for seq in 0..u64::from(LIMIT) {
            let id = RequestId {
                origin: Incarnation(1),
                seq,
            };
            let deadline = now + Duration::from_mins(1);
            let call = Call::new(id, service, Class::Interactive, deadline).tokens(400);
            router.arrive(now, call);
        }
        Self {
            now,
            router,
            engine,
        }
    }

    fn starts(&mut self) -> u32 {
        let steps = std::iter::from_fn(|| self.router.next_step());
        let starts = steps.filter(|step| matches!(step, Step::Start { .. }));
        u32::try_from(starts.count()).unwrap()
    }

    fn report(&mut self, running: u32, queued: u32) -> u32 {
        self.now += Duration::from_millis(250);
        let report = LoadReport {
            running,
            queued,
            limit: LIMIT,
            cache_free: 10_000,
            ..LoadReport::default()
        };
        self.router.report(self.now, self.engine, report);
        self.starts()
    }
}

// The entry has just started and knows nothing of the engine. No call has ended
// yet, so only the engine's reports say that nothing waits in it. All callers
// are placed within three reports instead of after the first answers.
#[test]
fn an_engine_without_a_queue_is_filled_in_a_few_reports() {
    let mut scene = Scene::new();
    let mut running = scene.starts();
    assert!(running < LIMIT / 4, "{running} at once before any report");
    for _ in 0..3 {
        running += scene.report(running, 0);
    }
    assert_eq!(running, LIMIT);
}

// The same, but calls wait inside the engine: other entries fill it. Nothing
// more is sent on the strength of its reports.
#[test]
fn an_engine_with_a_queue_gets_no_more() {
    let mut scene = Scene::new();
    let running = scene.starts();
    for _ in 0..3 {
        assert_eq!(scene.report(LIMIT, 5), 0);
    }
    assert!(running < LIMIT / 4);
}
