//! Placement, ejection and hedging.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, Repeat, RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(40);

struct Harness {
    now: Instant,
    router: Router,
    service: ServiceKey,
    seq: u64,
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 5);
        let service = router.set_service(now, "guide-lm", ServiceSpec::new());
        Self {
            now,
            router,
            service,
            seq: 0,
        }
    }

    fn endpoint(&mut self, name: &str, data_centre: &str, limit: u32) -> EndpointKey {
        let spec = EndpointSpec::new(name, data_centre).limit(limit);
        self.router.add_endpoint(self.now, self.service, spec)
    }

    fn call(&mut self) -> Call {
        self.seq += 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        let deadline = self.now + Duration::from_secs(5);
        Call::new(id, self.service, Class::Interactive, deadline)
    }

    /// Submits a call and returns where it starts.
    fn submit(&mut self, call: Call) -> Option<EndpointKey> {
        self.router.submit(self.now, call);
        self.next_start().map(|(_, endpoint)| endpoint)
    }

    fn next_start(&mut self) -> Option<(RequestId, EndpointKey)> {
        let steps = std::iter::from_fn(|| self.router.next_step());
        let steps: Vec<Step> = steps.collect();
        steps.iter().find_map(|step| match step {
            Step::Start { id, endpoint, .. } => Some((*id, *endpoint)),
            _ => None,
        })
    }

    /// Runs calls one after the other, so that the router learns their service
    /// time. They take ten times as long at `slow`.
    fn answer_calls(&mut self, calls: usize, slow: Option<EndpointKey>) {
        for _ in 0..calls {
            let call = self.call();
            let endpoint = self.submit(call).expect("an endpoint is free");
            let factor = if slow == Some(endpoint) { 10 } else { 1 };
            self.advance(SERVICE_TIME * factor);
            self.router
                .finish(self.now, call.id, endpoint, Outcome::Answered);
            while self.next_start().is_some() {}
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.router.tick(self.now);
    }

    fn limit(&self, endpoint: EndpointKey) -> u32 {
        self.router.load(endpoint).expect("it is known").1
    }
}

/// Guards against calls to another data centre while there is room in the own.
#[test]
fn endpoints_in_the_same_data_centre_come_first() {
    let mut harness = Harness::new();
    let near = harness.endpoint("near", "senec", 4);
    let far = harness.endpoint("far", "trnava", 4);
    let call = harness.call();
    assert_eq!(harness.submit(call), Some(near));
    let mut last = near;
    for _ in 0..5 {
        let call = harness.call();
        last = harness.submit(call).expect("an endpoint is free");
    }
    assert_eq!(last, far);
}

/// Guards against overfilling an engine's cache memory while it has free slots.
#[test]
fn cache_memory_limits_an_engine() {
    let mut harness = Harness::new();
    let spec = EndpointSpec::new("engine", "senec").cache_tokens(1000);
    let engine = harness
        .router
        .add_endpoint(harness.now, harness.service, spec);
    let first = harness.call().tokens(800);
    assert_eq!(harness.submit(first), Some(engine));
    let second = harness.call().tokens(800);
    assert_eq!(harness.submit(second), None);
    let now = harness.now + SERVICE_TIME;
    harness
        .router
        .finish(now, first.id, engine, Outcome::Answered);
    assert_eq!(harness.next_start(), Some((second.id, engine)));
}

/// Guards against using reported free cache memory twice: prompts sent since the
/// report count against it.
#[test]
fn reported_cache_memory_limits_an_engine() {
    let mut harness = Harness::new();
    let engine = harness.endpoint("engine", "senec", 8);
    let first = harness.call().tokens(100);
    assert_eq!(harness.submit(first), Some(engine));
    let report = LoadReport {
        running: 1,
        cache_free: 500,
        ..LoadReport::default()
    };
    harness.router.record_load(harness.now, engine, report);
    let second = harness.call().tokens(400);
    assert_eq!(harness.submit(second), Some(engine));
    let third = harness.call().tokens(400);
    assert_eq!(harness.submit(third), None);
}

