//! Fingerprints of requests.

use hibiscusroad::quarantine::{Fingerprint, Identity, NotFingerprint};

const REQUEST: Identity<'static> = Identity {
    method: "POST",
    host: "huts.example",
    path: "/desk/x",
    account: None,
    body: b"two nights",
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
        assert_eq!(odd.parse::<Fingerprint>(), Err(NotFingerprint), "{odd}");
    }
}
