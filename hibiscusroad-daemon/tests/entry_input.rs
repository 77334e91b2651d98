//! Invalid requests and callers that stop sending or reading.

mod entry_support;

use entry_support::{Side, call, raw, rest, start, wait_until};
use hibiscusroad_daemon::entry::Running;
use hibiscusroad_wire::to_side::Frame;
use std::{
    array,
    io::Write,
    net::TcpStream,
    sync::Barrier,
    thread,
    time::{Duration, Instant},
};

fn echo() -> Side {
    Side::start("hut-desk", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.answer(start.id, "ok");
        }
    })
}

fn check(entry: &Running, name: &str, request: &str, status: u16, problem: &str) {
    let begin = Instant::now();
    let answer = raw(entry, request.as_bytes());
    let answer = match answer.split_once("\r\n\r\n") {
        // A body that isn't read is announced by an interim status.
        Some((interim, rest)) if interim.starts_with("HTTP/1.1 100 ") => rest.to_owned(),
        _ => answer,
    };
    let elapsed = begin.elapsed();
    let first = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&first), "{name}: {answer}");
    let kind = format!("urn:hibiscusroad:problem:{problem}\"");
    assert!(
        problem.is_empty() || answer.contains(&kind),
        "{name}: {answer}"
    );
    assert!(elapsed < Duration::from_secs(3), "{name}: {elapsed:?}");
}

/// Name | method | path | headers | status | problem. MANY, LARGE and LONG are
/// replaced by long values.
const WRONG: &str = "
no path | GET | / | | 404 | unknown-path
no service | GET | /s/nobody/x | | 404 | unknown-service
odd service | GET | /s/../x | | 404 | unknown-service
long target | GET | /s/hut-desk/LONG | | 431 | headers-too-large
odd method | TRACE | /s/hut-desk/x | | 405 | bad-method
many headers | GET | /s/hut-desk/x | MANY | 431 | headers-too-large
large headers | GET | /s/hut-desk/x | X: LARGE | 431 | headers-too-large
deadline none | GET | /s/hut-desk/x | Deadline-Ms: 0 | 400 | bad-deadline
deadline long | GET | /s/hut-desk/x | Deadline-Ms: 600001 | 400 | bad-deadline
deadline odd | GET | /s/hut-desk/x | Deadline-Ms: -5 | 400 | bad-deadline
deadline huge | GET | /s/hut-desk/x | Deadline-Ms: 99999999999999999999 | 400 | bad-deadline
deadline twice | GET | /s/hut-desk/x | Deadline-Ms: 5;Deadline-Ms: 6 | 400 | bad-deadline
key empty | POST | /s/hut-desk/x | Idempotency-Key: | 400 | bad-key
key long | POST | /s/hut-desk/x | Idempotency-Key: LONG | 400 | bad-key
key odd | POST | /s/hut-desk/x | Idempotency-Key: a\tb | 400 | bad-key
class odd | GET | /s/hut-desk/x | Request-Class: king | 400 | bad-request
length odd | POST | /s/hut-desk/x | Content-Length: x | 400 | bad-request
length twice | POST | /s/hut-desk/x | Content-Length: 1;Content-Length: 2 | 400 | bad-request
length, chunks | POST | /s/hut-desk/x | Content-Length: 5;Transfer-Encoding: chunked | 400 | bad-request
coding odd | POST | /s/hut-desk/x | Transfer-Encoding: gzip | 400 | bad-request
body large | POST | /s/hut-desk/x | Content-Length: 99999999999999 | 413 | body-too-large
body endless | POST | /s/hut-desk/x | Content-Length: 99999999999999999999 | 413 | body-too-large
upgrade | GET | /s/hut-desk/x | Connection: upgrade | 400 | bad-request
";

