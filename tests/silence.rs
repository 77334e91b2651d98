//! Detection of connections that have gone silent.

use hibiscusroad::silence::{Doubt, Silences};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_millis(100);

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

// Guards against requests that try one silent connection after the other.
#[test]
fn unanswered_request_puts_older_connections_to_its_address_in_doubt() {
    let start = Instant::now();
    let mut silences = Silences::default();
    let doubt = silences.record_silence(start + WAIT, "a", start);
    assert_eq!(doubt, Doubt::Address(start));
    let again = at(start, 300);
    let doubt = silences.record_silence(again + WAIT, "a", again);
    assert_eq!(
        doubt,
        Doubt::Address(again),
        "one address shows nothing about others"
    );
}

#[test]
fn silence_at_two_addresses_puts_all_connections_in_doubt() {
    let start = Instant::now();
    let mut silences = Silences::default();
    silences.record_silence(at(start, 250), "a", at(start, 20));
    let doubt = silences.record_silence(at(start, 260), "b", start);
    assert_eq!(doubt, Doubt::All(start));
    let doubt = silences.record_silence(at(start, 500), "c", at(start, 300));
    assert_eq!(
        doubt,
        Doubt::Address(at(start, 300)),
        "the doubt is dealt with"
    );
}

// Guards against connections that are given up because two endpoints are slow.
#[test]
fn answer_on_an_old_connection_ends_the_doubt() {
    let start = Instant::now();
    let mut silences = Silences::default();
    silences.record_silence(at(start, 1_100), "a", at(start, 1_000));
    silences.record_answer(at(start, 900));
    let doubt = silences.record_silence(at(start, 1_300), "b", at(start, 1_200));
    assert_eq!(doubt, Doubt::Address(at(start, 1_200)));
    silences.record_answer(at(start, 1_250));
    let doubt = silences.record_silence(at(start, 1_400), "c", at(start, 1_300));
    assert_eq!(
        doubt,
        Doubt::All(at(start, 1_200)),
        "a connection that was opened since shows nothing"
    );
}

#[test]
fn cancelled_and_long_past_requests_show_nothing() {
    let start = Instant::now();
    let mut silences = Silences::default();
    assert_eq!(
        silences.record_silence(at(start, 50), "a", start),
        Doubt::None
    );
    silences.record_silence(at(start, 200), "b", at(start, 100));
    let late = at(start, 9_000);
    let doubt = silences.record_silence(late + WAIT, "c", late);
    assert_eq!(doubt, Doubt::Address(late));
}
