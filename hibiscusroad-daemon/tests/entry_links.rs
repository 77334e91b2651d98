//! What callers see when links between an entry and a side fail.

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

fn stand(out: &Out, id: Option<Id>, state: State) {
    let state = state.into();
    out.send(to_entry::Frame::Standing(Standing { id, state }));
}

fn whole(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n0\r\n\r\n")
}

/// A side that sends half of a stream, then calls `fail`, and the rest to
/// whoever attaches.
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
            // The side can't know what arrived, so it may send more than asked.
            out.chunk(attach.id, 0, "data: a\n\n");
            out.chunk(attach.id, 9, "data: b\n\n");
            out.end(attach.id, 18);
        }
        _ => {}
    })
}

// The caller sees one whole stream, without a repeated byte. The connection to
// the side breaks after the first chunk; the entry opens another, attaches at
// the offset that it has, and drops what comes twice.
#[test]
fn a_stream_goes_on_after_a_cut() {
    let side = half_stream(|_, out| {
        let out = out.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(50));
            out.cut();
        });
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
    assert!(whole(&answer), "{answer}");
    assert_eq!(answer.matches("data: a").count(), 1, "{answer}");
    assert_eq!(answer.matches("data: b").count(), 1, "{answer}");
    assert_eq!(side.starts(), 1);
}

// The caller sees a pause of less than a second and a whole stream. The
// connection goes silent without closing, as when a firewall forgets it.
// Missed heartbeats make the entry open another and attach over it.
#[test]
fn a_stream_goes_on_after_a_silence() {
    let side = half_stream(|side, out| side.silent.store(out.epoch, SeqCst));
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
    let took = begin.elapsed();
    assert!(whole(&answer), "{answer}");
    assert!(took < Duration::from_millis(1200), "{took:?}");
    assert_eq!(side.starts(), 1);
}

// The caller of a request that may not run twice gets its answer, and it ran
// once. The connection breaks before the side said anything of it, so the
// entry can't know whether the Start arrived; it asks to seal, learns that it
// runs, and attaches.
#[test]
fn a_start_that_arrived_is_found_by_its_seal() {
    let side = Side::start("hut-desk", |_, out, frame| match frame {
        Frame::Start(_) => out.cut(),
        Frame::Seal(seal) => stand(out, seal.id, State::Running),
        Frame::Attach(attach) => out.answer(attach.id, "reserved"),
        _ => {}
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", "", "hut 3");
    assert!(answer.ends_with("\r\n\r\nreserved"), "{answer}");
    assert_eq!(side.starts(), 1);
}

// The caller gets its answer or a true "not run". The Start is lost with its
// connection; the seal says that it never started and never will, so another
// attempt is safe even for a request that may not run twice.
#[test]
fn a_start_that_was_lost_is_sealed_and_tried_again() {
    let side = Side::start("hut-desk", |_, out, frame| match frame {
        Frame::Start(_) if out.epoch == 1 => out.cut(),
        Frame::Start(start) => out.answer(start.id, "reserved"),
        Frame::Seal(seal) => stand(out, seal.id, State::Sealed),
        _ => {}
    });
    let entry = start(&[&side], "");
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", "", "hut 3");
    let refused = answer.contains("503") && answer.contains(r#""not_run":true"#);
    assert!(answer.ends_with("reserved") || refused, "{answer}");
}

// The caller is told at once that nobody knows whether it ran. The side dies
// after the Start and comes back as another life that knows nothing of it.
#[test]
fn a_side_that_came_back_without_memory_means_unknown() {
    let side = Side::start("hut-desk", |side, out, frame| {
        if let Frame::Start(_) = frame {
            side.incarnation.store(8, SeqCst);
            out.cut();
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

// The caller is told "unknown" when its deadline passes, never "not run", and
// not before. The side is cut off for good after the Start, so that nobody can
// say what became of it.
#[test]
fn a_side_that_stays_away_means_unknown_at_the_deadline() {
    let side = Side::start("hut-desk", |side, out, frame| {
        if let Frame::Start(_) = frame {
            side.deaf.store(true, SeqCst);
            out.cut();
        }
    });
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let deadline = "Deadline-Ms: 1500\r\n";
    let answer = call(&entry, "POST", "/s/hut-desk/reserve", deadline, "hut 3");
    let took = begin.elapsed();
    assert!(answer.contains("outcome-unknown"), "{answer}");
    assert!(took >= Duration::from_millis(1490), "{took:?}");
    assert!(took < Duration::from_millis(1700), "{took:?}");
}

// The caller sees its own answer, whole. Chunks come late, twice, for other
// attempts, and with one missing; the entry asks for the missing one again.
#[test]
fn late_repeated_and_stray_chunks_change_nothing() {
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

// The caller of a plain call sees an error, and the caller of a stream sees it
// break: the last chunk never comes. The side declares more bytes than it has,
// and asking again gives no more.
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

// The caller is refused with "not run" and told when to come back. The side
// speaks a version of the frames that this entry doesn't know, so nothing is
// sent to it.
#[test]
fn another_version_of_the_frames_takes_no_work() {
    let side = Side::start("hut-desk", |_, _, _| {});
    side.version.store(99, Relaxed);
    let entry = start(&[&side], "");
    let deadline = "Deadline-Ms: 300\r\n";
    let answer = call(&entry, "GET", "/s/hut-desk/huts", deadline, "");
    assert!(answer.contains(r#""not_run":true"#), "{answer}");
    assert!(answer.contains("Retry-After: "), "{answer}");
    assert_eq!(side.starts(), 0);
}

// No caller sees anything. A connection goes silent while idle; the entry opens
// another before it drops it, with a higher epoch, and only one.
#[test]
fn a_silent_idle_link_is_replaced_within_a_second() {
    let side = Side::start("hut-desk", |_, _, _| {});
    let entry = start(&[&side], "");
    let epochs = Mutex::new(Vec::new());
    side.silent.store(1, SeqCst);
    let begin = Instant::now();
    wait_until(|| {
        let seen = side.seen.lock().unwrap();
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

// The caller sees its whole answer though many pieces with a hole before them
// come first. The entry asks for the hole once; asking with each piece would
// use up the tries and end a good answer as a short one.
#[test]
fn many_pieces_after_a_hole_are_one_question() {
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

// A caller has the first piece of a stream when the side dies for good. No other
// side can go on with it. The caller must see the answer broken off soon, and
// not stand before a silent stream until its deadline of ten seconds.
#[test]
fn a_stream_whose_side_died_is_broken_off_soon() {
    let side = half_stream(|side, out| {
        side.deaf.store(true, SeqCst);
        out.cut();
    });
    let entry = start(&[&side], "");
    let asked = Instant::now();
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
    assert!(asked.elapsed() < Duration::from_secs(4));
}

// The endpoint dies between the head of a stream and its first byte. The caller
// has nothing of the answer yet, so it gets a whole one from another endpoint
// instead of an empty one that breaks off.
#[test]
fn a_stream_that_died_before_its_first_byte_is_answered_elsewhere() {
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
    assert!(whole(&answer), "{answer}");
    assert_eq!(starts.load(SeqCst), 2);
}
