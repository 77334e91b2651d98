//! Links that fail, sides that leave, and orders.

mod side_support;

use self::side_support::{
    Endpoint, Frame, Link, PATIENCE, RunningSide, answer, end_events, event, events, model,
    start_side, start_side_with,
};
use hibiscusroad::config::Document;
use hibiscusroad_wire::{Cancel, Config, Order, Seal, State, VERSION, to_side};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tonic::Code;

/// An engine that sends a token each 20 ms.
fn slow_engine(tokens: usize) -> Endpoint {
    Endpoint::start(move |path, stream| {
        if path == "/load" {
            return answer(stream, "{}");
        }
        events(stream);
        for _ in 0..tokens {
            let token = r#"{"system_fingerprint":"41","choices":[{"text":"a"}]}"#;
            if !event(stream, token) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        event(stream, "[DONE]");
        end_events(stream);
    })
}

fn generate(link: &Link, seq: u64) {
    link.send(to_side::Frame::Start(link.start(
        seq,
        "POST",
        "/v1/completions",
    )));
}

fn next_chunk(link: &Link) -> u64 {
    loop {
        if let Frame::Chunk(chunk) = link.next() {
            return chunk.offset + chunk.data.len() as u64;
        }
    }
}

fn await_that(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < until, "{what} did not happen");
        thread::sleep(Duration::from_millis(5));
    }
}

fn drain(version: u64, endpoint: &str) -> to_side::Frame {
    let mut document = Document {
        version,
        ..Document::default()
    };
    document.drains.endpoints.insert(endpoint.to_owned());
    let document = serde_json::to_vec(&document).unwrap();
    to_side::Frame::Config(Config { version, document })
}

#[test]
fn another_version_is_refused_with_both_named() {
    let endpoint = slow_engine(1);
    let side = start_side(endpoint.address, |_| {});
    let link = Link::hello(side.handle.links, 7, 1, VERSION + 1);
    let status = link.next_result().unwrap().unwrap_err();
    assert_eq!(status.code(), Code::FailedPrecondition);
    let (ours, theirs) = (VERSION.to_string(), (VERSION + 1).to_string());
    for part in ["wire-version", &ours, &theirs] {
        assert!(status.message().contains(part), "{}", status.message());
    }
}

#[test]
fn a_broken_frame_ends_its_link_only() {
    // A frame that names no attempt comes. Its link ends with a status that
    // says so, and other links don't notice.
    let endpoint = Endpoint::start(|_, stream| answer(stream, "fine"));
    let side = start_side(endpoint.address, |_| {});
    let (broken, other) = (Link::open(&side, 7, 1), Link::open(&side, 8, 1));
    broken.send(to_side::Frame::Seal(Seal { id: None }));
    let status = loop {
        match broken.next_result().unwrap() {
            Ok(Frame::Beat(_)) => {}
            other => break other.unwrap_err(),
        }
    };
    assert_eq!(status.code(), Code::InvalidArgument);
    other.get(1, "/lake");
    assert_eq!(other.answer(1).body, b"fine");
}

#[test]
fn a_silent_link_is_found_and_the_answer_goes_on_at_its_offset() {
    // The link goes silent in the middle of a stream, without closing. The side
    // closes it within a second. The entry attaches over a new link at the last
    // byte that it has, and gets the rest, each byte once.
    let engine = slow_engine(100);
    let side = start_side(engine.address, model);
    let first = Link::open(&side, 7, 1);
    generate(&first, 1);
    let arrived = next_chunk(&first);
    first.fall_silent();
    let since = Instant::now();
    while first.next_result().is_some_and(|frame| frame.is_ok()) {}
    assert!(since.elapsed() < Duration::from_millis(1_300));
    let second = Link::open(&side, 7, 2);
    second.attach(1, arrived);
    let answer = second.answer_from(1, arrived);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(answer.runs, [("41".to_owned(), 0)]);
    assert_eq!(engine.count("/v1/completions"), 1);
}

