//! Non-idempotent requests with a key, through real entries and sidecars.

mod entry_support;

use entry_support::call;
use hibiscusroad_daemon::{
    entry::{self, Running},
    settings::Settings,
    side::{self, Handle},
};
use hibiscusroad_standins::{
    plain::{self, Plain},
    platform::{self, Faults, Loss, Platform, hosts::TargetGroup},
};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const DATA_CENTRES: [&str; 2] = ["senec", "trnava"];

/// A platform, a booking service of two endpoints in two data centres, and an
/// entry in each.
struct World {
    platform: Platform,
    endpoints: Vec<Plain>,
    sides: Vec<Handle>,
    entries: Vec<Running>,
}

impl World {
    fn start(extra_settings: &str) -> Self {
        let platform = Platform::start(&platform::Settings::default()).unwrap();
        let mut world = Self {
            platform,
            endpoints: Vec::new(),
            sides: Vec::new(),
            entries: Vec::new(),
        };
        for i in 0..2 {
            let endpoint = Plain::start(plain::Settings::default()).unwrap();
            let side = world.start_side(i, &endpoint);
            world.endpoints.push(endpoint);
            world.sides.push(side);
        }
        world.publish_hosts();
        for i in 0..2 {
            let entry = entry::start(&world.settings(
                i,
                &format!("[entry]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n{extra_settings}"),
            ));
            world.entries.push(entry.unwrap());
        }
        for entry in &world.entries {
            entry_support::wait_until(|| call(entry, "GET", "/s/desk/x", "", "").contains(" 200 "));
        }
        // The links to the other sidecars open at about the same time.
        thread::sleep(Duration::from_millis(100));
        world
    }

    fn settings(&self, i: usize, section: &str) -> Settings {
        let (url, data_centre) = (self.platform.url(), DATA_CENTRES[i]);
        let text = format!(
            "name = \"process-{i}\"\nhost = \"host-{i}\"\nplace = \"{data_centre}\"\nregion = \"zapad\"\n[platform]\ntable = \"{url}\"\nhosts = \"{url}\"\n[stop]\ndeadline_s = 5\n{section}"
        );
        toml::from_str(&text).unwrap()
    }

    fn start_side(&self, i: usize, endpoint: &Plain) -> Handle {
        let address = endpoint.addr();
        let settings = self.settings(i, &format!(
            "[side]\nlinks = \"127.0.0.1:0\"\nservice = \"desk\"\nendpoint = \"desk-{i}\"\naddress = \"{address}\"\nkind = \"plain\""
        ));
        let (sender, handles) = flume::bounded(1);
        thread::spawn(move || {
            let lease = Arc::new(|_: &str| None);
            side::serve(&settings, lease, |handle| sender.send(handle).unwrap()).unwrap();
        });
        handles.recv_timeout(Duration::from_secs(5)).unwrap()
    }

    fn publish_hosts(&self) {
        let target = |(i, side): (usize, &Handle)| TargetGroup {
            targets: vec![side.links.to_string()],
            labels: [
                ("host", format!("host-{i}")),
                ("place", DATA_CENTRES[i].to_owned()),
                ("role", "side".to_owned()),
                ("service", "desk".to_owned()),
                ("endpoint", format!("desk-{i}")),
                ("state", "live".to_owned()),
            ]
            .map(|(name, value)| (name.to_owned(), value))
            .into(),
        };
        let list = self.sides.iter().enumerate().map(target).collect();
        self.platform.set_hosts(list);
    }

    fn faults(&self, faults: Faults) {
        self.platform.set_faults(faults);
    }

    /// Sends a reservation through an entry.
    fn reserve(&self, entry: usize, key: &str, headers: &str, body: &str) -> String {
        let headers = format!("Idempotency-Key: {key}\r\n{headers}");
        call(
            &self.entries[entry],
            "POST",
            "/s/desk/reserve",
            &headers,
            body,
        )
    }

