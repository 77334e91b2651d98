//! A side as a process of its own, stopped and paused by signals.

mod side_support;

use self::side_support::{Endpoint, Frame, Link, PATIENCE, answer, end_events, event, events};
use hibiscusroad_wire::State;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, ExitStatus},
    thread,
    time::{Duration, Instant},
};

struct Process {
    child: Child,
    links: SocketAddr,
}

impl Process {
    /// Starts a side and waits until it takes links.
    fn start(name: &str, endpoint: SocketAddr, kind: &str) -> Self {
        let links = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let settings = format!(
            r#"
            name = "{name}"
            host = "host-1"
            place = "senec"
            region = "zapad"
            [platform]
            table = "http://127.0.0.1:1"
            hosts = "http://127.0.0.1:1"
            [side]
            links = "{links}"
            service = "hut-desk"
            endpoint = "hut-desk-1"
            address = "{endpoint}"
            kind = "{kind}"
            "#
        );
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"));
        let child = command.arg(file).spawn().unwrap();
        let until = Instant::now() + PATIENCE;
        while TcpStream::connect(links).is_err() {
            assert!(Instant::now() < until, "the side takes no links");
            thread::sleep(Duration::from_millis(10));
        }
        Self { child, links }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }

    fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < until, "the side does not end");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// The platform takes the host away: SIGTERM comes while an answer streams. The
/// caller gets the answer to its end, and the process ends with code 0.
#[test]
fn a_terminated_side_cuts_off_no_stream() {
    let engine = Endpoint::start(|path, stream| {
        if path == "/load" {
            return answer(stream, "{}");
        }
        events(stream);
        for _ in 0..40 {
            event(stream, r#"{"choices":[{"text":"a"}]}"#);
            thread::sleep(Duration::from_millis(20));
        }
        event(stream, "[DONE]");
        end_events(stream);
    });
    let mut side = Process::start("terminated", engine.address, "model");
    let link = Link::open_at(side.links, 7, 1);
    link.get(1, "/v1/completions");
    engine.await_call("/v1/completions");
    side.signal(Signal::TERM);
    let answer = link.answer(1);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(side.wait().code(), Some(0));
}

/// The side is paused for three seconds while a Start waits in its socket. Its
/// entry gave the link up, opened another and asked to seal the attempt. When
/// the side goes on, it reads both in any order: either the attempt ran and the
/// answer says so, or it is sealed and never runs.
#[test]
fn a_paused_side_starts_nothing_that_it_seals() {
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let side = Process::start("paused", endpoint.address, "plain");
    let old = Link::open_at(side.links, 7, 1);
    side.signal(Signal::STOP);
    old.post_once(1, "/reserve");
    thread::sleep(Duration::from_secs(3));
    let links = side.links;
    let opened = thread::spawn(move || Link::open_at(links, 7, 2));
    thread::sleep(Duration::from_millis(200));
    side.signal(Signal::CONT);
    let new = opened.join().unwrap();
    new.seal(1);
    let Frame::Standing(standing) = new.next() else {
        panic!("no standing came");
    };
    thread::sleep(Duration::from_millis(500));
    let sealed = standing.state() == State::Sealed;
    assert_eq!(endpoint.count("/reserve"), usize::from(!sealed));
}

/// The side is killed while a reservation runs. Its successor knows nothing of
/// it and has another incarnation; by that the entry sees that "sealed" from it
/// says nothing about the first, and that the outcome is unknown.
#[test]
fn a_successor_has_another_incarnation() {
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let mut seen = Vec::new();
    for name in ["first", "second"] {
        let mut side = Process::start(name, endpoint.address, "plain");
        let link = Link::hello(side.links, 7, 1, hibiscusroad_wire::VERSION);
        if let Frame::Welcome(welcome) = link.next() {
            seen.push(welcome.incarnation);
        }
        side.signal(Signal::KILL);
        assert_eq!(side.wait().code(), None);
    }
    assert_eq!(seen.len(), 2);
    assert_ne!(seen[0], seen[1]);
}
