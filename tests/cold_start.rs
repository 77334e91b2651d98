//! What one process may send to cold endpoints.

use hibiscusroad::{
    catalog::ColdStart,
    cold_start::{Admission, Bounds, ColdStarts, Permit, RAMP, SEND_WINDOW, Sender, Source},
    roster::Endpoint,
};
use std::time::{Duration, Instant};

const RULE: ColdStart = ColdStart {
    duration: Duration::from_secs(3),
    per_second: 12.0,
};
const BOUNDS: Bounds = Bounds {
    overrun: 1.5,
    slack: 5,
};
/// Half of 12 x 1.5 + 5.
const SHARE: u32 = 11;
const SECOND: Duration = Duration::from_secs(1);

fn engine(id: &str, started_ms: u64, cold_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        started_ms: Some(started_ms),
        service: "lm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "senec".to_owned(),
        slots: 4,
        leaving: false,
        cold_remaining: Duration::from_millis(cold_ms),
        evacuated: false,
        weights: Vec::new(),
    }
}

/// Returns the state of a process that knows the warm engine `e`.
fn process(now: Instant) -> ColdStarts {
    let mut cold = ColdStarts::new(BOUNDS);
    cold.set_services(now, [("lm", RULE)]);
    cold.update(now, &engine("e", 1, 0));
    cold.confirm(now);
    cold
}

fn permit(acquired: Instant) -> Permit {
    Permit {
        acquired,
        expires: acquired + Duration::from_mins(1),
    }
}

/// Advances in steps that are short enough not to look like a freeze.
fn advance(cold: &mut ColdStarts, from: Instant, time: Duration) -> Instant {
    let end = from + time;
    let mut now = from;
    while now < end {
        now = (now + SECOND / 4).min(end);
        cold.refresh(now);
    }
    end
}

/// Sends until it is refused, and returns how many were sent.
fn send_all(cold: &mut ColdStarts, now: Instant, sender: Sender) -> u32 {
    let sends = (0..100).take_while(|_| cold.confirm_send(now, "e", sender));
    u32::try_from(sends.count()).unwrap()
}

// Coldness in entries counts from when they are read, and without a permit nothing is sent.
#[test]
fn reported_coldness_holds_for_the_remaining_time() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.update(now, &engine("e", 1, 1_500));
    assert_eq!(send_all(&mut cold, now, Sender::Call), 0);
    let refreshed = cold.refresh(now);
    let transition = &refreshed.transitions[0];
    assert_eq!(
        (transition.is_cold, transition.source),
        (true, Source::Entry)
    );
    assert_eq!(transition.remaining, Duration::from_millis(1_500));
    let (_, admission) = &refreshed.admissions[0];
    let expected = (true, Some(now + Duration::from_millis(1_500)));
    assert_eq!((admission.is_cold, admission.opens_at), expected);
    let end = advance(&mut cold, now, Duration::from_millis(1_500));
    assert!(cold.cold_service(end, "e").is_none());
    assert!(send_all(&mut cold, end, Sender::Call) > 0);
}

// An engine is cold after a start before its entry says so, and an entry that still says
// nothing doesn't end that.
#[test]
fn new_and_restarted_endpoints_are_cold() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.update(now, &engine("new", 1, 0));
    cold.update(now, &engine("new", 1, 0));
    assert_eq!(cold.cold_service(now, "new"), Some("lm"));
    // Known from the first read, so it may have run for long.
    assert_eq!(cold.cold_service(now, "e"), None);
    cold.remove(now, "e");
    cold.update(now, &engine("e", 2, 0));
    assert_eq!(cold.cold_service(now, "e"), Some("lm"));
    let end = advance(&mut cold, now, RULE.duration);
    assert_eq!(cold.cold_service(end, "e"), None);
}

// After an outage of the store, endpoints that never stopped register again.
#[test]
fn endpoint_that_returns_without_a_restart_is_warm() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.remove(now, "e");
    cold.update(now, &engine("e", 1, 0));
    assert_eq!(cold.cold_service(now, "e"), None);
}

