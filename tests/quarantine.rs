//! Verdicts on requests, from fixed and random evidence of crashes.

use hibiscusroad::{
    quarantine::{
        AMBIGUITY_MARGIN, CRASH_LIMIT, CRASH_TTL, CRASHES, Crash, DecodeCrashError,
        EndpointIncarnation, Fingerprint, Identity, Ledger, ParseFingerprintError,
        REFUTATION_DELAY, UNRESOLVED_TTL, UnresolvedAttempts, UpdateContinuity, Verdict,
    },
    table::{Row, RowId},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::{Duration, Instant};

const REQUEST: Identity<'static> = Identity {
    method: "POST",
    host: "huts.example",
    path: "/desk/x",
    account: None,
    body: b"two nights",
    length: Some(10),
};

#[test]
fn fingerprint_depends_on_each_field_of_the_identity() {
    let others = [
        Identity {
            method: "PUT",
            ..REQUEST
        },
        Identity {
            host: "huts.exampl",
            path: "e/desk/x",
            ..REQUEST
        },
        Identity {
            path: "/desk/y",
            ..REQUEST
        },
        Identity {
            account: Some(""),
            ..REQUEST
        },
        Identity {
            account: Some("two"),
            body: b" nights",
            ..REQUEST
        },
        Identity {
            body: b"",
            ..REQUEST
        },
        Identity {
            length: Some(11),
            ..REQUEST
        },
        Identity {
            length: None,
            ..REQUEST
        },
    ];
    let mut known = vec![Fingerprint::of(&REQUEST)];
    for other in &others {
        let fingerprint = Fingerprint::of(other);
        assert!(!known.contains(&fingerprint), "{other:?}");
        known.push(fingerprint);
    }
}

// Guards against innocent requests that are held because connections to living endpoints broke.
#[test]
fn later_answer_of_an_endpoint_voids_its_earlier_crashes() {
    let mut ledger = Ledger::new(CRASH_LIMIT, CRASH_TTL);
    let request = Fingerprint::of(&REQUEST);
    let second = Duration::from_secs(1);
    let incarnation = |n: usize| EndpointIncarnation {
        endpoint: format!("e{n}"),
        started_ms: None,
    };
    for n in 0..CRASH_LIMIT {
        ledger.add(Crash {
            request,
            incarnation: incarnation(n),
            at: second,
            path: String::new(),
        });
    }
    let verdict = |ledger: &Ledger| ledger.verdict(second, request);
    assert!(matches!(verdict(&ledger), Verdict::Quarantined(_)));
    assert!(ledger.refute(&incarnation(0), second).is_empty());
    assert!(
        ledger
            .refute(&incarnation(CRASH_LIMIT), second * 2)
            .is_empty()
    );
    assert!(matches!(verdict(&ledger), Verdict::Quarantined(_)));
    let void = ledger.refute(&incarnation(0), second * 2);
    assert_eq!(void.len(), 1);
    assert_eq!(verdict(&ledger), Verdict::Suspect);
    assert_eq!(ledger.crashes_of(request).count(), CRASH_LIMIT - 1);
}

#[test]
fn fingerprint_round_trips_through_text() {
    let fingerprint = Fingerprint::of(&REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for text in ["", "12", &"g".repeat(32), &"é".repeat(16)] {
        assert_eq!(
            text.parse::<Fingerprint>(),
            Err(ParseFingerprintError),
            "{text}"
        );
    }
}

/// Returns the fingerprint of the nth request.
fn request(n: u8) -> Fingerprint {
    Fingerprint::of(&Identity {
        body: &[n],
        ..REQUEST
    })
}

fn incarnation(n: usize) -> EndpointIncarnation {
    EndpointIncarnation {
        endpoint: format!("e{n}"),
        started_ms: None,
    }
}

fn ledger() -> Ledger {
    Ledger::new(CRASH_LIMIT, CRASH_TTL)
}

/// Records that requests were in flight when the nth incarnation ended.
fn record_crash(ledger: &mut Ledger, second: u64, n: usize, requests: &[u8]) {
    for request_id in requests {
        ledger.add(Crash {
            request: request(*request_id),
            incarnation: incarnation(n),
            at: Duration::from_secs(second),
            path: "/desk/x".to_owned(),
        });
    }
}

fn is_quarantined(ledger: &Ledger, n: u8) -> bool {
    let now = Duration::from_mins(1);
    matches!(ledger.verdict(now, request(n)), Verdict::Quarantined(_))
}

#[test]
fn request_is_quarantined_at_the_crash_limit() {
    let mut ledger = ledger();
    assert_eq!(ledger.verdict(CRASH_TTL, request(1)), Verdict::Clear);
    for n in 0..CRASH_LIMIT {
        assert!(!is_quarantined(&ledger, 1), "after {n} crashes");
        record_crash(&mut ledger, 50 + n as u64, n, &[1]);
    }
    let verdict = ledger.verdict(Duration::from_mins(1), request(1));
    let remaining = CRASH_TTL.saturating_sub(Duration::from_secs(10));
    assert_eq!(verdict, Verdict::Quarantined(remaining));
    assert_eq!(ledger.verdict(CRASH_TTL, request(2)), Verdict::Clear);
}

#[test]
fn repeated_crash_of_an_incarnation_counts_once() {
    let mut ledger = ledger();
    for second in 0..9 {
        record_crash(&mut ledger, second, 0, &[1]);
    }
    assert!(!is_quarantined(&ledger, 1));
}

// Guards against refusing requests that ran beside the cause.
#[test]
fn neighbours_of_the_cause_are_not_quarantined() {
    let mut ledger = ledger();
    record_crash(&mut ledger, 1, 0, &[1, 2, 3, 4]);
    record_crash(&mut ledger, 1, 1, &[1]);
    record_crash(&mut ledger, 2, 2, &[1, 2, 5]);
    record_crash(&mut ledger, 2, 3, &[1, 2, 6]);
    assert!(is_quarantined(&ledger, 1));
    for n in 2..=6 {
        assert!(!is_quarantined(&ledger, n), "{n}");
    }
}

// Guards against refusing a neighbour whose evidence is the same as the cause's.
#[test]
fn neighbour_at_every_crash_is_not_quarantined_at_the_limit() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT {
        record_crash(&mut ledger, 1, n, &[1, 2]);
    }
    assert!(!is_quarantined(&ledger, 1) && !is_quarantined(&ledger, 2));
    record_crash(&mut ledger, 2, CRASH_LIMIT, &[1]);
    assert!(is_quarantined(&ledger, 1));
    assert!(!is_quarantined(&ledger, 2));
}

