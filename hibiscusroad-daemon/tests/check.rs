//! Exit codes and messages of the daemon.

use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Output, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Time limit for a process to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two attempts to connect, short so that a test can send a signal right after
/// the process starts to listen.
const CONNECT_INTERVAL: Duration = Duration::from_micros(100);

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

/// Starts an entry whose platform can't be reached, and waits until it serves.
fn start_entry(name: &str, ip: &str) -> Child {
    start_process(name, ip, |callers, operators| {
        format!("[entry]\ncallers = \"{callers}\"\noperators = \"{operators}\"\n")
    })
}

/// Starts a sidecar whose endpoint can't be reached, and waits until it serves.
fn start_side(name: &str, ip: &str) -> Child {
    start_process(name, ip, |links, endpoint| {
        format!(
            "[side]\nlinks = \"{links}\"\nservice = \"desk\"\nendpoint = \"desk-1\"\n\
             address = \"{endpoint}\"\nkind = \"plain\"\n"
        )
    })
}

/// Starts a process with the table that `role_table` returns, and waits until it serves at
/// the first of the addresses passed to it.
///
/// Each test uses a loopback address of its own, so that none takes a port that another
/// has just chosen.
fn start_process(
    name: &str,
    ip: &str,
    role_table: impl Fn(SocketAddr, SocketAddr) -> String,
) -> Child {
    let lock = SPAWN_LOCK.lock().unwrap();
    let bind = || TcpListener::bind((ip, 0)).unwrap();
    let (serving, other, platform) = (bind(), bind(), bind());
    let address_of = |listener: &TcpListener| listener.local_addr().unwrap();
    let address = address_of(&serving);
    let text = format!(
        "name = \"{name}\"\nhost = \"a\"\nplace = \"senec\"\nregion = \"zapad\"\n\
         [platform]\ntable = \"http://{0}\"\nhosts = \"http://{0}\"\n{1}",
        address_of(&platform),
        role_table(address, address_of(&other)),
    );
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    fs::write(&file, text).unwrap();
    drop((serving, other, platform));
    let child = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"))
        .arg(file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    drop(lock);
    let start = Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(start.elapsed() < START_TIMEOUT, "{name} does not serve");
        thread::sleep(CONNECT_INTERVAL);
    }
    child
}

fn terminate(child: &Child) {
    let pid = Pid::from_raw(child.id().try_into().unwrap()).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
}

// The signal arrives right after the first connection. A process that listened before it
// handled signals would be killed and disconnect its callers.
#[test]
fn graceful_shutdown_exits_with_0() {
    let mut child = start_entry("planned-stop", "127.0.0.2");
    terminate(&child);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

// The same for a sidecar, whose first connection is a stream from an entry.
#[test]
fn graceful_shutdown_of_side_exits_with_0() {
    let mut child = start_side("planned-stop-side", "127.0.0.4");
    terminate(&child);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

// The second signal arrives during the graceful shutdown.
#[test]
fn second_signal_exits_with_3() {
    let mut child = start_entry("second-signal", "127.0.0.3");
    terminate(&child);
    thread::sleep(Duration::from_millis(100));
    terminate(&child);
    assert_eq!(child.wait().unwrap().code(), Some(3));
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
