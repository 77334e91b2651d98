//! The path of a request through an entry.

mod entry_support;

use entry_support::{Side, call, rest, start};
use hibiscusroad::config::{Change, Document, Kind, Rule};
use hibiscusroad_wire::{Config, to_entry, to_side::Frame};
use std::{
    io::{Read, Write},
    net::{TcpStream, UdpSocket},
    time::{Duration, Instant},
};

fn echo() -> Side {
    Side::start("hut-desk", |_, out, frame| {
        if let Frame::Start(start) = frame {
            let body = String::from_utf8_lossy(&start.body).into_owned();
            let text = format!("{} {} {body}", start.method, start.path);
            out.answer(start.id, &text);
        }
    })
}

#[test]
fn plain_call_gets_the_complete_answer() {
    let side = echo();
    let entry = start(&[&side], "");
    let answer = call(&entry, "GET", "/s/hut-desk/huts?lake=senec", "", "");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("Content-Length: 21\r\n"), "{answer}");
    assert!(
        answer.ends_with("\r\n\r\nGET /huts?lake=senec "),
        "{answer}"
    );
}

#[test]
fn stream_is_chunked_and_ends() {
    let side = Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.head(start.id, "text/event-stream");
            out.chunk(start.id, 0, "data: a\n\n");
            out.chunk(start.id, 9, "data: b\n\n");
            out.end(start.id, 18);
        }
    });
    let entry = start(&[&side], "");
    let body = r#"{"prompt":"hi","stream":true}"#;
    let answer = call(&entry, "POST", "/s/guide-lm/v1/completions", "", body);
    assert!(
        answer.contains("Transfer-Encoding: chunked\r\n"),
        "{answer}"
    );
    assert!(answer.contains("data: a\n\n"), "{answer}");
    assert!(answer.contains("data: b\n\n"), "{answer}");
    assert!(answer.ends_with("\r\n0\r\n\r\n"), "{answer}");
}

// Guards against the last chunk staying in a buffer on a reused connection.
#[test]
fn streams_end_at_once_on_a_kept_connection() {
    let side = Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.head(start.id, "text/event-stream");
            out.chunk(start.id, 0, "data: a\n\n");
            out.end(start.id, 9);
        }
    });
    let entry = start(&[&side], "");
    let mut stream = TcpStream::connect(entry.callers()).unwrap();
    let limit = Some(Duration::from_secs(2));
    stream.set_read_timeout(limit).unwrap();
    let begin = Instant::now();
    for _ in 0..3 {
        let request = "GET /s/guide-lm/x HTTP/1.1\r\nHost: x\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        while !answer.ends_with("\r\n0\r\n\r\n") {
            let mut buf = [0; 1024];
            let n = stream.read(&mut buf).unwrap();
            answer.push_str(std::str::from_utf8(&buf[..n]).unwrap());
        }
    }
    assert!(begin.elapsed() < Duration::from_secs(1));
}

// Guards against the last chunk staying in a buffer until an idle connection is
// closed.
#[test]
fn a_stream_ends_at_once_on_a_connection_that_is_kept() {
    let side = Side::start("guide-lm", |_, out, frame| {
        if let Frame::Start(start) = frame {
            out.head(start.id, "text/event-stream");
            out.chunk(start.id, 0, "data: a\n\n");
            out.end(start.id, 9);
        }
    });
    let entry = start(&[&side], "");
    let body = r#"{"prompt":"hi","stream":true}"#;
    let mut stream = TcpStream::connect(entry.callers()).unwrap();
    write!(
        stream,
        "POST /s/guide-lm/v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let answer = rest(&mut stream);
    assert!(answer.ends_with("\r\n0\r\n\r\n"), "{answer}");
}

// Each request is counted once, with its outcome.
#[test]
fn requests_are_counted() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let limit = Some(Duration::from_secs(3));
    socket.set_read_timeout(limit).unwrap();
    let target = socket.local_addr().unwrap();
    let side = echo();
    let entry = start(&[&side], &format!("[metrics]\ntarget = \"{target}\""));
    call(&entry, "GET", "/s/hut-desk/huts", "", "");
    let mut lines = String::new();
    while !lines.contains("hibiscusroad.answered:1|c|#service:hut-desk") {
        let mut datagram = [0; 2048];
        let n = socket.recv(&mut datagram).unwrap();
        lines.push_str(std::str::from_utf8(&datagram[..n]).unwrap());
    }
    assert!(lines.contains("hibiscusroad.requests:1|c|#service:hut-desk"));
    assert!(lines.contains("hibiscusroad.latency:"));
}

// Without a deadline header, the deadline of the service's rule applies rather than
// that of the settings.
#[test]
fn rule_sets_the_default_deadline() {
    let change = Change::CreateService {
        name: "hut-desk".to_owned(),
        kind: Kind::Plain,
        rule: Rule {
            deadline_ms: 300,
            ..Rule::default()
        },
    };
    let document = change.apply(&Document::default(), false).unwrap();
    let side = Side::start("hut-desk", move |_, out, frame| {
        if let Frame::Hello(_) = frame {
            out.send(to_entry::Frame::Config(Config {
                version: document.version,
                document: serde_json::to_vec(&document).unwrap(),
            }));
        }
    });
    let entry = start(&[&side], "");
    let start_time = Instant::now();
    let answer = call(&entry, "GET", "/s/hut-desk/huts", "", "");
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(answer.contains("timed-out"), "{answer}");
    assert!(start_time.elapsed() < Duration::from_secs(2));
}
