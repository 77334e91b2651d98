//! Calls where endpoints are cold.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    cold_start::Admission,
    route::{Call, EndpointKey, EndpointSpec, Router, ServiceKey, ServiceSpec, Step},
};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

struct Harness {
    now: Instant,
    router: Router,
    service: ServiceKey,
    endpoints: Vec<EndpointKey>,
    seq: u64,
}

impl Harness {
    /// Creates a router with endpoints that take two calls each.
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut router = Router::new("senec", 1);
        let service = router.set_service(now, "lm", ServiceSpec::new());
        let specs = (0..count).map(|n| EndpointSpec::new(&format!("e{n}"), "senec").limit(2));
        let endpoints = router.add_endpoints(now, service, specs);
        Self {
            now,
            router,
            service,
            endpoints,
            seq: 0,
        }
    }

    /// Makes an endpoint cold, with room for a number of calls now and for more after a time.
    fn set_cold(&mut self, n: usize, room: u32, opens_in: Duration) {
        let admission = Admission {
            is_cold: true,
            calls: Some(room),
            items: Some(room),
            opens_at: Some(self.now + opens_in),
        };
        self.router
            .set_admission(self.now, self.endpoints[n], admission);
    }

    fn submit(&mut self, deadline: Duration) -> Vec<Step> {
        self.seq += 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq: self.seq,
        };
        let call = Call::new(id, self.service, Class::Interactive, self.now + deadline);
        self.router.submit(self.now, call);
        self.steps()
    }

    fn steps(&mut self) -> Vec<Step> {
        std::iter::from_fn(|| self.router.next_step()).collect()
    }

    /// Submits a call and returns the index of the endpoint at which it starts.
    fn start(&mut self) -> Option<usize> {
        let steps = self.submit(10 * SECOND);
        steps.iter().find_map(|step| match step {
            Step::Start { endpoint, .. } => self.endpoints.iter().position(|key| key == endpoint),
            _ => None,
        })
    }
}

// A cold endpoint gets only what no warm one has a slot for, and no more than it admits.
#[test]
fn warm_endpoints_come_first() {
    let mut harness = Harness::new(3);
    harness.set_cold(0, 1, SECOND);
    let started: Vec<Option<usize>> = (0..6).map(|_| harness.start()).collect();
    assert!(
        started[..4].iter().all(|n| matches!(n, Some(1 | 2))),
        "{started:?}"
    );
    assert_eq!(started[4..], [Some(0), None]);
}

// A call that was held back must not wait for another event than the admission.
#[test]
fn waiting_call_starts_when_it_is_admitted() {
    let mut harness = Harness::new(1);
    harness.set_cold(0, 0, SECOND);
    assert_eq!(harness.start(), None);
    harness.now += SECOND;
    harness.set_cold(0, 1, SECOND);
    let started = harness.steps();
    assert!(matches!(started[..], [Step::Start { .. }]), "{started:?}");
}

// Callers must hear at once that they can't be served, and when they can.
#[test]
fn call_is_refused_if_no_endpoint_opens_in_time() {
    let mut harness = Harness::new(2);
    harness.set_cold(0, 0, 5 * SECOND);
    harness.set_cold(1, 0, 4 * SECOND);
    let steps = harness.submit(3 * SECOND);
    let [
        Step::Refuse {
            kind, retry_after, ..
        },
    ] = steps[..]
    else {
        panic!("{steps:?}");
    };
    assert_eq!(kind, ErrorKind::Saturated);
    assert!(
        retry_after >= 4 * SECOND && retry_after < 6 * SECOND,
        "{retry_after:?}"
    );
    assert!(harness.submit(6 * SECOND).is_empty());
    assert_eq!(harness.router.take_permit_requests(), [harness.service]);
}

// Calls that wait when the last endpoint becomes cold are refused if that lasts too long.
#[test]
fn waiting_calls_are_refused_when_all_endpoints_become_cold() {
    let mut harness = Harness::new(1);
    assert!(harness.start().is_some() && harness.start().is_some());
    assert!(harness.submit(2 * SECOND).is_empty());
    harness.set_cold(0, 0, 3 * SECOND);
    let steps = harness.steps();
    assert!(matches!(steps[..], [Step::Refuse { .. }]), "{steps:?}");
}

// An endpoint must be used as before once it is warm.
#[test]
fn endpoint_returns_to_its_pool() {
    let mut harness = Harness::new(2);
    harness.set_cold(0, 0, SECOND);
    assert_eq!(harness.router.load(harness.endpoints[0]), Some((0, 0)));
    let key = harness.endpoints[0];
    harness
        .router
        .set_admission(harness.now, key, Admission::OPEN);
    let mut started: Vec<Option<usize>> = (0..5).map(|_| harness.start()).collect();
    started.sort_unstable();
    assert_eq!(started, [None, Some(0), Some(0), Some(1), Some(1)]);
    harness.router.remove_endpoint(harness.now, key);
}
