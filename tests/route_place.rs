//! Where calls go, where they don't, and when they go elsewhere.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, Repeat, RequestId,
    route::{
        Call, EndpointKey, EndpointSpec, LoadReport, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use std::time::{Duration, Instant};

const WORK: Duration = Duration::from_millis(40);

struct World {
    now: Instant,
    router: Router,
    service: ServiceKey,
    seq: u64,
}

impl World {
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

    fn endpoint(&mut self, name: &str, place: &str, limit: u32) -> EndpointKey {
        let spec = EndpointSpec::new(name, place).limit(limit);
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

    /// Lets a call arrive and returns where it starts.
    fn place(&mut self, call: Call) -> Option<EndpointKey> {
        self.router.arrive(self.now, call);
        self.started().map(|(_, endpoint)| endpoint)
    }

    fn started(&mut self) -> Option<(RequestId, EndpointKey)> {
        let steps = std::iter::from_fn(|| self.router.next_step());
        let steps: Vec<Step> = steps.collect();
        steps.iter().find_map(|step| match step {
            Step::Start { id, endpoint, .. } => Some((*id, *endpoint)),
            _ => None,
        })
    }

    /// Lets calls be answered one after the other, to learn what they take.
    fn learn(&mut self, calls: usize, slow: Option<EndpointKey>) {
        for _ in 0..calls {
            let call = self.call();
            let endpoint = self.place(call).expect("an endpoint is free");
            let factor = if slow == Some(endpoint) { 10 } else { 1 };
            self.pass(WORK * factor);
            self.router
                .finish(self.now, call.id, endpoint, Outcome::Answered);
            while self.started().is_some() {}
        }
    }

    fn pass(&mut self, by: Duration) {
        self.now += by;
        self.router.tick(self.now);
    }

    fn limit(&self, endpoint: EndpointKey) -> u32 {
        self.router.load(endpoint).expect("it is known").1
    }
}

/// The entry's own place is nearer; another one is used when it is full.
#[test]
fn the_same_place_comes_first() {
    let mut world = World::new();
    let near = world.endpoint("near", "senec", 4);
    let far = world.endpoint("far", "trnava", 4);
    let call = world.call();
    assert_eq!(world.place(call), Some(near));
    let mut last = near;
    for _ in 0..5 {
        let call = world.call();
        last = world.place(call).expect("an endpoint is free");
    }
    assert_eq!(last, far);
}

/// An engine's cache memory is limited by tokens. A prompt that doesn't fit
/// waits for one that ends, though the engine has slots left.
#[test]
fn tokens_limit_an_engine() {
    let mut world = World::new();
    let spec = EndpointSpec::new("engine", "senec").tokens(1000);
    let engine = world.router.add_endpoint(world.now, world.service, spec);
    let first = world.call().tokens(800);
    assert_eq!(world.place(first), Some(engine));
    let second = world.call().tokens(800);
    assert_eq!(world.place(second), None);
    let now = world.now + WORK;
    world
        .router
        .finish(now, first.id, engine, Outcome::Answered);
    assert_eq!(world.started(), Some((second.id, engine)));
}

/// An engine reports how much cache memory it has left. Prompts that were sent
/// since the report count against it.
#[test]
fn reported_cache_memory_limits_an_engine() {
    let mut world = World::new();
    let engine = world.endpoint("engine", "senec", 8);
    let first = world.call().tokens(100);
    assert_eq!(world.place(first), Some(engine));
    let report = LoadReport {
        running: 1,
        cache_free: 500,
        ..LoadReport::default()
    };
    world.router.report(world.now, engine, report);
    let second = world.call().tokens(400);
    assert_eq!(world.place(second), Some(engine));
    let third = world.call().tokens(400);
    assert_eq!(world.place(third), None);
}

/// The same prompt goes to the engine that has it cached, from every entry.
#[test]
fn a_prefix_keeps_its_engine() {
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
        router.arrive(
            now,
            Call::new(id, service, Class::Interactive, deadline).prefix(7),
        );
        let Some(Step::Start { endpoint, .. }) = router.next_step() else {
            panic!("it starts");
        };
        let place = keys.iter().position(|key| *key == endpoint);
        assert_eq!(*first.get_or_insert(place), place);
    }
}

/// The endpoint's side has no room, because other entries filled it. The call
/// goes elsewhere at once, and nothing is sent there for a moment.
#[test]
fn a_full_side_is_left_alone_for_a_moment() {
    let mut world = World::new();
    let full = world.endpoint("full", "senec", 8);
    let call = world.call();
    assert_eq!(world.place(call), Some(full));
    let other = world.endpoint("other", "senec", 8);
    let outcome = Outcome::NotRun(ErrorKind::Saturated);
    world.router.finish(world.now, call.id, full, outcome);
    assert_eq!(world.started(), Some((call.id, other)));
    for _ in 0..4 {
        let call = world.call();
        assert_eq!(world.place(call), Some(other));
    }
    assert_eq!(world.limit(full), 1);
}

/// One of four endpoints answers ten times as slowly. It gets no more calls
/// for a second, then one to try it, and none again as that one is slow, too.
#[test]
fn a_slow_endpoint_is_ejected_and_tried() {
    let mut world = World::new();
    let keys = ["a", "b", "c", "d"].map(|name| world.endpoint(name, "senec", 8));
    world.learn(100, None);
    world.learn(60, Some(keys[0]));
    assert_eq!(world.limit(keys[0]), 0);
    world.pass(Duration::from_secs(30));
    let call = world.call();
    assert_eq!(world.place(call), Some(keys[0]));
    world.pass(WORK * 10);
    let finish = Outcome::Answered;
    world.router.finish(world.now, call.id, keys[0], finish);
    assert_eq!(world.limit(keys[0]), 0);
}

/// An ejected endpoint has recovered. The call that tries it is answered like
/// those of its peers, and it begins again with little.
#[test]
fn a_recovered_endpoint_begins_with_one_call() {
    let mut world = World::new();
    let keys = ["a", "b", "c", "d"].map(|name| world.endpoint(name, "senec", 8));
    world.learn(100, None);
    world.learn(60, Some(keys[0]));
    assert_eq!(world.limit(keys[0]), 0);
    world.pass(Duration::from_secs(30));
    let call = world.call();
    assert_eq!(world.place(call), Some(keys[0]));
    world.pass(WORK);
    let finish = Outcome::Answered;
    world.router.finish(world.now, call.id, keys[0], finish);
    assert_eq!(world.limit(keys[0]), 1);
}

/// An endpoint takes a call and says nothing. A second attempt starts at
/// another one, whose answer counts, and the first is cancelled. A call that
/// runs at most once gets no second attempt.
#[test]
fn silence_starts_a_hedge_of_what_may_be_repeated() {
    for repeat in [Repeat::Idempotent, Repeat::Once] {
        let mut world = World::new();
        world.endpoint("a", "senec", 8);
        world.endpoint("b", "senec", 8);
        world.learn(100, None);
        let call = world.call().repeat(repeat);
        let first = world.place(call).expect("an endpoint is free");
        world.pass(WORK * 2);
        let second = world.started();
        if repeat == Repeat::Once {
            assert_eq!(second, None);
            continue;
        }
        let (_, second) = second.expect("a hedge starts");
        assert_ne!(first, second);
        world
            .router
            .finish(world.now, call.id, second, Outcome::Answered);
        let cancel = Step::Cancel {
            id: call.id,
            endpoint: first,
        };
        assert_eq!(world.router.next_step(), Some(cancel));
    }
}

// Guards against a call that breaks two endpoints at once.
#[test]
fn call_that_may_have_broken_an_endpoint_is_not_hedged() {
    for alone in [true, false] {
        let mut world = World::new();
        for name in ["a", "b", "c"] {
            world.endpoint(name, "senec", 8);
        }
        world.learn(100, None);
        let call = world.call().alone(alone);
        let first = world.place(call).expect("an endpoint is free");
        if !alone {
            let broken = Outcome::Failed(ErrorKind::EndpointBroken);
            world.router.finish(world.now, call.id, first, broken);
            let (_, second) = world.started().expect("it is tried again");
            assert_ne!(first, second);
        }
        world.pass(WORK * 3);
        let steps = std::iter::from_fn(|| world.router.next_step());
        let hedges = steps.filter(|step| matches!(step, Step::Start { hedge: true, .. }));
        assert_eq!(hedges.count(), 0);
    }
}

/// An endpoint refuses connections while ten calls are on their way to it. It is
/// tried again after one pause, not after ten that double each time.
#[test]
fn late_refusals_do_not_lengthen_the_pause() {
    let mut world = World::new();
    let gone = world.endpoint("gone", "senec", 8);
    let calls: Vec<Call> = (0..8).map(|_| world.call()).collect();
    for call in &calls {
        assert_eq!(world.place(*call), Some(gone));
    }
    world.endpoint("other", "senec", 64);
    for call in &calls {
        let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
        world.router.finish(world.now, call.id, gone, outcome);
        while world.started().is_some() {}
    }
    assert_eq!(world.limit(gone), 0);
    world.pass(Duration::from_millis(1100));
    let call = world.call();
    assert_eq!(world.place(call), Some(gone));
}

/// All endpoints of a service fail every call. That is hardly the fault
/// of one of them: at most half are ejected, and callers are still answered.
#[test]
fn at_most_half_are_ejected() {
    let mut world = World::new();
    let keys = ["a", "b", "c", "d"].map(|name| world.endpoint(name, "senec", 8));
    for _ in 0..200 {
        let call = world.call().repeat(Repeat::Once);
        if let Some(endpoint) = world.place(call) {
            let outcome = Outcome::Failed(ErrorKind::EndpointBroken);
            world.router.finish(world.now, call.id, endpoint, outcome);
            while world.started().is_some() {}
        }
    }
    let out = keys.iter().filter(|key| world.limit(**key) == 0).count();
    assert_eq!(out, 2);
}

// A process starts before a thousand endpoints. They are taken in together, and a call
// that comes then is placed as if they had come one by one: the same subset, and for a
// prompt's prefix the same endpoints.
#[test]
fn endpoints_that_come_together_are_placed_as_one_by_one() {
    let now = Instant::now();
    let spec = |n: usize| {
        let place = if n.is_multiple_of(2) {
            "senec"
        } else {
            "trnava"
        };
        EndpointSpec::new(&format!("endpoint-{n}"), place).limit(1)
    };
    let placed = |together: bool| {
        let mut router = Router::new("senec", 7);
        let service = router.set_service(now, "service", ServiceSpec::new());
        let keys: Vec<EndpointKey> = if together {
            router.add_endpoints(now, service, (0..200).map(spec))
        } else {
            (0..200)
                .map(|n| router.add_endpoint(now, service, spec(n)))
                .collect()
        };
        let mut found = Vec::new();
        for seq in 0..150 {
            let origin = Incarnation(1);
            let id = RequestId { origin, seq };
            let deadline = now + Duration::from_secs(10);
            let call = Call::new(id, service, Class::Interactive, deadline).prefix(seq % 9);
            router.arrive(now, call);
            while let Some(step) = router.next_step() {
                if let Step::Start { endpoint, .. } = step {
                    found.push(keys.iter().position(|key| *key == endpoint));
                }
            }
        }
        found
    };
    let (mut together, mut alone) = (placed(true), placed(false));
    assert!(together.len() > 100);
    // While there is room where prefixes are kept; then at random, but nearest first.
    assert_eq!(together[..50], alone[..50]);
    together.sort_unstable();
    alone.sort_unstable();
    assert_eq!(together, alone);
}