// Guards against a cause that is never quarantined because others always run beside it.
#[test]
fn ambiguous_evidence_quarantines_after_the_margin() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT + AMBIGUITY_MARGIN {
        assert!(!is_quarantined(&ledger, 1), "after {n} crashes");
        record_crash(&mut ledger, 1, n, &[1, 2]);
    }
    assert!(is_quarantined(&ledger, 1));
}

// Guards against causes that are never quarantined because they crash the same endpoints.
#[test]
fn several_causes_end_a_bounded_number_of_endpoints() {
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut counts = [0; 4];
        for n in 0..60 {
            let causes = 1..4_u8;
            let allowed = causes.filter(|n| !is_quarantined(&ledger, *n));
            let in_flight: Vec<u8> = allowed.filter(|_| rng.random_bool(0.6)).collect();
            record_crash(&mut ledger, 1, n, &in_flight);
            for n in &in_flight {
                counts[usize::from(*n)] += 1;
            }
        }
        let max_crashes = CRASH_LIMIT + AMBIGUITY_MARGIN;
        assert!(
            counts.iter().all(|count| *count <= max_crashes),
            "seed {seed}: {counts:?}"
        );
        assert!((1..4).all(|n| is_quarantined(&ledger, n)), "seed {seed}");
    }
}

// Guards against refusing a neighbour because the cause's evidence arrives late.
#[test]
fn late_evidence_against_the_cause_clears_its_neighbour() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT {
        record_crash(&mut ledger, 1, n, &[2]);
    }
    assert!(is_quarantined(&ledger, 2));
    for n in 0..=CRASH_LIMIT {
        record_crash(&mut ledger, 1, n, &[1]);
    }
    assert!(is_quarantined(&ledger, 1));
    assert!(!is_quarantined(&ledger, 2));
}

#[test]
fn removing_a_request_clears_it() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT {
        record_crash(&mut ledger, 1, n, &[1, 2]);
    }
    assert_eq!(ledger.remove_request(request(2)).len(), CRASH_LIMIT);
    assert!(is_quarantined(&ledger, 1));
    assert_eq!(ledger.verdict(CRASH_TTL, request(2)), Verdict::Clear);
    assert_eq!(ledger.remove_request(request(2)), []);
}

// Guards against counting connections that broke at live endpoints.
#[test]
fn crashes_of_live_endpoints_are_void() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT {
        record_crash(&mut ledger, 1, n, &[1]);
    }
    let is_live = |other: &EndpointIncarnation| *other == incarnation(0);
    let too_early = REFUTATION_DELAY;
    assert_eq!(ledger.expire(too_early, is_live), []);
    assert!(is_quarantined(&ledger, 1));
    let late = REFUTATION_DELAY + Duration::from_secs(1);
    assert_eq!(ledger.expire(late, is_live).len(), 1);
    assert!(!is_quarantined(&ledger, 1));
}

#[test]
fn crashes_expire_after_their_ttl() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT {
        record_crash(&mut ledger, 1 + n as u64, n, &[1]);
    }
    assert_eq!(ledger.expire(CRASH_TTL, |_| false), []);
    let after = CRASH_TTL + Duration::from_secs(1);
    assert_eq!(ledger.expire(after, |_| false).len(), 1);
    assert!(!is_quarantined(&ledger, 1));
}

