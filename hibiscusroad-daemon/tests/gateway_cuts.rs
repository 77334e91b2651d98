//! Answers whose connection closes after any of their bytes.

mod gateway_world;

use gateway_world::{
    Gateway, HOST, World,
    batches::{check_whole, read, results, submit},
    raw,
    raw_endpoint::{self, Request},
    read_all, submission, until,
};
use hibiscusroad_standins::{http::ANY_LOOPBACK_PORT, relay::Relay};
use serde_json::{Value, json};
use std::{
    collections::HashSet,
    io::{BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Number of events of a generated text.
const EVENT_COUNT: u64 = 3;
/// Heads that may come before that of an answer.
const EARLY_HEADS: [&str; 2] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
];

/// What tells the end of a body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    /// The end of the connection.
    Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// The form of an answer.
#[derive(Clone, Copy, Debug)]
struct Form {
    framing: Framing,
    early_head: &'static str,
}

impl Form {
    /// Returns each framing without an early head, and each early head with one framing.
    fn all() -> Vec<Self> {
        let framings = FRAMINGS.map(|framing| (framing, ""));
        let early_heads = EARLY_HEADS.map(|head| (Framing::Length, head));
        let forms = framings.into_iter().chain(early_heads);
        let forms = forms.map(|(framing, early_head)| Self {
            framing,
            early_head,
        });
        forms.collect()
    }

    /// Returns a success in this form, and the length of its head.
    fn answer(self, request: &Request) -> (Vec<u8>, usize) {
        let (headers, body) = (request.success_headers(), request.success_body(EVENT_COUNT));
        let (framing, body) = match self.framing {
            Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body),
            Framing::Chunks => {
                let (first, second) = body.split_at(body.len() / 2);
                let (m, n) = (first.len(), second.len());
                let body = format!("{m:x}\r\n{first}\r\n{n:x}\r\n{second}\r\n0\r\n\r\n");
                ("Transfer-Encoding: chunked\r\n".to_owned(), body)
            }
            Framing::Close => (String::new(), body),
        };
        let head = format!(
            "{}HTTP/1.1 200 OK\r\n{headers}{framing}\r\n",
            self.early_head
        );
        let length = head.len();
        ((head + &body).into_bytes(), length)
    }

    /// Returns the least number of bytes of an answer that make it whole.
    fn whole_length(self, request: &Request) -> usize {
        let (answer, head) = self.answer(request);
        match self.framing {
            Framing::Length | Framing::Chunks => answer.len(),
            Framing::Close => head,
        }
    }
}

/// Sends the first bytes of an answer and closes the connection.
fn send_cut(mut stream: &TcpStream, answer: &[u8], length: usize) {
    // Fails if the caller has disconnected, which is no concern of the endpoint.
    let _ = stream.write_all(&answer[..length.min(answer.len())]);
    let _ = stream.shutdown(Shutdown::Both);
}

/// Starts an endpoint that sends as many bytes of an answer as the last part of the path tells.
fn start_cut_by_path(world: &World, service: &str, form: Form) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    raw_endpoint::start(world, service, &format!("i-{service}"), move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let Some(request) = Request::read(&mut reader) else {
            return;
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let length = request.path.rsplit('/').next().unwrap().parse();
        let (answer, _) = form.answer(&request);
        send_cut(&stream, &answer, length.unwrap_or(usize::MAX));
    });
    count
}

/// Returns a request for an answer of which the endpoint sends `length` bytes.
fn request(route: &str, length: usize) -> Request {
    Request {
        path: format!("/{route}/{length}"),
        id: format!("cut-{length:04}"),
        is_generation: false,
        last_event: 0,
    }
}

/// Starts a gateway before an endpoint whose answers are cut, with routes for calls and streams.
fn start(test: &str, form: Form) -> (World, Arc<AtomicUsize>) {
    let mut world = World::start(test);
    let streams = json!({ "name": "events", "hostname": HOST, "prefix": "/events/",
        "type": "streaming", "timeoutMs": 3000, "service": "hut-desk", "maxAttempts": 1 });
    world.configure(1, &[streams]);
    let count = start_cut_by_path(&world, "hut-desk", form);
    world.gateway();
    world.wait_ready(0);
    until("the endpoint is known", || {
        let answer = world.gateways[0].call("POST", "/desk/whole", "warm", b"");
        (answer.status == 200).then_some(())
    });
    (world, count)
}

