//! Failures of the links between an entry and its sidecars.

mod entry_support;

use entry_support::{Out, Side, call, start, wait_until};
use hibiscusroad::ErrorKind;
use hibiscusroad_wire::{Id, Refused, Standing, State, to_entry, to_side::Frame};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU32,
            Ordering::{Relaxed, SeqCst},
        },
    },
    thread,
    time::{Duration, Instant},
};

const STREAM: &str = "text/event-stream";
const PROMPT: &str = r#"{"prompt":"hi","stream":true}"#;

fn send_state(out: &Out, id: Option<Id>, state: State) {
    let state = state.into();
    out.send(to_entry::Frame::Standing(Standing { id, state }));
}

fn is_complete_stream(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n0\r\n\r\n")
}

/// A sidecar that sends half of a stream, calls `fail`, and sends the rest on
/// Attach.
fn half_stream(fail: impl Fn(&Side, &Out) + Send + Sync + 'static) -> Side {
    Side::start("guide-lm", move |side, out, frame| match frame {
        Frame::Start(start) => {
            out.head(start.id, STREAM);
            out.chunk(start.id, 0, "data: a\n\n");
            let (side, out) = (side.clone(), out.clone());
            fail(&side, &out);
        }
        Frame::Attach(attach) => {
            assert_eq!(attach.offset, 9);
            // Sends from the start, to check that duplicates are dropped.
            out.chunk(attach.id, 0, "data: a\n\n");
            out.chunk(attach.id, 9, "data: b\n\n");
            out.end(attach.id, 18);
        }
        _ => {}
    })
}

// Guards against lost or duplicate bytes when the connection breaks after the first
// chunk of a stream.
#[test]
fn stream_resumes_after_a_broken_connection() {
    let side = half_stream(|_, out| {
        let out = out.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(50));
            out.disconnect();
        });
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
    assert!(is_complete_stream(&answer), "{answer}");
    assert_eq!(answer.matches("data: a").count(), 1, "{answer}");
    assert_eq!(answer.matches("data: b").count(), 1, "{answer}");
    assert_eq!(side.starts(), 1);
}

// Guards against a stalled stream when a connection goes silent without closing, as
// when a firewall drops its state.
#[test]
fn stream_resumes_after_a_silent_connection() {
    let side = half_stream(|side, out| side.silent.store(out.epoch, SeqCst));
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
    let elapsed = begin.elapsed();
    assert!(is_complete_stream(&answer), "{answer}");
    assert!(elapsed < Duration::from_millis(1200), "{elapsed:?}");
    assert_eq!(side.starts(), 1);
}

