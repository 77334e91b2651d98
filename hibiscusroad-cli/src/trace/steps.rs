//! What the steps of trainers waited for, from the logs of all processes.
//!
//! A trainer goes on when enough of a step's groups are whole. So a step lasts as
//! long as the last item of the last group that it waited for: the time between
//! the step's acceptance and its end is told as what that one item spent it on.
//! Each moment of it counts for exactly one cause, so the causes add up.

use super::{Line, Logs};
use crate::rows::{Row, Table};
use serde_json::Value;
use std::collections::BTreeMap;

/// Columns of the table, in their order. Times are in seconds; those behind `took`
/// are its causes.
const COLUMNS: &[&str] = &[
    "model", "step", "batch", "asked", "begun", "first", "last", "took", "begin", "weights",
    "room", "refused", "moved", "queued", "decode", "owner", "scoring", "listing", "trainer",
    "events", "endpoint", "state",
];
/// The columns that are causes.
const CAUSES: &[&str] = &[
    "begin", "weights", "room", "refused", "moved", "queued", "decode", "owner", "scoring",
    "listing", "trainer",
];
/// A trainer that reads twice a second has read what was listed by then; one that
/// goes on later has waited for a group that it had to have.
const READ_MS: f64 = 1_000.0;

/// What the logs tell of one batch.
#[derive(Default)]
struct Step<'a> {
    accepted: Option<(f64, &'a Line)>,
    ended: Option<f64>,
    taken: Vec<f64>,
    runs: Vec<(f64, &'a Line)>,
    scored: BTreeMap<&'a str, f64>,
    listed: BTreeMap<&'a str, f64>,
}

/// A moment up to which the time of a step is accounted for.
struct Account {
    at: f64,
    sums: BTreeMap<&'static str, f64>,
}

impl Account {
    /// Counts the time up to `until` for a cause.
    fn until(&mut self, until: f64, cause: &'static str) {
        let more = (until - self.at).max(0.0);
        *self.sums.entry(cause).or_default() += more;
        self.at += more;
    }

    /// Counts at most `most` of the time up to `until` for a cause.
    fn part(&mut self, until: f64, most: f64, cause: &'static str) {
        let until = (self.at + most).min(until);
        self.until(until, cause);
    }
}

impl Logs {
    /// Tells what the steps of all trainers waited for, and the sums of it.
    #[must_use]
    pub fn steps(&self) -> Table {
        let offsets = self.offsets();
        let at = |line: &Line| line.at - offsets.get(line.process.as_str()).unwrap_or(&0.0);
        let mut steps: BTreeMap<&str, Step<'_>> = BTreeMap::new();
        for line in &self.lines {
            let batch = line.text("batch");
            if !batch.is_empty() {
                steps.entry(batch).or_default().take(at(line), line);
            }
        }
        let accepted = steps.values().filter_map(|step| Some(step.accepted?.0));
        let start = accepted.fold(f64::INFINITY, f64::min);
        let mut rows: Vec<Row> = steps
            .iter()
            .filter_map(|(batch, step)| step.row(batch, start))
            .collect();
        rows.sort_by_key(|row| (row["model"].to_string(), row["step"].as_u64()));
        rows.push(sum(&rows));
        Table {
            columns: COLUMNS.iter().map(|&name| name.to_owned()).collect(),
            rows,
        }
    }
}

impl<'a> Step<'a> {
    fn take(&mut self, at: f64, line: &'a Line) {
        match line.text("text") {
            "A batch is accepted." => self.accepted = Some((at, line)),
            "A batch is ended." => self.ended = Some(self.ended.unwrap_or(at).min(at)),
            "A batch is taken over." => self.taken.push(at),
            "A run of an item broke off." | "The text of an item is whole." => {
                self.runs.push((at, line));
            }
            "The text of an item is scored." => {
                self.scored.insert(line.text("item"), at);
            }
            "Results are listed." => {
                for item in line.text("items").split(' ') {
                    self.listed.entry(item).or_insert(at);
                }
            }
            _ => {}
        }
    }

    fn row(&self, batch: &str, start: f64) -> Option<Row> {
        let (accepted, line) = self.accepted?;
        let mut row = Row::new();
        row.insert("model".to_owned(), line.text("model").into());
        let step = line.fields.get("step").cloned().unwrap_or_default();
        row.insert("step".to_owned(), step);
        row.insert("batch".to_owned(), batch.into());
        row.insert("asked".to_owned(), seconds(accepted - start));
        let whole = self.runs.iter().filter(|(_, run)| is_whole(run));
        let ends: Vec<f64> = whole.map(|(at, _)| *at).collect();
        let begun = self.runs.iter().map(|(at, run)| at - run.number("took_ms"));
        row.insert("begun".to_owned(), least(begun, accepted));
        row.insert("first".to_owned(), least(ends.iter().copied(), accepted));
        let last = ends.iter().copied().fold(f64::NAN, f64::max);
        row.insert("last".to_owned(), seconds(last - accepted));
        let Some(ended) = self.ended else {
            row.insert("state".to_owned(), "open".into());
            return Some(row);
        };
        row.insert("took".to_owned(), seconds(ended - accepted));
        row.insert("state".to_owned(), "ended".into());
        let Some(item) = self.critical(ended, line) else {
            row.insert("state".to_owned(), "given up".into());
            return Some(row);
        };
        let run = self.runs.iter().rfind(|(_, run)| run.text("item") == item);
        if let Some((_, run)) = run {
            let events = events_before(run) + run.number("events");
            row.insert("events".to_owned(), events.into());
            row.insert("endpoint".to_owned(), run.text("endpoint").into());
        }
        for (cause, ms) in self.account(item, accepted, ended) {
            row.insert(cause.to_owned(), seconds(ms));
        }
        Some(row)
    }

    /// Finds the item that the trainer waited for last.
    fn critical(&self, ended: f64, accepted: &Line) -> Option<&'a str> {
        let mut groups: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (_, run) in self.runs.iter().filter(|(_, run)| is_whole(run)) {
            groups
                .entry(run.text("group"))
                .or_default()
                .push(run.text("item"));
        }
        // A group is whole when the last of its items is listed.
        let last = |items: &Vec<&'a str>| {
            let listed = items.iter().map(|item| (self.listed.get(item), *item));
            let listed: Option<Vec<(f64, &str)>> = listed
                .map(|(at, item)| Some((at.copied()?, item)))
                .collect();
            listed?.into_iter().max_by(|a, b| a.0.total_cmp(&b.0))
        };
        let mut whole: Vec<(f64, &str)> = groups
            .values()
            .filter_map(last)
            .filter(|(at, _)| *at <= ended)
            .collect();
        whole.sort_by(|a, b| a.0.total_cmp(&b.0));
        let target = accepted.fields.get("target").and_then(Value::as_u64);
        let target = usize::try_from(target.unwrap_or(1)).unwrap_or(usize::MAX);
        let enough = whole.get(target.max(1) - 1).copied();
        let waited = enough.filter(|(at, _)| ended - at < READ_MS);
        waited.or(whole.last().copied()).map(|(_, item)| item)
    }

    /// Accounts for a step's time by what happened to one item.
    fn account(&self, item: &str, accepted: f64, ended: f64) -> BTreeMap<&'static str, f64> {
        let mut account = Account {
            at: accepted,
            sums: CAUSES.iter().map(|cause| (*cause, 0.0)).collect(),
        };
        let mut runs: Vec<&(f64, &Line)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.text("item") == item)
            .collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut before = "begin";
        let mut grown = 0.0;
        for (at, run) in runs {
            let begun = (at - run.number("took_ms")).min(ended);
            if self.taken.iter().any(|t| *t > account.at && *t <= begun) {
                // The owner before wrote no line of its run, but its text is there.
                let grown = events_before(run) - grown;
                account.part(begun, grown * run.number("pace_us") / 1000.0, "decode");
                account.until(begun, "owner");
            }
            grown = events_before(run) + run.number("events");
            account.part(begun, run.number("weights_ms"), "weights");
            account.part(begun, run.number("room_ms"), "room");
            account.until(begun, before);
            let (during, after) = match run.text("cause") {
                "NotRun" => ("refused", "refused"),
                "" | "Moved" => ("decode", "moved"),
                _ => ("decode", "refused"),
            };
            // What events don't account for went by before the first.
            let events = (run.number("events") - 1.0).max(0.0) * run.number("pace_us") / 1000.0;
            let queued = run.number("took_ms") - events;
            if during == "decode" {
                account.part(at.min(ended), queued.max(0.0), "queued");
            }
            account.until(at.min(ended), during);
            before = after;
        }
        for (at, cause) in [(&self.scored, "scoring"), (&self.listed, "listing")] {
            if let Some(at) = at.get(item) {
                account.until(at.min(ended), cause);
            }
        }
        account.until(ended, "trainer");
        account.sums
    }
}

impl Line {
    fn number(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or(0.0)
    }
}

/// Returns how many events of its text an item had before a run; the first has the
/// number 1.
fn events_before(run: &Line) -> f64 {
    let text = run.text("before");
    let number = text
        .strip_prefix("Some(")
        .and_then(|rest| rest.strip_suffix(')'));
    number.and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

fn is_whole(run: &Line) -> bool {
    run.fields.get("cause").is_none()
}

fn least(times: impl Iterator<Item = f64>, start: f64) -> Value {
    seconds(times.fold(f64::NAN, f64::min) - start)
}

/// Returns milliseconds as seconds with two decimals; no number is nothing.
fn seconds(ms: f64) -> Value {
    Value::from((ms / 10.0).round() / 100.0)
}

/// Sums up the causes of all rows.
fn sum(rows: &[Row]) -> Row {
    let mut total = Row::new();
    total.insert("model".to_owned(), "all".into());
    total.insert("step".to_owned(), rows.len().into());
    for name in ["took"].iter().chain(CAUSES) {
        let cells = rows.iter().filter_map(|row| row.get(*name)?.as_f64());
        let sum: f64 = cells.sum();
        total.insert((*name).to_owned(), seconds(sum * 1000.0));
    }
    total
}