// What ran elsewhere during an evacuation may have let its endpoints become cold.
#[test]
fn endpoints_are_cold_after_an_evacuation() {
    let now = Instant::now();
    let mut cold = process(now);
    let mut evacuated = engine("e", 1, 0);
    evacuated.evacuated = true;
    cold.update(now, &evacuated);
    assert_eq!(cold.cold_service(now, "e"), None);
    cold.update(now, &engine("e", 1, 0));
    assert_eq!(cold.cold_service(now, "e"), Some("lm"));
    let source = cold.refresh(now).transitions[0].source;
    assert_eq!(source, Source::Evacuation);
}

// The former holder's last sends and the next one's first ones must not be in one second.
#[test]
fn permit_is_used_a_window_after_it_was_acquired() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.update(now, &engine("e", 1, 3_000));
    cold.set_permit("lm", Some(permit(now)));
    assert_eq!(send_all(&mut cold, now, Sender::Item), 0);
    let almost = now + SEND_WINDOW.mul_f64(0.99);
    assert_eq!(send_all(&mut cold, almost, Sender::Item), 0);
    assert_eq!(send_all(&mut cold, now + SEND_WINDOW, Sender::Item), SHARE);
}

// A holder that was suspended past the end of its lease must not send, whatever it chose before.
#[test]
fn choice_of_an_expired_holder_is_not_sent() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.update(now, &engine("e", 1, 60_000));
    let expires = now + 2 * SECOND;
    cold.set_permit(
        "lm",
        Some(Permit {
            acquired: now,
            expires,
        }),
    );
    let before = now + Duration::from_millis(1_999);
    cold.reserve(before, "e");
    assert!(cold.confirm_send(before, "e", Sender::Item));
    cold.reserve(before, "e");
    assert!(!cold.confirm_send(expires, "e", Sender::Item));
}

// Items and calls go to the same endpoint, which counts them together.
#[test]
fn items_and_calls_share_one_count() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.update(now, &engine("e", 1, 60_000));
    cold.set_permit("lm", Some(permit(now)));
    let now = now + SEND_WINDOW;
    for _ in 0..5 {
        assert!(cold.confirm_send(now, "e", Sender::Call));
    }
    assert_eq!(send_all(&mut cold, now, Sender::Item), SHARE - 5);
    let now = now + SEND_WINDOW;
    // A reservation holds its place until the request is written.
    cold.reserve(now, "e");
    assert_eq!(cold.current(now, "e").items, Some(SHARE - 1));
}

// What was sent to the former incarnation still counts: the process may be the same host.
#[test]
fn sends_before_a_restart_count() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.set_permit("lm", Some(permit(now.checked_sub(SEND_WINDOW).unwrap())));
    assert_eq!(send_all(&mut cold, now, Sender::Item), SHARE);
    cold.remove(now, "e");
    cold.update(now, &engine("e", 2, 0));
    assert_eq!(send_all(&mut cold, now, Sender::Item), 0);
}

// An engine may become cold at any moment; the owners that don't know it share the other half.
#[test]
fn owners_share_half_of_the_bound_on_warm_engines() {
    let now = Instant::now();
    for (own, all, expected) in [
        (0, 0, 11),
        (1, 1, 11),
        (1, 2, 5),
        (1, 3, 3),
        (1, 50, 1),
        (0, 80, 1),
        (90, 100, 9),
        (10, 100, 1),
    ] {
        let mut cold = process(now);
        cold.set_open_items(own, all);
        assert_eq!(send_all(&mut cold, now, Sender::Item), expected);
        assert!(cold.confirm_send(now, "e", Sender::Call));
    }
}

// A process that was frozen knows only what was true before.
#[test]
fn thawed_process_is_unsure_until_the_entries_are_confirmed() {
    let now = Instant::now();
    let mut cold = process(now);
    let now = now + 10 * SECOND;
    assert_eq!(send_all(&mut cold, now, Sender::Item), 1);
    assert!(!cold.confirm_send(now, "e", Sender::Call));
    // This answer may have been on its way before the process was frozen.
    cold.confirm(now);
    let now = advance(&mut cold, now, SEND_WINDOW);
    assert_eq!(send_all(&mut cold, now, Sender::Item), 1);
    cold.confirm(now);
    let now = advance(&mut cold, now, SEND_WINDOW);
    assert_eq!(send_all(&mut cold, now, Sender::Item), SHARE);
}