#[test]
fn an_answer_moves_to_a_new_link_while_the_old_one_stands() {
    // Only the way back is silent, so that the side hears nothing of it. The
    // entry opens a second link, attaches, and then closes the first.
    let engine = slow_engine(100);
    let side = start_side(engine.address, model);
    let first = Link::open(&side, 7, 1);
    generate(&first, 1);
    let arrived = next_chunk(&first);
    thread::sleep(Duration::from_millis(300));
    let second = Link::open(&side, 7, 2);
    second.attach(1, arrived);
    drop(first);
    let answer = second.answer_from(1, arrived);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(engine.count("/v1/completions"), 1);
}

#[test]
fn a_start_from_a_replaced_link_never_runs() {
    // The entry gave a link up and sealed what it had sent on it, over a new
    // one. Then the old link delivers that attempt and another.
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let side = start_side(endpoint.address, |_| {});
    let (old, new) = (Link::open(&side, 7, 1), Link::open(&side, 7, 2));
    new.seal(1);
    assert!(matches!(new.next(), Frame::Standing(s) if s.state() == State::Sealed));
    old.post_once(1, "/reserve");
    old.post_once(2, "/reserve");
    assert_eq!(old.refusal(), "endpoint-down");
    assert_eq!(endpoint.count("/reserve"), 0);
}

#[test]
fn an_attempt_without_an_entry_is_ended_unless_it_runs_once() {
    // The entry dies. What may be repeated is ended at the endpoint, whose
    // place it takes; a reservation runs on, and another entry gets its answer.
    let endpoint = Endpoint::start(|path, stream| {
        if path == "/reserve" {
            thread::sleep(Duration::from_millis(500));
            return answer(stream, "hut 4");
        }
        events(stream);
        while event(stream, "{}") {
            thread::sleep(Duration::from_millis(10));
        }
    });
    let side = start_side(endpoint.address, model);
    let link = Link::open(&side, 7, 1);
    generate(&link, 1);
    link.post_once(2, "/reserve");
    endpoint.await_call("/v1/completions");
    endpoint.await_call("/reserve");
    let id = link.id(2);
    drop(link);
    let other = Link::open(&side, 8, 1);
    await_that("the end of the call", || {
        other.next_beat().load.unwrap().running == 0
    });
    other.send(to_side::Frame::Seal(Seal { id }));
    assert!(matches!(other.next(), Frame::Standing(s) if s.state() == State::Done));
}

#[test]
fn a_cancel_frees_the_endpoint_at_once() {
    let engine = slow_engine(1_000);
    let side = start_side(engine.address, model);
    let link = Link::open(&side, 7, 1);
    generate(&link, 1);
    next_chunk(&link);
    let since = Instant::now();
    let id = link.id(1);
    link.send(to_side::Frame::Cancel(Cancel { id }));
    await_that("the end of the call", || {
        link.next_beat().load.unwrap().running == 0
    });
    assert!(since.elapsed() < Duration::from_secs(1));
}

#[test]
fn a_drain_refuses_new_work_and_cuts_off_none() {
    let engine = slow_engine(40);
    let side = start_side(engine.address, model);
    let link = Link::open(&side, 7, 1);
    generate(&link, 1);
    next_chunk(&link);
    link.send(drain(3, "hut-desk-1"));
    generate(&link, 2);
    assert_eq!(link.refusal(), "stopping");
    let rest = loop {
        match link.next() {
            Frame::End(end) => break end,
            Frame::Chunk(chunk) => link.ack(1, chunk.offset, false),
            other => panic!("unexpected {other:?}"),
        }
    };
    assert!(rest.length > 0);
    // An older version must not open the gate again; a newer one does.
    link.send(drain(2, "none"));
    link.get(3, "/load");
    assert_eq!(link.refusal(), "stopping");
    link.send(drain(4, "none"));
    link.get(4, "/load");
    assert_eq!(link.answer(4).body, b"{}");
}

