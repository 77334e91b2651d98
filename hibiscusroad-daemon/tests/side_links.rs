//! Failures of streams, shutdown of sidecars, and orders.

mod side_support;

use self::side_support::{
    Endpoint, Frame, Link, RunningSide, TEST_TIMEOUT, answer, set_model_kind, start_side,
    start_side_with, write_event, write_events_end, write_events_head,
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

/// Starts an engine that sends a token every 20 ms.
fn slow_engine(tokens: usize) -> Endpoint {
    Endpoint::start(move |path, stream| {
        if path == "/load" {
            return answer(stream, "{}");
        }
        write_events_head(stream);
        for _ in 0..tokens {
            let token = r#"{"system_fingerprint":"41","choices":[{"text":"a"}]}"#;
            if !write_event(stream, token) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        write_event(stream, "[DONE]");
        write_events_end(stream);
    })
}

fn start_completion(link: &Link, seq: u64) {
    link.send(to_side::Frame::Start(link.start(
        seq,
        "POST",
        "/v1/completions",
    )));
}

/// Waits for the next chunk and returns its end offset.
fn next_chunk_end(link: &Link) -> u64 {
    loop {
        if let Frame::Chunk(chunk) = link.next() {
            return chunk.offset + chunk.data.len() as u64;
        }
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a configuration that drains an endpoint.
fn drain_config(version: u64, endpoint: &str) -> to_side::Frame {
    let mut document = Document {
        version,
        ..Document::default()
    };
    document.drains.endpoints.insert(endpoint.to_owned());
    let document = serde_json::to_vec(&document).unwrap();
    to_side::Frame::Config(Config { version, document })
}

#[test]
fn wire_version_mismatch_is_refused_with_both_versions() {
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
fn invalid_frame_closes_only_its_stream() {
    // A frame without an attempt id closes its stream with a status that says so,
    // and does not affect other streams.
    let endpoint = Endpoint::start(|_, stream| answer(stream, "fine"));
    let side = start_side(endpoint.address, |_| {});
    let (faulty, other) = (Link::open(&side, 7, 1), Link::open(&side, 8, 1));
    faulty.send(to_side::Frame::Seal(Seal { id: None }));
    let status = loop {
        match faulty.next_result().unwrap() {
            Ok(Frame::Beat(_)) => {}
            other => break other.unwrap_err(),
        }
    };
    assert_eq!(status.code(), Code::InvalidArgument);
    other.get(1, "/lake");
    assert_eq!(other.answer(1).body, b"fine");
}

#[test]
fn answer_resumes_at_offset_after_silent_stream() {
    // A stream goes silent without closing while an answer is sent. The sidecar
    // closes it soon, and the entry attaches over a new stream at its last offset and
    // receives the rest, each byte once.
    let engine = slow_engine(100);
    let side = start_side(engine.address, set_model_kind);
    let first = Link::open(&side, 7, 1);
    start_completion(&first, 1);
    let arrived = next_chunk_end(&first);
    first.stop_heartbeats();
    let started = Instant::now();
    while first.next_result().is_some_and(|frame| frame.is_ok()) {}
    assert!(started.elapsed() < Duration::from_millis(1_300));
    let second = Link::open(&side, 7, 2);
    second.attach(1, arrived);
    let answer = second.answer_from(1, arrived);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(answer.runs, [("41".to_owned(), 0)]);
    assert_eq!(engine.count("/v1/completions"), 1);
}

#[test]
fn answer_moves_to_new_stream_while_old_one_is_open() {
    // Only the direction to the entry fails, which the sidecar can't detect. The
    // entry opens a second stream, attaches, and then closes the first.
    let engine = slow_engine(100);
    let side = start_side(engine.address, set_model_kind);
    let first = Link::open(&side, 7, 1);
    start_completion(&first, 1);
    let arrived = next_chunk_end(&first);
    thread::sleep(Duration::from_millis(300));
    let second = Link::open(&side, 7, 2);
    second.attach(1, arrived);
    drop(first);
    let answer = second.answer_from(1, arrived);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(engine.count("/v1/completions"), 1);
}

#[test]
fn start_on_replaced_stream_never_runs() {
    // The entry replaced a stream and sealed an attempt over the new one. Then the
    // old stream delivers that attempt and another.
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
fn attempt_of_lost_entry_is_aborted_unless_once() {
    // The entry crashes. A call that may be repeated is aborted, which frees its
    // slot; a reservation completes, and another entry can get its answer.
    let endpoint = Endpoint::start(|path, stream| {
        if path == "/reserve" {
            thread::sleep(Duration::from_millis(500));
            return answer(stream, "hut 4");
        }
        write_events_head(stream);
        while write_event(stream, "{}") {
            thread::sleep(Duration::from_millis(10));
        }
    });
    let side = start_side(endpoint.address, set_model_kind);
    let link = Link::open(&side, 7, 1);
    start_completion(&link, 1);
    link.post_once(2, "/reserve");
    endpoint.wait_for_call("/v1/completions");
    endpoint.wait_for_call("/reserve");
    let id = link.id(2);
    drop(link);
    let other = Link::open(&side, 8, 1);
    wait_until("the call to end", || {
        other.next_heartbeat().load.unwrap().running == 0
    });
    other.send(to_side::Frame::Seal(Seal { id }));
    assert!(matches!(other.next(), Frame::Standing(s) if s.state() == State::Done));
}

#[test]
fn cancel_aborts_call_immediately() {
    let engine = slow_engine(1_000);
    let side = start_side(engine.address, set_model_kind);
    let link = Link::open(&side, 7, 1);
    start_completion(&link, 1);
    next_chunk_end(&link);
    let started = Instant::now();
    let id = link.id(1);
    link.send(to_side::Frame::Cancel(Cancel { id }));
    wait_until("the call to end", || {
        link.next_heartbeat().load.unwrap().running == 0
    });
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[test]
fn drain_refuses_new_work_and_completes_running() {
    let engine = slow_engine(40);
    let side = start_side(engine.address, set_model_kind);
    let link = Link::open(&side, 7, 1);
    start_completion(&link, 1);
    next_chunk_end(&link);
    link.send(drain_config(3, "hut-desk-1"));
    start_completion(&link, 2);
    assert_eq!(link.refusal(), "stopping");
    let end = loop {
        match link.next() {
            Frame::End(end) => break end,
            Frame::Chunk(chunk) => link.ack(1, chunk.offset, false),
            other => panic!("unexpected {other:?}"),
        }
    };
    assert!(end.length > 0);
    // An older configuration must not end the drain; a newer one does.
    link.send(drain_config(2, "none"));
    link.get(3, "/load");
    assert_eq!(link.refusal(), "stopping");
    link.send(drain_config(4, "none"));
    link.get(4, "/load");
    assert_eq!(link.answer(4).body, b"{}");
}

#[test]
fn sidecar_forwards_configuration() {
    // While the table service is down, an entry receives a newer configuration from
    // another entry through the sidecar.
    let engine = slow_engine(1);
    let side = start_side(engine.address, set_model_kind);
    let first = Link::open(&side, 7, 1);
    let second = Link::open(&side, 8, 1);
    first.send(drain_config(3, "other"));
    match second.next() {
        Frame::Config(config) => assert_eq!(config.version, 3),
        other => panic!("unexpected {other:?}"),
    }
    wait_until("the new version to be reported", || {
        first.next_heartbeat().config_version == 3
    });
}

#[test]
fn graceful_shutdown_completes_running_answer() {
    // The sidecar is stopped while an answer is sent. Entries are told immediately,
    // new work is refused, the answer completes, and then the sidecar ends.
    let engine = slow_engine(40);
    let mut side = start_side(engine.address, set_model_kind);
    let link = Link::open(&side, 7, 1);
    start_completion(&link, 1);
    next_chunk_end(&link);
    let started = Instant::now();
    side.stop();
    wait_until("the sidecar to report that it is leaving", || {
        link.next_heartbeat().leaving
    });
    assert!(started.elapsed() < Duration::from_millis(250));
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
fn start_in_transit_at_shutdown_is_refused() {
    // An idle sidecar is stopped while a reservation is in transit. The refusal must
    // reach the entry: once the sidecar has ended, no one can tell that the
    // reservation did not run.
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
fn graceful_shutdown_has_deadline() {
    let engine = slow_engine(1_000);
    let mut side = start_side(engine.address, |settings| {
        set_model_kind(settings);
        settings.stop.deadline_s = 1;
    });
    let link = Link::open(&side, 7, 1);
    start_completion(&link, 1);
    next_chunk_end(&link);
    let started = Instant::now();
    side.stop();
    side.join();
    assert!(started.elapsed() < Duration::from_secs(4));
}

#[test]
fn new_sidecar_reads_token_before_admitting_order() {
    // A new sidecar receives an order with the outdated token 7; the lease row has
    // 8. No order is admitted before the row is read, and that one never is.
    let engine = Endpoint::start(|_, stream| answer(stream, r#"{"version":"42"}"#));
    let row = Arc::new(AtomicU64::new(0));
    let stored = Arc::clone(&row);
    let read_lease = Arc::new(move |_: &str| match stored.load(Ordering::SeqCst) {
        0 => None,
        token => Some(token),
    });
    let side: RunningSide = start_side_with(engine.address, read_lease, set_model_kind);
    let link = Link::open(&side, 7, 1);
    assert_eq!(send_order(&link, 1, 7), "store-down");
    row.store(8, Ordering::SeqCst);
    let mut seq = 1;
    wait_until("the lease row to be read", || {
        seq += 1;
        send_order(&link, seq, 7) == "fenced"
    });
    assert_eq!(engine.count("/v1/weights"), 0);
    assert_eq!(send_order(&link, 100, 8), "");
    assert_eq!(engine.count("/v1/weights"), 1);
}

/// Sends an order and returns the problem code of its reply.
fn send_order(link: &Link, seq: u64, fence: u64) -> String {
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
