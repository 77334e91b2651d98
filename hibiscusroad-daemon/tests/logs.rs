//! Format of log lines and metrics.

use hibiscusroad_daemon::{
    logs,
    metrics::{self, Metrics},
    settings::{Log, Metrics as Target},
};
use log::{Level, Record};
use std::{collections::BTreeSet, fmt, fs, net::UdpSocket, path::Path, sync::mpsc, time::Duration};

fn format_records(format: &str, level: &str, records: &[(&str, Level, &str)]) -> Vec<String> {
    let (tx, rx) = mpsc::channel();
    let settings = Log {
        level: level.to_owned(),
        format: format.to_owned(),
        lines_s: 200,
    };
    let (_, logger) = logs::dispatch(&settings).unwrap().chain(tx).into_log();
    for (target, level, text) in records {
        log_record(&*logger, target, *level, format_args!("{text}"));
    }
    drop(logger);
    rx.iter().collect()
}

fn log_record(logger: &dyn log::Log, target: &str, level: Level, args: fmt::Arguments<'_>) {
    logger.log(
        &Record::builder()
            .target(target)
            .level(level)
            .args(args)
            .build(),
    );
}

#[test]
fn text_has_time_level_target_and_message() {
    let lines = format_records("text", "info", &[(logs::LINK, Level::Info, "link is up")]);
    let (time, rest) = lines[0].split_once(' ').unwrap();
    assert!(time.ends_with('Z') && time.len() == 24, "{time}");
    assert_eq!(rest, "INFO  link: link is up\n");
}

#[test]
fn json_escapes_the_message() {
    let lines = format_records("json", "info", &[(logs::SIDE, Level::Warn, "a \"b\"\nc")]);
    let line: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["part"], "side");
    assert_eq!(line["text"], "a \"b\"\nc");
}

#[test]
fn level_filters_components_and_libraries() {
    let records = [
        (logs::CALLS, Level::Debug, "kept"),
        (logs::CALLS, Level::Trace, "cut"),
        ("h2::codec", Level::Debug, "cut"),
        ("h2::codec", Level::Warn, "kept"),
    ];
    let lines = format_records("text", "debug", &records);
    assert_eq!(lines.len(), 2);
    assert!(lines.iter().all(|line| line.ends_with("kept\n")));
}

#[test]
fn unknown_levels_and_formats_are_rejected() {
    for (level, format) in [("loud", "text"), ("off", "text"), ("info", "xml")] {
        let log = Log {
            level: level.to_owned(),
            format: format.to_owned(),
            lines_s: 200,
        };
        logs::dispatch(&log).unwrap_err();
    }
}

#[test]
fn metrics_are_sent_as_statsd_lines_on_flush() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let target = Some(socket.local_addr().unwrap());
    let metrics = Metrics::open(&Target { target }).unwrap();
    metrics.count(metrics::REQUESTS, &[("service", "hut-desk")]);
    metrics.gauge(metrics::LINKS, 15, &[]);
    metrics.time(metrics::LATENCY, Duration::from_millis(7), &[]);
    metrics.flush();
    let mut buf = [0; 1500];
    let n = socket.recv(&mut buf).unwrap();
    let text = String::from_utf8_lossy(&buf[..n]);
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "hibiscusroad.requests:1|c|#service:hut-desk",
        "hibiscusroad.links:15|g",
        "hibiscusroad.latency:7|ms",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn metrics_without_listener_do_not_fail() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = Some(socket.local_addr().unwrap());
    drop(socket);
    let metrics = Metrics::open(&Target { target }).unwrap();
    for _ in 0..1000 {
        metrics.count(metrics::REQUESTS, &[]);
    }
    metrics.flush();
    Metrics::off().count(metrics::REQUESTS, &[]);
}

// Operators search by the log targets that are listed.
#[test]
fn every_log_target_in_use_is_listed() {
    let mut files = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("src")];
    let mut used = BTreeSet::new();
    while let Some(path) = files.pop() {
        if path.is_dir() {
            files.extend(fs::read_dir(path).unwrap().map(|file| file.unwrap().path()));
            continue;
        }
        let text = fs::read_to_string(path).unwrap();
        for marker in ["target: \"", "const LOG: &str = \""] {
            let after = text.split(marker).skip(1);
            used.extend(after.filter_map(|rest| Some(rest.split_once('"')?.0.to_owned())));
        }
    }
    assert!(!used.is_empty());
    let unlisted: Vec<_> = used
        .iter()
        .filter(|name| !logs::TARGETS.contains(&name.as_str()))
        .collect();
    assert!(unlisted.is_empty(), "{unlisted:?}");
}

#[test]
fn operations_page_lists_log_targets_and_metrics() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    let metrics = metrics::NAMES.iter().map(|(name, _)| name);
    for name in logs::TARGETS.iter().chain(metrics) {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}