#[test]
fn bounded_ledger_keeps_the_crashes_of_the_cause() {
    let mut ledger = ledger();
    for n in 0..CRASH_LIMIT {
        record_crash(&mut ledger, 0, n, &[1]);
    }
    for n in 0..20_000_u32 {
        let body = n.to_be_bytes();
        let identity = Identity {
            body: &body,
            ..REQUEST
        };
        ledger.add(Crash {
            request: Fingerprint::of(&identity),
            incarnation: incarnation(100),
            at: Duration::from_secs(5),
            path: String::new(),
        });
    }
    assert!(ledger.requests().count() < 10_000);
    assert!(is_quarantined(&ledger, 1));
}

#[test]
fn crash_round_trips_through_its_row() {
    let crash = Crash {
        request: request(1),
        incarnation: EndpointIncarnation {
            endpoint: "i-1".repeat(60),
            started_ms: Some(17),
        },
        at: Duration::from_millis(1_234),
        path: "/desk/\"x\"?y".to_owned(),
    };
    let row = Row {
        id: crash.row(),
        value: crash.encode(),
        version: 3,
    };
    assert!(row.id.key.len() <= 200);
    assert_eq!(Crash::decode(&row).unwrap(), crash);
    let restarted = EndpointIncarnation {
        started_ms: Some(18),
        ..crash.incarnation.clone()
    };
    let next_crash = Crash {
        incarnation: restarted,
        ..crash
    };
    assert_ne!(next_crash.row(), row.id);
    for key in ["", "x", "x/y"] {
        let id = RowId::new(CRASHES, "", key);
        let value = row.value.clone();
        let malformed = Row {
            id,
            value,
            ..row.clone()
        };
        assert!(
            matches!(Crash::decode(&malformed), Err(DecodeCrashError::Key)),
            "{key}"
        );
    }
    let malformed = Row {
        value: b"{}".to_vec(),
        ..row
    };
    assert!(matches!(
        Crash::decode(&malformed),
        Err(DecodeCrashError::Value(_))
    ));
}

// Guards against missing crashes at hosts that lose power and close no connections.
#[test]
fn unresolved_attempts_count_once_their_endpoint_has_ended() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let path = || "/desk/x".to_owned();
    let mut attempts = UnresolvedAttempts::new();
    assert!(!attempts.add(start, request(1), incarnation(1), path()));
    assert!(!attempts.add(start, request(2), incarnation(2), path()));
    assert!(!attempts.add(start, request(3), incarnation(1), path()));
    attempts.remove_request(request(3));
    let found = attempts.record_end(start + second, &incarnation(1));
    assert_eq!(found, [(request(1), path())]);
    assert_eq!(attempts.record_end(start + second, &incarnation(1)), []);
    assert!(attempts.add(start + 2 * second, request(4), incarnation(1), path()));
    assert!(!attempts.is_empty());
    let late = start + UNRESOLVED_TTL + second;
    assert_eq!(attempts.record_end(late, &incarnation(2)), []);
    assert!(attempts.is_empty());
}

// Guards, over random neighbours, against missing the cause and refusing requests with fewer
// crashes.
#[test]
fn random_crashes_quarantine_the_cause_and_no_request_with_fewer() {
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut counts = [0; 12];
        for n in 0..CRASH_LIMIT + AMBIGUITY_MARGIN {
            let neighbours = (2..12_u8).filter(|_| rng.random_bool(0.4));
            let in_flight: Vec<u8> = neighbours.chain([1]).collect();
            record_crash(&mut ledger, 1, n, &in_flight);
            for n in &in_flight {
                counts[usize::from(*n)] += 1;
            }
            for n in 2..12_u8 {
                let has_fewer = counts[usize::from(n)] < counts[1];
                assert!(
                    !(has_fewer && is_quarantined(&ledger, n)),
                    "seed {seed}: {n}"
                );
            }
        }
        assert!(is_quarantined(&ledger, 1), "seed {seed}");
    }
}

// Guards against taking endpoints as live during a gap in updates.
#[test]
fn continuity_lasts_only_without_gaps() {
    let start = Instant::now();
    let at = |second: u64| start + Duration::from_secs(second);
    let mut continuity = UpdateContinuity::new();
    assert!(!continuity.has_lasted(at(0), Duration::ZERO));
    for second in (0..=REFUTATION_DELAY.as_secs()).step_by(2) {
        continuity.record_update(at(second));
    }
    assert!(continuity.has_lasted(at(20), REFUTATION_DELAY));
    assert!(
        !continuity.has_lasted(at(30), REFUTATION_DELAY),
        "updates stopped"
    );
    continuity.record_update(at(31));
    assert!(
        !continuity.has_lasted(at(32), REFUTATION_DELAY),
        "updates have just resumed"
    );
}