// Guards against a second run when the connection breaks after a Start that did
// arrive. The response to Seal shows that the attempt runs.
#[test]
fn a_start_that_arrived_is_found_by_its_seal() {
    let side = Side::start("hut-desk", |_, out, frame| match frame {
        Frame::Start(_) => out.disconnect(),
        Frame::Seal(seal) => send_state(out, seal.id, State::Running),
        Frame::Attach(attach) => out.answer(attach.id, "reserved"),
        _ => {}
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", "", "hut 3");
    assert!(answer.ends_with("\r\n\r\nreserved"), "{answer}");
    assert_eq!(side.starts(), 1);
}

// Guards against an unknown outcome when a Start is lost with its connection. After
// the Seal, a retry is safe even if the request isn't idempotent.
#[test]
fn lost_start_is_sealed_and_retried() {
    let side = Side::start("hut-desk", |_, out, frame| match frame {
        Frame::Start(_) if out.epoch == 1 => out.disconnect(),
        Frame::Start(start) => out.answer(start.id, "reserved"),
        Frame::Seal(seal) => send_state(out, seal.id, State::Sealed),
        _ => {}
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", "", "hut 3");
    let refused = answer.contains("503") && answer.contains(r#""not_run":true"#);
    assert!(answer.ends_with("reserved") || refused, "{answer}");
}

// Guards against waiting, and against "not run", when the sidecar restarts after a
// Start and has lost its state.
#[test]
fn new_incarnation_of_a_sidecar_means_unknown() {
    let side = Side::start("hut-desk", |side, out, frame| {
        if let Frame::Start(_) = frame {
            side.incarnation.store(8, SeqCst);
            out.disconnect();
        }
    });
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", "", "hut 3");
    assert!(answer.contains("outcome-unknown"), "{answer}");
    assert!(answer.contains(r#""not_run":false"#), "{answer}");
    assert!(begin.elapsed() < Duration::from_secs(1));
    assert_eq!(side.starts(), 1);
}

// Guards against "not run", and against an early answer, when the sidecar is
// unreachable after the Start.
#[test]
fn unreachable_sidecar_means_unknown_at_the_deadline() {
    let side = Side::start("hut-desk", |side, out, frame| {
        if let Frame::Start(_) = frame {
            side.no_welcome.store(true, SeqCst);
            out.disconnect();
        }
    });
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let deadline = "Deadline-Ms: 1500\r\n";
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", deadline, "hut 3");
    let elapsed = begin.elapsed();
    assert!(answer.contains("outcome-unknown"), "{answer}");
    assert!(elapsed >= Duration::from_millis(1490), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1700), "{elapsed:?}");
}

// Guards against a corrupt answer when chunks are late, duplicate, missing, or of
// another attempt.
#[test]
fn late_duplicate_and_foreign_chunks_are_ignored() {
    let side = Side::start("hut-desk", |_, out, frame| match frame {
        Frame::Start(start) => {
            let other = start.id.map(|id| Id { seq: 999, ..id });
            out.head(start.id, "text/plain");
            out.chunk(other, 0, "XXXX");
            out.chunk(start.id, 0, "abcd");
            out.chunk(start.id, 0, "abcd");
            out.chunk(start.id, 2, "cdef");
            out.end(other, 4);
            out.chunk(start.id, 8, "ij");
        }
        Frame::Attach(attach) => {
            assert_eq!(attach.offset, 6);
            out.chunk(attach.id, 6, "ghij");
            out.end(attach.id, 10);
            out.chunk(attach.id, 10, "late");
        }
        _ => {}
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "GET", "/s/hut-desk/huts", "", "");
    assert!(answer.ends_with("\r\n\r\nabcdefghij"), "{answer}");
}

// Guards against delivering an incomplete answer as complete: the sidecar declares
// more bytes than it sends.
#[test]
fn a_short_answer_is_never_a_success() {
    let plain = Side::start("hut-desk", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.head(start.id, "text/plain");
            out.chunk(start.id, 0, "abc");
            out.end(start.id, 10);
        } else if let Frame::Attach(attach) = frame {
            out.end(attach.id, 10);
        }
    });
    let stream = Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.head(start.id, STREAM);
            out.chunk(start.id, 0, "data: a\n\n");
            out.end(start.id, 90);
        } else if let Frame::Attach(attach) = frame {
            out.end(attach.id, 90);
        }
    });
    let entry = start(&[&plain, &stream], "");
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", "", "");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
    assert!(answer.contains("data: a"), "{answer}");
    assert!(!answer.contains("\r\n0\r\n"), "{answer}");
    assert!(answer.ends_with("broken off\r\n"), "{answer}");
}

// Guards against sending work to a sidecar with another protocol version.
#[test]
fn sidecar_with_another_version_gets_no_work() {
    let side = Side::start("hut-desk", |_, _, _| {});
    side.version.store(99, Relaxed);
    let entry = start(&[&side], "");
    let deadline = "Deadline-Ms: 300\r\n";
    let answer = call(&entry, "GET", "/s/hut-desk/huts", deadline, "");
    assert!(answer.contains(r#""not_run":true"#), "{answer}");
    assert!(answer.contains("Retry-After: "), "{answer}");
    assert_eq!(side.starts(), 0);
}

// Guards against keeping a silent idle connection, and against opening more than one
// replacement.
#[test]
fn a_silent_idle_link_is_replaced_within_a_second() {
    let side = Side::start("hut-desk", |_, _, _| {});
    let entry = start(&[&side], "");
    let epochs = Mutex::new(Vec::new());
    side.silent.store(1, SeqCst);
    let begin = Instant::now();
    wait_until(|| {
        let seen = side.received.lock().unwrap();
        let hellos = seen.iter().filter_map(|f| match f {
            Frame::Hello(hello) => Some(hello.epoch),
            _ => None,
        });
        *epochs.lock().unwrap() = hellos.collect();
        epochs.lock().unwrap().len() == 2
    });
    assert!(begin.elapsed() < Duration::from_secs(1));
    assert_eq!(*epochs.lock().unwrap(), [1, 2]);
    drop(entry);
}

// Guards against one Attach per chunk after a gap, which would exhaust the limit and
// fail a good answer.
#[test]
fn chunks_after_a_gap_cause_one_attach() {
    let side = Side::start("hut-desk", |_, out, frame| match frame {
        Frame::Start(start) => {
            out.head(start.id, "text/plain");
            for i in 1..9 {
                out.chunk(start.id, i, "x");
            }
        }
        Frame::Attach(attach) => {
            out.chunk(attach.id, 0, "abcdefghij");
            out.end(attach.id, 10);
        }
        _ => {}
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "GET", "/s/hut-desk/huts", "", "");
    assert!(answer.ends_with("\r\n\r\nabcdefghij"), "{answer}");
    assert_eq!(side.count(|f| matches!(f, Frame::Attach(_))), 1);
}

// Guards against a stalled stream until the caller's deadline when the sidecar is
// lost after the first chunk.
#[test]
fn stream_of_a_lost_sidecar_is_broken_off_soon() {
    let side = half_stream(|side, out| {
        side.no_welcome.store(true, SeqCst);
        out.disconnect();
    });
    let entry = start(&[&side], "");
    let start_time = Instant::now();
    let mut stream = TcpStream::connect(entry.callers()).unwrap();
    let length = PROMPT.len();
    let head = "POST /s/guide-lm/v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close";
    write!(stream, "{head}\r\nContent-Length: {length}\r\n\r\n{PROMPT}").unwrap();
    let limit = Duration::from_secs(6);
    stream.set_read_timeout(Some(limit)).unwrap();
    let mut answer = String::new();
    let end = stream.read_to_string(&mut answer);
    assert!(end.is_ok(), "nothing came for {limit:?} after {answer}");
    assert!(answer.contains("data: "), "{answer}");
    assert!(answer.ends_with("broken off\r\n"), "{answer}");
    assert!(start_time.elapsed() < Duration::from_secs(4));
}

// Guards against an empty, broken stream when the endpoint fails between the head
// and the first byte. Another endpoint can still answer.
#[test]
fn stream_that_fails_before_its_first_byte_is_retried() {
    let starts = Arc::new(AtomicU32::new(0));
    let side = || {
        let starts = Arc::clone(&starts);
        Side::start("guide-lm", move |_, out, frame| {
            let Frame::Start(start) = frame else { return };
            out.head(start.id, STREAM);
            if starts.fetch_add(1, SeqCst) == 0 {
                return out.send(to_entry::Frame::Refused(Refused {
                    id: start.id,
                    problem: ErrorKind::EndpointBroken.answer().problem.to_owned(),
                    retry_ms: 0,
                }));
            }
            out.chunk(start.id, 0, "data: a\n\n");
            out.end(start.id, 9);
        })
    };
    let (one, other) = (side(), side());
    let entry = start(&[&one, &other], "");
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
    assert!(is_complete_stream(&answer), "{answer}");
    assert_eq!(starts.load(SeqCst), 2);
}