// Invalid requests are refused with the matching problem, and later ones are served.
#[test]
fn wrong_requests_get_a_clear_answer() {
    let side = echo();
    let entry = start(&[&side], "body = 1000");
    for line in WRONG.lines().filter(|line| !line.is_empty()) {
        let fields: Vec<&str> = line.split(" |").map(|f| f.trim_matches(' ')).collect();
        let [name, method, path, headers, status, problem] = fields[..] else {
            panic!("{line}");
        };
        let path = path.replace("LONG", &"a".repeat(9000));
        let headers = headers
            .replace("LONG", &"k".repeat(129))
            .replace("LARGE", &"y".repeat(20_000))
            .replace("MANY", &"X: y;".repeat(70));
        let lines = headers.split(';').filter(|h| !h.is_empty());
        let headers: String = lines.flat_map(|h| [h, "\r\n"]).collect();
        let close = if name == "upgrade" {
            ""
        } else {
            "Connection: close\r\n"
        };
        // Small bodies are read along with the headers.
        let body = if name == "length twice" { "a" } else { "" };
        let request = format!("{method} {path} HTTP/1.1\r\n{close}{headers}\r\n{body}");
        check(&entry, name, &request, status.parse().unwrap(), problem);
    }
    for (name, request) in [
        ("no HTTP", "hello\r\n\r\n"),
        ("odd version", "GET / HTTP/7.0\r\n\r\n"),
        ("odd header", "GET / HTTP/1.1\r\nno colon\r\n\r\n"),
    ] {
        check(&entry, name, request, 400, "");
    }
    let answer = call(&entry, "GET", "/s/hut-desk/x", "", "");
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
}

// Bodies that are too large, declared or chunked, and invalid ones are refused.
#[test]
fn large_and_broken_bodies_are_refused() {
    let side = echo();
    let entry = start(&[&side], "body = 1000");
    let body = "x".repeat(5000);
    let answer = call(&entry, "POST", "/s/hut-desk/x", "", &body);
    assert!(answer.contains("body-too-large"), "{answer}");
    let chunked = format!(
        "POST /s/hut-desk/x HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n{body}\r\n0\r\n\r\n"
    );
    let answer = raw(&entry, chunked.as_bytes());
    assert!(answer.contains("body-too-large"), "{answer}");
    let broken = "POST /s/hut-desk/x HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    let answer = raw(&entry, broken.as_bytes());
    assert!(answer.contains("bad-body"), "{answer}");
    assert_eq!(side.starts(), 0);
}

// Guards against threads and sockets held forever by partial requests. Several idle
// timeouts of five seconds may apply to one connection.
#[test]
fn half_open_connections_are_ended() {
    let side = echo();
    let entry = start(&[&side], "");
    let partial_requests = [
        "",
        "GET /s/hut-desk/x HTTP/1.1\r\nHost:",
        "POST /s/hut-desk/x HTTP/1.1\r\nContent-Length: 2000\r\n\r\nhalf",
    ];
    let begin = Instant::now();
    let connections: Vec<_> = partial_requests
        .iter()
        .map(|partial| {
            let mut stream = TcpStream::connect(entry.callers()).unwrap();
            stream.write_all(partial.as_bytes()).unwrap();
            thread::spawn(move || {
                let limit = Some(Duration::from_secs(20));
                stream.set_read_timeout(limit).unwrap();
                let read = std::io::copy(&mut stream, &mut std::io::sink());
                (read.is_ok(), begin.elapsed())
            })
        })
        .collect();
    for connection in connections {
        let (closed, after) = connection.join().unwrap();
        assert!(closed && after < Duration::from_secs(17), "{after:?}");
    }
    assert_eq!(side.starts(), 0);
}

// A half-closed connection still gets its answer, and disconnected callers don't
// affect others.
#[test]
fn half_closed_and_disconnected_callers_are_handled() {
    let side = echo();
    let entry = start(&[&side], "");
    let request = b"GET /s/hut-desk/x HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut stream = TcpStream::connect(entry.callers()).unwrap();
    stream.write_all(request).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let answer = rest(&mut stream);
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
    for _ in 0..50 {
        let mut stream = TcpStream::connect(entry.callers()).unwrap();
        stream.write_all(request).unwrap();
    }
    let answer = call(&entry, "GET", "/s/hut-desk/x", "", "");
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
}

