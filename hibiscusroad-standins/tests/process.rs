//! Tests of the program `standin`.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Command, Stdio},
};

const STANDIN_PATH: &str = env!("CARGO_BIN_EXE_standin");

#[test]
fn each_kind_prints_its_address_and_exits_on_a_signal() {
    for kind in ["platform", "engine", "plain", "trainer", "scorer"] {
        let mut child = Command::new(STANDIN_PATH)
            .args([kind, "--url", "http://127.0.0.1:1"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let out = child.stdout.as_mut().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap();
        address.parse::<SocketAddr>().unwrap();
        let id = child.id().to_string();
        Command::new("kill").arg(id).status().unwrap();
        assert!(child.wait().unwrap().success(), "{kind}");
    }
}

#[test]
fn invalid_usage_is_reported() {
    for args in [&["no-such-kind"][..], &["plain", "--limit", "many"], &[]] {
        let output = Command::new(STANDIN_PATH).args(args).output().unwrap();
        assert!(!output.status.success());
        assert!(!output.stderr.is_empty());
    }
}
