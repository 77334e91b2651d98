//! Timelines of requests, batches and items from the logs of all processes.
//!
//! A gateway logs each decision as a JSON line with the ids involved. The
//! timeline of an id contains each line with that id and, for an item, the lines
//! about the owner of its batch. Clocks of hosts may differ by seconds, so the
//! times are corrected by each process's offset, estimated from log lines that
//! all processes write within milliseconds of the same store write.
//!
//! [`steps`] analyses what training steps waited for.

mod steps;

use serde_json::{Map, Value};
use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write,
    time::{Duration, SystemTime},
};

/// The messages that all processes log about the same store write.
const SHARED_MESSAGES: &[&str] = &[
    "A configuration is in force.",
    "A weight version was named.",
];
/// The messages about the owner of a batch.
const OWNER_MESSAGES: &[&str] = &[
    "A batch is accepted.",
    "A batch is taken over.",
    "A batch is run here.",
    "A batch is no longer run here.",
    "A batch is ended.",
];
/// The fields of every line; all others are specific to the message.
const COMMON_FIELDS: &[&str] = &["time", "level", "part", "text"];

/// A parsed log line.
#[derive(Clone, Debug)]
struct LogLine {
    process: String,
    /// Milliseconds since the Unix epoch by the clock of the process.
    time_ms: f64,
    fields: Map<String, Value>,
}

impl LogLine {
    fn str_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn mentions(&self, id: &str) -> bool {
        let mut fields = self.message_fields();
        fields.any(|(_, value)| value.as_str() == Some(id))
    }

    fn message_fields(&self) -> impl Iterator<Item = (&String, &Value)> {
        let fields = self.fields.iter();
        fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
    }

    /// Returns a key of the store write that all processes log, if the line is
    /// about one.
    fn shared_key(&self) -> Option<String> {
        let text = self.str_field("text");
        let ids = || ["model", "version"].map(|name| self.fields.get(name).cloned());
        SHARED_MESSAGES
            .contains(&text)
            .then(|| format!("{text} {:?}", ids()))
    }
}

/// The logs of several processes.
#[derive(Debug, Default)]
pub struct Logs {
    lines: Vec<LogLine>,
    /// The number of lines that could not be parsed.
    unparsed: usize,
}

impl Logs {
    /// Creates an empty set of logs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a log. `name` is used as the process until a line names the process.
    pub fn add(&mut self, name: &str, text: &str) {
        let mut process = name.to_owned();
        for text in text.lines().filter(|line| !line.trim().is_empty()) {
            let Some((time_ms, fields)) = parse_line(text) else {
                self.unparsed += 1;
                continue;
            };
            let prefix = process_prefix(text).map(str::to_owned);
            let mut line = LogLine {
                process: process.clone(),
                time_ms,
                fields,
            };
            if let Some((started, _)) = line.str_field("text").split_once(" starts as ") {
                started.clone_into(&mut process);
            }
            line.process = prefix.unwrap_or_else(|| process.clone());
            self.lines.push(line);
        }
    }

    /// Returns the number of lines that could not be parsed.
    #[must_use]
    pub const fn unparsed(&self) -> usize {
        self.unparsed
    }

    /// Returns the timeline of an id, or `None` if no line mentions it.
    #[must_use]
    pub fn timeline(&self, id: &str) -> Option<String> {
        let mut lines: Vec<&LogLine> = self.lines.iter().filter(|line| line.mentions(id)).collect();
        let first = lines.first()?;
        let batch = first.str_field("batch");
        if !batch.is_empty() && batch != id {
            let owner_lines = self.lines.iter().filter(|line| {
                line.str_field("batch") == batch && OWNER_MESSAGES.contains(&line.str_field("text"))
            });
            lines.extend(owner_lines);
        }
        let offsets = self.clock_offsets();
        let corrected_time =
            |line: &LogLine| line.time_ms - offsets.get(line.process.as_str()).unwrap_or(&0.0);
        lines.sort_by(|a, b| corrected_time(a).total_cmp(&corrected_time(b)));
        let start = lines.first().map_or(0.0, |line| corrected_time(line));
        let mut out = String::new();
        for line in lines {
            // Writing to a `String` never fails.
            let _ = write!(
                out,
                "{:>9.3} s  {:<16} {:<8} {}",
                (corrected_time(line) - start) / 1000.0,
                line.process,
                line.str_field("part"),
                line.str_field("text")
            );
            for (name, value) in line.message_fields() {
                let _ = match value.as_str() {
                    Some(text) => write!(out, " {name}={text}"),
                    None => write!(out, " {name}={value}"),
                };
            }
            out.push('\n');
        }
        Some(out)
    }

    /// Estimates each process's clock offset from the median clock, in
    /// milliseconds.
    fn clock_offsets(&self) -> HashMap<&str, f64> {
        let mut shared: BTreeMap<String, Vec<(&str, f64)>> = BTreeMap::new();
        for line in &self.lines {
            if let Some(key) = line.shared_key() {
                shared
                    .entry(key)
                    .or_default()
                    .push((&line.process, line.time_ms));
            }
        }
        let mut differences: HashMap<&str, Vec<f64>> = HashMap::new();
        for lines in shared.values() {
            let mut times: Vec<f64> = lines.iter().map(|(_, time)| *time).collect();
            times.sort_by(f64::total_cmp);
            // The median is correct as long as most clocks are.
            let median = times[times.len() / 2];
            for (process, time) in lines {
                differences.entry(process).or_default().push(time - median);
            }
        }
        let medians = differences.into_iter().map(|(process, mut values)| {
            values.sort_by(f64::total_cmp);
            (process, values[values.len() / 2])
        });
        medians.collect()
    }
}

/// Returns the process name that a log collector put directly before the JSON
/// object; a prefix that ends with a colon is none.
fn process_prefix(line: &str) -> Option<&str> {
    let (prefix, _) = line.split_once('{')?;
    let word = prefix.split_whitespace().next_back()?;
    (!word.ends_with(':')).then_some(word)
}

fn parse_line(line: &str) -> Option<(f64, Map<String, Value>)> {
    // Log collectors may put a prefix before the JSON object.
    let line = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    let since_epoch = since_epoch.unwrap_or(Duration::ZERO);
    Some((since_epoch.as_secs_f64() * 1000.0, fields))
}
