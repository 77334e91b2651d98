//! Calls over a link to one endpoint, whole and broken.

mod side_support;

use self::side_support::{
    Endpoint, Frame, Link, PATIENCE, answer, end_events, event, events, model, side_of, start_side,
};
use hibiscusroad_wire::{State, to_side};
use std::{
    io::Write,
    net::{Shutdown, TcpListener},
    thread,
    time::{Duration, Instant},
};

#[test]
fn a_plain_call_is_answered_whole() {
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
fn a_large_answer_comes_through_the_window() {
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
fn versions_are_those_that_the_tokens_named() {
    // The weights are swapped while an answer is generated. The entry must see
    // the version of each token as the engine reported it, in runs.
    let endpoint = Endpoint::start(|path, stream| {
        if path == "/load" {
            return answer(stream, "{}");
        }
        events(stream);
        for (version, text) in [("41", "a"), ("41", "b"), ("42", "c"), ("42", "")] {
            let choice = format!(r#"[{{"text":"{text}"}}]"#);
            event(
                stream,
                &format!(r#"{{"system_fingerprint":"{version}","choices":{choice}}}"#),
            );
        }
        event(stream, "[DONE]");
        end_events(stream);
    });
    let side = start_side(endpoint.address, model);
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
fn an_endpoint_that_dies_in_its_answer_gives_no_success() {
    // The endpoint is killed after half of its answer; the connection closes as
    // after a whole one. The entry must get a problem that doesn't say "not
    // run", whatever the framing of the answer was.
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
                events(stream);
                event(stream, r#"{"choices":[{"text":"half"}]}"#);
                end_events(stream);
            }
            "/load" => return answer(stream, "{}"),
            _ => {}
        }
        drop(stream.shutdown(Shutdown::Both));
    });
    let side = start_side(endpoint.address, model);
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

#[test]
fn an_endpoint_that_is_down_is_not_run() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let side = start_side(address, |_| {});
    let link = Link::open(&side, 7, 1);
    link.post_once(1, "/reserve");
    assert_eq!(link.refusal(), "endpoint-down");
    link.seal(1);
    assert_sealed(&link);
}

#[test]
fn a_connection_that_closes_between_calls_costs_no_reservation() {
    // The endpoint closes each connection when a second request arrives on it,
    // as one does whose idle limit passes at that moment. The reservation after
    // it must run, not end as "may have run".
    let endpoint = Endpoint::start(|path, stream| {
        answer(stream, path);
        let mut rest = [0; 1];
        drop(stream.peek(&mut rest));
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
fn a_slow_call_holds_up_no_other() {
    // One call hangs in the endpoint. Calls after it go on, and the hanging one
    // ends with its deadline.
    let endpoint = Endpoint::start(|path, stream| {
        if path == "/slow" {
            thread::sleep(PATIENCE);
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
fn a_duplicate_start_runs_once() {
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
fn a_start_after_the_seal_never_runs() {
    // The entry lost sight of a Start, had it sealed and told its caller "not
    // run". Then the Start arrives after all.
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
