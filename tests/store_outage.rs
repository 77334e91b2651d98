//! Outages of the store, told from single calls without an answer.

use hibiscusroad::store_outage::{Recovery, StoreOutage};
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const fn recovery(duration: Duration, is_outage: bool) -> Recovery {
    Recovery {
        duration,
        is_outage,
    }
}

// Guards against endpoints that are kept because one connection to the store went silent.
#[test]
fn lost_call_is_no_failure_while_later_ones_are_answered() {
    let start = Instant::now();
    let mut store = StoreOutage::new();
    assert_eq!(store.record_answer(start + ms(900)), None);
    assert!(!store.record_loss(start + ms(2_700), start, start + ms(2_000)));
    assert_eq!(store.record_answer(start + ms(2_900)), None);
}

// Guards against endpoints that are kept because all connections broke, or the process was paused.
#[test]
fn failure_that_is_over_at_once_is_no_outage() {
    let start = Instant::now();
    let mut store = StoreOutage::new();
    store.record_answer(start);
    assert!(store.record_loss(start + ms(800), start + ms(1), start + ms(2_000)));
    assert!(!store.record_loss(start + ms(801), start + ms(2), start + ms(2_000)));
    let recovered = store.record_answer(start + ms(900));
    assert_eq!(recovered, Some(recovery(ms(100), false)));
}

#[test]
fn silent_store_is_out_from_when_an_answer_was_due() {
    let start = Instant::now();
    let mut store = StoreOutage::new();
    store.record_answer(start);
    assert!(store.record_loss(start + ms(2_700), start + ms(1), start + ms(2_000)));
    let recovered = store.record_answer(start + ms(3_000));
    assert_eq!(recovered, Some(recovery(ms(1_000), true)));
    assert_eq!(store.record_answer(start + ms(3_001)), None);
}

// Guards against dropping endpoints whose entries expire while the store serves some calls only.
#[test]
fn store_that_says_it_is_unavailable_is_out() {
    let start = Instant::now();
    let mut store = StoreOutage::new();
    store.record_answer(start);
    assert!(store.record_refusal(start + ms(10)));
    assert!(!store.record_refusal(start + ms(20)));
    let recovered = store.record_answer(start + ms(30));
    assert_eq!(recovered, Some(recovery(ms(20), true)));
}

#[test]
fn refusal_after_a_lost_call_makes_it_an_outage() {
    let start = Instant::now();
    let mut store = StoreOutage::new();
    assert!(store.record_loss(start + ms(10), start, start));
    assert!(!store.record_refusal(start + ms(20)));
    let recovered = store.record_answer(start + ms(30));
    assert_eq!(recovered, Some(recovery(ms(30), true)));
}
