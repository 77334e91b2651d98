//! Requests that crash the endpoints behind sidecars.

mod entry_support;

use entry_support::{Side, call, start_with};
use hibiscusroad::ErrorKind;
use hibiscusroad_daemon::entry::Running;
use hibiscusroad_standins::platform::{self, Platform};
use hibiscusroad_wire::{Refused, to_entry, to_side::Frame};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Longer than the time in which breaks at one endpoint count as one crash.
const RESTART: Duration = Duration::from_millis(1_100);
const CRASHES: usize = 3;

/// A sidecar whose endpoint crashes on the body "crash" and then restarts.
fn fragile(crashes: &Arc<AtomicUsize>) -> Side {
    let (crashes, down) = (Arc::clone(crashes), Mutex::new(None));
    Side::start("hut-desk", move |_, out, frame| {
        let Frame::Start(start) = frame else { return };
        let mut down = down.lock().unwrap();
        let kind = if down.is_some_and(|since: Instant| since.elapsed() < RESTART) {
            ErrorKind::EndpointDown
        } else if start.body == b"crash" {
            *down = Some(Instant::now());
            crashes.fetch_add(1, Ordering::Relaxed);
            ErrorKind::EndpointBroken
        } else {
            return out.answer(start.id, "whole");
        };
        out.send(to_entry::Frame::Refused(Refused {
            id: start.id,
            problem: kind.answer().problem.to_owned(),
            retry_ms: 0,
        }));
    })
}

fn repeat(entry: &Running, method: &str, headers: &str) -> Vec<String> {
    let send = |n: usize| {
        let headers = headers.replace('#', &n.to_string());
        let answer = call(entry, method, "/s/hut-desk/x", &headers, "crash");
        thread::sleep(RESTART / 4);
        answer
    };
    (0..12).map(send).collect()
}

// Guards against endless retries of a request that crashes endpoints, whether it is
// idempotent, not idempotent, or has a key.
#[test]
fn request_that_crashes_endpoints_stops_reaching_sides() {
    for (method, headers) in [
        ("PUT", ""),
        ("POST", ""),
        ("POST", "Idempotency-Key: key-#\r\n"),
    ] {
        let crashes = Arc::default();
        let sides = [(); 3].map(|()| fragile(&crashes));
        let table = Platform::start(&platform::Settings::default()).unwrap();
        let entry = start_with(&table.url(), &sides.each_ref(), "");
        let answers = repeat(&entry, method, headers);
        let crashes = crashes.load(Ordering::Relaxed);
        assert_eq!(crashes, CRASHES, "{method} {headers}");
        let last = answers.last().unwrap();
        assert!(last.contains("quarantined"), "{method} {headers}: {last}");
        thread::sleep(RESTART);
        let other = call(&entry, method, "/s/hut-desk/x", "", "another body");
        assert!(other.ends_with("whole"), "{method} {headers}: {other}");
    }
}
