//! Metrics that entries and sidecars send.

mod entry_support;
#[path = "side_support/mod.rs"]
mod side_support;

use entry_support::{Side, call};
use hibiscusroad_wire::to_side::Frame;
use side_support::{Endpoint, Link};
use std::{
    net::UdpSocket,
    thread,
    time::{Duration, Instant},
};

/// Time limit for metrics to arrive; gauges are sent once a second.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Duration of a request, longer than the time between two reports of gauges.
const REQUEST_DURATION: Duration = Duration::from_millis(1500);

struct Listener {
    socket: UdpSocket,
    lines: Vec<String>,
}

impl Listener {
    fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let timeout = Some(Duration::from_millis(100));
        socket.set_read_timeout(timeout).unwrap();
        let lines = Vec::new();
        Self { socket, lines }
    }

    fn settings(&self) -> String {
        let target = self.socket.local_addr().unwrap();
        format!("[metrics]\ntarget = \"{target}\"")
    }

    /// Waits until a line with each of these prefixes was received.
    fn expect(&mut self, lines: &[&str]) {
        let start = Instant::now();
        let mut datagram = [0; 2048];
        while !lines.iter().all(|line| self.count(line) > 0) {
            assert!(start.elapsed() < TIMEOUT, "{lines:?} in {:#?}", self.lines);
            if let Ok(n) = self.socket.recv(&mut datagram) {
                let text = std::str::from_utf8(&datagram[..n]).unwrap();
                self.lines.extend(text.lines().map(str::to_owned));
            }
        }
    }

    /// Counts the received lines with this prefix.
    fn count(&self, prefix: &str) -> usize {
        let prefix = format!("hibiscusroad.{prefix}");
        self.lines
            .iter()
            .filter(|line| line.starts_with(&prefix))
            .count()
    }
}

// One request is answered, one is refused by its sidecar, one names an unknown service.
// Unknown names must not become tags.
#[test]
fn requests_are_counted_once_by_outcome() {
    let side = Side::start("hut-desk", |_, out, frame| {
        let Frame::Start(start) = frame else { return };
        if start.path == "/full" {
            let refused = hibiscusroad_wire::Refused {
                id: start.id,
                problem: "stopping".to_owned(),
                retry_ms: 0,
            };
            return out.send(hibiscusroad_wire::to_entry::Frame::Refused(refused));
        }
        out.answer(start.id, "whole");
    });
    let mut listener = Listener::start();
    let entry = entry_support::start(&[&side], &listener.settings());
    call(&entry, "GET", "/s/hut-desk/huts", "", "");
    call(
        &entry,
        "GET",
        "/s/hut-desk/full",
        "Deadline-Ms: 800\r\n",
        "",
    );
    call(&entry, "GET", "/s/made-up/huts", "", "");
    listener.expect(&[
        "requests:1|c|#service:hut-desk,class:interactive",
        "answered:1|c|#service:hut-desk,class:interactive",
        "latency:",
        "attempts:1|c|#service:hut-desk",
        "refused:1|c|#service:hut-desk,class:interactive,problem:",
        "refused:1|c|#problem:unknown-service",
        "queued:0|g|#service:hut-desk,class:rollout",
        "running:0|g|#service:hut-desk,class:interactive",
        "links:1|g",
        "config_version:0|g",
    ]);
    assert_eq!(listener.count("requests:"), 2);
    assert_eq!(listener.count("answered:"), 1);
    assert_eq!(listener.count("refused:1|c|#service"), 1);
    assert!(!listener.lines.iter().any(|line| line.contains("made-up")));
}

// A stream breaks, and the table service can't be reached.
#[test]
fn lost_streams_and_claims_are_counted() {
    let side = Side::start("hut-desk", |_, out, frame| {
        if let Frame::Start(start) = frame
            && start.path == "/cut"
        {
            out.disconnect();
        }
    });
    let mut listener = Listener::start();
    let entry = entry_support::start(&[&side], &listener.settings());
    call(
        &entry,
        "POST",
        "/s/hut-desk/huts",
        "Idempotency-Key: k\r\n",
        "",
    );
    call(&entry, "GET", "/s/hut-desk/cut", "", "");
    listener.expect(&[
        "claims:1|c|#verdict:down",
        "platform_failed:1|c|#part:table",
        "links_lost:1|c",
    ]);
}

// The endpoint runs one request; the gate refuses a second one.
#[test]
fn gate_and_its_refusals_are_counted() {
    let endpoint = Endpoint::start(|_, stream| {
        thread::sleep(REQUEST_DURATION);
        side_support::answer(stream, "whole");
    });
    let mut listener = Listener::start();
    let target = listener.socket.local_addr().unwrap();
    let side = side_support::start_side(endpoint.address, |settings| {
        settings.metrics.target = Some(target);
        side_support::side_of(settings).limit = 1;
    });
    let link = Link::open(&side, 1, 1);
    link.get(1, "/huts");
    endpoint.wait_for_call("/huts");
    link.get(2, "/huts");
    link.refusal();
    listener.expect(&[
        "gate_refused:1|c|#service:hut-desk,problem:",
        "gate_running:1|g|#service:hut-desk",
        "buffered:",
        "links:1|g",
    ]);
    listener.expect(&["gate_running:0|g|#service:hut-desk"]);
    assert_eq!(listener.count("gate_refused:"), 1);
}
