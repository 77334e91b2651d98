//! Retries after each outcome of an attempt, and when callers are refused.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, Repeat, RequestId,
    route::{Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step},
};
use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

fn id(seq: u64) -> RequestId {
    RequestId {
        origin: Incarnation(1),
        seq,
    }
}

fn setup(limit: u32) -> (Instant, Router, ServiceKey, EndpointKey) {
    let now = Instant::now();
    let mut router = Router::new("senec", 7);
    let service = router.set_service(now, "hut-desk", ServiceSpec::new());
    let spec = EndpointSpec::new("hut-desk-1", "senec").limit(limit);
    let endpoint = router.add_endpoint(now, service, spec);
    (now, router, service, endpoint)
}

fn steps(router: &mut Router) -> Vec<Step> {
    std::iter::from_fn(|| router.next_step()).collect()
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against running a non-repeatable call twice: the failed attempt may have
/// run.
#[test]
fn non_repeatable_call_is_not_retried_after_a_failure() {
    let (now, mut router, service, endpoint) = setup(4);
    let call = Call::new(id(1), service, Class::Interactive, now + secs(5)).repeat(Repeat::Once);
    router.submit(now, call);
    assert_eq!(steps(&mut router).len(), 1);
    router.finish(
        now,
        id(1),
        endpoint,
        Outcome::Failed(ErrorKind::EndpointBroken),
    );
    let steps = steps(&mut router);
    assert!(
        matches!(
            steps[..],
            [Step::Refuse {
                kind: ErrorKind::EndpointBroken,
                ..
            }]
        ),
        "{steps:?}"
    );
}

/// Guards against refusing a call that the sidecar surely did not run.
#[test]
fn non_repeatable_call_is_retried_if_it_did_not_run() {
    let (now, mut router, service, endpoint) = setup(4);
    let call = Call::new(id(1), service, Class::Interactive, now + secs(5)).repeat(Repeat::Once);
    router.submit(now, call);
    steps(&mut router);
    router.finish(now, id(1), endpoint, Outcome::NotRun(ErrorKind::Saturated));
    let later = now + Duration::from_millis(50);
    router.tick(later);
    let steps = steps(&mut router);
    assert!(
        matches!(steps[..], [Step::Start { hedge: false, .. }]),
        "{steps:?}"
    );
}

/// Guards against attempts that outlast their deadline, and against reporting a
/// call that may have run as not run.
#[test]
fn a_running_call_is_cancelled_and_refused_at_its_deadline() {
    let (now, mut router, service, endpoint) = setup(4);
    router.submit(
        now,
        Call::new(id(1), service, Class::Interactive, now + secs(1)),
    );
    steps(&mut router);
    assert!(router.next_due().is_some_and(|due| due <= now + secs(1)));
    router.tick(now + secs(1));
    let steps = steps(&mut router);
    let cancel = Step::Cancel {
        id: id(1),
        endpoint,
    };
    assert_eq!(steps[0], cancel);
    assert!(
        matches!(
            steps[1],
            Step::Refuse {
                kind: ErrorKind::TimedOut,
                ..
            }
        ),
        "{steps:?}"
    );
    assert_eq!(router.load(endpoint).map(|load| load.0), Some(0));
}

/// Guards against keeping an expired call in the queue until its turn.
#[test]
fn a_queued_call_is_refused_at_its_deadline() {
    let (now, mut router, service, _) = setup(1);
    router.submit(
        now,
        Call::new(id(1), service, Class::Interactive, now + secs(60)),
    );
    router.submit(
        now,
        Call::new(id(2), service, Class::Interactive, now + secs(1)),
    );
    assert_eq!(router.queued(service, Class::Interactive), 1);
    steps(&mut router);
    router.tick(now + secs(1));
    let steps = steps(&mut router);
    assert!(
        matches!(
            steps[..],
            [Step::Refuse {
                kind: ErrorKind::Expired,
                ..
            }]
        ),
        "{steps:?}"
    );
}

/// Guards against keeping calls queued until their deadline when none can be
/// answered any more.
#[test]
fn queued_calls_are_refused_when_the_last_endpoint_closes() {
    let (now, mut router, service, endpoint) = setup(1);
    router.submit(
        now,
        Call::new(id(1), service, Class::Interactive, now + secs(60)),
    );
    router.submit(
        now,
        Call::new(id(2), service, Class::Interactive, now + secs(60)),
    );
    steps(&mut router);
    router.set_accepting(now, endpoint, false);
    let steps = steps(&mut router);
    assert!(
        matches!(
            steps[..],
            [Step::Refuse {
                kind: ErrorKind::NoEndpoint,
                ..
            }]
        ),
        "{steps:?}"
    );
}

/// Guards against callers that are refused together and return together.
#[test]
fn retry_after_times_are_spread() {
    let now = Instant::now();
    let mut router = Router::new("senec", 7);
    let service = router.set_service(now, "hut-desk", ServiceSpec::new());
    for seq in 0..10 {
        router.submit(
            now,
            Call::new(id(seq), service, Class::Interactive, now + secs(1)),
        );
    }
    let retry_after: HashSet<Duration> = steps(&mut router)
        .iter()
        .filter_map(|step| match step {
            Step::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(retry_after.len(), 10);
}

/// Guards against mixing two attempts' answers: another attempt would generate a
/// different text.
#[test]
fn a_call_with_part_of_an_answer_is_not_retried() {
    for committed in [false, true] {
        let (now, mut router, service, endpoint) = setup(4);
        router.submit(
            now,
            Call::new(id(1), service, Class::Interactive, now + secs(5)),
        );
        steps(&mut router);
        if committed {
            router.commit(now, id(1), endpoint);
        }
        router.finish(
            now,
            id(1),
            endpoint,
            Outcome::Failed(ErrorKind::EndpointBroken),
        );
        let steps = steps(&mut router);
        let refused = matches!(steps[..], [Step::Refuse { .. }]);
        assert_eq!(refused, committed, "{steps:?}");
    }
}

/// Guards against refusing a call that finds a free slot because one earlier answer was
/// slow. Refused calls yield no answer that could correct the estimate.
#[test]
fn a_short_deadline_is_refused_only_by_a_known_median() {
    let (mut now, mut router, service, endpoint) = setup(4);
    let mut answer = |seq, refused: bool| {
        let call = Call::new(id(seq), service, Class::Interactive, now + secs(1));
        router.submit(now, call);
        assert!(matches!(steps(&mut router)[..], [Step::Start { .. }]));
        now += Duration::from_millis(250);
        router.finish(now, call.id, endpoint, Outcome::Answered);
        let deadline = now + Duration::from_millis(200);
        let short = Call::new(id(seq + 100), service, Class::Interactive, deadline);
        router.submit(now, short);
        let is_started = matches!(steps(&mut router)[..], [Step::Start { .. }]);
        assert_eq!(is_started, !refused, "after {seq} answers");
        router.cancel(now, short.id);
        steps(&mut router);
    };
    (1..=15).for_each(|seq| answer(seq, false));
    answer(16, true);
}

/// As above, where all slots are in use and the call would wait for one.
#[test]
fn a_short_deadline_is_queued_after_one_slow_answer() {
    let (now, mut router, service, endpoint) = setup(4);
    let call = |seq, deadline| Call::new(id(seq), service, Class::Interactive, deadline);
    router.submit(now, call(1, now + secs(1)));
    let now = now + Duration::from_millis(250);
    router.finish(now, id(1), endpoint, Outcome::Answered);
    (2..6).for_each(|seq| router.submit(now, call(seq, now + secs(9))));
    router.submit(now, call(6, now + Duration::from_millis(200)));
    assert_eq!(router.queued(service, Class::Interactive), 1);
}

/// Guards against refusing a call with room because all waiting calls share one later deadline.
#[test]
fn a_call_due_before_the_only_waiting_one_is_queued() {
    let (mut now, mut router, service, endpoint) = setup(4);
    let call = |seq, deadline| Call::new(id(seq), service, Class::Interactive, deadline);
    for seq in 0..20 {
        router.submit(now, call(seq, now + secs(9)));
        now += Duration::from_millis(50);
        router.finish(now, id(seq), endpoint, Outcome::Answered);
    }
    (20..25).for_each(|seq| router.submit(now, call(seq, now + secs(9))));
    assert_eq!(router.queued(service, Class::Interactive), 1);
    router.submit(now, call(25, now + secs(5)));
    assert_eq!(router.queued(service, Class::Interactive), 2);
}