/// Guards against entries that cache the same prefix at different engines.
#[test]
fn a_prefix_goes_to_the_same_engine_from_every_entry() {
    let mut first = None;
    for seed in 0..4 {
        let now = Instant::now();
        let mut router = Router::new("senec", seed);
        let service = router.set_service(now, "guide-lm", ServiceSpec::new());
        let keys: Vec<EndpointKey> = ["a", "b", "c", "d"]
            .map(|name| router.add_endpoint(now, service, EndpointSpec::new(name, "senec")))
            .into();
        let id = RequestId::default();
        let deadline = now + Duration::from_secs(5);
        router.submit(
            now,
            Call::new(id, service, Class::Interactive, deadline).prefix(7),
        );
        let Some(Step::Start { endpoint, .. }) = router.next_step() else {
            panic!("it starts");
        };
        let position = keys.iter().position(|key| *key == endpoint);
        assert_eq!(*first.get_or_insert(position), position);
    }
}

/// Guards against sending again to an endpoint whose sidecar has just refused a
/// call for lack of room.
#[test]
fn a_full_endpoint_gets_no_calls_for_a_moment() {
    let mut harness = Harness::new();
    let full = harness.endpoint("full", "senec", 8);
    let call = harness.call();
    assert_eq!(harness.submit(call), Some(full));
    let other = harness.endpoint("other", "senec", 8);
    let outcome = Outcome::NotRun(ErrorKind::Saturated);
    harness.router.finish(harness.now, call.id, full, outcome);
    assert_eq!(harness.next_start(), Some((call.id, other)));
    for _ in 0..4 {
        let call = harness.call();
        assert_eq!(harness.submit(call), Some(other));
    }
    assert_eq!(harness.limit(full), 1);
}

/// Guards against sending to an endpoint that is ten times slower than its peers,
/// beyond single trial calls.
#[test]
fn a_slow_endpoint_stays_ejected_after_a_slow_trial() {
    let mut harness = Harness::new();
    let keys = ["a", "b", "c", "d"].map(|name| harness.endpoint(name, "senec", 8));
    harness.answer_calls(100, None);
    harness.answer_calls(60, Some(keys[0]));
    assert_eq!(harness.limit(keys[0]), 0);
    harness.advance(Duration::from_secs(30));
    let call = harness.call();
    assert_eq!(harness.submit(call), Some(keys[0]));
    harness.advance(SERVICE_TIME * 10);
    let outcome = Outcome::Answered;
    harness
        .router
        .finish(harness.now, call.id, keys[0], outcome);
    assert_eq!(harness.limit(keys[0]), 0);
}

/// Guards against keeping a recovered endpoint ejected, and against filling it at
/// once.
#[test]
fn a_recovered_endpoint_restarts_with_a_limit_of_one() {
    let mut harness = Harness::new();
    let keys = ["a", "b", "c", "d"].map(|name| harness.endpoint(name, "senec", 8));
    harness.answer_calls(100, None);
    harness.answer_calls(60, Some(keys[0]));
    assert_eq!(harness.limit(keys[0]), 0);
    harness.advance(Duration::from_secs(30));
    let call = harness.call();
    assert_eq!(harness.submit(call), Some(keys[0]));
    harness.advance(SERVICE_TIME);
    let outcome = Outcome::Answered;
    harness
        .router
        .finish(harness.now, call.id, keys[0], outcome);
    assert_eq!(harness.limit(keys[0]), 1);
}

/// Guards against waiting for a stuck endpoint, and against hedging non-repeatable
/// calls.
#[test]
fn silence_triggers_a_hedge_of_repeatable_calls_only() {
    for repeat in [Repeat::Idempotent, Repeat::Once] {
        let mut harness = Harness::new();
        harness.endpoint("a", "senec", 8);
        harness.endpoint("b", "senec", 8);
        harness.answer_calls(100, None);
        let call = harness.call().repeat(repeat);
        let first = harness.submit(call).expect("an endpoint is free");
        harness.advance(SERVICE_TIME * 2);
        let second = harness.next_start();
        if repeat == Repeat::Once {
            assert_eq!(second, None);
            continue;
        }
        let (_, second) = second.expect("a hedge starts");
        assert_ne!(first, second);
        harness
            .router
            .finish(harness.now, call.id, second, Outcome::Answered);
        let cancel = Step::Cancel {
            id: call.id,
            endpoint: first,
        };
        assert_eq!(harness.router.next_step(), Some(cancel));
    }
}

