//! Exit codes and messages of the daemon.

use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{self, Child, Command, Output, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Time limit for a process to start serving or to handle a signal.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two polls, short so that a test can send a signal right after the process
/// starts to listen or has handled another.
const POLL_INTERVAL: Duration = Duration::from_micros(100);

/// Held while ports are chosen and while a process is spawned.
///
/// Until a spawned process calls `exec`, it holds copies of all open sockets, so ports that
/// another test has chosen and closed would still be in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn run_daemon(args: &[&str]) -> Output {
    let lock = SPAWN_LOCK.lock().unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"))
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    drop(lock);
    child.unwrap().wait_with_output().unwrap()
}

fn settings_file(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data/settings")
        .join(name);
    file.display().to_string()
}

#[test]
fn help_and_version_exit_with_0() {
    let help = run_daemon(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("Usage: hibiscusroadd [--check] FILE"));
    let version = run_daemon(&["--version"]);
    assert_eq!(version.status.code(), Some(0));
    let line = format!("hibiscusroadd {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&version.stdout), line);
}

#[test]
fn check_of_valid_file_exits_with_0() {
    let file = settings_file("entry-all.toml");
    let out = run_daemon(&["--check", &file]);
    assert_eq!(out.status.code(), Some(0));
    assert_eq!(
        String::from_utf8_lossy(&out.stdout),
        format!("{file}: fine\n")
    );
}

#[test]
fn invalid_settings_exit_with_2_and_name_file_and_line() {
    let file = settings_file("many.toml");
    for args in [vec!["--check", &file], vec![&file]] {
        let out = run_daemon(&args);
        assert_eq!(out.status.code(), Some(2));
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(text.lines().count() > 5, "{text}");
        assert!(text.lines().all(|line| line.starts_with(&file)), "{text}");
    }
}

#[test]
fn invalid_usage_exits_with_2() {
    for args in [
        &[][..],
        &["--chek", "x"],
        &["a", "b"],
        &["/nonexistent.toml"],
    ] {
        let out = run_daemon(args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(!out.stderr.is_empty());
    }
}

/// A started process.
struct Process {
    child: Child,
    /// Where it will serve.
    address: SocketAddr,
}

/// Starts an entry whose platform can't be reached.
fn start_entry(name: &str, number: u32) -> Process {
    start_process(name, number, |callers, operators| {
        format!("[entry]\ncallers = \"{callers}\"\noperators = \"{operators}\"\n")
    })
}

/// Starts a sidecar whose endpoint can't be reached.
fn start_side(name: &str, number: u32) -> Process {
    start_process(name, number, |links, endpoint| {
        format!(
            "[side]\nlinks = \"{links}\"\nservice = \"desk\"\nendpoint = \"desk-1\"\n\
             address = \"{endpoint}\"\nkind = \"plain\"\n"
        )
    })
}

/// Returns a loopback address that no other test uses, in this process or in another.
///
/// The 24 bits below 127 hold a process id, which has at most 22 bits, and the number of the
/// test, from 0 to 3.
fn loopback_address(number: u32) -> Ipv4Addr {
    assert!(number < 4);
    Ipv4Addr::from(0x7f00_0000 | process::id() << 2 | number)
}

/// Starts a process with the table that `role_table` returns.
///
/// Addresses and the settings file are of this test alone, so that no other test, and no copy
/// of this one, takes a port that was just chosen or overwrites the file.
fn start_process(
    name: &str,
    number: u32,
    role_table: impl Fn(SocketAddr, SocketAddr) -> String,
) -> Process {
    let lock = SPAWN_LOCK.lock().unwrap();
    let bind = || TcpListener::bind((loopback_address(number), 0)).unwrap();
    let (serving, other, platform) = (bind(), bind(), bind());
    let address_of = |listener: &TcpListener| listener.local_addr().unwrap();
    let address = address_of(&serving);
    let text = format!(
        "name = \"{name}\"\nhost = \"a\"\nplace = \"senec\"\nregion = \"zapad\"\n\
         [platform]\ntable = \"http://{0}\"\nhosts = \"http://{0}\"\n{1}",
        address_of(&platform),
        role_table(address, address_of(&other)),
    );
    let file = format!("{name}-{}.toml", process::id());
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    fs::write(&file, text).unwrap();
    drop((serving, other, platform));
    let child = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"))
        .arg(file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    drop(lock);
    Process { child, address }
}

impl Process {
    /// Waits until it serves, and returns a connection to it.
    fn connect(&self) -> TcpStream {
        until("the process serves", || {
            TcpStream::connect(self.address).ok()
        })
    }

    fn terminate(&self) {
        let pid = Pid::from_raw(self.child.id().try_into().unwrap()).unwrap();
        kill_process(pid, Signal::TERM).unwrap();
    }

    fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Returns whether it has installed all actions for SIGTERM: the handler of SIGINT is
    /// installed after them.
    fn handles_termination(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        has_signal(&status.unwrap(), "SigCgt:", Signal::INT)
    }

    /// Returns whether no SIGTERM is pending and no thread runs the handler, during which
    /// SIGTERM is blocked.
    fn has_handled_signal(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let statuses = threads.map(|thread| {
            // A thread may have ended since.
            fs::read_to_string(thread.unwrap().path().join("status")).unwrap_or_default()
        });
        let lists = ["ShdPnd:", "SigPnd:", "SigBlk:"];
        statuses.into_iter().all(|status| {
            lists
                .iter()
                .all(|list| !has_signal(&status, list, Signal::TERM))
        })
    }
}

/// Returns whether a signal is in a list of signals of a `/proc` status file.
fn has_signal(status: &str, list: &str, signal: Signal) -> bool {
    let mut lines = status.lines();
    let mask = lines.find_map(|line| line.strip_prefix(list));
    let mask = u64::from_str_radix(mask.unwrap_or("0").trim(), 16).unwrap();
    mask & 1 << (signal.as_raw() - 1) != 0
}

/// Polls `check` until it returns a value; panics with `what` after [`START_TIMEOUT`].
fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < START_TIMEOUT, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

// The signal arrives right after the first connection. A process that listened before it
// handled signals would be killed and disconnect its callers.
#[test]
fn graceful_shutdown_exits_with_0() {
    let mut entry = start_entry("planned-stop", 0);
    let _connection = entry.connect();
    entry.terminate();
    assert_eq!(entry.exit_code(), Some(0));
}

// The same for a sidecar, whose first connection is a stream from an entry.
#[test]
fn graceful_shutdown_of_side_exits_with_0() {
    let mut side = start_side("planned-stop-side", 1);
    let _connection = side.connect();
    side.terminate();
    assert_eq!(side.exit_code(), Some(0));
}

// The second signal arrives during the graceful shutdown, as soon as the first is handled. A
// process that counted signals later, in a thread, would take both for one and complete the
// request.
#[test]
fn second_signal_exits_with_3() {
    let mut entry = start_entry("second-signal", 2);
    let mut request = entry.connect();
    // The process waits for the rest of the request, so it doesn't end before the signal.
    request
        .write_all(b"POST /s/desk/x HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
        .unwrap();
    entry.terminate();
    until("the first signal is handled", || {
        entry.has_handled_signal().then_some(())
    });
    entry.terminate();
    assert_eq!(entry.exit_code(), Some(3));
}

// The same before the process listens, when nothing waits for signals yet. An entry that stops
// stays for its idle connections, so it doesn't end before the second signal.
#[test]
fn second_signal_during_start_exits_with_3() {
    let mut entry = start_entry("second-signal-start", 3);
    until("the process handles signals", || {
        entry.handles_termination().then_some(())
    });
    entry.terminate();
    until("the first signal is handled", || {
        entry.has_handled_signal().then_some(())
    });
    entry.terminate();
    assert_eq!(entry.exit_code(), Some(3));
}

// The settings are valid, but the address for callers is in use.
#[test]
fn failure_while_running_exits_with_1() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = fs::read_to_string(settings_file("entry-all.toml")).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let text = text.replace("127.0.0.1:8080", &address);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("taken.toml");
    fs::write(&file, text).unwrap();
    let out = run_daemon(&[file.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains(&address));
}
