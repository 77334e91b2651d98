//! Requests that may not run twice, through real entries and sides.

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

const PLACES: [&str; 2] = ["senec", "trnava"];

/// A platform, a booking service of two endpoints in two places, and an entry
/// in each place.
struct World {
    platform: Platform,
    desks: Vec<Plain>,
    sides: Vec<Handle>,
    entries: Vec<Running>,
}

impl World {
    fn start(more: &str) -> Self {
        let platform = Platform::start(&platform::Settings::default()).unwrap();
        let mut world = Self {
            platform,
            desks: Vec::new(),
            sides: Vec::new(),
            entries: Vec::new(),
        };
        for i in 0..2 {
            let desk = Plain::start(plain::Settings::default()).unwrap();
            let side = world.start_side(i, &desk);
            world.desks.push(desk);
            world.sides.push(side);
        }
        world.list();
        for i in 0..2 {
            let entry = entry::start(&world.settings(
                i,
                &format!("[entry]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n{more}"),
            ));
            world.entries.push(entry.unwrap());
        }
        for entry in &world.entries {
            entry_support::wait_until(|| call(entry, "GET", "/s/desk/x", "", "").contains(" 200 "));
        }
        // Links to the other sides come up in the same moment.
        thread::sleep(Duration::from_millis(100));
        world
    }

    fn settings(&self, i: usize, part: &str) -> Settings {
        let (url, place) = (self.platform.url(), PLACES[i]);
        let text = format!(
            "name = \"process-{i}\"\nhost = \"host-{i}\"\nplace = \"{place}\"\nregion = \"zapad\"\n[platform]\ntable = \"{url}\"\nhosts = \"{url}\"\n[stop]\ndeadline_s = 5\n{part}"
        );
        toml::from_str(&text).unwrap()
    }

    fn start_side(&self, i: usize, desk: &Plain) -> Handle {
        let address = desk.addr();
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

    fn list(&self) {
        let target = |(i, side): (usize, &Handle)| TargetGroup {
            targets: vec![side.links.to_string()],
            labels: [
                ("host", format!("host-{i}")),
                ("place", PLACES[i].to_owned()),
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
        let logs = self.desks.iter().flat_map(Plain::log);
        logs.filter(|ran| ran.key.as_deref() == Some(key)).count()
    }
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

// Both callers get the same answer, and the hut is reserved once. The second
// copy comes through another entry after the first was answered; that entry
// finds the claim, asks the side, and the side replays the answer.
#[test]
fn a_repeat_through_another_entry_is_answered_from_the_first_run() {
    let world = World::start("");
    let first = world.reserve(0, "a", "", "hut 3");
    let again = world.reserve(1, "a", "", "hut 3");
    assert!(first.contains(" 200 "), "{first}");
    assert_eq!(body(&first), body(&again));
    assert_eq!(world.runs("a"), 1);
}

// As above, but the entry of the second copy has no link to the side that ran
// the first. It opens one to the address in the claim, only to ask.
#[test]
fn a_repeat_finds_a_side_that_its_entry_does_not_use() {
    let world = World::start("subset = 1");
    let first = world.reserve(0, "b", "", "hut 3");
    let again = world.reserve(1, "b", "", "hut 3");
    assert!(first.contains(" 200 "), "{first}");
    assert_eq!(body(&first), body(&again), "{again}");
    assert_eq!(world.runs("b"), 1);
}

// Eight callers send one request at once through two entries. All get the one
// answer; whoever came late waited for the first run and was attached to it.
#[test]
fn copies_at_the_same_time_run_once() {
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

// The first caller gives up while its request runs, and is told that it may
// have run. It comes back, through this entry and another, and gets the answer.
#[test]
fn a_caller_that_gave_up_gets_the_answer_later() {
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

// The caller gets its answer though the table's answer to the claim is lost
// after the write took effect. The entry writes again and finds its own row.
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

// While the table is down the caller is refused within the time that the table
// is given, "not run", and told when to come back. Requests that may be
// repeated, and those without a key, are answered as if nothing had happened.
#[test]
fn without_the_table_only_claims_are_refused() {
    let world = World::start("");
    world.faults(Faults {
        down: true,
        ..Faults::default()
    });
    let begin = Instant::now();
    let refused = world.reserve(0, "f", "", "hut 3");
    let took = begin.elapsed();
    assert!(refused.contains("store-down"), "{refused}");
    assert!(refused.contains(r#""not_run":true"#), "{refused}");
    assert!(refused.contains("Retry-After: "), "{refused}");
    assert!(took < Duration::from_millis(300), "{took:?}");
    assert!(call(&world.entries[0], "GET", "/s/desk/x", "", "").contains(" 200 "));
    assert!(call(&world.entries[0], "POST", "/s/desk/x", "", "").contains(" 200 "));
    world.faults(Faults::default());
    thread::sleep(Duration::from_millis(600));
    let answer = world.reserve(1, "f", "", "hut 3");
    assert!(answer.contains(" 200 "), "{answer}");
    assert_eq!(world.runs("f"), 1);
}

// The caller that uses a key for another request is told so; neither request is
// mixed up with the other.
#[test]
fn a_key_is_not_taken_for_another_request() {
    let world = World::start("");
    let first = world.reserve(0, "g", "", "hut 3");
    let other = world.reserve(1, "g", "", "hut 4");
    assert!(first.contains(" 200 "), "{first}");
    assert!(other.contains("HTTP/1.1 422 "), "{other}");
    assert_eq!(world.runs("g"), 1);
}

// The side that ran the reservation is replaced by one that knows nothing. The
// caller that comes back is told that nobody knows, and it is not run again.
#[test]
fn a_side_that_was_replaced_leaves_the_outcome_unknown() {
    let mut world = World::start("");
    let first = world.reserve(0, "h", "", "hut 3");
    assert!(first.contains(" 200 "), "{first}");
    for side in &world.sides {
        side.stop();
    }
    world.sides = (0..2)
        .map(|i| world.start_side(i, &world.desks[i]))
        .collect();
    world.list();
    entry_support::wait_until(|| {
        let answer = world.reserve(1, "h", "Deadline-Ms: 3000\r\n", "hut 3");
        assert!(!answer.contains(" 200 "), "{answer}");
        answer.contains("outcome-unknown")
    });
    assert_eq!(world.runs("h"), 1);
}

// A caller that reads steadily, but more slowly than the endpoint writes, gets
// all of a large answer. What the entry holds for it stays small, because the
// side is told only of what the caller took, and reads no further than that.
#[test]
fn a_slow_reader_gets_all_of_a_large_answer() {
    const SIZE: usize = 40 << 20;
    let world = World::start("");
    let mut stream = TcpStream::connect(world.entries[0].callers()).unwrap();
    let request =
        format!("GET /s/desk/x HTTP/1.1\r\nHost: x\r\nX-Size: {SIZE}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut piece = vec![0; 256 << 10];
    let mut all = 0;
    let mut last = Vec::new();
    while let Ok(n @ 1..) = stream.read(&mut piece) {
        all += n;
        last = piece[n.saturating_sub(8)..n].to_vec();
        thread::sleep(Duration::from_millis(5));
    }
    assert!(all > SIZE, "{all}");
    assert!(last.ends_with(b"\r\n0\r\n\r\n") || last.ends_with(b"0\r\n\r\n"));
}
