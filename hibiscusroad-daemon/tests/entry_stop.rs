//! Graceful shutdown of an entry.

mod entry_support;

use entry_support::{Side, call, rest, start};
use hibiscusroad_wire::to_side::Frame;
use std::{
    io::{ErrorKind, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

const PROMPT: &str = r#"{"prompt":"hi","stream":true}"#;

/// A sidecar whose streams take 800 ms, in four chunks.
fn slow_stream() -> Side {
    Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            let out = out.clone();
            thread::spawn(move || {
                out.head(start.id, "text/event-stream");
                for i in 0..4 {
                    thread::sleep(Duration::from_millis(200));
                    out.chunk(start.id, i * 9, "data: a\n\n");
                }
                out.end(start.id, 36);
            });
        }
    })
}

// Guards against breaking off a stream at shutdown, and against accepting requests
// after it began.
#[test]
fn stop_completes_streams_and_refuses_new_requests() {
    let side = slow_stream();
    let entry = start(&[&side], "");
    let stopper = entry.stopper();
    thread::scope(|scope| {
        let stream = scope.spawn(|| call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT));
        thread::sleep(Duration::from_millis(300));
        stopper.stop();
        let late = call(&entry, "POST", "/s/guide-lm/v1/completions", "", PROMPT);
        assert!(late.contains("problem:stopping"), "{late}");
        assert!(late.contains(r#""not_run":true"#), "{late}");
        assert!(late.contains("Connection: close\r\n"), "{late}");
        let answer = stream.join().unwrap();
        assert_eq!(answer.matches("data: a").count(), 4, "{answer}");
        assert!(answer.ends_with("\r\n0\r\n\r\n"), "{answer}");
    });
    let begin = Instant::now();
    entry.join();
    assert!(begin.elapsed() < Duration::from_secs(7));
}

// Guards against an endless stream that keeps an entry from stopping.
#[test]
fn a_stop_has_a_deadline() {
    let side = Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.head(start.id, "text/event-stream");
        }
    });
    let entry = start(&[&side], "");
    let stopper = entry.stopper();
    let address = entry.callers();
    let caller = thread::spawn(move || {
        let body = PROMPT.len();
        let request = format!(
            "POST /s/guide-lm/v1/completions HTTP/1.1\r\nContent-Length: {body}\r\n\r\n{PROMPT}"
        );
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        std::io::Write::write_all(&mut stream, request.as_bytes()).unwrap();
        let mut answer = String::new();
        let limit = Some(Duration::from_secs(9));
        stream.set_read_timeout(limit).unwrap();
        let _ = std::io::Read::read_to_string(&mut stream, &mut answer);
        answer
    });
    thread::sleep(Duration::from_millis(300));
    stopper.stop();
    let begin = Instant::now();
    entry.join();
    let elapsed = begin.elapsed();
    assert!(elapsed >= Duration::from_millis(4900), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(5600), "{elapsed:?}");
    let answer = caller.join().unwrap();
    assert!(!answer.contains("\r\n0\r\n"), "{answer}");
}

// Guards against resetting open connections at shutdown, and against accepting new
// ones.
#[test]
fn a_kept_connection_is_answered_until_the_end() {
    let side = Side::start("hut-desk", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.answer(start.id, "ok");
        }
    });
    let entry = start(&[&side], "");
    let request = b"GET /s/hut-desk/x HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut kept = TcpStream::connect(entry.callers()).unwrap();
    entry.stopper().stop();
    thread::sleep(Duration::from_millis(1500));
    let refused = TcpStream::connect(entry.callers()).unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    kept.write_all(request).unwrap();
    let answer = rest(&mut kept);
    assert!(answer.contains("problem:stopping"), "{answer}");
    assert!(answer.contains("Connection: close\r\n"), "{answer}");
    entry.join();
}
