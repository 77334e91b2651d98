//! Connections that go silent without being closed, while new ones work.

mod gateway_world;

use gateway_world::{
    Gateway, World,
    batches::{check_whole, results, submit},
    raw_endpoint::{self, Request},
    submission, until,
};
use hibiscusroad_standins::{
    http::ANY_LOOPBACK_PORT,
    relay::{Direction, Relay},
};
use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of events of a generated text.
const EVENT_COUNT: u64 = 4;
const ENGINE_COUNT: usize = 6;
/// Longest time for which an item may be at no engine while engines have room.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(5);
/// Time after which gateways are in touch with the store again whose connections were reset.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Serves a connection, and leaves requests unanswered once the epoch has changed since it began.
fn serve(mut stream: TcpStream, epoch: &AtomicUsize) {
    let begun = epoch.load(Ordering::Relaxed);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Request::read(&mut reader) {
        if epoch.load(Ordering::Relaxed) != begun {
            // Returns when the caller closes the connection.
            let _ = reader.read_to_end(&mut Vec::new());
            return;
        }
        if request.is_generation {
            thread::sleep(Duration::from_millis(60));
        }
        let (headers, body) = (request.success_headers(), request.success_body(EVENT_COUNT));
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\
             Keep-Alive: timeout=30\r\n\r\n{body}"
        );
        // Fails if the caller has disconnected, which the next read shows.
        let _ = stream.write_all(answer.as_bytes());
    }
}

// Guards against items that try one silent connection after the other, and reach no engine while
// engines have room.
#[test]
fn items_reach_engines_after_idle_connections_went_silent() {
    let mut world = World::start("silent-items");
    world.configure(1, &[]);
    let _desk = world.endpoint("hut-desk", "i-desk", &[]);
    let epoch = Arc::new(AtomicUsize::new(0));
    for n in 0..ENGINE_COUNT {
        let epoch = Arc::clone(&epoch);
        let id = format!("i-lm-{n}");
        raw_endpoint::start(&world, "guide-lm", &id, move |stream| serve(stream, &epoch));
    }
    world.gateway();
    world.wait_ready(0);
    for round in 0..3 {
        let (warm, step) = (2 * round + 1, 2 * round + 2);
        let id = format!("b{warm}");
        assert_eq!(
            submit(&world, 0, &id, &submission(warm, 1, 12, 4)).status,
            202
        );
        results(&world, 0, &id, 48);
        epoch.fetch_add(1, Ordering::Relaxed);
        let start = Instant::now();
        let id = format!("b{step}");
        assert_eq!(
            submit(&world, 0, &id, &submission(step, 1, 2, 4)).status,
            202
        );
        check_whole(&results(&world, 0, &id, 8), EVENT_COUNT);
        let waited = start.elapsed();
        assert!(waited < MAX_IDLE_WAIT, "round {round}: {waited:?}");
    }
}

// Guards against requests to a leaving endpoint after the connections to the store went silent,
// whose feeds wait on one idle connection after the other.
#[test]
fn departures_are_known_after_connections_to_the_store_went_silent() {
    let mut world = World::start("silent-store");
    world.configure(1, &[]);
    let relays = [(); 2].map(|()| Relay::start(ANY_LOOPBACK_PORT, world.store.addr()).unwrap());
    for (n, relay) in relays.iter().enumerate() {
        let name = format!("gateway-{}", n + 1);
        let gateway = Gateway::start(&world.dir, &name, relay.addr(), "");
        world.gateways.push(gateway);
    }
    let staying = world.endpoint("hut-desk", "i-stays", &[]);
    for n in 0..2 {
        world.wait_ready(n);
        world.gateways[n].line("Peers are known");
    }
    for round in 0..3 {
        let leaving = world.endpoint("hut-desk", &format!("i-leaves-{round}"), &[]);
        world.store.remove("servers", staying.id());
        for n in 0..2 {
            until("the endpoint is used", || {
                let before = leaving.runs().len();
                world.gateways[n].call("POST", "/desk/x", &format!("warm-{n}"), b"");
                (leaving.runs().len() > before).then_some(())
            });
            fill_pool(&world.gateways[n]);
        }
        staying.register("ready");
        thread::sleep(Duration::from_millis(200));
        let silent_at = Instant::now();
        for relay in &relays {
            relay.silence(Direction::Back);
        }
        thread::sleep(Duration::from_millis(200));
        leaving.register("draining");
        thread::sleep(SETTLE_TIME.saturating_sub(silent_at.elapsed()));
        let before = leaving.runs().len();
        for call in 0..40 {
            let id = format!("late-{round}-{call}");
            world.gateways[call % 2].call("POST", "/desk/x", &id, b"");
        }
        let late = &leaving.runs()[before..];
        assert!(late.is_empty(), "round {round}: {late:?}");
        world.store.remove("servers", leaving.id());
    }
}

/// Leaves idle connections to the store in a gateway's pool, by reads at the same time.
fn fill_pool(gateway: &Gateway) {
    thread::scope(|scope| {
        for n in 0..12 {
            scope.spawn(move || {
                gateway.call("GET", &format!("/lots/none-{n}?after=0"), "reader", b"")
            });
        }
    });
}