// Guards against a call that breaks two endpoints at once.
#[test]
fn call_that_may_have_broken_an_endpoint_is_not_hedged() {
    for alone in [true, false] {
        let mut harness = Harness::new();
        for name in ["a", "b", "c"] {
            harness.endpoint(name, "senec", 8);
        }
        harness.answer_calls(100, None);
        let call = harness.call().no_hedge(alone);
        let first = harness.submit(call).expect("an endpoint is free");
        if !alone {
            let broken = Outcome::Failed(ErrorKind::EndpointBroken);
            harness.router.finish(harness.now, call.id, first, broken);
            let (_, second) = harness.next_start().expect("it is tried again");
            assert_ne!(first, second);
        }
        harness.advance(SERVICE_TIME * 3);
        let steps = std::iter::from_fn(|| harness.router.next_step());
        let hedges = steps.filter(|step| matches!(step, Step::Start { hedge: true, .. }));
        assert_eq!(hedges.count(), 0);
    }
}

/// Guards against doubling the ejection time for each call that was in flight when
/// the endpoint was ejected.
#[test]
fn late_refusals_do_not_extend_the_ejection() {
    let mut harness = Harness::new();
    let unreachable = harness.endpoint("gone", "senec", 8);
    let calls: Vec<Call> = (0..8).map(|_| harness.call()).collect();
    for call in &calls {
        assert_eq!(harness.submit(*call), Some(unreachable));
    }
    harness.endpoint("other", "senec", 64);
    for call in &calls {
        let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
        harness
            .router
            .finish(harness.now, call.id, unreachable, outcome);
        while harness.next_start().is_some() {}
    }
    assert_eq!(harness.limit(unreachable), 0);
    harness.advance(Duration::from_millis(1100));
    let call = harness.call();
    assert_eq!(harness.submit(call), Some(unreachable));
}

/// Guards against ejecting all endpoints when the fault is not theirs.
#[test]
fn at_most_half_of_the_endpoints_are_ejected() {
    let mut harness = Harness::new();
    let keys = ["a", "b", "c", "d"].map(|name| harness.endpoint(name, "senec", 8));
    for _ in 0..200 {
        let call = harness.call().repeat(Repeat::Once);
        if let Some(endpoint) = harness.submit(call) {
            let outcome = Outcome::Failed(ErrorKind::EndpointBroken);
            harness
                .router
                .finish(harness.now, call.id, endpoint, outcome);
            while harness.next_start().is_some() {}
        }
    }
    let ejected = keys.iter().filter(|key| harness.limit(**key) == 0).count();
    assert_eq!(ejected, 2);
}

// Guards against a bulk insertion that chooses another subset or another order of
// endpoints for a prefix.
#[test]
fn endpoints_added_together_are_placed_as_if_added_one_by_one() {
    let now = Instant::now();
    let spec = |n: usize| {
        let data_centre = if n.is_multiple_of(2) {
            "senec"
        } else {
            "trnava"
        };
        EndpointSpec::new(&format!("endpoint-{n}"), data_centre).limit(1)
    };
    let placements = |together: bool| {
        let mut router = Router::new("senec", 7);
        let service = router.set_service(now, "service", ServiceSpec::new());
        let keys: Vec<EndpointKey> = if together {
            router.add_endpoints(now, service, (0..200).map(spec))
        } else {
            (0..200)
                .map(|n| router.add_endpoint(now, service, spec(n)))
                .collect()
        };
        let mut endpoints = Vec::new();
        for seq in 0..150 {
            let origin = Incarnation(1);
            let id = RequestId { origin, seq };
            let deadline = now + Duration::from_secs(10);
            let call = Call::new(id, service, Class::Interactive, deadline).prefix(seq % 9);
            router.submit(now, call);
            while let Some(step) = router.next_step() {
                if let Step::Start { endpoint, .. } = step {
                    endpoints.push(keys.iter().position(|key| *key == endpoint));
                }
            }
        }
        endpoints
    };
    let (mut together, mut one_by_one) = (placements(true), placements(false));
    assert!(together.len() > 100);
    // Only the first calls find room at their prefixes' endpoints; later ones are placed
    // at random.
    assert_eq!(together[..50], one_by_one[..50]);
    together.sort_unstable();
    one_by_one.sort_unstable();
    assert_eq!(together, one_by_one);
}
