//! A sidecar as a separate process that is terminated, suspended or killed.

mod side_support;

use self::side_support::{
    Endpoint, Frame, Link, TEST_TIMEOUT, answer, write_event, write_events_end, write_events_head,
};
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
    /// Starts a sidecar and waits until it accepts connections.
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
        let deadline = Instant::now() + TEST_TIMEOUT;
        while TcpStream::connect(links).is_err() {
            assert!(
                Instant::now() < deadline,
                "the sidecar accepts no connections"
            );
            thread::sleep(Duration::from_millis(10));
        }
        Self { child, links }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }

    fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the sidecar does not end");
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

/// SIGTERM arrives while an answer is sent. The answer completes, and the process
/// exits with code 0.
#[test]
fn sigterm_completes_running_answer() {
    let engine = Endpoint::start(|path, stream| {
        if path == "/load" {
            return answer(stream, "{}");
        }
        write_events_head(stream);
        for _ in 0..40 {
            write_event(stream, r#"{"choices":[{"text":"a"}]}"#);
            thread::sleep(Duration::from_millis(20));
        }
        write_event(stream, "[DONE]");
        write_events_end(stream);
    });
    let mut side = Process::start("terminated", engine.address, "model");
    let link = Link::open_at(side.links, 7, 1);
    link.get(1, "/v1/completions");
    engine.wait_for_call("/v1/completions");
    side.signal(Signal::TERM);
    let answer = link.answer(1);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(side.wait().code(), Some(0));
}

/// A Start waits in the socket of a suspended sidecar while its entry opens another
/// stream and seals the attempt. The resumed sidecar may read both in any order:
/// either the attempt runs and is reported as such, or it is sealed and never runs.
#[test]
fn suspended_sidecar_never_starts_sealed_attempt() {
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let side = Process::start("paused", endpoint.address, "plain");
    let old = Link::open_at(side.links, 7, 1);
    side.signal(Signal::STOP);
    old.post_once(1, "/reserve");
    thread::sleep(Duration::from_secs(3));
    let links = side.links;
    let opening = thread::spawn(move || Link::open_at(links, 7, 2));
    thread::sleep(Duration::from_millis(200));
    side.signal(Signal::CONT);
    let new = opening.join().unwrap();
    new.seal(1);
    let Frame::Standing(standing) = new.next() else {
        panic!("the next frame is no Standing");
    };
    thread::sleep(Duration::from_millis(500));
    let sealed = standing.state() == State::Sealed;
    assert_eq!(endpoint.count("/reserve"), usize::from(!sealed));
}

/// The successor of a killed sidecar has a new incarnation. By it an entry knows that
/// the successor's reports say nothing about attempts at its predecessor.
#[test]
fn successor_has_new_incarnation() {
    let endpoint = Endpoint::start(|_, stream| answer(stream, "hut 4"));
    let mut incarnations = Vec::new();
    for name in ["first", "second"] {
        let mut side = Process::start(name, endpoint.address, "plain");
        let link = Link::hello(side.links, 7, 1, hibiscusroad_wire::VERSION);
        if let Frame::Welcome(welcome) = link.next() {
            incarnations.push(welcome.incarnation);
        }
        side.signal(Signal::KILL);
        assert_eq!(side.wait().code(), None);
    }
    assert_eq!(incarnations.len(), 2);
    assert_ne!(incarnations[0], incarnations[1]);
}