// Guards against a success whose head or body was cut, framed as whole, for a call whose answer is
// read before it is passed on.
#[test]
fn cut_answers_are_not_passed_on_as_whole() {
    for (n, form) in Form::all().into_iter().enumerate() {
        let (world, count) = start(&format!("cut-{n}"), form);
        let whole = form.whole_length(&request("once", 0));
        for length in 0..=whole {
            let Request { path, id, .. } = request("once", length);
            let before = count.load(Ordering::Relaxed);
            let answer = world.gateways[0].call("POST", &path, &id, b"");
            assert!(
                count.load(Ordering::Relaxed) > before,
                "{form:?} {length}: not sent"
            );
            assert_eq!(
                answer.status == 200,
                length == whole,
                "{form:?} {length}: {answer:?}"
            );
        }
    }
}

// Guards against the same for a call whose answer is passed on as it arrives.
#[test]
fn cut_streams_do_not_look_complete() {
    for (n, form) in Form::all().into_iter().enumerate() {
        let (world, count) = start(&format!("cut-stream-{n}"), form);
        let (answer, head) = form.answer(&request("events", 0));
        let whole = form.whole_length(&request("events", 0));
        for length in 0..=answer.len() {
            let Request { path, id, .. } = request("events", length);
            let before = count.load(Ordering::Relaxed);
            let call = format!(
                "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
                 X-Deadline-Ms: 5000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            let text = read_all(&mut raw(world.gateways[0].callers, call.as_bytes()));
            assert!(
                count.load(Ordering::Relaxed) > before,
                "{form:?} {length}: not sent"
            );
            let has_head = text.starts_with("HTTP/1.1 200 ");
            assert!(!has_head || length >= head, "{form:?} {length}: {text}");
            let is_complete = text.ends_with("\r\n0\r\n\r\n") || text.ends_with("\r\n\r\nran");
            assert_eq!(
                has_head && is_complete,
                length >= whole,
                "{form:?} {length}: {text}"
            );
        }
    }
}

/// Starts an endpoint that cuts the first answer to each request after as many bytes as the number
/// of the request in the order of arrival tells, below the length that makes it whole.
fn start_cut_once(world: &World, service: &str, id: &str, framing: Framing) {
    let answered = Mutex::new((HashSet::new(), 0));
    raw_endpoint::start(world, service, id, move |stream| {
        let form = Form {
            framing,
            early_head: "",
        };
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = Request::read(&mut reader) {
            let (answer, _) = form.answer(&request);
            let is_counted = request.path.starts_with("/lm/") || request.id.starts_with("score-");
            let mut length = answer.len();
            if is_counted {
                let mut answered = answered.lock().unwrap();
                if answered.0.insert(request.id.clone()) {
                    length = answered.1 % form.whole_length(&request);
                    answered.1 += 1;
                }
            }
            if length < answer.len() || matches!(framing, Framing::Close) {
                return send_cut(&stream, &answer, length);
            }
            // Fails if the caller has disconnected, which the next read shows.
            let _ = (&stream).write_all(&answer);
        }
    });
}

// Guards against a text or a score that is taken from an answer whose head or body was cut.
#[test]
fn cut_answers_complete_no_items() {
    for (n, framing) in FRAMINGS.into_iter().enumerate() {
        let mut world = World::start(&format!("cut-items-{n}"));
        world.configure(1, &[]);
        for n in 0..4 {
            start_cut_once(&world, "guide-lm", &format!("i-lm-{n}"), framing);
            start_cut_once(&world, "hut-desk", &format!("i-desk-{n}"), framing);
        }
        world.gateway();
        world.wait_ready(0);
        // Each of the four endpoints gets more requests than an answer has bytes.
        assert_eq!(
            submit(&world, 0, "b1", &submission(1, 1, 40, 4)).status,
            202
        );
        check_whole(&results(&world, 0, "b1", 160), EVENT_COUNT);
    }
}

/// Starts a relay that closes a connection once the target has sent `length` bytes, from the last
/// bytes of the caller on for which `starts_count` is true.
fn start_relay(
    target: SocketAddr,
    length: &Arc<AtomicUsize>,
    starts_count: fn(&[u8]) -> bool,
) -> SocketAddr {
    let listener = TcpListener::bind(ANY_LOOPBACK_PORT).unwrap();
    let address = listener.local_addr().unwrap();
    let length = Arc::clone(length);
    thread::spawn(move || {
        for caller in listener.incoming() {
            let (caller, target) = (caller.unwrap(), TcpStream::connect(target).unwrap());
            let remaining = Arc::new(AtomicUsize::new(usize::MAX));
            let (length, limit) = (Arc::clone(&length), Arc::clone(&remaining));
            let (from, to) = (caller.try_clone().unwrap(), target.try_clone().unwrap());
            thread::spawn(move || {
                copy(&from, &to, |request| {
                    if starts_count(request) {
                        limit.store(length.load(Ordering::Relaxed), Ordering::Relaxed);
                    }
                    request.len()
                });
            });
            thread::spawn(move || {
                copy(&target, &caller, |answer| {
                    let allowed = remaining.load(Ordering::Relaxed);
                    if allowed != usize::MAX {
                        remaining.store(allowed.saturating_sub(answer.len()), Ordering::Relaxed);
                    }
                    answer.len().min(allowed)
                });
            });
        }
    });
    address
}

/// Returns whether bytes begin a read of one head of a batch.
fn is_read_of_head(request: &[u8]) -> bool {
    let line = String::from_utf8_lossy(request);
    let line = line.lines().next().unwrap_or_default();
    line.starts_with("GET /rows-get?") && line.contains("table=batches") && line.contains("unknown")
}

/// Copies bytes until fewer are allowed than came, and closes both connections.
fn copy(mut from: &TcpStream, mut to: &TcpStream, mut allowed: impl FnMut(&[u8]) -> usize) {
    let mut buffer = [0; 16 << 10];
    while let Ok(read) = from.read(&mut buffer)
        && read > 0
    {
        let count = allowed(&buffer[..read]);
        if to.write_all(&buffer[..count]).is_err() || count < read {
            break;
        }
    }
    // Fails if the connection is closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

// Guards against a batch that is denied because the store's answer was cut.
#[test]
fn cut_answers_of_the_store_deny_no_batch() {
    let mut world = World::start("cut-store");
    world.configure(1, &[]);
    let length = Arc::new(AtomicUsize::new(usize::MAX));
    let store = start_relay(world.store.addr(), &length, is_read_of_head);
    let gateway = Gateway::start(&world.dir, "gateway-1", store, "");
    world.gateways.push(gateway);
    world.wait_ready(0);
    assert_eq!(read(&world, 0, "unknown", 0).status, 404);
    let mut denied = 0;
    for cut in 0..400 {
        length.store(cut, Ordering::Relaxed);
        let status = read(&world, 0, "unknown", 0).status;
        assert!(
            denied == 0 || status == 404,
            "{cut}: {status} after a 404 at {denied}"
        );
        match status {
            404 if denied == 0 => denied = cut,
            404 | 503 => {}
            _ => panic!("{cut}: status {status}"),
        }
    }
    assert!(
        denied > 100,
        "an answer of {denied} bytes was taken for whole"
    );
}

// Guards against a batch that is denied, or read without its results, because a peer's answer was
// cut.
#[test]
fn cut_answers_of_a_peer_deny_no_batch() {
    let mut world = World::start("cut-peer");
    let [_desk, engine] = world.start_gateways(1);
    engine.set_work_duration(Duration::from_millis(5));
    // The second gateway knows the first one only by a row that names the relay.
    let (part, name, presence) = until("the first gateway is announced", || {
        world.store.rows("members").into_iter().next()
    });
    let mut presence: Value = serde_json::from_slice(&presence).unwrap();
    let length = Arc::new(AtomicUsize::new(usize::MAX));
    let peer = presence["peer"].as_str().unwrap().parse().unwrap();
    let relay = start_relay(peer, &length, |_request| true);
    presence["peer"] = relay.to_string().into();
    world.store.put_in_part("members", &part, &name, &presence);
    let store = Relay::start(ANY_LOOPBACK_PORT, world.store.addr()).unwrap();
    let second = Gateway::start(&world.dir, "gateway-2", store.addr(), "");
    world.gateways.push(second);
    world.wait_ready(1);
    world.gateways[1].line("Peers are known");
    store.stop();
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 2)).status, 202);
    check_whole(&results(&world, 0, "b1", 2), 8);
    until("the batch is read by way of the peer", || {
        (read(&world, 1, "b1", 0).status == 200).then_some(())
    });
    let mut refused = 0;
    for cut in (0..1_200).step_by(11) {
        length.store(cut, Ordering::Relaxed);
        let answer = read(&world, 1, "b1", 0);
        match answer.status {
            200 => check_whole(answer.json()["results"].as_array().unwrap(), 8),
            503 => refused += 1,
            status => panic!("{cut}: status {status}"),
        }
    }
    assert!(refused > 1, "no answer was cut");
}