#[test]
fn a_side_hands_the_configuration_on() {
    // The table service is down. One entry has a newer configuration; another
    // gets it through the side.
    let engine = slow_engine(1);
    let side = start_side(engine.address, model);
    let first = Link::open(&side, 7, 1);
    let second = Link::open(&side, 8, 1);
    first.send(drain(3, "other"));
    match second.next() {
        Frame::Config(config) => assert_eq!(config.version, 3),
        other => panic!("unexpected {other:?}"),
    }
    await_that("the version", || first.next_beat().config_version == 3);
}

#[test]
fn a_stop_lets_a_stream_complete() {
    // The host is taken away while an answer streams. Entries are told at once,
    // new work is refused, the stream comes to its end, then the side ends.
    let engine = slow_engine(40);
    let mut side = start_side(engine.address, model);
    let link = Link::open(&side, 7, 1);
    generate(&link, 1);
    next_chunk(&link);
    let since = Instant::now();
    side.stop();
    await_that("the news", || link.next_beat().leaving);
    assert!(since.elapsed() < Duration::from_millis(250));
    link.get(2, "/late");
    assert_eq!(link.refusal(), "stopping");
    assert!(!side.has_ended());
    let length = loop {
        if let Frame::End(end) = link.next() {
            break end.length;
        }
    };
    link.ack(1, length, true);
    side.join();
    assert_eq!(engine.count("/late"), 0);
}

#[test]
fn a_call_on_its_way_to_a_stopping_side_is_refused() {
    // A side with nothing to do is stopped. A reservation was sent before its
    // entry heard of it. It must be refused, and its refusal must arrive: once
    // the side is gone nobody can say that it did not run.
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let mut side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    side.stop();
    thread::sleep(Duration::from_millis(600));
    link.post_once(1, "/reserve");
    assert_eq!(link.refusal(), "stopping");
    side.join();
    assert_eq!(endpoint.count("/reserve"), 0);
}

#[test]
fn a_stop_has_a_deadline() {
    let engine = slow_engine(1_000);
    let mut side = start_side(engine.address, |settings| {
        model(settings);
        settings.stop.deadline_s = 1;
    });
    let link = Link::open(&side, 7, 1);
    generate(&link, 1);
    next_chunk(&link);
    let since = Instant::now();
    side.stop();
    side.join();
    assert!(since.elapsed() < Duration::from_secs(4));
}

#[test]
fn a_fresh_side_learns_the_number_before_it_passes_an_order() {
    // The side was replaced. The paused holder of lease 7 orders first; the row
    // says 8. No order passes before the row was read, and never that one.
    let engine = Endpoint::start(|_, stream| answer(stream, r#"{"version":"42"}"#));
    let row = Arc::new(AtomicU64::new(0));
    let read = Arc::clone(&row);
    let lease = Arc::new(move |_: &str| match read.load(Ordering::SeqCst) {
        0 => None,
        number => Some(number),
    });
    let side: RunningSide = start_side_with(engine.address, lease, model);
    let link = Link::open(&side, 7, 1);
    assert_eq!(order(&link, 1, 7), "store-down");
    row.store(8, Ordering::SeqCst);
    let mut seq = 1;
    await_that("the learning", || {
        seq += 1;
        order(&link, seq, 7) == "fenced"
    });
    assert_eq!(engine.count("/v1/weights"), 0);
    assert_eq!(order(&link, 100, 8), "");
    assert_eq!(engine.count("/v1/weights"), 1);
}

/// Gives an order and returns the problem that it met.
fn order(link: &Link, seq: u64, fence: u64) -> String {
    link.send(to_side::Frame::Order(Order {
        seq,
        fence,
        duty: "weights/guide-lm".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/weights".to_owned(),
        body: br#"{"version":"42"}"#.to_vec(),
    }));
    match link.next() {
        Frame::OrderDone(done) if done.seq == seq => done.problem,
        other => panic!("unexpected {other:?}"),
    }
}
