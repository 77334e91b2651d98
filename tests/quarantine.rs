//! Which requests crash endpoints, decided from drawn and given evidence.

use hibiscusroad::{
    quarantine::{
        AMBIGUITY_MARGIN, CRASHES, Contact, Crash, DecodeCrashError, Fingerprint, Identity, KEEP,
        LAPSED, LIMIT, Ledger, Life, OpenAttempts, ParseFingerprintError, UNRESOLVED_TTL, Verdict,
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
fn fingerprint_differs_with_each_part_of_the_identity() {
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
    let mut seen = vec![Fingerprint::of(&REQUEST)];
    for other in &others {
        let fingerprint = Fingerprint::of(other);
        assert!(!seen.contains(&fingerprint), "{other:?}");
        seen.push(fingerprint);
    }
}

#[test]
fn fingerprint_is_read_back_from_its_text() {
    let fingerprint = Fingerprint::of(&REQUEST);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for odd in ["", "12", &"g".repeat(32), &"é".repeat(16)] {
        assert_eq!(
            odd.parse::<Fingerprint>(),
            Err(ParseFingerprintError),
            "{odd}"
        );
    }
}

/// A request that is told apart by a number.
fn request(n: u8) -> Fingerprint {
    Fingerprint::of(&Identity {
        body: &[n],
        ..REQUEST
    })
}

fn life(n: usize) -> Life {
    Life {
        endpoint: format!("e{n}"),
        born: None,
    }
}

fn ledger() -> Ledger {
    Ledger::new(LIMIT, KEEP)
}

/// Notes that requests were in flight when an endpoint ended at this second.
fn crash(ledger: &mut Ledger, second: u64, n: usize, requests: &[u8]) {
    for request_n in requests {
        ledger.add(Crash {
            request: request(*request_n),
            life: life(n),
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
fn three_crashes_are_a_quarantine() {
    let mut ledger = ledger();
    assert_eq!(ledger.verdict(KEEP, request(1)), Verdict::Clear);
    for n in 0..LIMIT {
        assert!(!is_quarantined(&ledger, 1), "after {n} crashes");
        crash(&mut ledger, 50 + n as u64, n, &[1]);
    }
    let verdict = ledger.verdict(Duration::from_mins(1), request(1));
    let left = KEEP.saturating_sub(Duration::from_secs(10));
    assert_eq!(verdict, Verdict::Quarantined(left));
    assert_eq!(ledger.verdict(KEEP, request(2)), Verdict::Clear);
}

#[test]
fn one_life_ends_once() {
    let mut ledger = ledger();
    for second in 0..9 {
        crash(&mut ledger, second, 0, &[1]);
    }
    assert!(!is_quarantined(&ledger, 1));
}

// Guards against refusing requests that ran beside the cause at each of its crashes.
#[test]
fn neighbours_of_the_cause_are_not_quarantined() {
    let mut ledger = ledger();
    crash(&mut ledger, 1, 0, &[1, 2, 3, 4]);
    crash(&mut ledger, 1, 1, &[1]);
    crash(&mut ledger, 2, 2, &[1, 2, 5]);
    crash(&mut ledger, 2, 3, &[1, 2, 6]);
    assert!(is_quarantined(&ledger, 1));
    for n in 2..=6 {
        assert!(!is_quarantined(&ledger, n), "{n}");
    }
}

// Guards against refusing a neighbour that can't be told from the cause yet.
#[test]
fn a_neighbour_at_every_crash_waits_for_clear_evidence() {
    let mut ledger = ledger();
    for n in 0..LIMIT {
        crash(&mut ledger, 1, n, &[1, 2]);
    }
    assert!(!is_quarantined(&ledger, 1) && !is_quarantined(&ledger, 2));
    crash(&mut ledger, 2, LIMIT, &[1]);
    assert!(is_quarantined(&ledger, 1));
    assert!(!is_quarantined(&ledger, 2));
}

// Guards against a cause that goes on for ever because others always run beside it.
#[test]
fn ambiguous_evidence_ends_in_a_quarantine() {
    let mut ledger = ledger();
    for n in 0..LIMIT + AMBIGUITY_MARGIN {
        assert!(!is_quarantined(&ledger, 1), "after {n} crashes");
        crash(&mut ledger, 1, n, &[1, 2]);
    }
    assert!(is_quarantined(&ledger, 1));
}

// Guards against causes that hide behind each other's crashes.
#[test]
fn several_causes_end_a_bounded_number_of_endpoints() {
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut counts = [0; 4];
        for n in 0..60 {
            let causes = 1..4_u8;
            let free = causes.filter(|n| !is_quarantined(&ledger, *n));
            let there: Vec<u8> = free.filter(|_| rng.random_bool(0.6)).collect();
            crash(&mut ledger, 1, n, &there);
            for n in &there {
                counts[usize::from(*n)] += 1;
            }
        }
        let most = LIMIT + AMBIGUITY_MARGIN;
        assert!(
            counts.iter().all(|count| *count <= most),
            "seed {seed}: {counts:?}"
        );
        assert!((1..4).all(|n| is_quarantined(&ledger, n)), "seed {seed}");
    }
}

// Guards against refusing a neighbour for good because the cause's evidence came late.
#[test]
fn late_evidence_against_the_cause_clears_its_neighbour() {
    let mut ledger = ledger();
    for n in 0..LIMIT {
        crash(&mut ledger, 1, n, &[2]);
    }
    assert!(is_quarantined(&ledger, 2));
    for n in 0..=LIMIT {
        crash(&mut ledger, 1, n, &[1]);
    }
    assert!(is_quarantined(&ledger, 1));
    assert!(!is_quarantined(&ledger, 2));
}

#[test]
fn an_answer_clears_a_request() {
    let mut ledger = ledger();
    for n in 0..LIMIT {
        crash(&mut ledger, 1, n, &[1, 2]);
    }
    assert_eq!(ledger.forget(request(2)).len(), LIMIT);
    assert!(is_quarantined(&ledger, 1));
    assert_eq!(ledger.verdict(KEEP, request(2)), Verdict::Clear);
    assert_eq!(ledger.forget(request(2)), []);
}

// Guards against counting connections that broke at endpoints that live.
#[test]
fn crashes_of_endpoints_that_go_on_are_void() {
    let mut ledger = ledger();
    for n in 0..LIMIT {
        crash(&mut ledger, 1, n, &[1]);
    }
    let lives = |seen: &Life| *seen == life(0);
    let early = LAPSED;
    assert_eq!(ledger.expire(early, lives), []);
    assert!(is_quarantined(&ledger, 1));
    let late = LAPSED + Duration::from_secs(1);
    assert_eq!(ledger.expire(late, lives).len(), 1);
    assert!(!is_quarantined(&ledger, 1));
}

#[test]
fn crashes_count_for_a_while() {
    let mut ledger = ledger();
    for n in 0..LIMIT {
        crash(&mut ledger, 1 + n as u64, n, &[1]);
    }
    assert_eq!(ledger.expire(KEEP, |_| false), []);
    let over = KEEP + Duration::from_secs(1);
    assert_eq!(ledger.expire(over, |_| false).len(), 1);
    assert!(!is_quarantined(&ledger, 1));
}

#[test]
fn a_ledger_is_bounded_and_keeps_the_cause() {
    let mut ledger = ledger();
    for n in 0..LIMIT {
        crash(&mut ledger, 0, n, &[1]);
    }
    for n in 0..20_000_u32 {
        let body = n.to_be_bytes();
        let identity = Identity {
            body: &body,
            ..REQUEST
        };
        ledger.add(Crash {
            request: Fingerprint::of(&identity),
            life: life(100),
            at: Duration::from_secs(5),
            path: String::new(),
        });
    }
    assert!(ledger.requests().count() < 10_000);
    assert!(is_quarantined(&ledger, 1));
}

#[test]
fn a_crash_is_read_back_from_its_row() {
    let crash = Crash {
        request: request(1),
        life: Life {
            endpoint: "i-1".repeat(60),
            born: Some(17),
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
    let other = Life {
        born: Some(18),
        ..crash.life.clone()
    };
    let reborn = Crash {
        life: other,
        ..crash
    };
    assert_ne!(reborn.row(), row.id);
    for key in ["", "x", "x/y"] {
        let id = RowId::new(CRASHES, "", key);
        let value = row.value.clone();
        let odd = Row {
            id,
            value,
            ..row.clone()
        };
        assert!(
            matches!(Crash::decode(&odd), Err(DecodeCrashError::Key)),
            "{key}"
        );
    }
    let odd = Row {
        value: b"{}".to_vec(),
        ..row
    };
    assert!(matches!(
        Crash::decode(&odd),
        Err(DecodeCrashError::Value(_))
    ));
}

// Guards against a cause that runs for ever at hosts that lose power without a word.
#[test]
fn attempts_without_an_answer_count_once_their_endpoint_has_ended() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let path = || "/desk/x".to_owned();
    let mut open = OpenAttempts::new();
    assert!(!open.add(start, request(1), life(1), path()));
    assert!(!open.add(start, request(2), life(2), path()));
    assert!(!open.add(start, request(3), life(1), path()));
    open.forget(request(3));
    let found = open.ended(start + second, &life(1));
    assert_eq!(found, [(request(1), path())]);
    assert_eq!(open.ended(start + second, &life(1)), []);
    assert!(open.add(start + 2 * second, request(4), life(1), path()));
    assert!(!open.is_empty());
    let late = start + UNRESOLVED_TTL + second;
    assert_eq!(open.ended(late, &life(2)), []);
    assert!(open.is_empty());
}

// Guards against a cause that escapes, and neighbours that are refused, whatever runs
// beside what.
#[test]
fn drawn_crashes_quarantine_the_cause_and_nobody_with_fewer() {
    for seed in 0..500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut counts = [0; 12];
        for n in 0..LIMIT + AMBIGUITY_MARGIN {
            let beside = (2..12_u8).filter(|_| rng.random_bool(0.4));
            let there: Vec<u8> = beside.chain([1]).collect();
            crash(&mut ledger, 1, n, &there);
            for n in &there {
                counts[usize::from(*n)] += 1;
            }
            for n in 2..12_u8 {
                let fewer = counts[usize::from(n)] < counts[1];
                assert!(!(fewer && is_quarantined(&ledger, n)), "seed {seed}: {n}");
            }
        }
        assert!(is_quarantined(&ledger, 1), "seed {seed}");
    }
}

// Guards against taking endpoints for alive whose entries could not be heard of.
#[test]
fn contact_is_steady_without_gaps_only() {
    let start = Instant::now();
    let at = |second: u64| start + Duration::from_secs(second);
    let mut contact = Contact::new();
    assert!(!contact.is_steady(at(0), Duration::ZERO));
    for second in (0..=LAPSED.as_secs()).step_by(2) {
        contact.hear(at(second));
    }
    assert!(contact.is_steady(at(20), LAPSED));
    assert!(!contact.is_steady(at(30), LAPSED), "it went silent");
    contact.hear(at(31));
    assert!(!contact.is_steady(at(32), LAPSED), "it has just come back");
}