    /// Returns how often a reservation with this key was started.
    fn runs(&self, key: &str) -> usize {
        let logs = self.endpoints.iter().flat_map(Plain::log);
        logs.filter(|run| run.key.as_deref() == Some(key)).count()
    }
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

// Guards against a second run when a copy arrives at another entry after the first
// was answered. The sidecar replays the answer.
#[test]
fn a_repeat_through_another_entry_is_answered_from_the_first_run() {
    let world = World::start("");
    let first = world.reserve(0, "a", "", "hut 3");
    let again = world.reserve(1, "a", "", "hut 3");
    assert!(first.contains(" 200 "), "{first}");
    assert_eq!(body(&first), body(&again));
    assert_eq!(world.runs("a"), 1);
}

// As above, but the second entry isn't connected to the sidecar of the first run.
// It connects to the address in the claim.
#[test]
fn a_repeat_finds_a_side_that_its_entry_does_not_use() {
    let world = World::start("subset = 1");
    let first = world.reserve(0, "b", "", "hut 3");
    let again = world.reserve(1, "b", "", "hut 3");
    assert!(first.contains(" 200 "), "{first}");
    assert_eq!(body(&first), body(&again), "{again}");
    assert_eq!(world.runs("b"), 1);
}

// Guards against a second run when copies arrive concurrently at two entries. All
// get the answer of the first run.
#[test]
fn concurrent_copies_run_once() {
    let world = World::start("");
    let answers: Vec<String> = thread::scope(|scope| {
        let world = &world;
        let callers: Vec<_> = (0..8)
            .map(|i| scope.spawn(move || world.reserve(i % 2, "c", "X-Work-Ms: 200\r\n", "hut 3")))
            .collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    for answer in &answers {
        assert!(answer.contains(" 200 "), "{answer}");
        assert_eq!(body(answer), body(&answers[0]));
    }
    assert_eq!(world.runs("c"), 1);
}

// A caller times out while its request runs, and gets the answer when it retries
// through either entry.
#[test]
fn caller_that_timed_out_gets_the_answer_later() {
    let world = World::start("");
    let slow = "X-Work-Ms: 700\r\n";
    let first = world.reserve(0, "d", &format!("{slow}Deadline-Ms: 200\r\n"), "hut 3");
    assert!(first.contains("timed-out"), "{first}");
    assert!(first.contains(r#""not_run":false"#), "{first}");
    let same = world.reserve(0, "d", slow, "hut 3");
    let again = world.reserve(1, "d", slow, "hut 3");
    assert!(again.contains(" 200 "), "{again}");
    assert_eq!(body(&same), body(&again));
    assert_eq!(world.runs("d"), 1);
}

// Guards against a refusal when the table's answer to a claim is lost after the
// write. The entry retries and finds its own row.
#[test]
fn a_lost_answer_of_the_table_is_read_back() {
    let world = World::start("");
    world.faults(Faults {
        lose_answers: Loss::All,
        ..Faults::default()
    });
    let answer = world.reserve(0, "e", "", "hut 3");
    assert!(answer.contains(" 200 "), "{answer}");
    assert_eq!(world.runs("e"), 1);
}

// While the table is down, only requests that need a claim are refused, within the
// table's timeout and as not run.
#[test]
fn without_the_table_only_claims_are_refused() {
    let world = World::start("");
    world.faults(Faults {
        down: true,
        ..Faults::default()
    });
    let begin = Instant::now();
    let refused = world.reserve(0, "f", "", "hut 3");
    let elapsed = begin.elapsed();
    assert!(refused.contains("store-down"), "{refused}");
    assert!(refused.contains(r#""not_run":true"#), "{refused}");
    assert!(refused.contains("Retry-After: "), "{refused}");
    assert!(elapsed < Duration::from_millis(300), "{elapsed:?}");
    assert!(call(&world.entries[0], "GET", "/s/desk/x", "", "").contains(" 200 "));
    assert!(call(&world.entries[0], "POST", "/s/desk/x", "", "").contains(" 200 "));
    world.faults(Faults::default());
    thread::sleep(Duration::from_millis(600));
    let answer = world.reserve(1, "f", "", "hut 3");
    assert!(answer.contains(" 200 "), "{answer}");
    assert_eq!(world.runs("f"), 1);
}

// Guards against answering a request from the run of another with the same key.
#[test]
fn key_of_another_request_is_refused() {
    let world = World::start("");
    let first = world.reserve(0, "g", "", "hut 3");
    let other = world.reserve(1, "g", "", "hut 4");
    assert!(first.contains(" 200 "), "{first}");
    assert!(other.contains("HTTP/1.1 422 "), "{other}");
    assert_eq!(world.runs("g"), 1);
}

// Guards against a second run when the sidecar of the first has lost its state. The
// outcome is reported as unknown.
#[test]
fn new_incarnation_of_a_sidecar_leaves_the_outcome_unknown() {
    let mut world = World::start("");
    let first = world.reserve(0, "h", "", "hut 3");
    assert!(first.contains(" 200 "), "{first}");
    for side in &world.sides {
        side.stop();
    }
    world.sides = (0..2)
        .map(|i| world.start_side(i, &world.endpoints[i]))
        .collect();
    world.publish_hosts();
    entry_support::wait_until(|| {
        let answer = world.reserve(1, "h", "Deadline-Ms: 3000\r\n", "hut 3");
        assert!(!answer.contains(" 200 "), "{answer}");
        answer.contains("outcome-unknown")
    });
    assert_eq!(world.runs("h"), 1);
}

// Guards against dropping a caller that reads steadily but more slowly than the
// endpoint writes.
#[test]
fn a_slow_reader_gets_all_of_a_large_answer() {
    const SIZE: usize = 40 << 20;
    let world = World::start("");
    let mut stream = TcpStream::connect(world.entries[0].callers()).unwrap();
    let request =
        format!("GET /s/desk/x HTTP/1.1\r\nHost: x\r\nX-Size: {SIZE}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut buf = vec![0; 256 << 10];
    let mut total = 0;
    let mut last = Vec::new();
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        total += n;
        last = buf[n.saturating_sub(8)..n].to_vec();
        thread::sleep(Duration::from_millis(5));
    }
    assert!(total > SIZE, "{total}");
    assert!(last.ends_with(b"\r\n0\r\n\r\n") || last.ends_with(b"0\r\n\r\n"));
}