// Guards against queueing a request while all workers are busy.
#[test]
fn request_is_refused_at_once_without_an_idle_worker() {
    let side = Side::start("hut-desk", |_, _, _| {});
    let entry = start(&[&side], "workers = 2");
    let request = b"GET /s/hut-desk/x HTTP/1.1\r\nDeadline-Ms: 2000\r\n\r\n";
    let busy: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(entry.callers()).unwrap();
            stream.write_all(request).unwrap();
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let begin = Instant::now();
    let answer = call(&entry, "GET", "/s/hut-desk/x", "", "");
    assert!(answer.contains("handover-full"), "{answer}");
    let after = answer.split("Retry-After: ").nth(1).unwrap_or_default();
    assert!(matches!(&after[..1], "1" | "2" | "3"), "{answer}");
    assert!(begin.elapsed() < Duration::from_millis(200));
    drop(busy);
}

// A call ends at its deadline and is reported as possibly run.
#[test]
fn a_deadline_is_kept() {
    let side = Side::start("hut-desk", |_, _, _| {});
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let answer = call(&entry, "GET", "/s/hut-desk/x", "Deadline-Ms: 400\r\n", "");
    let elapsed = begin.elapsed();
    assert!(answer.contains("timed-out"), "{answer}");
    assert!(answer.contains(r#""not_run":false"#), "{answer}");
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
}

// Guards against a stream that continues past its deadline.
#[test]
fn a_stream_is_broken_off_at_its_deadline() {
    let side = Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            let out = out.clone();
            thread::spawn(move || {
                out.head(start.id, "text/event-stream");
                for i in 0..200 {
                    out.chunk(start.id, i * 9, "data: a\n\n");
                    thread::sleep(Duration::from_millis(10));
                }
                out.end(start.id, 1800);
            });
        }
    });
    let entry = start(&[&side], "");
    let begin = Instant::now();
    let body = r#"{"prompt":"hi","stream":true}"#;
    let deadline = "Deadline-Ms: 400\r\n";
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", deadline, body);
    let elapsed = begin.elapsed();
    assert!(answer.ends_with("broken off\r\n"), "{answer}");
    assert!(elapsed >= Duration::from_millis(390), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
}

// Guards against a caller that stops reading and holds a worker, memory and a slot
// of the engine until its deadline.
#[test]
fn caller_that_stops_reading_is_dropped() {
    let side = Side::start("guide-lm", |side, out, frame| {
        if let Frame::Start(start) = frame {
            let (side, out) = (side.clone(), out.clone());
            thread::spawn(move || {
                out.head(start.id, "text/event-stream");
                let chunk = "x".repeat(64 << 10);
                let cancelled = || side.count(|f| matches!(f, Frame::Cancel(_))) > 0;
                for i in (0..).take_while(|_| !cancelled()) {
                    out.chunk(start.id, i * (64 << 10), &chunk);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let entry = start(&[&side], "");
    let mut stream = TcpStream::connect(entry.callers()).unwrap();
    let request = "GET /s/guide-lm/x HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 600000\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let begin = Instant::now();
    while side.count(|f| matches!(f, Frame::Cancel(_))) == 0 {
        assert!(begin.elapsed() < Duration::from_secs(25));
        thread::sleep(Duration::from_millis(50));
    }
}

// Guards against callers whose connections wait behind idle ones that came at the same
// time, although threads could be added.
#[test]
fn idle_connections_do_not_delay_callers_that_come_with_them() {
    let side = echo();
    let request = "GET /s/hut-desk/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    // An entry has few threads only for its first burst.
    for round in 0..10 {
        let entry = start(&[&side], "");
        wait_until(|| call(&entry, "GET", "/s/hut-desk/x", "", "").contains(" 200 "));
        let barrier = Barrier::new(8);
        thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(|| {
                    barrier.wait();
                    let connect = || TcpStream::connect(entry.callers()).unwrap();
                    let _idle: [TcpStream; 6] = array::from_fn(|_| connect());
                    let mut caller = connect();
                    caller.write_all(request.as_bytes()).unwrap();
                    let answer = rest(&mut caller);
                    assert!(answer.contains(" 200 "), "round {round}: {answer}");
                });
            }
        });
        entry.stopper().stop();
    }
}