// A gateway that is cut off from the store must serve again: what became cold while it was
// frozen is warm by then.
#[test]
fn thawed_process_is_sure_again_after_a_cold_start() {
    let now = Instant::now();
    let mut cold = process(now);
    let now = now + 10 * SECOND;
    assert_eq!(cold.refresh(now).next, Some(now + RULE.duration));
    let now = advance(&mut cold, now, RULE.duration);
    assert_eq!(send_all(&mut cold, now, Sender::Item), SHARE);
    assert!(cold.confirm_send(now, "e", Sender::Call));
}

// Waiting work must not arrive all at once when an endpoint becomes warm.
#[test]
fn load_grows_over_a_second_after_coldness() {
    let now = Instant::now();
    let mut cold = process(now);
    cold.update(now, &engine("e", 1, 1_000));
    let warm = advance(&mut cold, now, SECOND);
    // Four slots: one at first, and one more each quarter of a second.
    assert_eq!(send_all(&mut cold, warm, Sender::Call), 1);
    let next = cold.refresh(warm).next.unwrap();
    assert_eq!(next, warm + RAMP / 4);
    assert_eq!(send_all(&mut cold, next, Sender::Call), 1);
    let later = advance(&mut cold, next, RAMP / 2);
    assert_eq!(send_all(&mut cold, later, Sender::Item), 2);
    let end = advance(&mut cold, warm, RAMP);
    assert_eq!(cold.current(end, "e").calls, None);
}

// Work that waits starts as soon as the limit admits it.
#[test]
fn refresh_is_due_when_the_limit_admits_more() {
    let now = Instant::now();
    let mut cold = process(now);
    assert_eq!(send_all(&mut cold, now, Sender::Item), SHARE);
    let refreshed = cold.refresh(now);
    assert_eq!(refreshed.admissions[0].1.items, Some(0));
    assert_eq!(refreshed.next, Some(now + SEND_WINDOW));
    let refreshed = cold.refresh(now + SEND_WINDOW);
    assert_eq!(refreshed.admissions[0].1.items, Some(SHARE));
    assert_eq!(refreshed.next, None);
}

// The order in which configuration and endpoints become known must not matter.
#[test]
fn limits_apply_to_endpoints_known_before_the_configuration() {
    let now = Instant::now();
    let mut cold = ColdStarts::new(BOUNDS);
    cold.update(now, &engine("e", 1, 3_000));
    assert_eq!(cold.current(now, "e"), Admission::OPEN);
    cold.set_services(now, [("lm", RULE)]);
    assert_eq!(cold.current(now, "e").calls, Some(0));
    assert_eq!(cold.refresh(now).admissions.len(), 1);
}

// A service without a declared limit is served as before.
#[test]
fn service_without_a_rule_has_no_limits() {
    let now = Instant::now();
    let mut cold = ColdStarts::new(BOUNDS);
    cold.set_services(now, [("other", RULE)]);
    cold.confirm(now);
    cold.update(now, &engine("e", 1, 60_000));
    assert_eq!(send_all(&mut cold, now, Sender::Item), 100);
    let refreshed = cold.refresh(now);
    assert!(refreshed.admissions.is_empty() && refreshed.transitions.is_empty());
}

// A declared rate that leaves the holder nothing must not make it send.
#[test]
fn bound_of_one_request_admits_none() {
    let now = Instant::now();
    let bounds = Bounds {
        overrun: 1.0,
        slack: 0,
    };
    let mut cold = ColdStarts::new(bounds);
    let rule = ColdStart {
        per_second: 1.0,
        ..RULE
    };
    cold.set_services(now, [("lm", rule)]);
    cold.update(now, &engine("e", 1, 3_000));
    cold.set_permit("lm", Some(permit(now.checked_sub(SEND_WINDOW).unwrap())));
    assert_eq!(send_all(&mut cold, now, Sender::Item), 0);
    // The endpoint is used once it is warm.
    let end = advance(&mut cold, now, RULE.duration);
    assert_eq!(send_all(&mut cold, end, Sender::Item), 1);
}
