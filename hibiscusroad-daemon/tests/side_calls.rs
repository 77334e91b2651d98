//! Calls through a sidecar to one endpoint, complete and failed ones.

mod side_support;

use self::side_support::{
    Endpoint, Frame, Link, TEST_TIMEOUT, answer, set_model_kind, side_of, start_side, write_event,
    write_events_end, write_events_head,
};
use hibiscusroad_wire::{State, to_side};
use std::{
    io::Write,
    net::{Shutdown, TcpListener},
    thread,
    time::{Duration, Instant},
};

#[test]
fn plain_call_returns_complete_answer() {
    let endpoint = Endpoint::start(|path, stream| answer(stream, &format!("huts of {path}")));
    let side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    link.get(1, "/lake");
    let answer = link.answer(1);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, b"huts of /lake");
    assert_eq!(endpoint.count("/lake"), 1);
}

#[test]
fn answer_larger_than_window_is_complete() {
    let body = "plan".repeat(1 << 20);
    let sent = body.clone();
    let endpoint = Endpoint::start(move |_, stream| answer(stream, &sent));
    let side = start_side(endpoint.address, |settings| {
        side_of(settings).buffer = 1 << 20;
    });
    let link = Link::open(&side, 7, 1);
    link.get(1, "/plan");
    assert!(link.answer(1).body == body.as_bytes());
}

#[test]
fn runs_report_weight_version_of_each_token() {
    // Guards against a wrong weight version for a token when the weights are
    // replaced while an answer is generated.
    let endpoint = Endpoint::start(|path, stream| {
        if path == "/load" {
            return answer(stream, "{}");
        }
        write_events_head(stream);
        for (version, text) in [("41", "a"), ("41", "b"), ("42", "c"), ("42", "")] {
            let choice = format!(r#"[{{"text":"{text}"}}]"#);
            write_event(
                stream,
                &format!(r#"{{"system_fingerprint":"{version}","choices":{choice}}}"#),
            );
        }
        write_event(stream, "[DONE]");
        write_events_end(stream);
    });
    let side = start_side(endpoint.address, set_model_kind);
    let link = Link::open(&side, 7, 1);
    link.send(to_side::Frame::Start(link.start(
        1,
        "POST",
        "/v1/completions",
    )));
    let runs = link.answer(1).runs;
    assert_eq!(runs, [("41".to_owned(), 0), ("42".to_owned(), 2)]);
}

#[test]
fn endpoint_crash_during_answer_is_reported() {
    // The endpoint's connection closes in the middle of an answer. The refusal must
    // not say "not run", whatever the framing of the answer is.
    let endpoint = Endpoint::start(|path, stream| {
        match path {
            "/length" => {
                drop(stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));
            }
            "/chunked" => {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
                drop(stream.write_all(head));
            }
            "/closed" => drop(stream.write_all(b"HTTP/1.0 200 OK\r\n\r\nhalf")),
            "/events" => {
                write_events_head(stream);
                write_event(stream, r#"{"choices":[{"text":"half"}]}"#);
                write_events_end(stream);
            }
            "/load" => return answer(stream, "{}"),
            _ => {}
        }
        drop(stream.shutdown(Shutdown::Both));
    });
    let side = start_side(endpoint.address, set_model_kind);
    let link = Link::open(&side, 7, 1);
    for (seq, path) in ["/length", "/chunked", "/closed", "/events"]
        .iter()
        .enumerate()
    {
        link.get(seq as u64, path);
        assert_eq!(link.refusal(), "answer-short", "{path}");
    }
    link.get(9, "/none");
    assert_eq!(link.refusal(), "endpoint-broken");
}

/// Answers in all framings, with and without an early head; each has a body of four bytes.
const CUT_ANSWERS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nX-Lake: senec\r\nContent-Length: 4\r\n\r\nhuts",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Lake: senec\r\n\r\nhuts",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhuts\r\n0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhuts",
    "HTTP/1.1 302 Found\r\nLocation: /lake\r\nContent-Length: 4\r\n\r\nhuts",
    "HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nhuts",
];

// Guards against an answer whose connection closed within its head or body, passed on as whole.
#[test]
fn cut_answers_are_not_passed_on_as_whole() {
    let endpoint = Endpoint::start(|path, stream| {
        let mut parts = path.split('/').skip(1).map(str::parse::<usize>);
        let (Some(Ok(form)), Some(Ok(length))) = (parts.next(), parts.next()) else {
            return answer(stream, "{}");
        };
        // Fails if the caller has disconnected, which is no concern of the endpoint.
        drop(stream.write_all(&CUT_ANSWERS[form].as_bytes()[..length]));
        drop(stream.shutdown(Shutdown::Both));
    });
    let side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    let mut seq = 0;
    for (form, whole) in CUT_ANSWERS.into_iter().enumerate() {
        let head = whole.rfind("\r\n\r\nhuts");
        let head = head.or_else(|| whole.find("\r\n\r\n")).unwrap() + 4;
        // The zero-sized chunk ends a body; the line after it may be missing.
        let end = whole.strip_suffix("0\r\n\r\n").unwrap_or(whole).len();
        for length in 0..end {
            seq += 1;
            let path = format!("/{form}/{length}");
            link.get(seq, &path);
            let (passed_on, refusal) = link.cut_answer();
            let is_unknown = refusal == "endpoint-broken" || refusal == "answer-short";
            assert!(is_unknown, "{path}: {refusal}");
            assert!(!passed_on || length >= head, "{path}: a head was passed on");
        }
        seq += 1;
        link.get(seq, &format!("/{form}/{}", whole.len()));
        assert_eq!(link.answer(seq).body, b"huts");
    }
}

#[test]
fn call_to_unreachable_endpoint_is_sealed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let side = start_side(address, |_| {});
    let link = Link::open(&side, 7, 1);
    link.post_once(1, "/reserve");
    assert_eq!(link.refusal(), "endpoint-down");
    link.seal(1);
    assert_sealed(&link);
}

