//! Calls while some endpoints of a service refuse connections.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    route::{Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step},
};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

const SERVICE_TIME: Duration = Duration::from_millis(25);
const REFUSAL_TIME: Duration = Duration::from_micros(500);
const DEADLINE: Duration = Duration::from_millis(800);
const TICK: Duration = Duration::from_micros(500);

/// A router, its endpoints and the calls in flight, in virtual time.
struct World {
    start: Instant,
    now: Instant,
    router: Router,
    service: ServiceKey,
    endpoints: Vec<EndpointKey>,
    /// Ends of attempts.
    ends: BTreeMap<(Instant, RequestId), (EndpointKey, Outcome)>,
    /// Attempts at endpoints that refused the connection, with their times.
    refused_connections: HashMap<EndpointKey, Vec<Instant>>,
    answered: usize,
    refused: Vec<(RequestId, ErrorKind)>,
    seq: u64,
}

impl World {
    fn new(seed: u64, endpoints: usize) -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", seed);
        let service = router.set_service(now, "hut-desk", ServiceSpec::new());
        let specs =
            (0..endpoints).map(|n| EndpointSpec::new(&format!("desk-{n}"), "senec").limit(6));
        let endpoints = router.add_endpoints(now, service, specs);
        Self {
            start: now,
            now,
            router,
            service,
            endpoints,
            ends: BTreeMap::new(),
            refused_connections: HashMap::new(),
            answered: 0,
            refused: Vec::new(),
            seq: 0,
        }
    }

    fn submit(&mut self) {
        self.seq += 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        let deadline = self.now + DEADLINE;
        let call = Call::new(id, self.service, Class::Interactive, deadline);
        self.router.submit(self.now, call);
    }

    /// Runs for a time; `is_down` tells which endpoints refuse connections, by their
    /// position and the time since the start.
    fn run(&mut self, duration: Duration, is_down: impl Fn(usize, Duration) -> bool) {
        let end = self.now + duration;
        while self.now < end {
            self.router.tick(self.now);
            self.start_attempts(&is_down);
            self.now += TICK;
            while let Some(((at, id), _)) = self.ends.first_key_value()
                && *at <= self.now
            {
                let (at, id) = (*at, *id);
                let (endpoint, outcome) = self.ends.remove(&(at, id)).unwrap();
                self.answered += usize::from(outcome == Outcome::Answered);
                self.router.finish(self.now, id, endpoint, outcome);
                self.start_attempts(&is_down);
            }
        }
    }

    fn start_attempts(&mut self, is_down: &impl Fn(usize, Duration) -> bool) {
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start { id, endpoint, .. } => {
                    let position = self.endpoints.iter().position(|key| *key == endpoint);
                    let down = is_down(position.unwrap(), self.now - self.start);
                    let (time, outcome) = if down {
                        let attempts = self.refused_connections.entry(endpoint).or_default();
                        attempts.push(self.now);
                        let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
                        (REFUSAL_TIME, outcome)
                    } else {
                        (SERVICE_TIME, Outcome::Answered)
                    };
                    self.ends.insert((self.now + time, id), (endpoint, outcome));
                }
                Step::Cancel { .. } => {}
                Step::Refuse { id, kind, .. } => self.refused.push((id, kind)),
            }
        }
    }
}

// Guards against calls that are refused within milliseconds because a few endpoints, which
// look idle, refuse connections while others have room.
#[test]
fn calls_are_answered_while_half_of_the_endpoints_are_down() {
    for seed in 0..30 {
        let mut world = World::new(seed, 25);
        for _ in 0..60 {
            world.submit();
            world.run(Duration::from_millis(10), |n, _| n < 12);
        }
        world.run(DEADLINE, |n, _| n < 12);
        assert_eq!(world.refused, [], "seed {seed}");
        assert_eq!(world.answered, 60, "seed {seed}");
    }
}

// Guards against an endpoint that is tried again at once after it refused a connection.
#[test]
fn endpoint_that_refused_a_connection_gets_a_pause() {
    for seed in 0..30 {
        let mut world = World::new(seed, 8);
        for _ in 0..40 {
            world.submit();
            world.run(Duration::from_millis(5), |n, _| n < 4);
        }
        for attempts in world.refused_connections.values() {
            for pair in attempts.windows(2) {
                let pause = pair[1] - pair[0];
                assert!(pause >= Duration::from_millis(90), "seed {seed}: {pause:?}");
            }
        }
    }
}

// Guards against a call that is refused at once although endpoints may return before its
// deadline.
#[test]
fn call_waits_for_endpoints_that_return_in_time() {
    for seed in 0..30 {
        let mut world = World::new(seed, 3);
        let is_down = |_, since| since < Duration::from_millis(250);
        world.submit();
        world.run(DEADLINE, is_down);
        assert_eq!(world.refused, [], "seed {seed}");
        assert_eq!(world.answered, 1, "seed {seed}");
    }
}

// Guards against a call that waits for its deadline although no endpoint can be reached.
#[test]
fn call_is_refused_once_all_endpoints_are_unreachable() {
    for seed in 0..30 {
        let mut world = World::new(seed, 2);
        world.submit();
        world.run(Duration::from_millis(400), |_, _| true);
        assert_eq!(world.refused.len(), 1, "seed {seed}");
        let (_, kind) = world.refused[0];
        assert_eq!(kind, ErrorKind::EndpointDown, "seed {seed}");
    }
}
