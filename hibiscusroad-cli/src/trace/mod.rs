//! The story of one request, batch or item, from the logs of all processes.
//!
//! A gateway writes a JSON line for each decision, with the ids it touches. The
//! story of an id is every line that names it, and, for an item, the lines that
//! say who ran its batch. It is told in the order in which things happened,
//! although the clocks of hosts may differ by seconds: some lines tell of one
//! write to the store, which all processes hear of within milliseconds. They
//! show by how much each clock is off, and each process's lines are moved by
//! that much.
//!
//! [`steps`] tells what the steps of trainers waited for.

mod steps;

use serde_json::{Map, Value};
use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write,
    time::{Duration, SystemTime},
};

/// Sentences of lines that all processes write about the same write.
const SHARED: &[&str] = &[
    "A configuration is in force.",
    "A weight version was named.",
];
/// Sentences that say who ran a batch.
const OWNERS: &[&str] = &[
    "A batch is accepted.",
    "A batch is taken over.",
    "A batch is run here.",
    "A batch is no longer run here.",
    "A batch is ended.",
];
/// What every line has; the rest are the inputs that decided.
const FRAME: &[&str] = &["time", "level", "part", "text"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    process: String,
    /// Milliseconds since the epoch, by its process's clock.
    at: f64,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn names(&self, id: &str) -> bool {
        let mut inputs = self.inputs();
        inputs.any(|(_, value)| value.as_str() == Some(id))
    }

    fn inputs(&self) -> impl Iterator<Item = (&String, &Value)> {
        let inputs = self.fields.iter();
        inputs.filter(|(name, _)| !FRAME.contains(&name.as_str()))
    }

    /// What a line is about that other processes write too.
    fn shared(&self) -> Option<String> {
        let text = self.text("text");
        let about = || ["model", "version"].map(|name| self.fields.get(name).cloned());
        SHARED
            .contains(&text)
            .then(|| format!("{text} {:?}", about()))
    }
}

/// Logs of several processes.
#[derive(Debug, Default)]
pub struct Logs {
    lines: Vec<Line>,
    /// Lines that could not be read.
    odd: usize,
}

impl Logs {
    /// Creates logs without a line.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a log; `name` stands for its process until a line names it.
    pub fn add(&mut self, name: &str, text: &str) {
        let mut process = name.to_owned();
        for text in text.lines().filter(|line| !line.trim().is_empty()) {
            let Some((at, fields)) = parse(text) else {
                self.odd += 1;
                continue;
            };
            let named = gathered(text).map(str::to_owned);
            let mut line = Line {
                process: process.clone(),
                at,
                fields,
            };
            if let Some((started, _)) = line.text("text").split_once(" starts as ") {
                started.clone_into(&mut process);
            }
            line.process = named.unwrap_or_else(|| process.clone());
            self.lines.push(line);
        }
    }

    /// Returns how many lines could not be read.
    #[must_use]
    pub const fn odd(&self) -> usize {
        self.odd
    }

    /// Tells the story of an id; `None` if no line names it.
    #[must_use]
    pub fn story(&self, id: &str) -> Option<String> {
        let mut found: Vec<&Line> = self.lines.iter().filter(|line| line.names(id)).collect();
        let first = found.first()?;
        let batch = first.text("batch");
        if !batch.is_empty() && batch != id {
            let owners = self
                .lines
                .iter()
                .filter(|line| line.text("batch") == batch && OWNERS.contains(&line.text("text")));
            found.extend(owners);
        }
        let offsets = self.offsets();
        let at = |line: &Line| line.at - offsets.get(line.process.as_str()).unwrap_or(&0.0);
        found.sort_by(|a, b| at(a).total_cmp(&at(b)));
        let start = found.first().map_or(0.0, |line| at(line));
        let mut out = String::new();
        for line in found {
            // Writing to a string never fails.
            let _ = write!(
                out,
                "{:>9.3} s  {:<16} {:<8} {}",
                (at(line) - start) / 1000.0,
                line.process,
                line.text("part"),
                line.text("text")
            );
            for (name, value) in line.inputs() {
                let _ = match value.as_str() {
                    Some(text) => write!(out, " {name}={text}"),
                    None => write!(out, " {name}={value}"),
                };
            }
            out.push('\n');
        }
        Some(out)
    }

    /// Finds by how much each process's clock is ahead of the first one's.
    fn offsets(&self) -> HashMap<&str, f64> {
        let mut shared: BTreeMap<String, Vec<(&str, f64)>> = BTreeMap::new();
        for line in &self.lines {
            if let Some(about) = line.shared() {
                shared
                    .entry(about)
                    .or_default()
                    .push((&line.process, line.at));
            }
        }
        let mut ahead: HashMap<&str, Vec<f64>> = HashMap::new();
        for lines in shared.values() {
            let mut times: Vec<f64> = lines.iter().map(|(_, at)| *at).collect();
            times.sort_by(f64::total_cmp);
            // The median process is the measure: a few clocks are off, not most.
            let middle = times[times.len() / 2];
            for (process, at) in lines {
                ahead.entry(process).or_default().push(at - middle);
            }
        }
        let medians = ahead.into_iter().map(|(process, mut found)| {
            found.sort_by(f64::total_cmp);
            (process, found[found.len() / 2])
        });
        medians.collect()
    }
}

/// Returns the process that whoever gathered the logs of several wrote before a
/// line: the word right before it.
fn gathered(line: &str) -> Option<&str> {
    let (before, _) = line.split_once('{')?;
    let word = before.split_whitespace().next_back()?;
    (!word.ends_with(':')).then_some(word)
}

fn parse(line: &str) -> Option<(f64, Map<String, Value>)> {
    // What stands before the brace was put there by whoever gathered the logs.
    let line = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO);
    Some((since.as_secs_f64() * 1000.0, fields))
}
