//! The plain service's log and faults, and the relay in front of it.

use hibiscusroad_standins::{
    http::ANY_LOOPBACK_PORT,
    plain::{Answer, Faults, Plain, Settings},
    relay::{Direction, Relay},
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

fn call(addr: SocketAddr, request: &str) -> Result<Answer, ureq::Error> {
    let url = format!("http://{addr}/huts/7");
    let call = ureq::post(url)
        .config()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .header("X-Request", request)
        .header("X-Size", "3000")
        .header("Idempotency-Key", "k");
    let text = call.send("body")?.body_mut().read_to_string()?;
    Ok(serde_json::from_str(&text).unwrap())
}

#[test]
fn answer_echoes_the_request_and_the_log_lists_it() {
    let plain = Plain::start(Settings::default()).unwrap();
    let answer = call(plain.addr(), "r1").unwrap();
    assert_eq!(answer.request.as_deref(), Some("r1"));
    assert_eq!(
        (answer.path.as_str(), answer.body.as_str()),
        ("/huts/7", "body")
    );
    assert_eq!(answer.pad.len(), 3000);
    let log = plain.log();
    assert_eq!(log.len(), 1);
    assert_eq!(log[0].key.as_deref(), Some("k"));
}

#[test]
fn concurrent_requests_are_limited() {
    let default_work = Duration::from_millis(60);
    let plain = Plain::start(Settings {
        default_work,
        max_running: 1,
        ..Settings::default()
    })
    .unwrap();
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| call(plain.addr(), "r").unwrap());
        }
    });
    assert!(start.elapsed() >= default_work * 3);
}

/// A request without an answer may have run, so it must not be reported as not run.
#[test]
fn stuck_service_runs_requests_without_answering() {
    let plain = Plain::start(Settings::default()).unwrap();
    plain.set_faults(Faults {
        stuck: true,
        ..Faults::default()
    });
    call(plain.addr(), "r").unwrap_err();
    assert_eq!(plain.log().len(), 1);
}

/// On a connection that goes silent without closing, only the caller's timeout ends a
/// request.
#[test]
fn silent_connection_stays_silent_and_new_ones_work() {
    let plain = Plain::start(Settings::default()).unwrap();
    let relay = Relay::start(ANY_LOOPBACK_PORT, plain.addr()).unwrap();
    let agent = ureq::agent();
    let url = format!("http://{}/", relay.addr());
    let get = || {
        agent
            .get(&url)
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .call()
    };
    get().unwrap().body_mut().read_to_vec().unwrap();
    relay.silence(Direction::Back);
    get().unwrap_err();
    assert_eq!(plain.log().len(), 2);
    call(relay.addr(), "r").unwrap();
}