#[test]
fn once_call_does_not_reuse_idle_connection() {
    // The endpoint closes each connection when a second request arrives on it, like
    // one whose idle timeout elapses at that moment. The reservation must run, not
    // end as "may have run".
    let endpoint = Endpoint::start(|path, stream| {
        answer(stream, path);
        let mut buf = [0; 1];
        drop(stream.peek(&mut buf));
        drop(stream.shutdown(Shutdown::Both));
    });
    let side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    link.get(1, "/lake");
    assert_eq!(link.answer(1).body, b"/lake");
    link.post_once(2, "/reserve");
    assert_eq!(link.answer(2).body, b"/reserve");
    assert_eq!(endpoint.count("/reserve"), 1);
}

#[test]
fn slow_call_delays_no_other_call() {
    // One call hangs in the endpoint. Later calls are answered, and the hanging one
    // ends at its deadline.
    let endpoint = Endpoint::start(|path, stream| {
        if path == "/slow" {
            thread::sleep(TEST_TIMEOUT);
        }
        answer(stream, "fine");
    });
    let side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    let mut slow = link.start(1, "GET", "/slow");
    slow.remaining_ms = 600;
    link.send(to_side::Frame::Start(slow));
    let started = Instant::now();
    for seq in 2..20 {
        link.get(seq, "/fast");
        assert_eq!(link.answer(seq).body, b"fine");
    }
    assert!(started.elapsed() < Duration::from_millis(600));
    assert_eq!(link.refusal(), "timed-out");
    assert!(started.elapsed() < Duration::from_secs(3));
}

#[test]
fn duplicate_start_runs_once() {
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    link.post_once(1, "/reserve");
    assert_eq!(link.answer(1).body, b"hut 4");
    link.post_once(1, "/reserve");
    assert_eq!(link.answer(1).body, b"hut 4");
    assert_eq!(endpoint.count("/reserve"), 1);
}

#[test]
fn start_after_seal_never_runs() {
    // The entry sealed an attempt and told its caller "not run"; then the delayed
    // Start arrives.
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let side = start_side(endpoint.address, |_| {});
    let link = Link::open(&side, 7, 1);
    link.seal(1);
    assert_sealed(&link);
    link.post_once(1, "/reserve");
    link.refusal();
    assert_eq!(endpoint.count("/reserve"), 0);
}

fn assert_sealed(link: &Link) {
    match link.next() {
        Frame::Standing(standing) => assert_eq!(standing.state(), State::Sealed),
        other => panic!("unexpected {other:?}"),
    }
}
